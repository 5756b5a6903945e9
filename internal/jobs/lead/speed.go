package lead

import (
	"math"
	"slices"
	"time"
)

const (
	usualSmooth   = 0.06 // weight of a new run in what is usual for a queue
	usualWarm     = 12   // runs of a queue before workers are compared by it
	projectAfter  = 1.6  // times the usual run time after which a run that goes on is compared too
	leastSiblings = 2    // tasks of the step on other workers to compare with
	projectFrom   = 10   // percent from which the run time of a run is projected
	maxProjection = 20.0 // times the usual run time that a run is projected to at most
)

// usual is the run time of a queue's tasks compared with their estimates, as a mean of logarithms.
type usual struct {
	log  float64
	runs int
}

// expected returns the usual run time of a task of the run's step in seconds, and false while nothing is known.
func (t *Term) expected(r *run) (float64, bool) {
	u := t.usual[r.job.spec.Queue]
	if u == nil || u.runs < usualWarm || r.step.Estimate <= 0 {
		return 0, false
	}
	return float64(r.step.Estimate) / 1000 * math.Exp(u.log), true
}

// reference returns the run time that r should have: that of its siblings on other workers, since declared estimates of
// a step are off together, or what is usual for the queue.
func (t *Term) reference(r *run, now time.Time) (float64, bool) {
	round, step := r.job.locate(r.ordinal)
	first, end := r.job.span(round, step)
	var list []float64
	for i := first; i < end; i++ {
		task := &r.job.tasks[i]
		if task.took > 0 && task.ranOn != r.worker {
			list = append(list, task.took)
		}
		for _, o := range task.runs {
			if o.worker != r.worker && o.listed && o.percent >= projectFrom {
				list = append(list, o.project(now))
			}
		}
	}
	if len(list) < leastSiblings {
		return t.expected(r)
	}
	slices.Sort(list)
	return list[len(list)/2], true
}

// isTimed reports whether the run time of r tells of the speed of its worker.
func isTimed(r *run) bool {
	return !r.step.Fills && !r.step.Lasting && !r.step.Gang && r.step.Estimate > 0 && !r.resumed
}

// noteDone learns from a run that was done.
func (t *Term) noteDone(r *run, now time.Time) {
	if !isTimed(r) {
		return
	}
	took := max(0.001, now.Sub(r.orderAt).Seconds())
	r.job.tasks[r.ordinal].took, r.job.tasks[r.ordinal].ranOn = took, r.worker
	if want, ok := t.reference(r, now); ok {
		r.worker.trust.sample(want/took, now)
	}
	u := t.usual[r.job.spec.Queue]
	if u == nil {
		u = &usual{}
		t.usual[r.job.spec.Queue] = u
	}
	x := math.Log(took * 1000 / float64(r.step.Estimate))
	weight := max(usualSmooth, 1/float64(u.runs+1))
	u.log += weight * (x - u.log)
	u.runs++
}

// project estimates the whole run time of a run that goes on, in seconds.
func (r *run) project(now time.Time) float64 {
	took := now.Sub(r.orderAt).Seconds()
	return took * 100 / max(1, float64(r.percent))
}

// noteLate learns from runs that go on for much longer than usual.
func (t *Term) noteLate(r *run, now time.Time) {
	want, ok := t.reference(r, now)
	if !ok || !isTimed(r) || r.counted {
		return
	}
	if took := now.Sub(r.orderAt).Seconds(); took < projectAfter*want {
		return
	}
	r.counted = true
	r.worker.trust.sample(want/min(r.project(now), maxProjection*want), now)
}
