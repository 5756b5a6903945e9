package place

import (
	"cmp"
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Policy is what the configuration says of a team.
type Policy struct {
	Weight float64         // of the team in the weighted fair order; 0 counts as 1
	Quota  sizes.Resources // the entry's part for the team, see Part; a kind that is 0 has no quota
}

// Order keeps the jobs of one partition that have tasks to start, and decides whose turn is next. It belongs to the
// partition's writer.
type Order struct {
	entry   *Teams
	teams   map[ident.Team]*line
	waiting map[ident.Job]bool
}

type line struct {
	used   sizes.Resources
	urgent []ident.Job // in order of acceptance
	plain  []ident.Job
}

// NewOrder returns an order without jobs, whose tasks are counted in entry as well.
func NewOrder(entry *Teams) *Order {
	return &Order{entry: entry, teams: map[ident.Team]*line{}, waiting: map[ident.Job]bool{}}
}

// Close takes the tasks of the partition out of the entry's count.
func (o *Order) Close() {
	for t, l := range o.teams {
		o.entry.give(t, l.used)
		l.used = sizes.Resources{}
	}
}

func (o *Order) line(t ident.Team) *line {
	l := o.teams[t]
	if l == nil {
		l = &line{}
		o.teams[t] = l
	}
	return l
}

// Add appends a job to its team's line; a job that waits already keeps its place.
func (o *Order) Add(t ident.Team, job ident.Job, urgent bool) {
	if o.waiting[job] {
		return
	}
	o.waiting[job] = true
	l := o.line(t)
	if urgent {
		l.urgent = append(l.urgent, job)
	} else {
		l.plain = append(l.plain, job)
	}
}

// remove takes jobs out of the lines.
func (o *Order) remove(jobs map[ident.Job]bool) {
	if len(jobs) == 0 {
		return
	}
	gone := func(j ident.Job) bool { return jobs[j] }
	for _, l := range o.teams {
		l.urgent = slices.DeleteFunc(l.urgent, gone)
		l.plain = slices.DeleteFunc(l.plain, gone)
	}
	for j := range jobs {
		delete(o.waiting, j)
	}
}

// Take counts size for a task that is about to start and reports whether the team stays within its quota; Ended undoes it.
func (o *Order) Take(t ident.Team, p Policy, size sizes.Resources) bool {
	if !o.entry.take(t, p.Quota, size) {
		return false
	}
	l := o.line(t)
	l.used = l.used.Plus(size)
	return true
}

// Started counts a task that runs already, whatever the quota is.
func (o *Order) Started(t ident.Team, size sizes.Resources) {
	o.entry.add(t, size)
	l := o.line(t)
	l.used = l.used.Plus(size)
}

// Ended undoes Take or Started.
func (o *Order) Ended(t ident.Team, size sizes.Resources) {
	o.entry.give(t, size)
	l := o.line(t)
	l.used = l.used.Minus(size)
}

// Used returns what the team's tasks hold.
func (o *Order) Used(t ident.Team) sizes.Resources { return o.line(t).used }

// memoryPerProcessor compares memory with processors in the fair order: 4 GiB weigh as much as one processor, the usual
// ratio of the workers.
const memoryPerProcessor = 4 << 30

// weight is the larger of the team's processors and memory, divided by its weight.
func (l *line) weight(p Policy) float64 {
	w := p.Weight
	if w == 0 {
		w = 1
	}
	return max(float64(l.used.Processors)/1000, float64(l.used.Memory)/memoryPerProcessor) / w
}

// Outcome is what became of the offer to start a task of a job.
type Outcome int

// Outcomes.
const (
	Placed  Outcome = iota // a task was started; the job is offered again
	Blocked                // no task can start now; the job is passed over for the rest of the round
	Drained                // the job has no task to start and leaves the order until it is added again
	Stop                   // the round ends
)

// Offer calls try for jobs in fair order until all have been passed over: urgent jobs first, and among the jobs of one
// kind the team that holds least by weight is next. try starts at most one task of the job.
func (o *Order) Offer(policy func(ident.Team) Policy, try func(ident.Job) Outcome) {
	drained := map[ident.Job]bool{}
	for _, jobs := range []func(*line) []ident.Job{
		func(l *line) []ident.Job { return l.urgent },
		func(l *line) []ident.Job { return l.plain },
	} {
		if !o.offer(policy, try, jobs, drained) {
			break
		}
	}
	o.remove(drained)
}

// turn is a team's position in a round.
type turn struct {
	line   *line
	policy Policy
	next   int
}

func (o *Order) offer(policy func(ident.Team) Policy, try func(ident.Job) Outcome, jobs func(*line) []ident.Job,
	drained map[ident.Job]bool) bool {
	var turns []*turn
	for t, l := range o.teams {
		if len(jobs(l)) > 0 {
			turns = append(turns, &turn{line: l, policy: policy(t)})
		}
	}
	for len(turns) > 0 {
		t := slices.MinFunc(turns, func(a, b *turn) int {
			return cmp.Compare(a.line.weight(a.policy), b.line.weight(b.policy))
		})
		list := jobs(t.line)
		if t.next >= len(list) {
			turns = slices.DeleteFunc(turns, func(o *turn) bool { return o == t })
			continue
		}
		switch job := list[t.next]; try(job) {
		case Placed:
		case Blocked:
			t.next++
		case Drained:
			drained[job] = true
			t.next++
		case Stop:
			return false
		}
	}
	return true
}
