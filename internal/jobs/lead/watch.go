package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	stillAfter   = 2500 * time.Millisecond // without growth of a run's percent after which it stands still
	stillLooks   = 30                      // percent below which growth is expected to be visible in that time
	watchEvery   = 500 * time.Millisecond
	minSiblings  = 3   // runs of a step to compare with
	slowShare    = 0.4 // of the median speed of its siblings below which a run is slow
	fillsLenient = 4   // a task that fills may be paced, and stands still only after this many times as long
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
		for _, r := range w.runs {
			if t.standsStill(r, now) {
				t.moveStill(r, now)
			}
		}
	}
}

func (t *Term) standsStill(r *run, now time.Time) bool {
	if r.stopping || !r.listed || r.step.Lasting || r.step.Gang || r.percent >= 100 {
		return false
	}
	limit := max(stillAfter, time.Duration(r.step.Estimate)*time.Millisecond/4)
	if r.step.Fills {
		limit *= fillsLenient
	}
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
