package lead

import "time"

const (
	stuckTail  = 40.0                   // times its target that no load brings the tail of a serving task to
	stuckAfter = 900 * time.Millisecond // with such a tail, after which tasks leave a worker
)

// noteTail notes whether the serving tasks of a worker answer at all; tail is the longest as a share of its target.
func (w *worker) noteTail(tail float64, now time.Time) {
	switch {
	case tail < stuckTail:
		w.stuckAt = time.Time{}
	case w.stuckAt.IsZero():
		w.stuckAt = now
	}
}

func (w *worker) isStuck(now time.Time) bool {
	return !w.stuckAt.IsZero() && now.Sub(w.stuckAt) >= stuckAfter
}

// leaveStuck stops the tasks that fill a worker whose serving tasks do not answer, so that they start elsewhere: they are
// paced down there without use.
func (t *Term) leaveStuck(w *worker) {
	for _, r := range w.runs {
		if r.step.Fills && r.listed && !r.stopping && !r.step.Gang && !r.job.state.IsFinal() {
			r.job.tasks[r.ordinal].avoid = w
			t.stopRuns([]*run{r}, "worker stands still")
		}
	}
}
