package lead

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	refusalPause = 150 * time.Millisecond // before a refused task is started again
	forgetAgent  = 20 * time.Second       // without a session, after which an agent's row is deleted
	earlyMargin  = 5 * time.Millisecond   // after the due time of an occurrence
)

// schedule starts the tasks that may start, the most urgent jobs first.
func (t *Term) schedule(ctx context.Context, now time.Time) {
	t.sweep()
	if !t.mayGrant(now) {
		return // a later leader counts on the end of every start by then
	}
	for _, j := range t.active {
		j.rate(now)
	}
	slices.SortStableFunc(t.active, compareUrgency)
	var blocked []sizes.Resources // sizes for which no worker has room in this round
	for _, j := range t.active {
		if j.waiting > 0 && !j.state.IsFinal() {
			blocked = t.scheduleJob(ctx, j, now, blocked)
		}
	}
	t.watchRuns(now)
}

// urgency is the place of a job in the order of starts.
type urgency struct {
	priority int
	late     bool // it cannot be done by its target any more
	target   time.Time
}

// rate notes how urgent a job is. Jobs whose tasks last are never late, since they earn from their start on.
func (j *job) rate(now time.Time) {
	j.urgency = urgency{priority: j.spec.Priority, target: j.target}
	j.urgency.late = !j.spec.IsLasting() && now.Add(j.remaining()).After(j.target)
}

// remaining returns the declared run time of the longest chain of steps that are not done.
func (j *job) remaining() time.Duration {
	if j.spec.Rounds() > 1 {
		return 0
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
	return time.Duration(longest) * time.Millisecond
}

func compareUrgency(a, b *job) int {
	x, y := &a.urgency, &b.urgency
	if c := cmp.Compare(x.priority, y.priority); c != 0 {
		return c
	}
	if x.late != y.late {
		if x.late {
			return 1
		}
		return -1
	}
	return x.target.Compare(y.target)
}

func (t *Term) scheduleJob(ctx context.Context, j *job, now time.Time, blocked []sizes.Resources) []sizes.Resources {
	wall := time.Now()
	for round := range j.spec.Rounds() {
		if due, ok := j.spec.Due(round); ok && wall.Before(due.Add(earlyMargin)) {
			t.wakeBy(now.Add(due.Add(earlyMargin).Sub(wall)))
			break
		}
		for step := range j.spec.Steps {
			if j.done[round*len(j.offsets)+step] == j.spec.Steps[step].Count || !j.isOpen(round, step, wall) {
				continue
			}
			if slices.ContainsFunc(blocked, func(r sizes.Resources) bool { return r == j.spec.Steps[step].Size }) {
				continue
			}
			if !t.scheduleStep(ctx, j, round, step, now) {
				blocked = append(blocked, j.spec.Steps[step].Size)
			}
		}
	}
	return blocked
}

// scheduleStep starts the waiting tasks of a step and reports whether there was room for all of them.
func (t *Term) scheduleStep(ctx context.Context, j *job, round, step int, now time.Time) bool {
	s := &j.spec.Steps[step]
	if j.old && t.unheard > 0 && !s.Copies {
		return true // a run that is not known yet may go on
	}
	first, end := j.span(round, step)
	var ready []int
	for i := first; i < end; i++ {
		task := &j.tasks[i]
		if task.done || len(task.runs) > 0 {
			continue
		}
		if now.Before(task.after) {
			t.wakeBy(task.after)
			continue
		}
		ready = append(ready, i)
	}
	if len(ready) == 0 {
		return true
	}
	var tickets map[string]string
	if t.isAdvised(j) {
		var ok bool
		if tickets, ok = t.tickets(ctx, j, round, step, now); !ok {
			return true
		}
	}
	c := choice{job: j, round: round, step: step, tickets: tickets, now: now}
	if s.Gang {
		return t.startGang(c, ready, end-first)
	}
	for _, i := range ready {
		w := t.pick(c, &j.tasks[i])
		if w == nil {
			return false
		}
		t.start(j, i, w, c.ticket(w), now)
	}
	return true
}

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

// start orders a run of a task on a worker.
func (t *Term) start(j *job, ordinal int, w *worker, ticket string, now time.Time) {
	t.startNumbered(j, ordinal, w, ticket, t.nextNumber(&j.tasks[ordinal]), now)
}

// nextNumber returns a number above that of each run that this or an earlier leader started.
func (t *Term) nextNumber(task *task) int { return max(task.number, int(t.epoch-1)*runsPerEpoch) + 1 }

func (t *Term) startNumbered(j *job, ordinal int, w *worker, ticket string, number int, now time.Time) {
	task := &j.tasks[ordinal]
	task.number = number
	_, step := j.locate(ordinal)
	r := &run{
		job: j, ordinal: ordinal, step: &j.spec.Steps[step], worker: w, order: w.orders + 1, orderAt: now, moved: now,
		key: wire.Run{Task: j.name(ordinal).String(), Number: number},
	}
	w.add(r)
	j.addRun(ordinal, r)
	t.cfg.Meter.Ordered(now.Sub(j.takenAt), !j.begun)
	j.begun = true
	if j.state == rows.Queued {
		j.state = rows.Running
	}
	o := wire.StartOrder{RunTrait: traitOf(r), Payload: j.spec.Payload, Ticket: ticket}
	if j.spec.Steps[step].Checkpoints {
		o.Saved = task.saved
		r.resumed = task.saved != ""
	}
	w.outgoing().Starts = append(w.outgoing().Starts, o)
	event.Log(t.cfg.Log, event.RunOrdered, zap.String("Task", r.key.Task), zap.Int("Run", number),
		zap.String("Worker", w.state.Life.ID), zap.Int64("FreeProcessors", w.free().Processors),
		zap.Duration("Slack", j.target.Sub(now)), zap.Duration("StateAge", now.Sub(w.seenAt)))
}
