package worker

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// run is one attempt on the worker; the worker's lock guards it. Its progress is computed from the time that has
// passed, so that a worker process that was suspended counts no progress after the lease deadline.
type run struct {
	worker.Status
	order    uint64 // of the start
	use      sizes.Resources
	work     time.Duration // progress at which the run ends
	fails    bool          // at the end of the work
	progress time.Duration // at mark
	mark     time.Time
	began    time.Time // of the open interval
	base     time.Duration
	frozen   bool // a checkpoint that stops the attempt is being written
	saving   bool // a checkpoint is being written
	saves    int  // checkpoints written or tried
	usage    []sample
	timer    *time.Timer
}

// sample is what an attempt used from a time on.
type sample struct {
	at   time.Time
	used sizes.Resources
}

func (r *run) isActive() bool { return r.State == worker.Running && !r.frozen }

// speed returns the progress per unit of time.
func (r *run) speed() float64 {
	if r.Limit > 0 && r.Limit < r.use.Processors {
		return float64(r.Limit) / float64(r.use.Processors)
	}
	return 1
}

func (r *run) finishAt() time.Time {
	return r.mark.Add(time.Duration(float64(r.work-r.progress) / r.speed()))
}

// settle adds the progress made until the time at.
func (r *run) settle(at time.Time) {
	if at.After(r.mark) {
		r.progress = min(r.work, r.progress+time.Duration(float64(at.Sub(r.mark))*r.speed()))
		r.RunTime += at.Sub(r.mark)
		r.mark = at
	}
}

// resume opens an interval.
func (r *run) resume(now time.Time) {
	r.State = worker.Running
	r.mark, r.began, r.base = now, now, r.progress
	r.note(now)
}

// note records a change of usage.
func (r *run) note(now time.Time) {
	used := r.use
	switch {
	case r.State.HasEnded():
		used = sizes.Resources{}
	case !r.isActive():
		used.Processors = 0 // a paused task keeps its memory and accelerators
	case r.Limit > 0:
		used.Processors = min(used.Processors, r.Limit)
	}
	r.usage = append(r.usage, sample{now, used})
}

// measure fills in the usage as it was at the time at.
func (r *run) measure(s *worker.Status, at time.Time) {
	for _, u := range r.usage {
		if u.at.After(at) {
			break
		}
		s.Used, s.Peak = u.used, s.Peak.Max(u.used)
	}
	s.Measured = at
}
