package place

import (
	"cmp"
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Policy is the configuration of a team.
type Policy struct {
	Weight float64         // of the team in the weighted fair order; 0 means 1
	Quota  sizes.Resources // the entry's part of the team's quota, see Part; a kind that is 0 has no quota
}

// Order queues the jobs of one partition that have tasks to start, and selects the next team by weighted fair sharing.
// Only the partition's writer may use it.
type Order struct {
	entry  *Teams
	teams  map[ident.Team]*teamQueue
	queued map[ident.Job]bool
}

// teamQueue holds the jobs of one team that have tasks to start, and the resources that its tasks use.
type teamQueue struct {
	used   sizes.Resources
	urgent []ident.Job // in order of acceptance
	normal []ident.Job
}

// NewOrder returns an order without jobs. Its tasks also count in entry, which all partitions of the entry share.
func NewOrder(entry *Teams) *Order {
	return &Order{entry: entry, teams: map[ident.Team]*teamQueue{}, queued: map[ident.Job]bool{}}
}

// Close removes the tasks of the partition from the entry's count.
func (o *Order) Close() {
	for t, q := range o.teams {
		o.entry.release(t, q.used)
		q.used = sizes.Resources{}
	}
}

func (o *Order) queue(t ident.Team) *teamQueue {
	q := o.teams[t]
	if q == nil {
		q = &teamQueue{}
		o.teams[t] = q
	}
	return q
}

// Add appends a job to its team's queue; a job that is already queued keeps its position.
func (o *Order) Add(t ident.Team, job ident.Job, urgent bool) {
	if o.queued[job] {
		return
	}
	o.queued[job] = true
	q := o.queue(t)
	if urgent {
		q.urgent = append(q.urgent, job)
	} else {
		q.normal = append(q.normal, job)
	}
}

// remove removes jobs from the queues.
func (o *Order) remove(jobs map[ident.Job]bool) {
	if len(jobs) == 0 {
		return
	}
	isRemoved := func(j ident.Job) bool { return jobs[j] }
	for _, q := range o.teams {
		q.urgent = slices.DeleteFunc(q.urgent, isRemoved)
		q.normal = slices.DeleteFunc(q.normal, isRemoved)
	}
	for j := range jobs {
		delete(o.queued, j)
	}
}

// Reserve reserves size for a task that is about to start if the team stays within its quota, and reports whether it
// did. Ended releases it.
func (o *Order) Reserve(t ident.Team, p Policy, size sizes.Resources) bool {
	if !o.entry.reserve(t, p.Quota, size) {
		return false
	}
	q := o.queue(t)
	q.used = q.used.Plus(size)
	return true
}

// Started counts a task that is already running, regardless of the quota.
func (o *Order) Started(t ident.Team, size sizes.Resources) {
	o.entry.add(t, size)
	q := o.queue(t)
	q.used = q.used.Plus(size)
}

// Ended releases the size counted by Reserve or Started.
func (o *Order) Ended(t ident.Team, size sizes.Resources) {
	o.entry.release(t, size)
	q := o.queue(t)
	q.used = q.used.Minus(size)
}

// Used returns the resources that the team's tasks occupy.
func (o *Order) Used(t ident.Team) sizes.Resources { return o.queue(t).used }

// memoryPerProcessor is the memory, in bytes, that counts as one processor in the fair order: 4 GiB, the usual ratio of
// the workers.
const memoryPerProcessor = 4 << 30

// weightedShare returns the team's processors or, if larger, its memory in processors, divided by its weight.
func (q *teamQueue) weightedShare(p Policy) float64 {
	w := p.Weight
	if w == 0 {
		w = 1
	}
	return max(float64(q.used.Processors)/1000, float64(q.used.Memory)/memoryPerProcessor) / w
}

// Outcome is the result of an attempt to start a task of a job.
type Outcome int

// Outcomes.
const (
	Placed  Outcome = iota // a task was started; the job may be tried again
	Blocked                // no task can start now; the job is skipped for the rest of the round
	Drained                // the job has no task to start and is removed until it is added again
	Stop                   // the round ends
)

// ForEachJob calls try for jobs in fair order until all have been skipped or removed or try returns Stop. Urgent jobs
// come first; among jobs of the same urgency, the team with the smallest weighted share is next. try starts at most one
// task of the job.
func (o *Order) ForEachJob(policy func(ident.Team) Policy, try func(ident.Job) Outcome) {
	drained := map[ident.Job]bool{}
	for _, jobs := range []func(*teamQueue) []ident.Job{
		func(q *teamQueue) []ident.Job { return q.urgent },
		func(q *teamQueue) []ident.Job { return q.normal },
	} {
		if !o.forEachJob(policy, try, jobs, drained) {
			break
		}
	}
	o.remove(drained)
}

// turn is a team's position in a round.
type turn struct {
	queue  *teamQueue
	policy Policy
	next   int
}

// forEachJob runs ForEachJob for one urgency and reports whether the round continues. It adds the drained jobs to
// drained.
func (o *Order) forEachJob(policy func(ident.Team) Policy, try func(ident.Job) Outcome, jobs func(*teamQueue) []ident.Job,
	drained map[ident.Job]bool) bool {
	var turns []*turn
	for t, q := range o.teams {
		if len(jobs(q)) > 0 {
			turns = append(turns, &turn{queue: q, policy: policy(t)})
		}
	}
	for len(turns) > 0 {
		t := slices.MinFunc(turns, func(a, b *turn) int {
			return cmp.Compare(a.queue.weightedShare(a.policy), b.queue.weightedShare(b.policy))
		})
		list := jobs(t.queue)
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
