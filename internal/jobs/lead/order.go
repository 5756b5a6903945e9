package lead

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

// admission restricts which steps of a job are scheduled.
type admission uint8

const (
	admitAll     admission = iota
	admitCounted           // no best-effort steps, since the job may not begin
	admitUnused            // best-effort steps, on processors that no other task uses
	admitSlow              // best-effort steps, on processors that no other task uses, also at less than half speed
)

func (a admission) covers(s *spec.Step) bool {
	return a == admitAll || s.BestEffort == (a != admitCounted)
}

// demand summarizes the unfinished tasks of a job. It is computed again after a change of its tasks or of learned run times.
type demand struct {
	isKnown       bool
	version       uint64 // of the learned run times
	fleetVersion  uint64 // see Term.largestVersion
	chain         time.Duration
	work, total   int64 // processor-milliseconds
	isLarge       bool
	using, wanted order.Room // see order.Job
}

// scheduleByPolicy starts the tasks of the waiting jobs in the order of the policy. Best-effort tasks of jobs that may not
// begin start last, on processors that no job in progress could use.
func (t *Term) scheduleByPolicy(ctx context.Context, now time.Time) {
	t.updatePlanned()
	if largest := t.largestWorkers(); !maps.Equal(largest, t.largest) {
		t.largest = largest
		t.largestVersion++
	}
	t.planJobs = t.planJobs[:0]
	for _, j := range t.planned {
		t.planJobs = append(t.planJobs, t.planJob(j))
	}
	room := t.room(now)
	entries := t.planner.Plan(now, t.planJobs, room)
	held := 0 // jobs that may start more tasks on unused processors
	for _, e := range entries {
		j := t.planned[e.Index]
		j.beginReason = e.Reason
		if e.MovedUp && !j.movedUp {
			t.recordMovedUp(j, now)
		}
		t.admission, t.startLimit = admitAll, e.Limit
		if e.Limit > 0 {
			held++
		}
		if !e.MayBegin {
			held++
			if t.planJobs[e.Index].Wanted.Counted == 0 {
				continue
			}
			t.admission = admitCounted
		}
		if j.waiting > 0 && !j.state.IsFinal() {
			t.scheduleJob(ctx, j, now)
		}
	}
	t.startLimit = 0
	if held > 0 {
		t.scheduleRest(ctx, now, entries, admitCounted, func(e *order.Entry) bool {
			return e.Limit > 0 && t.planJobs[e.Index].Wanted.Counted > 0
		})
		t.scheduleRest(ctx, now, entries, admitUnused, func(e *order.Entry) bool { return !e.MayBegin || e.Limit > 0 })
	}
	if t.cfg.Order.UseSlow && order.IsShort(t.planJobs, room) {
		t.scheduleRest(ctx, now, entries, admitSlow, func(e *order.Entry) bool { return t.planJobs[e.Index].Begun })
	}
	t.admission = admitAll
	t.lastPlanned = t.lastPlanned[:0]
	for _, e := range entries {
		t.lastPlanned = append(t.lastPlanned, t.planned[e.Index])
	}
}

// scheduleRest starts tasks of some of the planned jobs on the capacity that is left.
func (t *Term) scheduleRest(ctx context.Context, now time.Time, entries []order.Entry, a admission, includes func(*order.Entry) bool) {
	if a != admitCounted && t.room(now).BestEffort == 0 {
		return
	}
	t.admission = a
	for i := range entries {
		j := t.planned[entries[i].Index]
		if j.waiting > 0 && !j.state.IsFinal() && includes(&entries[i]) {
			t.scheduleJob(ctx, j, now)
		}
	}
}

// updatePlanned sets the jobs to plan, those of the last plan in its order, which makes sorting them fast.
func (t *Term) updatePlanned() {
	t.planned = t.planned[:0]
	for _, j := range t.lastPlanned {
		if !j.state.IsFinal() {
			t.planned = append(t.planned, j)
		}
	}
	for _, j := range t.active {
		if !j.isPlanned && !j.state.IsFinal() {
			t.planCount++
			j.isPlanned, j.sequence = true, t.planCount
			t.planned = append(t.planned, j)
		}
	}
}

// planJob returns the description of a job for the planner.
func (t *Term) planJob(j *job) order.Job {
	isLongRunning := j.spec.IsLongRunning()
	p := order.Job{
		Sequence: j.sequence, Priority: j.spec.Priority, Deadline: j.deadline, LastUseful: j.lastUseful,
		DeclaredLeft: j.remainingTime(), Begun: j.hasBegun(), MovedUp: j.movedUp, IsLongRunning: isLongRunning,
		IsExempt: isLongRunning || j.spec.Occurrences > 0,
	}
	if p.IsExempt {
		return p
	}
	d := t.demandOf(j)
	p.ChainLeft, p.WorkLeft, p.Work, p.IsLarge = d.chain, d.work, d.total, d.isLarge
	p.Using, p.Wanted = d.using, d.wanted
	switch {
	case !p.Begun:
		p.WaitingSince = j.acceptedAt
	case j.running == 0:
		p.WaitingSince = j.idleSince
	}
	return p
}

// hasBegun reports whether a run of the job exists or has existed.
func (j *job) hasBegun() bool { return j.begun || j.running > 0 || j.left < len(j.tasks) }

// demandOf returns the demand of a job without a schedule.
func (t *Term) demandOf(j *job) *demand {
	d := &j.demand
	if d.isKnown && d.version == t.runTimes.Version() && d.fleetVersion == t.largestVersion {
		return d
	}
	*d = demand{isKnown: true, version: t.runTimes.Version(), fleetVersion: t.largestVersion}
	ends := make([]time.Duration, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		runTime := declaredTime(s)
		if t.cfg.Order.LearnedTimes {
			runTime = time.Duration(float64(runTime) * t.runTimes.Ratio(kindOf(j, s)))
		}
		d.total += order.Work(s.Size.Processors, runTime, s.Count)
		isReady := true
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
			isReady = isReady && j.done[a] == j.spec.Steps[a].Count
		}
		if left := s.Count - j.done[i]; left > 0 {
			ends[i] += runTime
			d.work += order.Work(s.Size.Processors, runTime, left)
			if isReady {
				d.addReady(j, i, t.hasLargeEnough(j, s))
			}
		}
		d.chain = max(d.chain, ends[i])
	}
	d.isLarge = t.jobSizes.IsLarge(j.spec.Queue, d.total)
	return d
}

// hasLargeEnough reports whether the tasks of a step fit into a worker, as far as its capacity and labels tell. Other tasks
// request nothing: they would take the reserved shares from jobs that can use them, for as long as they wait.
func (t *Term) hasLargeEnough(j *job, s *spec.Step) bool {
	largest, ok := t.largest[workerSet{j.spec.Service, s.Label}]
	if !ok || !s.Reserved().Fits(largest) {
		return false
	}
	return !s.BestEffort || float64(s.Size.Processors) <= (1+maxOvercommit)*float64(largest.Processors)
}

// addReady adds the tasks of a step that run, and those that may start if a worker is large enough for them.
func (d *demand) addReady(j *job, step int, mayStart bool) {
	s := &j.spec.Steps[step]
	first, end := j.span(0, step)
	waiting, running := 0, 0
	for i := first; i < end; i++ {
		switch task := &j.tasks[i]; {
		case task.done:
		case len(task.runs) > 0:
			running++
		case mayStart:
			waiting++
		}
	}
	if s.BestEffort {
		d.using.BestEffort += order.Processors(s.Size.Processors, running)
		d.wanted.BestEffort += order.Processors(s.Size.Processors, waiting)
	} else {
		d.using.Counted += order.Processors(s.Size.Processors, running)
		d.wanted.Counted += order.Processors(s.Size.Processors, waiting)
	}
}

// room returns the capacity that is not in use, without that of evacuated zones.
func (t *Term) room(now time.Time) order.Room {
	var r order.Room
	for _, w := range t.workers {
		if !w.acceptsRuns() || !t.allowsStart(w, now) {
			continue
		}
		r.Counted += max(0, w.free().Processors)
		if !w.isStalled(now) {
			r.BestEffort += t.unusedOn(w)
		}
	}
	return r
}

// unusedOn returns the processors of a worker that its tasks leave unused, as far as more best-effort tasks may use them beside
// its serving tasks.
func (t *Term) unusedOn(w *worker) int64 {
	p := t.pressureOn(w)
	if p.unused < 0 {
		p.unused = max(0, p.left-p.wanted)
		if p.unused > 0 {
			speed := t.interference.Headroom(impact.Load{Use: w.capacityShare(p.unused)}, p.serving, nil)
			p.unused = int64(speed * float64(p.unused))
		}
	}
	return p.unused
}

// limitStarts returns the first of some tasks for which the limit of the current job suffices, at least one while it is
// not used up, and subtracts them from the limit.
func (t *Term) limitStarts(ready []int, s *spec.Step) []int {
	if t.startLimit == 0 || s.Gang {
		return ready
	}
	size := max(1, s.Size.Processors)
	n := min(len(ready), int((max(0, t.startLimit)+size-1)/size))
	t.startLimit -= int64(n) * size
	if t.startLimit == 0 {
		t.startLimit = -1 // 0 stands for no limit
	}
	return ready[:n]
}

// recordBegin counts the first run of a job under a policy that limits the jobs that may begin.
func (t *Term) recordBegin(j *job) {
	if t.cfg.Order.LimitBegun && !j.hasBegun() {
		t.cfg.Meter.JobBegun(j.beginReason)
	}
}

// recordMovedUp records that a job has been moved up.
func (t *Term) recordMovedUp(j *job, now time.Time) {
	j.movedUp = true
	t.cfg.Meter.JobMovedUp()
	event.Log(t.cfg.Log, event.JobMovedUp, zap.String("Job", string(j.spec.ID)), zap.String("Queue", j.spec.Queue),
		zap.Duration("Age", now.Sub(j.acceptedAt)), zap.Duration("Late", now.Sub(j.deadline)))
}

// countWaiting reports the number of jobs without a schedule that have had no run.
func (t *Term) countWaiting() {
	n := 0
	for _, j := range t.active {
		if !j.state.IsFinal() && !j.hasBegun() && j.spec.Occurrences == 0 {
			n++
		}
	}
	t.cfg.Meter.JobsWaiting(n)
}
