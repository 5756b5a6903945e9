package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// expireBy makes expire check the leases by a given time.
func (t *Term) expireBy(at time.Time) {
	if at.Before(t.expireAt) {
		t.expireAt = at
	}
}

// expire releases the runs of workers whose lease has certainly expired, and forgets agents without a session for
// forgetAfter. It checks all workers when the first lease may have expired, and at least every expireEvery.
func (t *Term) expire(now time.Time) {
	if now.Before(t.expireAt) {
		t.wakeBy(t.expireAt)
		return
	}
	t.expireAt = now.Add(expireEvery)
	for name, w := range t.workers {
		if !w.former.end.IsZero() && !now.Before(w.former.end) {
			t.clearRestart(w)
		}
		if end := t.certainLeaseEnd(w); now.Before(end) {
			t.expireBy(end)
			continue
		}
		w.recordSuspects()
		t.releaseAll(w, "lease of the unreachable worker has expired")
		t.markReconciled(w)
		w.synced = false
		if w.link == nil && now.Sub(w.lostAt) > forgetAfter && now.Sub(t.takeoverAt) > forgetAfter {
			t.forget(name)
		}
	}
	t.wakeBy(t.expireAt)
}

// forget removes an agent and its row; the agent registers again if it returns.
func (t *Term) forget(name string) {
	t.clearRestart(t.workers[name])
	t.fleet.remove(t.workers[name])
	delete(t.workers, name)
	t.cfg.Network.Disconnect(name)
	t.pendingDeletes = append(t.pendingDeletes, rows.AgentRef(t.cfg.Cell, name))
}
