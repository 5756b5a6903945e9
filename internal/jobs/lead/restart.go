package lead

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// formerLease is the lease that a worker may have from a call to its former incarnation, which had the same ID. The deadline in
// such a call is far ahead of the clock of the new incarnation, so that the lease is as long as the worker accepts.
type formerLease struct {
	id       string    // of the worker
	end      time.Time // when it has certainly expired; zero if there is none
	isStored bool      // the row exists or is being written
}

// recordRestart records that a worker may have restarted under an ID at a given time or before, and stores it for the next
// leader, which cannot learn of it from an agent out of its reach.
func (t *Term) recordRestart(w *worker, id string, at time.Time) {
	end := expiry(at, max(t.cfg.LeaseLimit, t.cfg.Lease))
	if !time.Now().Before(end) {
		t.clearRestart(w)
		return
	}
	w.former.id, w.former.end = id, end
	t.expireBy(end)
	if w.former.isStored {
		return
	}
	event.Log(t.cfg.Log, event.WorkerRestarted, zap.String("Worker", id), zap.String("Agent", w.agent.Name),
		zap.Duration("Remaining", time.Until(w.former.end)))
	w.former.isStored = true
	ref := rows.RestartRef(t.cfg.Cell, w.agent.Name)
	if i := slices.Index(t.pendingDeletes, ref); i >= 0 {
		t.pendingDeletes = slices.Delete(t.pendingDeletes, i, i+1)
		return
	}
	t.restarted[w], t.commitNow = struct{}{}, true
}

// clearRestart records that no lease of a former incarnation is left on a worker.
func (t *Term) clearRestart(w *worker) {
	_, isWaiting := t.restarted[w]
	delete(t.restarted, w)
	if w.former.isStored && !isWaiting {
		t.pendingDeletes = append(t.pendingDeletes, rows.RestartRef(t.cfg.Cell, w.agent.Name))
	}
	w.former = formerLease{}
}

// putRestarts returns the rows of restarts that are not stored yet, up to n.
func (t *Term) putRestarts(n int) []rows.Row {
	var puts []rows.Row
	for w := range t.restarted {
		if len(puts) == n {
			break
		}
		delete(t.restarted, w)
		value, err := rows.Encode(rows.Restart{Worker: w.former.id})
		if err != nil {
			event.Log(t.cfg.Log, event.CommitFailed, zap.String("Agent", w.agent.Name), zap.Error(err))
			continue
		}
		puts = append(puts, rows.Row{Ref: rows.RestartRef(t.cfg.Cell, w.agent.Name), Value: value})
	}
	return puts
}

// restoreRestarts applies the restarts that an earlier leader has stored, each of which came before the takeover.
func (t *Term) restoreRestarts(restarts rows.Page) {
	for _, r := range restarts.Rows {
		w := t.workers[r.Key]
		if w == nil {
			t.pendingDeletes = append(t.pendingDeletes, r.Ref)
			continue
		}
		var restart rows.Restart
		if err := rows.Decode(r, &restart); err != nil {
			event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Agent", r.Key), zap.Error(err))
		}
		w.former.isStored = true
		t.recordRestart(w, restart.Worker, t.takeoverAt)
	}
}

// applyRestart records a restart that follows from a newly reported state of a worker. What an agent knows of restarts replaces
// what the leader knows, since the agent notices each of them, unless it has restarted itself.
func (t *Term) applyRestart(w *worker, m *wire.WorkerState) {
	id := m.Incarnation.ID
	if w.former.id != "" && w.former.id != id {
		t.clearRestart(w) // a worker refuses calls to another ID
	}
	switch now := time.Now(); {
	case m.RestartAge > 0:
		t.recordRestart(w, id, now.Add(-time.Duration(m.RestartAge)*time.Millisecond))
	case id == w.state.Incarnation.ID && m.Incarnation != w.state.Incarnation:
		t.recordRestart(w, id, now)
	}
}

// certainLeaseEnd returns when the lease of a worker has certainly expired.
func (t *Term) certainLeaseEnd(w *worker) time.Time {
	end := w.leaseEnd
	if end.IsZero() {
		end = t.leaseEnd(t.prevGrantsEnd)
	}
	return later(end, w.former.end)
}
