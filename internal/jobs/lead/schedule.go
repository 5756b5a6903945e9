package lead

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	refusalPause = 150 * time.Millisecond // before a refused start is retried
	// lastAttemptDelay is how long the last attempt of a task waits for another worker than the one on which it failed.
	lastAttemptDelay = 3 * time.Second
	forgetAfter      = 20 * time.Second     // time without a session after which an agent's row is deleted
	dueMargin        = 5 * time.Millisecond // added to the due time of a round, so that no run starts early
)

// schedule starts the tasks that may start, those of the most urgent jobs first.
func (t *Term) schedule(ctx context.Context, now time.Time) {
	t.removeFinished()
	if !t.mayGrant(now) {
		return // a later leader may assume that this one has stopped starting runs
	}
	t.waiting = t.waiting[:0]
	for _, j := range t.active {
		if j.waiting > 0 {
			j.updateUrgency(now)
			t.waiting = append(t.waiting, j)
		}
	}
	if t.cfg.Order != (order.Policy{}) {
		t.scheduleByPolicy(ctx, now)
	} else {
		slices.SortStableFunc(t.waiting, compareUrgency)
		for _, j := range t.waiting {
			if !j.state.IsFinal() {
				t.scheduleJob(ctx, j, now)
			}
		}
	}
}

// urgency orders jobs: by priority, then jobs that can meet their deadline first, then by deadline.
type urgency struct {
	priority int
	late     bool // the deadline can no longer be met
	deadline time.Time
}

// updateUrgency recomputes the urgency of a job. Jobs with long-running tasks are never late, since their value accrues
// from the start.
func (j *job) updateUrgency(now time.Time) { j.urgency = j.urgencyAt(now) }

func (j *job) urgencyAt(now time.Time) urgency {
	u := urgency{priority: j.spec.Priority, deadline: j.deadline}
	u.late = !j.spec.IsLongRunning() && now.Add(j.remainingTime()).After(j.deadline)
	return u
}

// remainingTime returns the declared run time of the longest chain of unfinished steps, and 0 for a job of several
// rounds.
func (j *job) remainingTime() time.Duration {
	if j.spec.Rounds() > 1 {
		return 0
	}
	if j.remaining >= 0 {
		return j.remaining
	}
	ends := make([]int64, len(j.spec.Steps))
	var longest int64
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if j.done[i] < s.Count {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	j.remaining = time.Duration(longest) * time.Millisecond
	return j.remaining
}

// compareUrgency returns a negative number if a is more urgent than b.
func compareUrgency(a, b *job) int { return a.urgency.compare(&b.urgency) }

func (x *urgency) compare(y *urgency) int {
	if c := cmp.Compare(x.priority, y.priority); c != 0 {
		return c
	}
	if x.late != y.late {
		if x.late {
			return 1
		}
		return -1
	}
	return x.deadline.Compare(y.deadline)
}

// scheduleJob starts the waiting tasks of a job.
func (t *Term) scheduleJob(ctx context.Context, j *job, now time.Time) {
	wall := time.Now()
	for round := range j.spec.Rounds() {
		if due, ok := j.spec.Due(round); ok && wall.Before(due.Add(dueMargin)) {
			t.wakeBy(now.Add(due.Add(dueMargin).Sub(wall)))
			break
		}
		for step := range j.spec.Steps {
			if j.done[round*len(j.offsets)+step] < j.spec.Steps[step].Count && j.mayStart(round, step, wall) &&
				t.admission.covers(&j.spec.Steps[step]) {
				t.scheduleStep(ctx, j, round, step, now)
			}
		}
	}
}

// block records that no worker could run a task of a step.
type block struct {
	change     uint64 // last change in the fleet that was considered
	isIdle     bool   // the job had been without runs for maxJobIdle
	isWithheld bool   // a worker was left out because of an evacuation since the step is blocked
}

// blockKey identifies the block of a step under an admission.
type blockKey struct {
	step      int // index with the round
	admission admission
}

// clearBlocks makes all workers be considered again for a step.
func (j *job) clearBlocks(round, step int) {
	for a := admitAll; a <= admitSlow; a++ {
		delete(j.blocks, blockKey{j.stepIndex(round, step), a})
	}
}

// scheduleStep starts the waiting tasks of a step. If no worker could run one of them before, only workers that have
// changed since are considered.
func (t *Term) scheduleStep(ctx context.Context, j *job, round, step int, now time.Time) {
	s := &j.spec.Steps[step]
	if j.inherited && t.unreconciled > 0 && !s.Speculative {
		return // a run that this leader does not know yet may exist
	}
	key := blockKey{j.stepIndex(round, step), t.admission}
	last, isBlocked := j.blocks[key]
	isBlocked = isBlocked && last.isIdle == j.isIdle(now)
	if isBlocked && last.change == t.fleet.changes {
		return
	}
	ready := t.limitStarts(t.readyTasks(j, round, step, now), s)
	if len(ready) == 0 {
		delete(j.blocks, key)
		return
	}
	c := stepContext{job: j, round: round, step: step, now: now, admission: t.admission}
	if t.isAdvised(j) {
		var ok bool
		if c.tickets, ok = t.tickets(ctx, stepKey{j.spec.ID, round, step}, j, now); !ok {
			return
		}
	}
	change := t.fleet.changes
	t.evacuation.isWithheld = false
	var ok bool
	switch {
	case s.Gang:
		ok = t.startGang(c, ready, s.Count)
	case isBlocked && c.tickets == nil:
		p := &placement{term: t, step: c}
		p.consider(t.fleet.changedSince(last.change))
		ok = t.startTasks(p, ready)
	default:
		ok = t.startTasks(t.newPlacement(c, len(ready)), ready)
	}
	if ok {
		delete(j.blocks, key)
		return
	}
	if c.tickets != nil { // other workers may have a place
		t.requestAdvice(ctx, stepKey{j.spec.ID, round, step}, j, now)
	}
	if j.blocks == nil {
		j.blocks = make(map[blockKey]block)
	}
	if t.evacuation.isWithheld && !last.isWithheld {
		t.cfg.Meter.StartWithheld()
	}
	j.blocks[key] = block{change: change, isIdle: j.isIdle(now), isWithheld: t.evacuation.isWithheld || last.isWithheld}
}

// readyTasks returns the ordinals of the tasks of a step that may start now, valid until the next call.
func (t *Term) readyTasks(j *job, round, step int, now time.Time) []int {
	first, end := j.span(round, step)
	t.ready = t.ready[:0]
	for i := first; i < end; i++ {
		task := &j.tasks[i]
		if task.done || len(task.runs) > 0 {
			continue
		}
		if now.Before(task.retryAt) {
			t.wakeBy(task.retryAt)
			continue
		}
		t.ready = append(t.ready, i)
	}
	return t.ready
}

// startTasks starts tasks on the workers of a placement, and reports false if no worker may run one of them.
func (t *Term) startTasks(p *placement, ready []int) bool {
	c := &p.step
	for _, i := range ready {
		w := p.pick(&c.job.tasks[i])
		if w == nil {
			return false
		}
		t.start(c.job, i, w, c.ticket(w), c.now)
		p.update(w)
	}
	return true
}

// isAdvised reports whether the policy service must be queried before tasks of a job are started.
func (t *Term) isAdvised(j *job) bool {
	if t.cfg.Advisor == nil {
		return false
	}
	if j.spec.Advised {
		return true
	}
	table := t.cfg.Queues.Table()
	if table == nil {
		return false
	}
	q, ok := table.Queue(j.spec.Queue)
	return ok && q.Advice != nil
}

// start starts a run of a task on a worker.
func (t *Term) start(j *job, ordinal int, w *worker, ticket string, now time.Time) {
	t.startNumbered(j, ordinal, w, ticket, t.nextNumber(&j.tasks[ordinal]), now)
}

// nextNumber returns a run number higher than any that this or an earlier leader used for a task.
func (t *Term) nextNumber(task *task) int {
	return max(task.lastNumber, int(t.epoch-1)*runsPerEpoch) + 1
}

// startNumbered starts a run of a task with a given run number.
func (t *Term) startNumbered(j *job, ordinal int, w *worker, ticket string, number int, now time.Time) {
	task := &j.tasks[ordinal]
	task.lastNumber = number
	_, step := j.locate(ordinal)
	r := &run{
		job: j, ordinal: ordinal, step: &j.spec.Steps[step], worker: w, commandSeq: w.commandSeq + 1,
		startedAt: now, progressedAt: now, key: wire.Run{Task: j.taskID(ordinal).String(), Number: number},
	}
	if w.reliability.isUnreliable(now) {
		w.reliability.probeAt = now.Add(probeEvery)
	}
	t.recordBegin(j)
	w.add(r)
	j.addRun(ordinal, r)
	t.cfg.Meter.RunStarted(now.Sub(j.addedAt), !j.begun && j.state == rows.Queued)
	if j.state == rows.Queued {
		j.state = rows.Running
	}
	o := wire.StartCommand{RunProfile: profileOf(r), Payload: j.spec.Payload, Ticket: ticket}
	if j.spec.Steps[step].Checkpoints {
		o.Checkpoint = task.checkpoint
		r.resumed = task.checkpoint != ""
	}
	w.outgoing().Starts = append(w.outgoing().Starts, o)
	event.Log(t.cfg.Log, event.RunOrdered, zap.String("Task", r.key.Task), zap.Int("Run", number),
		zap.String("Worker", w.state.Incarnation.ID), zap.Int64("FreeProcessors", w.free().Processors),
		zap.Duration("Slack", j.deadline.Sub(now)), zap.Duration("StateAge", now.Sub(w.stateAt)))
}
