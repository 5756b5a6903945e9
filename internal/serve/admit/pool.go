package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	defaultShortShare    = 0.25 // of the slots, reserved for short requests
	defaultShortPerSlot  = 4
	defaultLongPerSlot   = 1
	reductionFactor      = 0.9
	minReductionInterval = 50 * time.Millisecond // a burst of refusals reduces the limit once
	minRetryAfter        = 100 * time.Millisecond
)

// Config configures the admission control of one service.
type Config struct {
	ShortShare   float64       // share of slots reserved for short requests; 0 means 0.25, a negative value none
	ShortPerSlot int           // queue limit for short requests per slot; 0 means 4
	LongPerSlot  int           // queue limit for long requests per slot; 0 means 1
	LongAfter    time.Duration // mean run time above which a kind is long; 0 means relative to the median of the service
	Order        Order         // nil means ByExpectedRun
}

func (c Config) withDefaults() Config {
	if c.ShortShare == 0 {
		c.ShortShare = defaultShortShare
	}
	if c.ShortPerSlot == 0 {
		c.ShortPerSlot = defaultShortPerSlot
	}
	if c.LongPerSlot == 0 {
		c.LongPerSlot = defaultLongPerSlot
	}
	if c.Order == nil {
		c.Order = ByExpectedRun
	}
	return c
}

// RefusalError is the error of a request that was not admitted and did not run.
type RefusalError struct {
	Reason     wire.Reason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("not admitted (%v): %s", r.Reason, r.Detail)
}

// Pool admits the requests of one service; it is safe for concurrent use.
type Pool struct {
	mu           sync.Mutex
	cfg          Config
	learned      *learner
	slots        int
	limit        float64 // at most slots; reduced when agents refuse requests because other entries use the same slots
	reducedAt    time.Time
	inFlight     int
	longInFlight int // of inFlight, those of long kinds
	short        queue
	long         queue
	loads        loads
}

// NewPool returns a pool without slots; SetSlots must follow.
func NewPool(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{cfg: cfg, learned: newLearner(cfg.LongAfter)}
}

// SetSlots sets the number of requests that the targets can run concurrently.
func (p *Pool) SetSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.slots {
		return
	}
	if p.limit >= float64(p.slots) || p.limit > float64(n) {
		p.limit = float64(n)
	}
	p.slots = n
	p.dispatch(time.Now())
}

// Configure replaces the configuration and preserves the run-time estimates.
func (p *Pool) Configure(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg = cfg.withDefaults()
	p.learned.longAfter = cfg.LongAfter
	p.dispatch(time.Now())
}

// ReduceLimit lowers the limit on requests in progress after an agent refused one for lack of slots; each request that
// completes raises it again.
func (p *Pool) ReduceLimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.reducedAt) < minReductionInterval {
		return
	}
	p.reducedAt = now
	p.limit = max(1, p.limit*reductionFactor)
}

// Acquire waits for a slot. It returns a *RefusalError when the request cannot complete before its deadline or its
// queue is full, and the error of ctx when ctx ends first.
func (p *Pool) Acquire(ctx context.Context, kind string, deadline time.Time) (*Grant, error) {
	p.mu.Lock()
	now := time.Now()
	w := p.newWaiter(kind, deadline, now)
	if r := p.checkAdmission(w, now); r != nil {
		p.mu.Unlock()
		return nil, r
	}
	if p.hasFreeSlot(w.long) && p.isFirst(w) {
		g := p.grant(w, now)
		p.mu.Unlock()
		return g, nil
	}
	p.queueOf(w).enqueue(w)
	p.mu.Unlock()
	return p.wait(ctx, w)
}

// TryAcquire is Acquire without waiting: it returns a *RefusalError when no slot is free for the request now.
func (p *Pool) TryAcquire(kind string, deadline time.Time) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	w := p.newWaiter(kind, deadline, now)
	if r := p.checkAdmission(w, now); r != nil {
		return nil, r
	}
	if !p.hasFreeSlot(w.long) || !p.isFirst(w) {
		return nil, &RefusalError{wire.ReasonOverloaded, "no slot is free at once", minRetryAfter}
	}
	return p.grant(w, now), nil
}

func (p *Pool) newWaiter(kind string, deadline, now time.Time) *waiter {
	expected := p.learned.expect(kind)
	long := p.learned.isLong(kind)
	p.loads.add(now, expected, long, p.slots)
	return &waiter{
		position:    p.cfg.Order(now, expected),
		expected:    expected,
		deadline:    deadline,
		latestStart: deadline.Add(-expected - p.learned.slack(kind)),
		kind:        kind,
		long:        long,
		index:       -1,
		done:        make(chan *RefusalError, 1),
	}
}

// checkAdmission returns a refusal when w cannot complete before its deadline or its queue is full, and nil
// otherwise.
func (p *Pool) checkAdmission(w *waiter, now time.Time) *RefusalError {
	if !now.Before(w.deadline) {
		return &RefusalError{Reason: wire.ReasonDeadline, Detail: "the deadline has passed", RetryAfter: minRetryAfter}
	}
	if p.slots == 0 {
		return &RefusalError{Reason: wire.ReasonNoTarget, Detail: "no target is ready", RetryAfter: time.Second}
	}
	wait := p.expectedWait(w)
	if wait == 0 && p.hasFreeSlot(w.long) {
		if now.Add(w.expected).After(w.deadline) && !p.learned.mayProbe(w.kind, now) {
			return deadlineRefusal(w, wait)
		}
		return nil
	}
	if limit := p.queueLimit(w.long); p.queueOf(w).Len() >= limit {
		return &RefusalError{wire.ReasonOverloaded, "the queue is full", max(wait, minRetryAfter)}
	}
	if now.Add(wait).After(w.latestStart) {
		return deadlineRefusal(w, wait)
	}
	return nil
}

func deadlineRefusal(w *waiter, wait time.Duration) *RefusalError {
	return &RefusalError{
		Reason:     wire.ReasonDeadline,
		Detail:     fmt.Sprintf("expected to wait %v and run %v", wait.Round(time.Millisecond), w.expected.Round(time.Millisecond)),
		RetryAfter: max(wait, minRetryAfter),
	}
}

// expectedWait divides the expected work ahead of w by the slots available to it. Requests that are running add half
// a mean run in total, the expected remaining time of one of them.
func (p *Pool) expectedWait(w *waiter) time.Duration {
	ahead := p.short.workBefore(w.position) + p.long.workBefore(w.position)
	if ahead == 0 && p.hasFreeSlot(w.long) {
		return 0
	}
	slots := max(1, int(p.limit)-p.longInFlight)
	if w.long {
		slots = max(1, min(slots, p.longLimit()))
	}
	return (ahead + time.Duration(p.learned.all.mean/2)) / time.Duration(slots)
}

// longLimit returns the number of slots that long requests may occupy, at least one so that they always make
// progress. ShortShare of the limit is reserved for short requests, and more if their load needs it and the load of
// long requests leaves it.
func (p *Pool) longLimit() int {
	if p.cfg.ShortShare < 0 {
		return max(1, int(p.limit))
	}
	reserved := max(1, int(p.limit*p.cfg.ShortShare))
	reserved = max(reserved, min(p.loads.shortNeed, int(p.limit)-p.loads.longNeed))
	return max(1, int(p.limit)-reserved)
}

func (p *Pool) queueLimit(long bool) int {
	if long {
		return p.cfg.LongPerSlot * p.slots
	}
	return p.cfg.ShortPerSlot * p.slots
}

func (p *Pool) hasFreeSlot(long bool) bool {
	if p.inFlight >= max(1, int(p.limit)) {
		return false
	}
	return !long || p.longInFlight < p.longLimit()
}

// isFirst reports whether w is ahead of all waiters that could start now.
func (p *Pool) isFirst(w *waiter) bool {
	next := p.next()
	return next == nil || w.position.Before(next.position)
}

// next returns the waiter that starts next, or nil when none can start.
func (p *Pool) next() *waiter {
	var first *waiter
	if w := p.short.head(); w != nil && p.hasFreeSlot(false) {
		first = w
	}
	if w := p.long.head(); w != nil && p.hasFreeSlot(true) && (first == nil || w.position.Before(first.position)) {
		first = w
	}
	return first
}

func (p *Pool) queueOf(w *waiter) *queue {
	if w.long {
		return &p.long
	}
	return &p.short
}

// dispatch starts waiters while slots are free and refuses those whose latest start has passed.
func (p *Pool) dispatch(now time.Time) {
	for w := p.next(); w != nil; w = p.next() {
		p.queueOf(w).remove(w)
		if now.After(w.latestStart) {
			w.done <- deadlineRefusal(w, 0)
			continue
		}
		p.adjustInFlight(w, 1)
		w.done <- nil
	}
}

func (p *Pool) adjustInFlight(w *waiter, n int) {
	p.inFlight += n
	if w.long {
		p.longInFlight += n
	}
}

func (p *Pool) grant(w *waiter, now time.Time) *Grant {
	p.adjustInFlight(w, 1)
	return &Grant{pool: p, w: w, started: now}
}

// InFlight returns the number of requests that occupy a slot.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Queued returns the number of requests that wait for a slot.
func (p *Pool) Queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.short) + len(p.long)
}
