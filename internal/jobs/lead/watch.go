package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	watchEvery       = 400 * time.Millisecond  // between checks of all runs
	maxReportAge     = 1200 * time.Millisecond // of the last complete report, from which runs are judged; below runStallAfter
	runStallAfter    = 1300 * time.Millisecond // time without progress after which a run counts as stalled
	runStallShare    = 0.05                    // of the estimate, added to runStallAfter as percents are whole numbers
	minProgressShare = 0.3                     // share of full speed from which a best-effort run must make progress
	copyRatio        = 1.5                     // times the reference run time after which a copy may be started
	moveRatio        = 2.0                     // times the reference run time that the rest must exceed for a move
)

// watchRuns finds stalled runs, stragglers and stalled workers, and moves or copies the affected runs.
func (t *Term) watchRuns(now time.Time) {
	if !t.mayGrant(now) || now.Sub(t.watchAt) < watchEvery {
		return
	}
	t.watchAt = now
	t.countWaiting()
	t.moveSlow(now)
	for _, w := range t.workers {
		if !w.acceptsRuns() || now.Sub(w.reportedAt) > maxReportAge {
			continue // the progress of its runs is not known
		}
		if w.isStalled(now) {
			t.evictBestEffort(w)
		}
		for _, r := range w.runs {
			t.recordLate(r, now)
			if t.isRunStalled(r, now) {
				t.moveStalled(r, now)
			} else if t.isStraggler(r, now) {
				t.copyOrMove(r, now)
			}
		}
	}
}

// isRunStalled reports whether a run has made no progress for too long.
func (t *Term) isRunStalled(r *run, now time.Time) bool {
	if r.stopping || !r.listed || r.step.LongRunning || r.step.Gang || r.percent >= 100 {
		return false
	}
	if r.step.BestEffort && r.share < minProgressShare {
		return false
	}
	limit := runStallAfter + time.Duration(runStallShare*float64(r.step.Estimate))*time.Millisecond
	return now.Sub(r.progressedAt) > limit
}

// moveStalled stops a stalled run, so that its task starts again, preferably on another worker.
func (t *Term) moveStalled(r *run, now time.Time) {
	if r.worker.reliability.record(stallWeight, now) {
		event.Log(t.cfg.Log, event.WorkerUnreliable, zap.String("Worker", r.worker.state.Incarnation.ID),
			zap.Float64("Score", r.worker.reliability.currentScore(now)), zap.String("Task", r.key.Task))
	}
	r.job.tasks[r.ordinal].avoid = r.worker
	t.stopRuns([]*run{r}, "run is stalled")
}

// isStraggler reports whether a run takes much longer than its reference run time and a new run on another worker would
// finish sooner.
func (t *Term) isStraggler(r *run, now time.Time) bool {
	if !measuresSpeed(r) || r.stopping || r.copied || !r.listed || r.job.state.IsFinal() {
		return false
	}
	want, ok := t.referenceSeconds(r, now)
	if !ok {
		return false
	}
	took := now.Sub(r.startedAt).Seconds()
	rest := r.projectedSeconds(now) - took
	if r.step.Speculative {
		return took > copyRatio*want && rest > want
	}
	return took > want && rest > moveRatio*want+moveCost && r.worker.reliability.relativeSpeed(now) < maxSlowShare
}

// copyOrMove starts a copy of a straggler on another worker, or moves the run if its step does not allow copies.
func (t *Term) copyOrMove(r *run, now time.Time) {
	round, step := r.job.locate(r.ordinal)
	c := stepContext{job: r.job, round: round, step: step, now: now}
	if t.isAdvised(r.job) {
		a := t.advice[stepKey{r.job.spec.ID, round, step}]
		if a == nil {
			return
		}
		c.tickets = a.valid(now)
	}
	task := &r.job.tasks[r.ordinal]
	if len(task.runs) > 1 {
		return
	}
	task.avoid = r.worker
	to := t.newPlacement(c, 1).pickKnown(task)
	if to == nil || to == r.worker || to.reliability.relativeSpeed(now) < maxSlowShare {
		return
	}
	event.Log(t.cfg.Log, event.RunMoved, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Incarnation.ID), zap.Int("Percent", r.percent),
		zap.Bool("Copy", r.step.Speculative),
		zap.Duration("Took", now.Sub(r.startedAt)))
	if !r.step.Speculative {
		t.stopRuns([]*run{r}, "run is a straggler")
		return
	}
	r.copied = true
	t.start(r.job, r.ordinal, to, c.ticket(to), now)
}
