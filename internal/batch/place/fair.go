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
	Quota  sizes.Resources // of the partition's part for the team; a kind that is 0 has no quota
}

// Split returns the part of a team's quota that one of n partitions enforces. The split is static: a team whose jobs sit
// on few partitions cannot use the parts of the others.
func Split(quota sizes.Resources, n int64) sizes.Resources {
	part := func(v int64) int64 {
		if v == 0 {
			return 0
		}
		return max(1, v/n)
	}
	return sizes.Resources{
		Processors: part(quota.Processors), Memory: part(quota.Memory), Accelerators: part(quota.Accelerators),
		Slots: part(quota.Slots), Connections: part(quota.Connections),
	}
}

// Order keeps the jobs of one partition that have tasks to start, and decides whose turn is next. It belongs to the
// partition's writer.
type Order struct {
	teams   map[ident.Team]*line
	waiting map[ident.Job]bool
}

type line struct {
	used   sizes.Resources
	urgent []ident.Job // in order of acceptance
	plain  []ident.Job
}

// NewOrder returns an order without jobs.
func NewOrder() *Order { return &Order{teams: map[ident.Team]*line{}, waiting: map[ident.Job]bool{}} }

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

// Started and Ended keep what the team's tasks hold.
func (o *Order) Started(t ident.Team, size sizes.Resources) {
	l := o.line(t)
	l.used = l.used.Plus(size)
}

// Ended undoes Started.
func (o *Order) Ended(t ident.Team, size sizes.Resources) {
	l := o.line(t)
	l.used = l.used.Minus(size)
}

// Used returns what the team's tasks hold.
func (o *Order) Used(t ident.Team) sizes.Resources { return o.line(t).used }

// IsWithin reports whether the team may hold size in addition under its quota.
func (o *Order) IsWithin(t ident.Team, p Policy, size sizes.Resources) bool {
	sum := o.line(t).used.Plus(size)
	ok := func(v, quota int64) bool { return quota == 0 || v <= quota }
	return ok(sum.Processors, p.Quota.Processors) && ok(sum.Memory, p.Quota.Memory) &&
		ok(sum.Accelerators, p.Quota.Accelerators)
}

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
