package lead

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

func (t *Term) agentOpened(ev opened) {
	w := t.workers[ev.agent]
	if w == nil {
		ev.link.Close(errDeposed)
		return
	}
	w.link, w.complete, w.orders, w.out, w.noted = ev.link, false, 0, nil, 0
	for _, r := range w.runs {
		r.order = 0 // ordered in an earlier session, or never sent
	}
	event.Log(t.cfg.Log, event.AgentOpened, zap.String("Agent", w.agent.Name), zap.Uint64("Token", t.token))
	if err := ev.link.Send(&wire.LeadAdopt{Cell: t.cfg.Cell, Token: t.token}); err != nil {
		ev.link.Close(err)
	}
}

func (t *Term) agentClosed(ev closed) {
	w := t.workers[ev.agent]
	if w == nil || w.link != ev.link {
		return
	}
	w.link, w.complete, w.out, w.lostAt = nil, false, nil, time.Now()
	event.Log(t.cfg.Log, event.AgentClosed, zap.String("Agent", w.agent.Name), zap.Int("Runs", len(w.runs)))
}

func (t *Term) agentMessage(ev message) {
	w := t.workers[ev.agent]
	if w == nil || w.link != ev.link {
		return
	}
	switch m := ev.m.(type) {
	case *wire.WorkerState:
		t.takeState(w, m)
	case *wire.RunReport:
		t.takeReport(w, m)
	}
}

// takeState notes what an agent tells of its worker. A new life, or the end of one, ends all runs of the life before.
func (t *Term) takeState(w *worker, m *wire.WorkerState) {
	if m.Life != w.state.Life {
		t.releaseAll(w, "worker has begun another life")
		w.seenEnd, w.safeEnd, w.noted, w.complete = 0, 0, 0, false
		w.out = nil
		w.trust = trust{}
	}
	w.state = *m
	w.seenAt = time.Now()
	if m.Phase == wire.WorkerGone {
		t.releaseAll(w, "worker has ended")
		w.complete = false
		t.hear(w)
	}
}

// hear notes that no run of an earlier leader can be unknown on w any more.
func (t *Term) hear(w *worker) {
	if !w.heard {
		w.heard = true
		t.unheard--
	}
}

func (t *Term) takeReport(w *worker, m *wire.RunReport) {
	if m.Life != w.state.Life || w.state.Phase == wire.WorkerGone {
		return
	}
	now := time.Now()
	first := !w.heard
	for _, p := range m.Press {
		t.press.Hint(press.Pair{Serving: p.Serving, Filling: p.Filling}, p.Weight)
	}
	if first && m.Complete {
		// Runs that an earlier leader started are known before their ends are taken.
		for i := range m.Running {
			t.adopt(w, m.Running[i].Run, now)
		}
		for _, r := range m.Pending {
			t.adopt(w, r, now)
		}
	}
	for _, e := range m.Ended {
		if e.Number > w.seenEnd {
			w.seenEnd = e.Number
			t.takeEnd(w, e, first, now)
		}
	}
	for _, r := range m.Refused {
		t.takeRefusal(w, r, now)
	}
	if m.Complete {
		t.reconcile(w, m, now)
		if !w.complete {
			t.describe(w)
		}
		w.complete = true
		t.hear(w)
	}
	if m.AskLease && t.mayGrant(now) {
		w.grantAt = now
		if err := w.link.Send(&wire.LeaseGrant{Life: m.Life, Clock: m.Clock}); err != nil {
			w.link.Close(err)
		}
	}
}

// adopt takes over a run of an earlier leader, or returns the run if it is known. A run that must not go on is stopped.
func (t *Term) adopt(w *worker, key wire.Run, now time.Time) *run {
	if r := w.runs[key]; r != nil {
		return r
	}
	j, ordinal, ok := t.find(key.Task)
	if !ok {
		return nil
	}
	_, step := j.locate(ordinal)
	r := &run{job: j, ordinal: ordinal, step: &j.spec.Steps[step], key: key, worker: w, orderAt: now, moved: now}
	w.add(r)
	j.addRun(ordinal, r)
	j.tasks[ordinal].number = max(j.tasks[ordinal].number, key.Number)
	j.begun = true
	r.stopping = j.state.IsFinal() || j.tasks[ordinal].done // reconcile orders the stop
	return r
}

// describe tells an agent what it needs to balance the runs on its worker: it may have been restarted.
func (t *Term) describe(w *worker) {
	o := w.outgoing()
	o.Traits = o.Traits[:0]
	for _, r := range w.runs {
		o.Traits = append(o.Traits, traitOf(r))
	}
	w.pressed = nil
	t.tellPress(w)
}

// find returns the job and the ordinal of a task's name.
func (t *Term) find(name string) (*job, int, bool) {
	id, err := spec.ParseTask(name)
	if err != nil {
		event.Log(t.cfg.Log, event.InputRefused, zap.String("Task", name), zap.Error(err))
		return nil, 0, false
	}
	j := t.jobs[id.Job]
	if j == nil {
		return nil, 0, false
	}
	ordinal, ok := j.ordinal(id)
	return j, ordinal, ok
}

// reconcile compares a complete list of runs with what the leader believes.
func (t *Term) reconcile(w *worker, m *wire.RunReport, now time.Time) {
	t.learn(w, m, now)
	w.strays = nil
	there := make(map[wire.Run]bool, len(m.Running)+len(m.Pending))
	for i := range m.Running {
		s := &m.Running[i]
		there[s.Run] = true
		r := w.runs[s.Run]
		if r == nil {
			t.stopStray(w, s.Run)
			continue
		}
		t.progress(r, s, now)
		if r.stopping {
			w.outgoing().Stops = append(w.outgoing().Stops, r.key)
		}
	}
	for _, k := range m.Pending {
		there[k] = true
		if w.runs[k] == nil {
			t.stopStray(w, k)
		}
	}
	for key, r := range w.runs {
		switch {
		case there[key] || r.order > m.Order:
		case r.order == 0 && !r.listed && !r.closed:
			w.outgoing().Closes = append(w.outgoing().Closes, key) // a start may still reach the worker
		default:
			t.release(r, "run is not on the worker")
		}
	}
}

// stopStray stops a run that the leader does not count on.
func (t *Term) stopStray(w *worker, key wire.Run) {
	event.Log(t.cfg.Log, event.RunStopped, zap.String("Task", key.Task), zap.Int("Run", key.Number),
		zap.String("Worker", w.state.Life.ID), zap.String("Reason", "run is not expected"))
	if w.strays == nil {
		w.strays = make(map[wire.Run]struct{})
	}
	w.strays[key] = struct{}{}
	w.outgoing().Stops = append(w.outgoing().Stops, key)
}

// progress notes what a look shows of a run.
func (t *Term) progress(r *run, s *wire.RunState, now time.Time) {
	if !r.listed {
		r.listed, r.firstAt, r.startPct, r.moved = true, now, s.Percent, now
	}
	if s.Percent > r.percent {
		r.moved = now
	}
	r.percent = s.Percent
	if s.Saved != "" {
		r.job.tasks[r.ordinal].saved = s.Saved
	}
}

// release removes a run that cannot exist any more; its task waits again.
func (t *Term) release(r *run, reason string) {
	event.Log(t.cfg.Log, event.RunReleased, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Life.ID), zap.String("Reason", reason))
	r.worker.remove(r)
	r.job.dropRun(r)
	t.touchAway(r)
}

// touchAway notes when a lasting task ceased to be at work.
func (t *Term) touchAway(r *run) {
	if r.step.Lasting {
		r.job.tasks[r.ordinal].awayAt = time.Now()
	}
}

func (t *Term) releaseAll(w *worker, reason string) {
	for _, r := range w.runs {
		t.release(r, reason)
	}
}

// takeEnd applies the end of a run.
func (t *Term) takeEnd(w *worker, e wire.RunEnd, first bool, now time.Time) {
	r := w.runs[e.Run]
	if r == nil && first {
		r = t.adopt(w, e.Run, now)
	}
	t.cfg.Meter.RunEnded(e.Cause)
	event.Log(t.cfg.Log, event.RunEnded, zap.String("Task", e.Task), zap.Int("Run", e.Run.Number),
		zap.Stringer("Cause", e.Cause), zap.String("Worker", w.state.Life.ID), zap.Uint64("End", e.Number),
		zap.Bool("Counts", r != nil))
	if r == nil {
		t.keepOrphan(w, e)
		return // its lease has ended before, the task no longer needs it, or its job is not known yet
	}
	w.remove(r)
	j, task := r.job, &r.job.tasks[r.ordinal]
	j.dropRun(r)
	if j.state.IsFinal() {
		return
	}
	if e.Saved != "" && e.Saved != task.saved {
		task.saved = e.Saved
		t.mark(j)
	}
	switch {
	case r.step.Lasting:
		task.awayAt = now
		if e.Cause == wire.EndFailed {
			task.avoid = w
		}
	case e.Cause == wire.EndDone:
		w.trust.note(doneWeight, now)
		t.noteDone(r, now)
		t.taskDone(j, r, now)
	case e.Cause == wire.EndFailed:
		t.taskFailed(j, r, now)
	}
}

func (t *Term) taskDone(j *job, r *run, now time.Time) {
	t.mark(j)
	if r.step.Gang {
		round, step := j.locate(r.ordinal)
		first, end := j.span(round, step)
		for i := first; i < end; i++ {
			j.setDone(i)
		}
	} else {
		j.setDone(r.ordinal)
	}
	t.stopRuns(j.tasks[r.ordinal].runs, "another run was done first")
	if j.left == 0 {
		t.finish(j, rows.Done, now)
	}
}

func (t *Term) taskFailed(j *job, r *run, now time.Time) {
	task := &j.tasks[r.ordinal]
	if slices.Contains(task.failed, r.key.Number) {
		return // stored before the end was noted, by this or an earlier leader
	}
	task.failed = append(task.failed, r.key.Number)
	task.avoid = r.worker
	t.mark(j)
	if r.worker.trust.note(failWeight, now) {
		event.Log(t.cfg.Log, event.WorkerDistrusted, zap.String("Worker", r.worker.state.Life.ID),
			zap.Float64("Score", r.worker.trust.value(now)))
	}
	if len(task.failed) >= max(1, j.spec.MaxAttempts) && !r.step.Lasting {
		t.finish(j, rows.Failed, now)
	}
}

// finish puts a job into a final state and stops what it still runs.
func (t *Term) finish(j *job, s rows.State, now time.Time) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedAt = s, now
	t.mark(j)
	t.urgent = true
	t.cfg.Meter.JobEnded(s, now.Sub(j.takenAt))
	event.Log(t.cfg.Log, event.JobEnded, zap.String("Job", string(j.spec.ID)), zap.Stringer("State", s),
		zap.Duration("Late", now.Sub(j.target)), zap.String("Queue", j.spec.Queue))
	for i := range j.tasks {
		t.stopRuns(j.tasks[i].runs, "job has ended")
	}
	for round := range j.spec.Rounds() {
		for step := range j.spec.Steps {
			delete(t.advice, pair{j.spec.ID, round, step})
		}
	}
}

// stopRuns orders the stop of runs; they occupy their workers until the ends are listed.
func (t *Term) stopRuns(list []*run, reason string) {
	for _, r := range list {
		if r.stopping {
			continue
		}
		r.stopping = true
		event.Log(t.cfg.Log, event.RunStopped, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
			zap.String("Worker", r.worker.state.Life.ID), zap.String("Reason", reason))
		if r.worker.link != nil && r.worker.complete {
			r.worker.outgoing().Stops = append(r.worker.outgoing().Stops, r.key)
		}
	}
}

// takeRefusal applies that a run did not start.
func (t *Term) takeRefusal(w *worker, f wire.RunRefused, now time.Time) {
	r := w.runs[f.Run]
	if r == nil {
		return
	}
	if f.Reason == wire.RefusedSilent {
		r.closed = true // the next complete report shows whether it is there
		return
	}
	t.release(r, "start refused: "+f.Reason.String())
	task := &r.job.tasks[r.ordinal]
	task.after = now.Add(refusalPause)
	switch f.Reason {
	case wire.RefusedTicket:
		round, step := r.job.locate(r.ordinal)
		delete(t.advice, pair{r.job.spec.ID, round, step})
	case wire.RefusedSick, wire.RefusedBad:
		task.avoid = w
		w.trust.note(failWeight, now)
	}
}

// expire releases the runs of workers that cannot be reached once their lease has certainly ended.
func (t *Term) expire(now time.Time) {
	for name, w := range t.workers {
		end := t.leaseEnd(w.grantAt)
		if !w.heard || w.grantAt.IsZero() {
			end = t.leaseEnd(t.grantedTo)
		}
		if now.Before(end) {
			if len(w.runs) > 0 || !w.heard {
				t.wakeBy(end)
			}
			continue
		}
		t.releaseAll(w, "lease of the unreachable worker has ended")
		t.hear(w)
		w.complete = false
		if w.link == nil && now.Sub(w.lostAt) > forgetAgent && now.Sub(t.tookAt) > forgetAgent {
			t.forget(name)
		}
	}
}

// forget removes an agent that has not been reached for long; it registers again if it returns.
func (t *Term) forget(name string) {
	delete(t.workers, name)
	t.cfg.Network.Forget(name)
	t.dropped = append(t.dropped, rows.AgentRef(t.cfg.Cell, name))
}
