package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	shareSmooth  = 0.5 // weight of the newest share in that of a run
	slowShareMax = 0.6 // share of its full speed below which a task that fills may be moved
	moveAfter    = 900 * time.Millisecond
	moveCost     = 0.7 // seconds that a stop and a new start take
	moveGain     = 0.8 // seconds that a move must save at least
	minRate      = 0.03
	movesEach    = 4 // moves in one round at most, since each changes what the next finds
)

// note takes the share of its full speed that a run had lately.
func (r *run) note(share float64, percent int, now time.Time) {
	if r.workAt.IsZero() {
		r.share, r.workPct = share, percent
	} else {
		r.share += shareSmooth * (share - r.share)
		r.work += share * now.Sub(r.workAt).Seconds()
	}
	r.workAt = now
}

// remaining estimates the seconds of full work that a run still needs here, and that its task needs elsewhere.
func (r *run) remaining() (here, elsewhere float64) {
	total := float64(r.step.Estimate) / 1000
	if done := r.percent - r.workPct; done >= 5 && r.work > 0 {
		total = r.work * 100 / float64(done)
	}
	here = total * float64(100-r.percent) / 100
	if r.step.Checkpoints {
		return here, here
	}
	return here, total
}

// moveSlow stops tasks that fill and are slowed where they are, when another worker would finish them sooner.
func (t *Term) moveSlow(now time.Time) {
	moves := 0
	for _, w := range t.workers {
		if !w.takes() || w.filling == 0 {
			continue
		}
		for _, r := range w.runs {
			if moves < movesEach && t.isSlow(r, now) && t.moveRun(r, now) {
				moves++
			}
		}
	}
}

func (t *Term) isSlow(r *run, now time.Time) bool {
	return r.step.Fills && r.listed && !r.stopping && !r.step.Gang && !r.job.state.IsFinal() &&
		r.share < slowShareMax && now.Sub(r.firstAt) > moveAfter
}

// moveRun stops a run whose task is expected to end sooner on another worker.
func (t *Term) moveRun(r *run, now time.Time) bool {
	round, step := r.job.locate(r.ordinal)
	c := choice{job: r.job, round: round, step: step, now: now}
	if t.isAdvised(r.job) {
		a := t.advice[pair{r.job.spec.ID, round, step}]
		if a == nil || now.After(a.until) {
			return false
		}
		c.tickets = a.tickets
	}
	task := &r.job.tasks[r.ordinal]
	to := t.pick(c, task)
	if to == nil || to == r.worker {
		return false
	}
	here, elsewhere := r.remaining()
	speed := t.fillSpeed(to, r.step.Image, r.step.Size.Processors)
	gain := here/max(minRate, r.share) - elsewhere/max(minRate, speed) - moveCost
	if gain < moveGain*float64(1+task.moves) {
		return false
	}
	task.avoid = r.worker
	task.moves++
	event.Log(t.cfg.Log, event.RunMoved, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Life.ID), zap.Float64("Share", r.share), zap.Float64("Speed", speed),
		zap.Float64("Gain", gain))
	t.stopRuns([]*run{r}, "run is faster elsewhere")
	return true
}
