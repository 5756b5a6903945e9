package lead

import "time"

const (
	stallTailRatio   = 40.0                   // ratio of tail latency to target that load alone does not reach
	workerStallDelay = 900 * time.Millisecond // time with such a tail after which a worker counts as stalled
)

// recordTail updates since when the serving tasks of a worker are stalled; tail is the highest ratio of tail latency to
// target.
func (w *worker) recordTail(tail float64, now time.Time) {
	switch {
	case tail < stallTailRatio:
		w.stalledSince = time.Time{}
	case w.stalledSince.IsZero():
		w.stalledSince = now
	}
}

// isStalled reports whether the serving tasks of a worker have been stalled for at least workerStallDelay.
func (w *worker) isStalled(now time.Time) bool {
	return !w.stalledSince.IsZero() && now.Sub(w.stalledSince) >= workerStallDelay
}

// evictBestEffort stops the best-effort tasks on a stalled worker, so that they start elsewhere. On this worker they
// would be throttled without any benefit.
func (t *Term) evictBestEffort(w *worker) {
	for _, r := range w.runs {
		if r.step.BestEffort && r.listed && !r.stopping && !r.step.Gang && !r.job.state.IsFinal() {
			r.job.tasks[r.ordinal].avoid = w
			t.stopRuns([]*run{r}, "serving tasks on the worker are stalled")
		}
	}
}
