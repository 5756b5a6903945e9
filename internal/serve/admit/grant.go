package admit

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Grant is a slot that a request holds until Release.
type Grant struct {
	pool    *Pool
	w       *waiter
	started time.Time
	once    sync.Once
}

// IsLong reports whether the request is expected to run long.
func (g *Grant) IsLong() bool { return g.w.long }

// Expected returns the expected run time; 0 when nothing is known.
func (g *Grant) Expected() time.Duration { return g.w.expected }

// Release frees the slot and learns from the run. A run that did not complete is learned only when it took longer than
// expected: it says that the true run time is at least that long.
func (g *Grant) Release(complete bool) {
	g.once.Do(func() {
		p := g.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		run := now.Sub(g.started)
		if complete || run > g.w.expected && g.w.expected > 0 {
			p.learned.add(g.w.kind, run)
		}
		if complete {
			p.limit = min(float64(p.slots), p.limit+1/max(1, p.limit))
		}
		p.free(g.w, now)
	})
}

// Cancel frees the slot and learns nothing; for requests that did not run and for streams that hold only a connection.
func (g *Grant) Cancel() {
	g.once.Do(func() {
		g.pool.mu.Lock()
		defer g.pool.mu.Unlock()
		g.pool.free(g.w, time.Now())
	})
}

func (p *Pool) free(w *waiter, now time.Time) {
	p.count(w, -1)
	p.dispatch(now)
}

// wait returns when w is granted or refused, when its latest start has passed, or when ctx ends.
func (p *Pool) wait(ctx context.Context, w *waiter) (*Grant, error) {
	timer := time.NewTimer(time.Until(w.latest))
	defer timer.Stop()
	select {
	case r := <-w.done:
		if r != nil {
			return nil, r
		}
		return &Grant{pool: p, w: w, started: time.Now()}, nil
	case <-timer.C:
		return p.leave(w, late(w, 0))
	case <-ctx.Done():
		return p.leave(w, fmt.Errorf("wait for a slot: %w", ctx.Err()))
	}
}

// leave removes w from its queue. A grant that came at the same moment is returned to the pool.
func (p *Pool) leave(w *waiter, err error) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.index >= 0 {
		p.laneOf(w).remove(w)
		return nil, err
	}
	if r := <-w.done; r != nil {
		return nil, r
	}
	p.free(w, time.Now())
	return nil, err
}
