package rows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	minHedgeDelay    = 120 * time.Millisecond
	maxHedgeDelay    = 1200 * time.Millisecond
	hedgeDelayFactor = 4    // times the smoothed latency
	latencyWeight    = 0.15 // of the newest call in the smoothed latency
)

// Monitor is a Store that forwards calls to another store and tracks its availability and latency.
type Monitor struct {
	store  Store
	log    *zap.Logger
	onCall func(call string, took time.Duration, err error) // called after each call; may be nil

	mu          sync.Mutex
	succeededAt time.Time     // of the last success; zero for none
	latency     time.Duration // smoothed duration of calls that succeeded
	failedAt    time.Time     // of the first failure since the last success; zero for none
}

// NewMonitor returns a monitor of st; onCall may be nil.
func NewMonitor(st Store, log *zap.Logger, onCall func(call string, took time.Duration, err error)) *Monitor {
	return &Monitor{store: st, log: log, onCall: onCall}
}

// FailingSince returns the time of the first failure since the last success, or zero if the last call succeeded.
func (m *Monitor) FailingSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failedAt
}

// HedgeDelay returns how long to wait for a response before the same request is sent again in parallel.
func (m *Monitor) HedgeDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeDelayFactor*m.latency))
}

// HasResponded reports whether any call has succeeded yet.
func (m *Monitor) HasResponded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.succeededAt.IsZero()
}

// Change implements Store.
func (m *Monitor) Change(ctx context.Context, c Change) (Outcome, error) {
	began := time.Now()
	out, err := m.store.Change(ctx, c)
	m.observe(ctx, "change", began, err)
	return out, err
}

// Read implements Store.
func (m *Monitor) Read(ctx context.Context, s Span) (Page, error) {
	began := time.Now()
	p, err := m.store.Read(ctx, s)
	m.observe(ctx, "read", began, err)
	return p, err
}

// Changes implements Store.
func (m *Monitor) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	began := time.Now()
	p, err := m.store.Changes(ctx, table, after, wait)
	m.observe(ctx, "changes", began, err)
	return p, err
}

func (m *Monitor) observe(ctx context.Context, call string, began time.Time, err error) {
	now := time.Now()
	if m.onCall != nil {
		m.onCall(call, now.Sub(began), err)
	}
	if errors.Is(err, ErrHistoryTruncated) {
		err = nil
	}
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return // cancelled by the caller; says nothing about the store
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil && !m.failedAt.IsZero():
		event.Log(m.log, event.StoreAvailable, zap.Duration("After", now.Sub(m.failedAt)))
		m.failedAt = time.Time{}
	case err != nil && m.failedAt.IsZero():
		m.failedAt = now
		event.Log(m.log, event.StoreUnavailable, zap.String("Call", call), zap.Duration("Took", now.Sub(began)), zap.Error(err))
	}
	if err == nil {
		m.succeededAt = now
	}
	if err == nil && call != "changes" { // the duration of Changes is not a latency
		m.latency += time.Duration(latencyWeight * float64(now.Sub(began)-m.latency))
	}
}
