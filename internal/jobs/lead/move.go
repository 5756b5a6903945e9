package lead

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	shareSmoothing  = 0.5                    // weight of the newest sample in the share of a run
	maxSlowShare    = 0.6                    // share of full speed, or relative speed of a worker, that counts as slow
	minMoveAge      = 900 * time.Millisecond // since the first complete report of a run
	moveCost        = 0.7                    // seconds for a stop and a new start
	minMoveGain     = 0.8                    // seconds that the first move of a task must save; rises with each move
	minSpeed        = 0.03                   // share of full speed that bounds estimated run times
	minMovesPerPass = 4
	workersPerMove  = 12 // a pass may move one run per this number of workers
	triesPerMove    = 4  // runs considered per move
)

// recordShare records the recent share of full speed of a run, and adds the work done since the last call.
func (r *run) recordShare(share float64, percent int, now time.Time) {
	if r.workAt.IsZero() {
		r.share, r.workStartPercent = share, percent
	} else {
		r.share += shareSmoothing * (share - r.share)
		r.work += share * now.Sub(r.workAt).Seconds()
	}
	r.workAt = now
}

// remainingWork estimates the work left, in seconds at full speed, for this run and for a new run on another worker.
func (r *run) remainingWork() (here, elsewhere float64) {
	total := float64(r.step.Estimate) / 1000
	if done := r.percent - r.workStartPercent; done >= 5 && r.work > 0 {
		total = r.work * 100 / float64(done)
	}
	here = total * float64(100-r.percent) / 100
	if r.step.Checkpoints {
		return here, here
	}
	return here, total
}

// moveSlow moves slow best-effort runs whose tasks would finish sooner on another worker, those of the most urgent jobs
// and with the longest remaining time first.
func (t *Term) moveSlow(now time.Time) {
	type slowRun struct {
		run  *run
		rest float64 // seconds
	}
	var slow []slowRun
	for _, w := range t.workers {
		if !w.acceptsRuns() || w.bestEffort == 0 {
			continue
		}
		for _, r := range w.runs {
			if t.isSlow(r, now) {
				here, _ := r.remainingWork()
				slow = append(slow, slowRun{r, here / max(minSpeed, r.share)})
			}
		}
	}
	slices.SortFunc(slow, func(a, b slowRun) int {
		return cmp.Or(compareUrgency(a.run.job, b.run.job), cmp.Compare(b.rest, a.rest),
			cmp.Compare(a.run.key.Task, b.run.key.Task))
	})
	limit := max(minMovesPerPass, len(t.workers)/workersPerMove)
	tries := triesPerMove * limit
	for _, s := range slow {
		if limit == 0 || tries == 0 {
			break
		}
		tries--
		if t.moveRun(s.run, now) {
			limit--
		}
	}
}

// isSlow reports whether a best-effort run is slow enough to be moved.
func (t *Term) isSlow(r *run, now time.Time) bool {
	return r.step.BestEffort && r.listed && !r.stopping && !r.step.Gang && !r.job.state.IsFinal() &&
		r.share < maxSlowShare && now.Sub(r.firstSeenAt) > minMoveAge
}

// moveRun stops a run if its task is expected to finish sooner on another worker, and reports whether it did.
func (t *Term) moveRun(r *run, now time.Time) bool {
	round, step := r.job.locate(r.ordinal)
	c := stepContext{job: r.job, round: round, step: step, now: now}
	if t.isAdvised(r.job) {
		a := t.advice[stepKey{r.job.spec.ID, round, step}]
		if a == nil {
			return false
		}
		c.tickets = a.valid(now)
	}
	task := &r.job.tasks[r.ordinal]
	to := t.newPlacement(c, 1).pickKnown(task)
	if to == nil || to == r.worker {
		return false
	}
	here, elsewhere := r.remainingWork()
	speed := t.bestEffortSpeed(to, r.step.Image, r.step.Size.Processors)
	gain := here/max(minSpeed, r.share) - elsewhere/max(minSpeed, speed) - moveCost
	if gain < minMoveGain*float64(1+task.moves) {
		return false
	}
	task.avoid = r.worker
	task.moves++
	event.Log(t.cfg.Log, event.RunMoved, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Incarnation.ID), zap.Float64("Share", r.share), zap.Float64("Speed", speed),
		zap.Float64("Gain", gain))
	t.stopRuns([]*run{r}, "task would finish sooner on another worker")
	return true
}
