package owner

import (
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// book keeps the agent leases of one partition. Heartbeats are answered from the sessions' readers while the partition's
// writer starts and releases tasks, so that the book has a lock; the order of its changes decides between a grant and a
// release.
type book struct {
	terms lease.Source
	lease *lease.Owner

	mu    sync.Mutex
	links map[ident.Worker]*link
}

// link is what the partition knows of one worker.
type link struct {
	session *session // nil without a session
	ready   bool     // Inventory and Reconcile are done on this session and no lease expired since
	round   uint64   // grows when ready ends; a Reconcile of an earlier round is void
	granted time.Time
	adopted time.Time // when Adopt was last sent
}

func newBook(t lease.Source, l *lease.Owner) *book {
	return &book{terms: t, lease: l, links: map[ident.Worker]*link{}}
}

// of returns the link of a worker. b.mu is held.
func (b *book) of(w ident.Worker) *link {
	l := b.links[w]
	if l == nil {
		l = &link{}
		b.links[w] = l
	}
	return l
}

// up notes a new session; nothing is granted before Inventory and Reconcile.
func (b *book) up(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(s.info.Worker)
	l.session, l.ready, l.adopted = s, false, time.Time{}
	l.round++
}

func (b *book) down(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(s.info.Worker)
	if l.session == s {
		l.session, l.ready = nil, false
		l.round++
	}
}

// grant reports whether the leases of a session's tasks may be renewed, and notes the grant. Point 3 of the argument: it
// grants only within the owner lease. The grant ends on the agent's clock at the send time of the heartbeat plus the agent
// lease. The heartbeat was sent before now, so that the time noted here is late enough for point 4 however long the
// answer takes to leave.
func (b *book) grant(s *session) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(s.info.Worker)
	now := time.Now()
	if l.session != s || !l.ready || !b.lease.IsValid(now) {
		return false
	}
	if !l.granted.IsZero() && now.Sub(l.granted) > b.terms.Waits().Agent {
		l.ready = false // the lease expired; Inventory and Reconcile come first
		l.round++
		return false
	}
	l.granted = now
	return true
}

// isReady reports whether a task may be started on the worker.
func (b *book) isReady(w ident.Worker) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.links[w]
	return l != nil && l.session != nil && l.ready && l.session.isHeard(b.terms.Grants().Agent/2)
}

// grantStart notes a grant for a task that is about to start and returns the session and its lease deadline. The deadline
// is that of an answer to the last heartbeat, so that point 2 holds for a start as for a renewal.
func (b *book) grantStart(w ident.Worker, inc ident.Incarnation) (*session, int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(w)
	now := time.Now()
	if l.session == nil || !l.ready || l.session.info.Incarnation != inc || !b.lease.IsValid(now) {
		return nil, 0, false
	}
	sentAt, ok := l.session.lastBeat()
	if !ok {
		return nil, 0, false
	}
	l.granted = now
	return l.session, b.terms.Grants().GrantedUntil(sentAt), true
}

// lapse is called for a worker that holds tasks. It ends ready when the agent was not granted anything for longer than a
// lease, and reports whether the worker is unreachable: it has no session, or its agent has been silent for longer
// than a lease. From then on nothing is granted before the next Inventory, which the partition's writer handles after the
// release.
func (b *book) lapse(w ident.Worker) (granted time.Time, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(w)
	unreachable = l.session == nil || !l.session.isHeard(b.terms.Waits().AfterGrant(time.Time{}).Sub(time.Time{}))
	if l.ready && (unreachable || (!l.granted.IsZero() && time.Since(l.granted) > b.terms.Waits().Agent)) {
		l.ready = false
		l.round++
	}
	return l.granted, unreachable
}

// grantedAt returns the time of the last grant to a worker, zero when this owner has made none.
func (b *book) grantedAt(w ident.Worker) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(w).granted
}

// suspect asks the agent of a worker again for its inventory.
func (b *book) suspect(w ident.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.of(w); l.ready {
		l.ready, l.adopted = false, time.Time{}
		l.round++
	}
}

// inventory returns the round to which an Inventory from the session belongs, or false when it is not expected.
func (b *book) inventory(s *session) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(s.info.Worker)
	return l.round, l.session == s && !l.ready && !l.adopted.IsZero()
}

// reconciled makes a session ready if nothing has happened to it since the inventory of the given round.
func (b *book) reconciled(s *session, round uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(s.info.Worker)
	if l.session != s || l.round != round || l.ready {
		return false
	}
	// The lease of the kept tasks starts again with the next renewal; an older grant must not make it count as expired.
	l.ready, l.granted = true, time.Now()
	return true
}

// toAdopt returns the sessions to which Adopt is due.
func (b *book) toAdopt() []*session {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*session
	for _, l := range b.links {
		if l.session != nil && !l.ready && (l.adopted.IsZero() || time.Since(l.adopted) >= repeatAfter) {
			l.adopted = time.Now()
			list = append(list, l.session)
		}
	}
	return list
}

// sessionOf returns the session with a worker on which tasks may be stopped.
func (b *book) sessionOf(w ident.Worker) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.links[w]; l != nil && l.ready {
		return l.session
	}
	return nil
}
