package order

import (
	"cmp"
	"slices"
	"time"
)

// class is the first criterion within a priority.
type class uint8

const (
	classExempt   class = iota // exempt from the rules, and can be on time
	classReserved              // gets a share of the processors that is reserved for jobs that have moved up or are large
	classOnTime
	classLateExempt
	classLate      // still has value to its caller
	classWorthless // is expected to end after LastUseful
)

// key holds the criteria of a job in the order in which they apply.
type key struct {
	priority int
	class    class
	begins   bool   // neither begun nor nearly done
	at       int64  // ns since 1970
	limit    int64  // see Entry
	reason   Reason // for classReserved
	sequence int
	index    int32
}

// Planner orders jobs by a policy. It keeps its buffers between calls and must not be used concurrently.
type Planner struct {
	Policy  Policy
	keys    []key
	entries []Entry
	reserve []reservation
}

// Plan returns the jobs in the order in which they get capacity; the result is valid until the next call. While the tasks
// that may start request no more processors than there are, or if the policy has no rules, the order is that of the zero
// policy and all jobs may begin.
func (p *Planner) Plan(now time.Time, jobs []Job, room Room) []Entry {
	rules := p.Policy
	if !IsShort(jobs, room) {
		rules = Policy{}
	}
	p.keys = p.keys[:0]
	mean := int64(0)
	if rules.DelayCost {
		mean = meanWork(jobs)
	}
	for i := range jobs {
		k := key{index: int32(i), sequence: jobs[i].Sequence}
		rules.rank(&k, now, &jobs[i], mean)
		p.keys = append(p.keys, k)
	}
	if rules.MoveUp {
		p.moveUp(now, jobs, room)
	}
	if rules.LargeShare {
		p.raiseLarge(jobs, room)
	}
	slices.SortFunc(p.keys, func(a, b key) int { return compare(&a, &b) })
	p.entries = p.entries[:0]
	left, inProgress := room.BestEffort, 0
	for i := range p.keys {
		k := &p.keys[i]
		if rules.LimitBegun && (i == 0 || k.priority != p.keys[i-1].priority) {
			inProgress += p.countInProgress(jobs, i)
		}
		j := &jobs[k.index]
		e := Entry{
			Index: int(k.index), MayBegin: true, MovedUp: k.reason == ReasonMovedUp, Reason: ReasonRoom, Limit: k.limit,
		}
		wanted := j.Wanted.BestEffort
		if k.limit > 0 {
			wanted = min(wanted, k.limit)
			e.Reason = k.reason
		}
		if rules.LimitBegun && !j.IsExempt && !j.Begun && wanted > 0 {
			switch {
			case k.class == classReserved:
			case float64(left) >= beginShare*float64(wanted):
			case inProgress == 0:
				e.Reason = ReasonFirst
			default:
				e.MayBegin, e.Reason = false, ReasonUnused
			}
			if e.MayBegin {
				inProgress++
			}
		}
		if e.MayBegin {
			left -= wanted
		}
		p.entries = append(p.entries, e)
	}
	return p.entries
}

// IsShort reports whether the tasks that may start request more processors than there are. Jobs that are exempt do not
// count: their order is the same in both cases.
func IsShort(jobs []Job, room Room) bool {
	var counted, bestEffort int64
	for i := range jobs {
		if !jobs[i].IsExempt {
			counted += jobs[i].Wanted.Counted
			bestEffort += jobs[i].Wanted.BestEffort
		}
	}
	return counted > max(0, room.Counted) || bestEffort > max(0, room.BestEffort)
}

// rank sets the criteria of a job except those that depend on other jobs.
func (r Policy) rank(k *key, now time.Time, j *Job, meanWork int64) {
	k.priority, k.at = j.Priority, j.Deadline.UnixNano()
	needs := j.DeclaredLeft
	if r.LearnedTimes && !j.IsExempt {
		needs = j.ChainLeft
	}
	isLate := !j.IsLongRunning && now.Add(needs).After(j.Deadline)
	if j.IsExempt || !r.reorders() {
		k.class = classOnTime
		if r.reorders() {
			k.class = classExempt
		}
		if isLate {
			k.class = classLateExempt
		}
		return
	}
	switch {
	case !r.ValueClasses && isLate:
		k.class = classLate
	case !r.ValueClasses:
		k.class = classOnTime
	default:
		margin := beginMargin
		if j.Begun {
			margin = finishMargin
		}
		ends := now.Add(time.Duration(float64(needs) * margin))
		switch {
		case !ends.After(j.Deadline):
			k.class = classOnTime
		case !ends.After(j.LastUseful):
			k.class = classLate
		default:
			k.class = classWorthless
		}
		if k.class != classOnTime {
			k.at = j.LastUseful.UnixNano()
		}
	}
	if r.DelayCost && j.WorkLeft > 0 {
		// The delay is bounded by a completion target, so that large jobs are overtaken only by those of that time.
		target := float64(j.LastUseful.Sub(j.Deadline)) / 2
		k.at += int64(target * float64(j.WorkLeft) / float64(j.WorkLeft+meanWork))
	}
	k.begins = r.FinishBegun && !(j.Begun && float64(j.WorkLeft) <= finishShare*float64(j.Work))
}

func compare(a, b *key) int {
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if a.begins != b.begins {
		if a.begins {
			return 1
		}
		return -1
	}
	if a.at != b.at {
		return cmp.Compare(a.at, b.at)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// meanWork returns the mean work left of the jobs with tasks to start.
func meanWork(jobs []Job) int64 {
	var sum, n int64
	for i := range jobs {
		if !jobs[i].IsExempt && jobs[i].Wanted.sum() > 0 {
			sum += jobs[i].WorkLeft
			n++
		}
	}
	return sum / max(1, n)
}

// countInProgress returns the number of best-effort jobs that have begun, of the priority of a position in the order. Less urgent
// ones do not keep a job from beginning.
func (p *Planner) countInProgress(jobs []Job, position int) int {
	n := 0
	for _, k := range p.keys[position:] {
		if k.priority != p.keys[position].priority {
			break
		}
		if j := &jobs[k.index]; j.Begun && !j.IsExempt && j.Using.BestEffort+j.Wanted.BestEffort > 0 {
			n++
		}
	}
	return n
}
