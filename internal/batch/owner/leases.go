package owner

import (
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// leaseTable tracks the agent leases of one partition. It has a lock because the sessions' readers answer heartbeats
// while the partition's writer starts and releases tasks; the lock orders each grant before or after a release.
type leaseTable struct {
	terms lease.Source
	lease *lease.Owner

	mu      sync.Mutex
	workers map[ident.Worker]*workerLease
}

// workerLease is the lease state of one worker.
type workerLease struct {
	session    *session  // nil if there is none
	ready      bool      // Inventory and Reconcile are complete on this session, and no lease has expired since
	generation uint64    // incremented when ready is reset; an Inventory or Reconcile of an earlier generation is void
	lastGrant  time.Time // zero if this owner has granted nothing
	adoptSent  time.Time // when Adopt was last sent
}

func newLeaseTable(t lease.Source, l *lease.Owner) *leaseTable {
	return &leaseTable{terms: t, lease: l, workers: map[ident.Worker]*workerLease{}}
}

// lookup returns the lease state of a worker and creates it if necessary. The caller holds t.mu.
func (t *leaseTable) lookup(w ident.Worker) *workerLease {
	l := t.workers[w]
	if l == nil {
		l = &workerLease{}
		t.workers[w] = l
	}
	return l
}

// sessionOpened registers a new session, which gets no grants before Inventory and Reconcile.
func (t *leaseTable) sessionOpened(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(s.info.Worker)
	l.session, l.ready, l.adoptSent = s, false, time.Time{}
	l.generation++
}

// sessionClosed removes a closed session, unless another one has replaced it.
func (t *leaseTable) sessionClosed(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(s.info.Worker)
	if l.session == s {
		l.session, l.ready = nil, false
		l.generation++
	}
}

// grant reports whether the leases of a session's tasks may be renewed, and records the grant. As point 3 of the
// argument in doc.go requires, it grants only within the owner lease. The grant ends on the agent's clock at the send
// time of the heartbeat plus the agent lease. Since the heartbeat was sent before now, the time recorded here is late
// enough for point 4, however long the acknowledgement takes.
func (t *leaseTable) grant(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(s.info.Worker)
	now := time.Now()
	if l.session != s || !l.ready || !t.lease.IsValid(now) {
		return false
	}
	if !l.lastGrant.IsZero() && now.Sub(l.lastGrant) > t.terms.MaxTerms().Agent {
		l.ready = false // the lease has expired; Inventory and Reconcile are required first
		l.generation++
		return false
	}
	l.lastGrant = now
	return true
}

// isReady reports whether tasks may be started on the worker: it is reconciled and has sent a heartbeat within half of
// the agent lease.
func (t *leaseTable) isReady(w ident.Worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.workers[w]
	return l != nil && l.session != nil && l.ready && l.session.isResponsive(t.terms.GrantTerms().Agent/2)
}

// grantStart records a grant for a task that is about to start and returns the session and the lease deadline on the
// agent's clock, or false if no grant is possible. The deadline is computed from the last heartbeat, as for a
// renewal, so that point 2 of the argument in doc.go also holds for a start.
func (t *leaseTable) grantStart(w ident.Worker, inc ident.Incarnation) (*session, int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(w)
	now := time.Now()
	if l.session == nil || !l.ready || l.session.info.Incarnation != inc || !t.lease.IsValid(now) {
		return nil, 0, false
	}
	sentAt, ok := l.session.lastHeartbeat()
	if !ok {
		return nil, 0, false
	}
	l.lastGrant = now
	return l.session, t.terms.GrantTerms().GrantedUntil(sentAt), true
}

// expire checks the lease of a worker to which tasks are assigned. It resets ready if the last grant has expired or
// the worker is unreachable, which means that it has no session or its agent has been silent for longer than a lease.
// After that it gets no grant before the next Inventory, which the partition's writer handles after the release. It
// returns the time of the last grant and whether the worker is unreachable.
func (t *leaseTable) expire(w ident.Worker) (lastGrant time.Time, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(w)
	unreachable = l.session == nil || !l.session.isResponsive(t.terms.MaxTerms().AfterGrant(time.Time{}).Sub(time.Time{}))
	if l.ready && (unreachable || (!l.lastGrant.IsZero() && time.Since(l.lastGrant) > t.terms.MaxTerms().Agent)) {
		l.ready = false
		l.generation++
	}
	return l.lastGrant, unreachable
}

// lastGrant returns the time of the last grant to a worker, or zero if this owner has made none.
func (t *leaseTable) lastGrant(w ident.Worker) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(w).lastGrant
}

// requestInventory makes the next adopt request a new inventory from the agent of a worker.
func (t *leaseTable) requestInventory(w ident.Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lookup(w); l.ready {
		l.ready, l.adoptSent = false, time.Time{}
		l.generation++
	}
}

// expectedInventory returns the generation to which an Inventory from the session must belong, and whether one is
// expected.
func (t *leaseTable) expectedInventory(s *session) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(s.info.Worker)
	return l.generation, l.session == s && !l.ready && !l.adoptSent.IsZero()
}

// markReady makes a session ready if its generation has not changed since the inventory, and reports whether it did.
func (t *leaseTable) markReady(s *session, generation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookup(s.info.Worker)
	if l.session != s || l.generation != generation || l.ready {
		return false
	}
	// The next renewal starts a new lease for the remaining tasks; an older grant must not make it appear expired.
	l.ready, l.lastGrant = true, time.Now()
	return true
}

// toAdopt returns the sessions that are due for an Adopt message, with their generations, and marks it as sent to them.
func (t *leaseTable) toAdopt() map[*session]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[*session]uint64{}
	for _, l := range t.workers {
		if l.session != nil && !l.ready && (l.adoptSent.IsZero() || time.Since(l.adoptSent) >= repeatAfter) {
			l.adoptSent = time.Now()
			list[l.session] = l.generation
		}
	}
	return list
}

// sessionOf returns the session with a worker that is ready, or nil.
func (t *leaseTable) sessionOf(w ident.Worker) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.workers[w]; l != nil && l.ready {
		return l.session
	}
	return nil
}
