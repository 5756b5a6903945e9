package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	releasedTTL      = 20 * time.Second // how long a released run is remembered
	maxReleased      = 4096             // remembered runs
	startPendingWarn = 5 * time.Second  // after which a start of unknown outcome is logged
	withheldWarn     = 5 * time.Second  // after which a connected worker that gets no runs is logged
)

// releasedRun describes a run that the leader released without an end reported by its worker.
type releasedRun struct {
	key    wire.Run
	worker *worker
	reason string
	at     time.Time
}

// recordReleased remembers a released run for releasedTTL.
func (t *Term) recordReleased(r *run, reason string) {
	now := time.Now()
	drop := 0
	for drop < len(t.released) && (now.Sub(t.released[drop].at) > releasedTTL || len(t.released)-drop >= maxReleased) {
		drop++
	}
	t.released = append(t.released[drop:], releasedRun{r.key, r.worker, reason, now})
}

// reportIfReleased logs and counts a run that a worker lists although the leader had released it.
func (t *Term) reportIfReleased(w *worker, key wire.Run) {
	for i := range t.released {
		if r := &t.released[i]; r.key == key && r.worker == w {
			t.cfg.Meter.ReleasedRunFound()
			event.Log(t.cfg.Log, event.ReleasedRunFound, zap.String("Task", key.Task), zap.Int("Run", key.Number),
				zap.String("Worker", w.state.Incarnation.ID), zap.String("Reason", r.reason),
				zap.Duration("After", time.Since(r.at)))
			t.released = append(t.released[:i], t.released[i+1:]...)
			return
		}
	}
}

// logPending logs once that the outcome of a start has been unknown for long.
func (t *Term) logPending(r *run, now time.Time) {
	if r.pendingLogged || now.Sub(r.startedAt) < startPendingWarn {
		return
	}
	r.pendingLogged = true
	event.Log(t.cfg.Log, event.StartPending, zap.String("Task", r.key.Task), zap.Int("Run", r.key.Number),
		zap.String("Worker", r.worker.state.Incarnation.ID), zap.Duration("Since", now.Sub(r.startedAt)))
}

// logWithheld logs once that a connected worker has long been without new runs because of runs that must be gone first.
func (t *Term) logWithheld(w *worker, m *wire.RunReport, now time.Time) {
	switch {
	case len(w.unknownRuns)+len(w.suspectRuns) == 0:
		w.withheldAt, w.withheldLogged = time.Time{}, false
	case w.withheldAt.IsZero():
		w.withheldAt = now
	case !w.withheldLogged && now.Sub(w.withheldAt) >= withheldWarn:
		w.withheldLogged = true
		cancels := 0
		for _, isSent := range w.suspectRuns {
			if isSent {
				cancels++
			}
		}
		event.Log(t.cfg.Log, event.WorkerWithheld, zap.String("Worker", w.state.Incarnation.ID),
			zap.Int("Unexpected", len(w.unknownRuns)), zap.Int("Released", len(w.suspectRuns)), zap.Int("Cancels", cancels),
			zap.Uint64("Sent", w.commandSeq), zap.Uint64("Received", m.LastOrders))
	}
}
