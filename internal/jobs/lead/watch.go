package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	watchEvery  = 400 * time.Millisecond
	stillAfter  = 1300 * time.Millisecond // without growth of a run's percent after which it stands still
	stillShare  = 0.05                    // of the estimate that is added to that, since percents are whole
	fillsAtWork = 0.3                     // share of its speed from which a task that fills must make progress
	copyAfter   = 1.5                     // times the usual run time after which a copy may be started
	moveOver    = 2.0                     // times the usual run time that a run must exceed to be moved
)

// watchRuns finds runs that stand still or lag, and moves them when their tasks allow it.
func (t *Term) watchRuns(now time.Time) {
	if now.Sub(t.watchAt) < watchEvery {
		return
	}
	t.watchAt = now
	t.moveSlow(now)
	for _, w := range t.workers {
		if !w.takes() {
			continue
		}
		if w.isStuck(now) {
			t.leaveStuck(w)
		}
		for _, r := range w.runs {
			t.noteLate(r, now)
			if t.standsStill(r, now) {
				t.moveStill(r, now)
			} else if t.lags(r, now) {
				t.overtake(r, now)
			}
		}
	}
}

func (t *Term) standsStill(r *run, now time.Time) bool {
	if r.stopping || !r.listed || r.step.Lasting || r.step.Gang || r.percent >= 100 {
		return false
	}
	if r.step.Fills && r.share < fillsAtWork {
		return false
	}
	limit := stillAfter + time.Duration(stillShare*float64(r.step.Estimate))*time.Millisecond
	return now.Sub(r.moved) > limit
}

func (t *Term) moveStill(r *run, now time.Time) {
	if r.worker.trust.note(stillWeight, now) {
		event.Log(t.cfg.Log, event.WorkerDistrusted, zap.String("Worker", r.worker.state.Life.ID),
			zap.Float64("Score", r.worker.trust.value(now)), zap.String("Task", r.key.Task))
	}
	r.job.tasks[r.ordinal].avoid = r.worker
	t.stopRuns([]*run{r}, "run stands still")
}

// lags reports whether a run needs much longer than usual, and would on another worker end sooner.
func (t *Term) lags(r *run, now time.Time) bool {
	want, ok := t.reference(r, now)
	if !ok || !isTimed(r) || r.stopping || r.copied || !r.listed || r.job.state.IsFinal() {
		return false
	}
	took := now.Sub(r.orderAt).Seconds()
	rest := r.project(now) - took
	if r.step.Copies {
		return took > copyAfter*want && rest > want
	}
	return took > want && rest > moveOver*want+moveCost && r.worker.trust.pace(now) < slowShareMax
}

// overtake starts a copy of a run that lags, or moves it where copies are not allowed.
func (t *Term) overtake(r *run, now time.Time) {
	round, step := r.job.locate(r.ordinal)
	c := choice{job: r.job, round: round, step: step, now: now}
	if t.isAdvised(r.job) {
		a := t.advice[pair{r.job.spec.ID, round, step}]
		if a == nil || now.After(a.until) {
			return
		}
		c.tickets = a.tickets
	}
	task := &r.job.tasks[r.ordinal]
	if len(task.runs) > 1 {
		return
	}
	task.avoid = r.worker
	to := t.pick(c, task)
	if to == nil || to == r.worker || to.trust.pace(now) < slowShareMax {
		return
	}
	event.Log(t.cfg.Log, event.RunMoved, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Life.ID), zap.Int("Percent", r.percent), zap.Bool("Copy", r.step.Copies),
		zap.Duration("Took", now.Sub(r.orderAt)))
	if !r.step.Copies {
		t.stopRuns([]*run{r}, "run lags")
		return
	}
	r.copied = true
	t.start(r.job, r.ordinal, to, c.ticket(to), now)
}
