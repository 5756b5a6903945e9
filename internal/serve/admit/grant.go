package admit

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Grant is a slot that a request occupies until Release or Cancel.
type Grant struct {
	pool    *Pool
	w       *waiter
	started time.Time
	once    sync.Once
}

// IsLong reports whether the request was classified as long.
func (g *Grant) IsLong() bool { return g.w.long }

// Expected returns the expected run time, or 0 when the service has no samples yet.
func (g *Grant) Expected() time.Duration { return g.w.expected }

// Release frees the slot and records the run time. The run time of an incomplete run is a lower bound, so it is
// recorded only when it exceeds the expected one.
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

// Cancel frees the slot without recording a run time, for requests that did not run and for streams that occupy only
// a connection.
func (g *Grant) Cancel() {
	g.once.Do(func() {
		g.pool.mu.Lock()
		defer g.pool.mu.Unlock()
		g.pool.free(g.w, time.Now())
	})
}

func (p *Pool) free(w *waiter, now time.Time) {
	p.adjustInFlight(w, -1)
	p.dispatch(now)
}

// wait blocks until w is granted or refused, its latest start passes, or ctx ends.
func (p *Pool) wait(ctx context.Context, w *waiter) (*Grant, error) {
	timer := time.NewTimer(time.Until(w.latestStart))
	defer timer.Stop()
	select {
	case r := <-w.done:
		if r != nil {
			return nil, r
		}
		return &Grant{pool: p, w: w, started: time.Now()}, nil
	case <-timer.C:
		return p.cancelWait(w, deadlineRefusal(w, 0))
	case <-ctx.Done():
		return p.cancelWait(w, fmt.Errorf("wait for a slot: %w", ctx.Err()))
	}
}

// cancelWait removes w from its queue and returns err. If w was granted concurrently, its slot is freed.
func (p *Pool) cancelWait(w *waiter, err error) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.index >= 0 {
		p.queueOf(w).remove(w)
		return nil, err
	}
	if r := <-w.done; r != nil {
		return nil, r
	}
	p.free(w, time.Now())
	return nil, err
}
