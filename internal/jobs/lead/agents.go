package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// agentOpened resets the session state of an agent and adopts the agent with the fencing token of the term.
func (t *Term) agentOpened(ev opened) {
	w := t.workers[ev.agent]
	if w == nil {
		ev.link.Close(errDeposed)
		return
	}
	w.link, w.synced, w.commandSeq, w.out, w.ackedEnd, w.parts, w.agentClock = ev.link, false, 0, nil, 0, nil, 0
	for _, r := range w.runs {
		r.commandSeq, r.cancelling = 0, false // the start was sent in an earlier session or never
	}
	w.resetSuspects()
	w.withheldAt, w.withheldLogged = time.Time{}, false
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
	w.link, w.synced, w.out, w.lostAt = nil, false, nil, time.Now()
	event.Log(t.cfg.Log, event.AgentClosed, zap.String("Agent", w.agent.Name), zap.Int("Runs", len(w.runs)))
}

// agentMessage handles a message of an agent. It returns errDeposed if a later leader has adopted the agent.
func (t *Term) agentMessage(ev message) error {
	if m, ok := ev.m.(*wire.LeadAdopt); ok && m.Cell == t.cfg.Cell && m.Token > t.token {
		return errDeposed
	}
	w := t.workers[ev.agent]
	if w == nil || w.link != ev.link {
		return nil
	}
	switch m := ev.m.(type) {
	case *wire.WorkerState:
		t.applyWorkerState(w, m)
	case *wire.ReportPart:
		w.parts = append(w.parts, m)
	case *wire.RunReport:
		m = m.Join(w.parts)
		w.parts = nil
		t.applyReport(w, m)
	}
	return nil
}

// applyWorkerState records the reported state of a worker. When the worker has restarted or exited, all runs of the
// earlier incarnation are released, unless the later one may have executed their starts.
func (t *Term) applyWorkerState(w *worker, m *wire.WorkerState) {
	t.applyRestart(w, m)
	if m.Incarnation != w.state.Incarnation {
		if m.Incarnation.ID == w.state.Incarnation.ID {
			w.recheckRuns(time.Now())
			w.resetSuspects()
		} else {
			t.releaseAll(w, "worker has restarted")
			clear(w.suspectRuns)
		}
		w.appliedEnd, w.durableEnd, w.ackedEnd, w.synced = 0, 0, 0, false
		w.out = nil
		w.reliability = reliability{}
		delete(t.undurable, w)
		t.fleet.rename(w, m.Incarnation.ID)
	}
	w.state = *m
	w.stateAt = time.Now()
	w.pressure = nil
	t.fleet.touch(w)
	if m.Phase == wire.WorkerGone {
		t.releaseAll(w, "worker has exited")
		clear(w.suspectRuns)
		w.synced, w.out = false, nil
		t.markReconciled(w)
	}
}

// markReconciled records that every run which an earlier leader started on w is known or has ended.
func (t *Term) markReconciled(w *worker) {
	if !w.reconciled {
		w.reconciled = true
		t.unreconciled--
	}
}

// applyReport applies the runs, ends and refusals that an agent reports, and grants the lease that it requests.
func (t *Term) applyReport(w *worker, m *wire.RunReport) {
	if m.Incarnation != w.state.Incarnation || w.state.Phase == wire.WorkerGone {
		return
	}
	now := time.Now()
	w.agentClock, w.agentClockAt = m.AgentClock, now
	firstReport := !w.reconciled
	for _, p := range m.Interference {
		t.interference.Hint(impact.Pair{Serving: p.Serving, BestEffort: p.BestEffort}, p.Weight)
	}
	if firstReport && m.Complete {
		// Runs started by an earlier leader must be known before their ends are applied.
		for i := range m.Running {
			t.adopt(w, m.Running[i].Run, now)
		}
		for _, r := range m.Pending {
			t.adopt(w, r, now)
		}
	}
	for _, e := range m.Ended {
		if e.Number > w.appliedEnd {
			w.appliedEnd = e.Number
			t.undurable[w] = struct{}{}
			t.applyEnd(w, e, firstReport, now)
		} else if e.Number <= w.ackedEnd {
			w.ackedEnd = 0 // the agent has lost the acknowledgement, so that the next flush repeats it
			w.queue()
		}
	}
	for _, r := range m.Refused {
		t.applyRefusal(w, r, now)
	}
	if m.Complete {
		t.reconcile(w, m, now)
		if !w.synced {
			t.sendProfiles(w)
		}
		w.synced = true
		t.logWithheld(w, m, now)
		if !m.MoreEnds {
			t.markReconciled(w)
		}
		t.fleet.touch(w)
	}
	if m.RequestLease && t.mayGrant(now) && !w.hasOnlyUnknownRuns() {
		w.leaseEnd = later(w.leaseEnd, t.leaseEnd(now))
		t.expireBy(w.leaseEnd)
		if err := w.link.Send(&wire.LeaseGrant{Incarnation: m.Incarnation, Clock: m.Clock}); err != nil {
			w.link.Close(err)
		}
	}
}

// adopt returns a run, after adding it if an earlier leader started it, or nil if its job is not known. A run whose job
// or task has finished is marked for a stop.
func (t *Term) adopt(w *worker, key wire.Run, now time.Time) *run {
	if r := w.runs[key]; r != nil {
		return r
	}
	j, ordinal, ok := t.findTask(key.Task)
	if !ok {
		return nil
	}
	_, step := j.locate(ordinal)
	r := &run{job: j, ordinal: ordinal, step: &j.spec.Steps[step], key: key, worker: w, startedAt: now, progressedAt: now}
	w.add(r)
	j.addRun(ordinal, r)
	j.tasks[ordinal].lastNumber = max(j.tasks[ordinal].lastNumber, key.Number)
	r.stopping = j.state.IsFinal() || j.tasks[ordinal].done // reconcile sends the stop command
	return r
}

// sendProfiles sends an agent the profiles and interference weights of all runs on its worker, which the agent has lost
// if it was restarted.
func (t *Term) sendProfiles(w *worker) {
	o := w.outgoing()
	o.Profiles = o.Profiles[:0]
	for _, r := range w.runs {
		o.Profiles = append(o.Profiles, profileOf(r))
	}
	w.sentWeights = nil
	t.sendWeights(w)
}

// findTask returns the job and the ordinal of a task by name, and false if the name is malformed or not known.
func (t *Term) findTask(name string) (*job, int, bool) {
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

// reconcile compares the complete list of runs on a worker with the runs that the leader expects there. Unknown runs
// are stopped. Missing ones are released, unless they may be among ends that the worker has not listed yet.
func (t *Term) reconcile(w *worker, m *wire.RunReport, now time.Time) {
	w.reportedAt = now
	t.recordMeasurements(w, m, now)
	w.cancelSuspects()
	w.unknownRuns = nil
	reported := make(map[wire.Run]bool, len(m.Running)+len(m.Pending))
	for i := range m.Running {
		s := &m.Running[i]
		reported[s.Run] = true
		r := w.runs[s.Run]
		if r == nil {
			t.reportIfReleased(w, s.Run)
			t.stopUnknownRun(w, s.Run)
			continue
		}
		t.updateProgress(r, s, now)
		if r.stopping {
			w.outgoing().Stops = append(w.outgoing().Stops, r.key)
		}
	}
	for _, k := range m.Pending {
		reported[k] = true
		if r := w.runs[k]; r != nil {
			t.logPending(r, now)
		} else {
			t.stopUnknownRun(w, k)
		}
	}
	for key, r := range w.runs {
		switch {
		case reported[key] || r.commandSeq > m.LastOrders: // or the report is older than the start command
		case r.commandSeq == 0 && !r.listed && !r.startBlocked:
			w.outgoing().Cancels = append(w.outgoing().Cancels, key) // its start may still reach the worker
			r.commandSeq, r.cancelling = w.commandSeq+1, true
		case r.cancelling && !r.startBlocked:
		case m.MoreEnds:
		default:
			t.release(r, "run is not on the worker")
		}
	}
}

// stopUnknownRun stops a run that the leader does not expect on the worker, and records it in unknownRuns.
func (t *Term) stopUnknownRun(w *worker, key wire.Run) {
	event.Log(t.cfg.Log, event.RunStopped, zap.String("Task", key.Task), zap.Int("Run", key.Number),
		zap.String("Worker", w.state.Incarnation.ID), zap.String("Reason", "run is not expected"))
	if w.unknownRuns == nil {
		w.unknownRuns = make(map[wire.Run]struct{})
	}
	w.unknownRuns[key] = struct{}{}
	w.outgoing().Stops = append(w.outgoing().Stops, key)
}

// updateProgress records the progress and the checkpoint of a run as listed in a complete report.
func (t *Term) updateProgress(r *run, s *wire.RunState, now time.Time) {
	t.creditReport(r, s.Percent)
	if !r.listed {
		r.job.begun = true
		t.cfg.Meter.RunConfirmed(now.Sub(r.startedAt))
		r.worker.confirm(r)
		r.firstSeenAt, r.firstPercent, r.progressedAt = now, s.Percent, now
	}
	if s.Percent > r.percent {
		r.progressedAt = now
	}
	r.percent = s.Percent
	if s.Checkpoint != "" {
		r.job.tasks[r.ordinal].checkpoint = s.Checkpoint
	}
}

// release removes a run that can no longer exist; its task waits for a new start.
func (t *Term) release(r *run, reason string) {
	event.Log(t.cfg.Log, event.RunReleased, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Incarnation.ID), zap.String("Reason", reason))
	t.recordReleased(r, reason)
	t.creditEnd(r, false)
	r.worker.remove(r)
	r.job.dropRun(r)
	t.recordDown(r)
}

// recordDown records when a long-running task lost its run.
func (t *Term) recordDown(r *run) {
	if r.step.LongRunning {
		r.job.tasks[r.ordinal].downSince = time.Now()
	}
}

// releaseAll releases all runs on a worker.
func (t *Term) releaseAll(w *worker, reason string) {
	for _, r := range w.runs {
		t.release(r, reason)
	}
}

// applyEnd applies the end of a run; firstReport adopts a run that an earlier leader started.
func (t *Term) applyEnd(w *worker, e wire.RunEnd, firstReport bool, now time.Time) {
	r := w.runs[e.Run]
	if r == nil && firstReport {
		r = t.adopt(w, e.Run, now)
	}
	t.cfg.Meter.RunEnded(e.Cause)
	event.Log(t.cfg.Log, event.RunEnded, zap.String("Task", e.Task), zap.Int("Run", e.Run.Number),
		zap.Stringer("Cause", e.Cause), zap.String("Worker", w.state.Incarnation.ID), zap.Uint64("End", e.Number),
		zap.Bool("Counts", r != nil))
	w.clearSuspect(e.Run)
	if r == nil {
		if e.Cause != wire.EndLapsed { // expected after a release for an expired lease
			t.reportIfReleased(w, e.Run)
		}
		t.applyReleasedEnd(e, now)
		t.addUnmatchedEnd(w, e)
		return // already released or no longer needed, or its job is not known yet
	}
	t.creditEnd(r, e.Cause == wire.EndDone)
	w.remove(r)
	j, task := r.job, &r.job.tasks[r.ordinal]
	j.begun = true
	j.dropRun(r)
	if j.state.IsFinal() {
		return
	}
	if e.Checkpoint != "" && e.Checkpoint != task.checkpoint {
		task.checkpoint = e.Checkpoint
		t.markTaskDirty(j, r.ordinal)
	}
	switch {
	case r.step.LongRunning:
		task.downSince = now
		if e.Cause == wire.EndFailed {
			task.avoid = w
		}
	case e.Cause == wire.EndDone:
		w.reliability.record(doneWeight, now)
		t.recordDone(r, now)
		t.taskDone(j, r, now)
	case e.Cause == wire.EndFailed:
		t.taskFailed(j, r, now)
	}
}

// applyReleasedEnd counts the success of a run that was released, for example because its worker had been out of reach for
// longer than its lease. Members of a gang do not count, as the others may have failed.
func (t *Term) applyReleasedEnd(e wire.RunEnd, now time.Time) {
	if e.Cause != wire.EndDone {
		return
	}
	j, ordinal, ok := t.findTask(e.Task)
	if !ok || j.state.IsFinal() || j.tasks[ordinal].done {
		return
	}
	_, step := j.locate(ordinal)
	if s := &j.spec.Steps[step]; !s.Gang && !s.LongRunning {
		t.taskDone(j, &run{job: j, ordinal: ordinal, step: s, key: e.Run}, now)
	}
}

// taskDone marks the task of a finished run, or all tasks of its gang, as done and stops the other runs of the task.
func (t *Term) taskDone(j *job, r *run, now time.Time) {
	t.markDirty(j)
	if r.step.Gang {
		round, step := j.locate(r.ordinal)
		first, end := j.span(round, step)
		for i := first; i < end; i++ {
			j.setDone(i)
		}
	} else {
		j.setDone(r.ordinal)
	}
	t.stopRuns(j.tasks[r.ordinal].runs, "another run of the task finished first")
	if j.left == 0 {
		t.finish(j, rows.Done, now)
	}
}

// taskFailed counts a failed run and fails the job once a task has used up its attempts.
func (t *Term) taskFailed(j *job, r *run, now time.Time) {
	task := &j.tasks[r.ordinal]
	if task.hasFailed(r.key.Number) {
		return // already counted, by this or an earlier leader, but not yet acknowledged to the agent
	}
	task.addFailure(r.key.Number)
	task.avoid, task.avoidUntil = r.worker, now.Add(lastAttemptDelay)
	t.markTaskDirty(j, r.ordinal)
	if r.worker.reliability.record(failWeight, now) {
		event.Log(t.cfg.Log, event.WorkerUnreliable, zap.String("Worker", r.worker.state.Incarnation.ID),
			zap.Float64("Score", r.worker.reliability.currentScore(now)))
	}
	if task.failures() >= max(1, j.spec.MaxAttempts) && !r.step.LongRunning {
		t.finish(j, rows.Failed, now)
	}
}

// finish puts a job into a final state and stops its remaining runs.
func (t *Term) finish(j *job, s rows.State, now time.Time) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedAt, j.siblings = s, now, nil
	t.markDirty(j)
	t.commitNow = true
	t.cfg.Meter.JobEnded(s, now.Sub(j.addedAt))
	event.Log(t.cfg.Log, event.JobEnded, zap.String("Job", string(j.spec.ID)), zap.Stringer("State", s),
		zap.Duration("Late", now.Sub(j.deadline)), zap.String("Queue", j.spec.Queue),
		zap.Float64("RunTimeRatio", t.runTimes.Ratio(kindOf(j, &j.spec.Steps[0]))))
	for i := range j.tasks {
		t.stopRuns(j.tasks[i].runs, "job has ended")
	}
	for round := range j.spec.Rounds() {
		for step := range j.spec.Steps {
			delete(t.advice, stepKey{j.spec.ID, round, step})
		}
	}
}

// stopRuns sends stop commands for runs, which occupy their workers until their ends are reported.
func (t *Term) stopRuns(list []*run, reason string) {
	for _, r := range list {
		if r.stopping {
			continue
		}
		r.stopping = true
		event.Log(t.cfg.Log, event.RunStopped, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
			zap.String("Worker", r.worker.state.Incarnation.ID), zap.String("Reason", reason))
		if r.worker.link != nil && r.worker.synced {
			r.worker.outgoing().Stops = append(r.worker.outgoing().Stops, r.key)
		}
	}
}

// applyRefusal releases a run whose start was refused, and delays the next start of its task. After RefusedSilent the worker
// may have started the run, so that the next complete report decides whether it is released.
func (t *Term) applyRefusal(w *worker, f wire.RunRefused, now time.Time) {
	r := w.runs[f.Run]
	if r == nil {
		w.clearSuspect(f.Run)
		return
	}
	reason := f.Reason
	if reason == wire.RefusedSilent {
		r.startBlocked = true
		reason = f.Cause
	} else {
		t.release(r, "start refused: "+reason.String())
	}
	task := &r.job.tasks[r.ordinal]
	task.retryAt = now.Add(refusalPause)
	switch reason {
	case wire.RefusedTicket:
		round, step := r.job.locate(r.ordinal)
		if a := t.advice[stepKey{r.job.spec.ID, round, step}]; a != nil {
			delete(a.tickets, w.state.Incarnation.ID)
		}
	case wire.RefusedSick, wire.RefusedBad:
		task.avoid = w
		w.reliability.record(failWeight, now)
	}
}
