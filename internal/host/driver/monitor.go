package driver

import (
	"context"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type CallKind -trimprefix Call -output monitor_string.go

// CallKind is the kind of a call to a worker.
type CallKind uint8

// Kinds of calls.
const (
	CallPoll CallKind = iota
	CallStart
	CallStop
	CallPace
	callKinds = iota // number of kinds
)

// CallMeter records metrics of the calls to a worker.
type CallMeter interface {
	// CallEnded counts a call and records its duration; err is its error.
	CallEnded(kind CallKind, took time.Duration, err error)
	// CallsOpen records the number of calls without a response, and the age of the oldest of them.
	CallsOpen(kind CallKind, n int, oldest time.Duration)
	// CallsWaiting records the number of commands that wait for a call, and the time since the oldest of them was received.
	CallsWaiting(kind CallKind, n int, oldest time.Duration)
}

// Monitor is a Worker that forwards calls to another worker and records them.
type Monitor struct {
	worker Worker
	meter  CallMeter

	mu   sync.Mutex
	last uint64
	open [callKinds]map[uint64]time.Time // start of each call without a response
}

// NewMonitor returns a monitor of w.
func NewMonitor(w Worker, m CallMeter) *Monitor {
	o := &Monitor{worker: w, meter: m}
	for i := range o.open {
		o.open[i] = make(map[uint64]time.Time)
	}
	return o
}

// Report records the open calls of each kind.
func (m *Monitor) Report() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for kind, open := range m.open {
		oldest := now
		for _, began := range open {
			if began.Before(oldest) {
				oldest = began
			}
		}
		m.meter.CallsOpen(CallKind(kind), len(open), now.Sub(oldest))
	}
}

// observe makes a call and records it.
func (m *Monitor) observe(kind CallKind, call func() error) error {
	began := time.Now()
	m.mu.Lock()
	m.last++
	number := m.last
	m.open[kind][number] = began
	m.mu.Unlock()
	err := call()
	m.mu.Lock()
	delete(m.open[kind], number)
	m.mu.Unlock()
	m.meter.CallEnded(kind, time.Since(began), err)
	return err
}

// Poll implements Worker.
func (m *Monitor) Poll(ctx context.Context, request PollRequest) (PollResponse, error) {
	var response PollResponse
	err := m.observe(CallPoll, func() (err error) {
		response, err = m.worker.Poll(ctx, request)
		return err
	})
	return response, err
}

// Start implements Worker.
func (m *Monitor) Start(ctx context.Context, s Start) error {
	return m.observe(CallStart, func() error { return m.worker.Start(ctx, s) })
}

// Stop implements Worker.
func (m *Monitor) Stop(ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run) error {
	return m.observe(CallStop, func() error { return m.worker.Stop(ctx, incarnation, token, r) })
}

// Pace implements Worker.
func (m *Monitor) Pace(
	ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run, percent int,
) error {
	return m.observe(CallPace, func() error { return m.worker.Pace(ctx, incarnation, token, r, percent) })
}
