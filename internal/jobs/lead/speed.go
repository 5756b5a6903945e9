package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	minRatioRuns  = 12   // runs of a queue before its run time ratio is used
	lateRatio     = 1.6  // times the reference run time after which an unfinished run counts as late
	minSiblings   = 2    // sibling runs on other workers needed for a comparison
	maxProjection = 20.0 // cap on a projected run time, times the reference run time
	// minMeasuredPercent is the share of a best-effort run during which its processor time must have been measured.
	minMeasuredPercent = 50
)

// expectedSeconds returns the run time expected from the declared estimate and the ratio of the queue, in seconds,
// and false while the ratio is not known.
func (t *Term) expectedSeconds(r *run) (float64, bool) {
	ratio, runs := t.runTimes.Queue(r.job.spec.Queue, false)
	if runs < minRatioRuns || r.step.Estimate <= 0 {
		return 0, false
	}
	return float64(r.step.Estimate) / 1000 * ratio, true
}

// referenceSeconds returns the run time against which r is compared, in seconds. It is the median of the sibling runs
// on other workers, since the declared estimates of a step share the same error, or else the expected run time. It
// returns false if neither is known.
func (t *Term) referenceSeconds(r *run, now time.Time) (float64, bool) {
	round, step := r.job.locate(r.ordinal)
	if seconds, ok := r.job.siblingsOf(round, step, now).median(r.worker); ok {
		return seconds, true
	}
	return t.expectedSeconds(r)
}

// measuresSpeed reports whether the run time of r is a measure of the speed of its worker.
func measuresSpeed(r *run) bool {
	return !r.step.BestEffort && !r.step.LongRunning && !r.step.Gang && r.step.Estimate > 0 && !r.resumed
}

// recordDone updates the speed of the worker and the learned run times from a successful run.
func (t *Term) recordDone(r *run, now time.Time) {
	if seconds, ok := r.processorSeconds(now); ok {
		t.runTimes.Record(kindOf(r.job, r.step), declaredTime(r.step), time.Duration(seconds*float64(time.Second)))
	}
	if !measuresSpeed(r) {
		return
	}
	took := max(0.001, now.Sub(r.startedAt).Seconds())
	r.job.tasks[r.ordinal].runSeconds, r.job.tasks[r.ordinal].doneOn = took, r.worker
	if want, ok := t.referenceSeconds(r, now); ok {
		r.worker.reliability.recordSpeed(want/took, now)
	}
	t.runTimes.Record(kindOf(r.job, r.step), declaredTime(r.step), time.Duration(took*float64(time.Second)))
}

// processorSeconds returns the run time of a successful best-effort run at full speed, from the processor time that it
// got, and false if too little of the run was measured.
func (r *run) processorSeconds(now time.Time) (float64, bool) {
	s := r.step
	measured := 100 - r.workStartPercent
	if !s.BestEffort || s.LongRunning || s.Gang || s.Estimate <= 0 || r.resumed || r.workAt.IsZero() || measured < minMeasuredPercent {
		return 0, false
	}
	return (r.work + r.share*now.Sub(r.workAt).Seconds()) * 100 / float64(measured), true
}

// kindOf returns the kind of tasks among which run times are learned.
func kindOf(j *job, s *spec.Step) order.Kind {
	return order.Kind{Queue: j.spec.Queue, Image: s.Image, BestEffort: s.BestEffort}
}

func declaredTime(s *spec.Step) time.Duration { return time.Duration(s.Estimate) * time.Millisecond }

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
