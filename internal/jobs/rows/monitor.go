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
	minPatience    = 120 * time.Millisecond
	maxPatience    = 1200 * time.Millisecond
	patienceFactor = 4    // times the usual time of an answer
	usualWeight    = 0.15 // of the newest call in the usual time
)

// Monitor passes calls on to a store and knows whether it answers.
type Monitor struct {
	store Store
	log   *zap.Logger
	note  func(call string, took time.Duration, err error) // nil for none

	mu       sync.Mutex
	goodAt   time.Time
	usual    time.Duration // smoothed time of calls that succeeded
	failedAt time.Time     // of the first failure since the last answer; zero for none
}

// NewMonitor watches the calls to st; note is called after each.
func NewMonitor(st Store, log *zap.Logger, note func(call string, took time.Duration, err error)) *Monitor {
	return &Monitor{store: st, log: log, note: note}
}

// FailingSince returns since when no call succeeded although some were made, zero when the last call succeeded.
func (m *Monitor) FailingSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failedAt
}

// Patience returns how long to wait for an answer before the same request is sent again beside the first.
func (m *Monitor) Patience() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(maxPatience, max(minPatience, patienceFactor*m.usual))
}

// HasAnswered reports whether any call has succeeded yet.
func (m *Monitor) HasAnswered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.goodAt.IsZero()
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
	if m.note != nil {
		m.note(call, now.Sub(began), err)
	}
	if errors.Is(err, ErrHistory) {
		err = nil
	}
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return // the caller gave up; that tells nothing of the store
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
		m.goodAt = now
	}
	if err == nil && call != "changes" { // which waits for a change
		m.usual += time.Duration(usualWeight * float64(now.Sub(began)-m.usual))
	}
}
