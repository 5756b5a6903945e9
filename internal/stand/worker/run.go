package worker

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// run is one attempt, guarded by the lock of the worker. Its progress is computed from elapsed time, so that a worker
// process that was suspended counts no progress after the lease deadline.
type run struct {
	worker.Status
	order            uint64          // rank among all starts
	demand           sizes.Resources // usage while running unthrottled
	work             time.Duration   // progress at which the run ends
	fails            bool            // the attempt fails at the end of its work
	progress         time.Duration   // progress at the time updated
	updated          time.Time
	intervalStart    time.Time     // start of the open interval
	intervalProgress time.Duration // progress at intervalStart
	frozen           bool          // a checkpoint that stops the attempt is being written
	saving           bool          // a checkpoint is being written
	checkpointSeq    int           // number of the last checkpoint, including failed ones
	usage            []sample
	timer            *time.Timer // for the next change of state
}

// sample is the usage of an attempt from the time at until the next sample.
type sample struct {
	at   time.Time
	used sizes.Resources
}

// isActive reports whether the attempt makes progress.
func (r *run) isActive() bool { return r.State == worker.Running && !r.frozen }

// speed returns the progress per unit of time: 1, or less while the attempt is throttled.
func (r *run) speed() float64 {
	if r.Limit > 0 && r.Limit < r.demand.Processors {
		return float64(r.Limit) / float64(r.demand.Processors)
	}
	return 1
}

// finishAt returns the time at which the work is done at the current speed.
func (r *run) finishAt() time.Time {
	return r.updated.Add(time.Duration(float64(r.work-r.progress) / r.speed()))
}

// updateProgress adds the progress made until the time at.
func (r *run) updateProgress(at time.Time) {
	if at.After(r.updated) {
		r.progress = min(r.work, r.progress+time.Duration(float64(at.Sub(r.updated))*r.speed()))
		r.RunTime += at.Sub(r.updated)
		r.updated = at
	}
}

// resume makes the attempt run and opens an interval.
func (r *run) resume(now time.Time) {
	r.State = worker.Running
	r.updated, r.intervalStart, r.intervalProgress = now, now, r.progress
	r.recordUsage(now)
}

// recordUsage adds a sample of the usage from now on.
func (r *run) recordUsage(now time.Time) {
	used := r.demand
	switch {
	case r.State.HasEnded():
		used = sizes.Resources{}
	case !r.isActive():
		used.Processors = 0 // a paused task still occupies its memory and accelerators
	case r.Limit > 0:
		used.Processors = min(used.Processors, r.Limit)
	}
	r.usage = append(r.usage, sample{now, used})
}

// fillUsage sets the current and peak usage in s as of the time at.
func (r *run) fillUsage(s *worker.Status, at time.Time) {
	for _, u := range r.usage {
		if u.at.After(at) {
			break
		}
		s.Used, s.Peak = u.used, s.Peak.Max(u.used)
	}
	s.Measured = at
}
