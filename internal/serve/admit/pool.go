package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	defaultShortShare   = 0.25 // a quarter of the slots stays free of long work
	defaultShortPerSlot = 4
	defaultLongPerSlot  = 1
	shrinkFactor        = 0.9
	shrinkEvery         = 50 * time.Millisecond // one burst of refusals counts once
	minRetryAfter       = 100 * time.Millisecond
)

// Config describes the admission of one service.
type Config struct {
	ShortShare   float64       // share of slots that long work cannot take; 0 means 0.25, a negative one none
	ShortPerSlot int           // bound of the queue for short work, for each slot; 0 means 4
	LongPerSlot  int           // bound of the queue for long work, for each slot; 0 means 1
	LongAfter    time.Duration // mean run time above which a kind is long; 0 compares with the median of the service
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
	mu       sync.Mutex
	cfg      Config
	learned  *learner
	slots    int
	limit    float64 // at most slots; shrinks when agents refuse because other entries use the same slots
	shrunk   time.Time
	inFlight int
	longs    int // of inFlight
	short    lane
	long     lane
	loads    loads
}

// NewPool returns a pool without slots; SetSlots must follow.
func NewPool(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{cfg: cfg, learned: newLearner(cfg.LongAfter)}
}

// SetSlots sets the number of requests that targets can run at the same time.
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

// Configure replaces the configuration; what was learned stays.
func (p *Pool) Configure(cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg = cfg.withDefaults()
	p.learned.after = cfg.LongAfter
	p.dispatch(time.Now())
}

// Shrink lowers the number of requests in progress after an agent refused one for lack of slots; it grows back with
// each request that completes.
func (p *Pool) Shrink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.shrunk) < shrinkEvery {
		return
	}
	p.shrunk = now
	p.limit = max(1, p.limit*shrinkFactor)
}

// Acquire waits for a slot. It returns a *RefusalError when the request cannot complete before its deadline, and the error of
// ctx when that ends first.
func (p *Pool) Acquire(ctx context.Context, kind string, deadline time.Time) (*Grant, error) {
	p.mu.Lock()
	now := time.Now()
	w := p.newWaiter(kind, deadline, now)
	if r := p.judge(w, now); r != nil {
		p.mu.Unlock()
		return nil, r
	}
	if p.hasRoom(w.long) && p.isFirst(w) {
		g := p.grant(w, now)
		p.mu.Unlock()
		return g, nil
	}
	p.laneOf(w).put(w)
	p.mu.Unlock()
	return p.wait(ctx, w)
}

// TryAcquire is Acquire without a wait: it refuses the request when no slot is free for it now.
func (p *Pool) TryAcquire(kind string, deadline time.Time) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	w := p.newWaiter(kind, deadline, now)
	if r := p.judge(w, now); r != nil {
		return nil, r
	}
	if !p.hasRoom(w.long) || !p.isFirst(w) {
		return nil, &RefusalError{wire.ReasonOverloaded, "no slot is free at once", minRetryAfter}
	}
	return p.grant(w, now), nil
}

func (p *Pool) newWaiter(kind string, deadline, now time.Time) *waiter {
	expected := p.learned.expect(kind)
	long := p.learned.isLong(kind)
	p.loads.add(now, expected, long, p.slots)
	return &waiter{
		position: p.cfg.Order(now, expected),
		expected: expected,
		deadline: deadline,
		latest:   deadline.Add(-expected - p.learned.slack(kind)),
		kind:     kind,
		long:     long,
		index:    -1,
		done:     make(chan *RefusalError, 1),
	}
}

// judge returns the refusal of a request that cannot complete before its deadline or finds its queue full.
func (p *Pool) judge(w *waiter, now time.Time) *RefusalError {
	if !now.Before(w.deadline) {
		return &RefusalError{Reason: wire.ReasonDeadline, Detail: "the deadline has passed", RetryAfter: minRetryAfter}
	}
	if p.slots == 0 {
		return &RefusalError{Reason: wire.ReasonNoTarget, Detail: "no target is ready", RetryAfter: time.Second}
	}
	wait := p.expectedWait(w)
	if wait == 0 && p.hasRoom(w.long) {
		if now.Add(w.expected).After(w.deadline) && !p.learned.mayProbe(w.kind, now) {
			return late(w, wait)
		}
		return nil
	}
	if bound := p.bound(w.long); p.laneOf(w).Len() >= bound {
		return &RefusalError{wire.ReasonOverloaded, "the queue is full", max(wait, minRetryAfter)}
	}
	if now.Add(wait).After(w.latest) {
		return late(w, wait)
	}
	return nil
}

func late(w *waiter, wait time.Duration) *RefusalError {
	return &RefusalError{
		Reason:     wire.ReasonDeadline,
		Detail:     fmt.Sprintf("expected to wait %v and run %v", wait.Round(time.Millisecond), w.expected.Round(time.Millisecond)),
		RetryAfter: max(wait, minRetryAfter),
	}
}

// expectedWait divides the work ahead by the slots that it shares. A busy slot counts as half of a mean run.
func (p *Pool) expectedWait(w *waiter) time.Duration {
	ahead := p.short.workBefore(w.position) + p.long.workBefore(w.position)
	if ahead == 0 && p.hasRoom(w.long) {
		return 0
	}
	slots := max(1, int(p.limit)-p.longs)
	if w.long {
		slots = max(1, min(slots, p.longLimit()))
	}
	return (ahead + time.Duration(p.learned.all.mean/2)) / time.Duration(slots)
}

// longLimit returns the number of slots that long work may take; it is never zero, or long work would not run at all. Short
// work gets its configured share, and more where its load needs more and the load of long work leaves it.
func (p *Pool) longLimit() int {
	if p.cfg.ShortShare < 0 {
		return max(1, int(p.limit))
	}
	reserved := max(1, int(p.limit*p.cfg.ShortShare))
	reserved = max(reserved, min(p.loads.shortNeed, int(p.limit)-p.loads.longNeed))
	return max(1, int(p.limit)-reserved)
}

func (p *Pool) bound(long bool) int {
	if long {
		return p.cfg.LongPerSlot * p.slots
	}
	return p.cfg.ShortPerSlot * p.slots
}

func (p *Pool) hasRoom(long bool) bool {
	if p.inFlight >= max(1, int(p.limit)) {
		return false
	}
	return !long || p.longs < p.longLimit()
}

// isFirst reports whether no waiter that could start now is ahead of w.
func (p *Pool) isFirst(w *waiter) bool {
	next := p.next()
	return next == nil || w.position.Before(next.position)
}

// next returns the waiter that starts next, or nil when none can start.
func (p *Pool) next() *waiter {
	var first *waiter
	if w := p.short.head(); w != nil && p.hasRoom(false) {
		first = w
	}
	if w := p.long.head(); w != nil && p.hasRoom(true) && (first == nil || w.position.Before(first.position)) {
		first = w
	}
	return first
}

func (p *Pool) laneOf(w *waiter) *lane {
	if w.long {
		return &p.long
	}
	return &p.short
}

// dispatch starts waiters while there is room and refuses those whose deadline can no longer be met.
func (p *Pool) dispatch(now time.Time) {
	for w := p.next(); w != nil; w = p.next() {
		p.laneOf(w).remove(w)
		if now.After(w.latest) {
			w.done <- late(w, 0)
			continue
		}
		p.count(w, 1)
		w.done <- nil
	}
}

func (p *Pool) count(w *waiter, n int) {
	p.inFlight += n
	if w.long {
		p.longs += n
	}
}

func (p *Pool) grant(w *waiter, now time.Time) *Grant {
	p.count(w, 1)
	return &Grant{pool: p, w: w, started: now}
}

// InFlight returns the number of requests that hold a slot.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Queued returns the number of requests that wait.
func (p *Pool) Queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.short) + len(p.long)
}
