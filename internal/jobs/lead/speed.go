package lead

import (
	"math"
	"slices"
	"time"
)

const (
	ratioSmoothing    = 0.06 // weight of a new run in the run time ratio of a queue
	minRatioRuns      = 12   // runs of a queue before its run time ratio is used
	lateRatio         = 1.6  // times the reference run time after which an unfinished run counts as late
	minSiblings       = 2    // sibling runs on other workers needed for a comparison
	minProjectPercent = 10   // progress from which the run time of a sibling is projected
	maxProjection     = 20.0 // cap on a projected run time, times the reference run time
)

// runTimeRatio is the smoothed ratio of actual to declared run time of a queue's tasks, as a mean of logarithms.
type runTimeRatio struct {
	logMean float64
	runs    int
}

// expectedSeconds returns the run time expected from the declared estimate and the ratio of the queue, in seconds,
// and false while the ratio is not known.
func (t *Term) expectedSeconds(r *run) (float64, bool) {
	u := t.runTimeRatios[r.job.spec.Queue]
	if u == nil || u.runs < minRatioRuns || r.step.Estimate <= 0 {
		return 0, false
	}
	return float64(r.step.Estimate) / 1000 * math.Exp(u.logMean), true
}

// referenceSeconds returns the run time against which r is compared, in seconds. It is the median of the sibling runs
// on other workers, since the declared estimates of a step share the same error, or else the expected run time. It
// returns false if neither is known.
func (t *Term) referenceSeconds(r *run, now time.Time) (float64, bool) {
	round, step := r.job.locate(r.ordinal)
	first, end := r.job.span(round, step)
	var list []float64
	for i := first; i < end; i++ {
		task := &r.job.tasks[i]
		if task.runSeconds > 0 && task.doneOn != r.worker {
			list = append(list, task.runSeconds)
		}
		for _, o := range task.runs {
			if o.worker != r.worker && o.listed && o.percent >= minProjectPercent {
				list = append(list, o.projectedSeconds(now))
			}
		}
	}
	if len(list) < minSiblings {
		return t.expectedSeconds(r)
	}
	slices.Sort(list)
	return list[len(list)/2], true
}

// measuresSpeed reports whether the run time of r is a measure of the speed of its worker.
func measuresSpeed(r *run) bool {
	return !r.step.BestEffort && !r.step.LongRunning && !r.step.Gang && r.step.Estimate > 0 && !r.resumed
}

// recordDone updates the speed of the worker and the run time ratio of the queue from a successful run.
func (t *Term) recordDone(r *run, now time.Time) {
	if !measuresSpeed(r) {
		return
	}
	took := max(0.001, now.Sub(r.startedAt).Seconds())
	r.job.tasks[r.ordinal].runSeconds, r.job.tasks[r.ordinal].doneOn = took, r.worker
	if want, ok := t.referenceSeconds(r, now); ok {
		r.worker.reliability.recordSpeed(want/took, now)
	}
	u := t.runTimeRatios[r.job.spec.Queue]
	if u == nil {
		u = &runTimeRatio{}
		t.runTimeRatios[r.job.spec.Queue] = u
	}
	u.add(math.Log(took * 1000 / float64(r.step.Estimate)))
}

// add adds the logarithm of the ratio of a run.
func (u *runTimeRatio) add(x float64) {
	weight := max(ratioSmoothing, 1/float64(u.runs+1))
	u.logMean += weight * (x - u.logMean)
	u.runs++
}

// projectedSeconds estimates the total run time of an unfinished run from its progress.
func (r *run) projectedSeconds(now time.Time) float64 {
	took := now.Sub(r.startedAt).Seconds()
	return took * 100 / max(1, float64(r.percent))
}

// recordLate lowers the speed of the worker, once per run, when a run takes much longer than its reference run time.
func (t *Term) recordLate(r *run, now time.Time) {
	if !measuresSpeed(r) || r.speedRecorded {
		return
	}
	want, ok := t.referenceSeconds(r, now)
	if took := now.Sub(r.startedAt).Seconds(); !ok || took < lateRatio*want {
		return
	}
	r.speedRecorded = true
	r.worker.reliability.recordSpeed(want/min(r.projectedSeconds(now), maxProjection*want), now)
}
