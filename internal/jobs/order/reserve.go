package order

import (
	"cmp"
	"slices"
	"time"
)

// reservation holds the criteria by which reserved processors are given to a job.
type reservation struct {
	priority int
	class    class // 0 for a job that has begun
	deadline int64 // ns since 1970
	sequence int
	index    int32
}

func newReservation(index int, j *Job, c class) reservation {
	if j.Begun {
		c = 0
	}
	return reservation{
		priority: j.Priority, class: c, deadline: j.Deadline.UnixNano(), sequence: j.Sequence, index: int32(index),
	}
}

// moveUp reserves movedUpShare of the processors for the jobs that have waited for MaxWait, the oldest first. A job that
// has begun on reserved processors keeps its place among them until it ends.
func (p *Planner) moveUp(now time.Time, jobs []Job, room Room) {
	p.reserve = p.reserve[:0]
	allowed := newAllowance(jobs, room, movedUpShare)
	for i := range jobs {
		j := &jobs[i]
		if j.IsExempt {
			continue
		}
		if j.MovedUp && j.Begun {
			allowed.use(j)
		}
		waits := !j.WaitingSince.IsZero() && now.Sub(j.WaitingSince) >= MaxWait
		if j.Wanted.sum() > 0 && (waits || j.MovedUp && j.Begun) {
			p.reserve = append(p.reserve, newReservation(i, j, 0))
		}
	}
	p.raise(jobs, &allowed, ReasonMovedUp)
}

// raiseLarge reserves processors for the largest tenth of the jobs of each queue, in proportion to what those and the others
// request that still have value to their callers. Without it, an order that prefers small jobs serves large ones only
// when nothing else waits.
func (p *Planner) raiseLarge(jobs []Job, room Room) {
	p.reserve = p.reserve[:0]
	var large, all float64
	for i := range jobs {
		j := &jobs[i]
		if j.IsExempt || p.keys[i].class == classWorthless {
			continue
		}
		all += float64(j.WorkLeft)
		if j.IsLarge {
			large += float64(j.WorkLeft)
			if j.Wanted.sum() > 0 && p.keys[i].class != classReserved {
				p.reserve = append(p.reserve, newReservation(i, j, p.keys[i].class))
			}
		}
	}
	if len(p.reserve) == 0 {
		return
	}
	allowed := newAllowance(jobs, room, largeFactor*large/max(1, all))
	for i := range jobs {
		if jobs[i].IsLarge && !jobs[i].IsExempt {
			allowed.use(&jobs[i])
		}
	}
	p.raise(jobs, &allowed, ReasonLarge)
}

// raise puts the jobs in p.reserve first that the allowance suffices for: by priority, then those that have begun, then by class
// and deadline. A less urgent job gets no capacity before more urgent ones, so it must not take their allowance either.
func (p *Planner) raise(jobs []Job, allowed *allowance, reason Reason) {
	slices.SortFunc(p.reserve, func(a, b reservation) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), cmp.Compare(a.deadline, b.deadline),
			cmp.Compare(a.sequence, b.sequence))
	})
	for _, r := range p.reserve {
		j := &jobs[r.index]
		limit := allowed.take(j)
		if limit <= 0 {
			continue
		}
		k := &p.keys[r.index]
		k.class, k.limit, k.reason = classReserved, limit, reason
		k.begins, k.at = !j.Begun, r.deadline
	}
}

// allowance is what is left of a share of the processors that are in use or free.
type allowance Room

func newAllowance(jobs []Job, room Room, share float64) allowance {
	total := Room{Counted: max(0, room.Counted), BestEffort: max(0, room.BestEffort)}
	for i := range jobs {
		if !jobs[i].IsExempt {
			total.Counted += jobs[i].Using.Counted
			total.BestEffort += jobs[i].Using.BestEffort
		}
	}
	return allowance{Counted: int64(share * float64(total.Counted)), BestEffort: int64(share * float64(total.BestEffort))}
}

// use subtracts what the runs of a job use.
func (a *allowance) use(j *Job) {
	a.Counted -= j.Using.Counted
	a.BestEffort -= j.Using.BestEffort
}

// take subtracts what a job requests and returns how much of it is allowed.
func (a *allowance) take(j *Job) int64 {
	left := &a.Counted
	if j.Wanted.BestEffort > 0 {
		left = &a.BestEffort
	}
	limit := min(*left, j.Wanted.sum())
	*left -= limit
	return limit
}
