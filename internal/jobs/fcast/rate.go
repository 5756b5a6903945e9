package fcast

import (
	"math"
	"time"
)

const (
	rateMemory      = 6 * time.Second         // time constant with which observations are forgotten
	minObservedTime = 1500 * time.Millisecond // of waiting tasks, before a rate is known
	maxRateInterval = 2 * time.Second         // between observations; nothing is concluded from a longer one
)

// Rate measures the rate at which a pool completes work. Only the time in which tasks were waiting for capacity counts,
// since the rate depends on the demand otherwise.
type Rate struct {
	pending float64 // work since the last observation
	work    float64
	seconds float64
	last    time.Time
	waiting bool // at the last observation
}

// Add records completed work; it is negative for work that is lost, such as that of a failed run.
func (r *Rate) Add(work float64) { r.pending += work }

// Observe records whether tasks of the pool are waiting for capacity.
func (r *Rate) Observe(now time.Time, isWaiting bool) {
	if elapsed := now.Sub(r.last); !r.last.IsZero() && elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
		r.work, r.seconds = r.work*keep, r.seconds*keep
		if r.waiting && isWaiting && elapsed <= maxRateInterval {
			r.work, r.seconds = r.work+r.pending, r.seconds+elapsed.Seconds()
		}
	}
	r.pending, r.last, r.waiting = 0, now, isWaiting
}

// PerSecond returns the work completed per second, and 0 while it is unknown.
func (r *Rate) PerSecond() float64 {
	if r.seconds < minObservedTime.Seconds() {
		return 0
	}
	return max(0, r.work/r.seconds)
}
