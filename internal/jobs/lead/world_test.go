package lead_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/orders"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	cell      = "main"
	lease     = 6 * time.Second
	stopTime  = 400 * time.Millisecond
	linkDelay = 3 * time.Millisecond
	patience  = 150 * time.Millisecond
)

var errCut = errors.New("the link is cut")

// world is a cell in memory: a store, entries that may lead, and agents with their workers.
type world struct {
	t      testing.TB
	store  *memory.Store
	plan   func(wire.Run) runs.Plan
	log    *zap.Logger
	ctx    context.Context
	random *rand.Rand // guarded by drawing

	drawing sync.Mutex
	mu      sync.Mutex
	wg      sync.WaitGroup
	entries map[string]*entry
	hosts   map[string]*host
	cut     map[string]bool // names of entries and agents that nobody reaches
	deaf    map[string]bool // names that the store does not answer
	apart   map[string]bool // entry and agent, joined by a slash, that do not reach each other
	tellTo  string          // entry that callers tell of jobs; empty for the one that leads
	faults  func(caller string) memory.Fault
}

// entry is a process that may lead.
type entry struct {
	name   string
	leader *lead.Leader
	cancel context.CancelFunc
	done   chan struct{}
}

// host is an agent with its worker.
type host struct {
	name   string
	worker *runs.Worker
	agent  *orders.Agent
	cancel context.CancelFunc
	lives  int
	links  []*end
}

func newWorld(ctx context.Context, t testing.TB, seed uint64) *world {
	w := &world{
		t: t, store: memory.New(), ctx: ctx, random: rand.New(rand.NewPCG(seed, 1)), log: zap.NewNop(),
		entries: make(map[string]*entry), hosts: make(map[string]*host), cut: make(map[string]bool),
		deaf: make(map[string]bool), apart: make(map[string]bool),
	}
	w.plan = func(wire.Run) runs.Plan {
		return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: time.Second}
	}
	w.store.Decide = func(caller string) memory.Fault {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.deaf[caller] {
			return memory.Fault{Refuse: true}
		}
		if w.faults != nil {
			return w.faults(caller)
		}
		return memory.Fault{}
	}
	return w
}

// draw returns a random number below n.
func (w *world) draw(n int) int {
	w.drawing.Lock()
	defer w.drawing.Unlock()
	return w.random.IntN(n)
}

// addEntry starts a process that may lead.
func (w *world) addEntry(name string) {
	ctx, cancel := context.WithCancel(w.ctx)
	e := &entry{name: name, cancel: cancel, done: make(chan struct{})}
	n := &network{world: w, entry: name, links: make(map[string]context.CancelFunc)}
	delay := time.Duration(len(w.entries)) * 50 * time.Millisecond
	e.leader = lead.NewLeader(lead.Config{
		Cell: cell, Name: name, Address: name + ":1", Store: w.store.As(name), Lease: lease,
		Patience: func() time.Duration { return patience }, Retention: time.Minute,
		Queues: &queues.Holder{}, Network: n, Meter: noMeter{}, Log: w.log.With(zap.String("Entry", name)),
	}, func() time.Duration { return delay })
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
	go func() {
		defer close(e.done)
		e.leader.Run(ctx)
		n.close()
	}()
}

// kill ends an entry without a handover.
func (w *world) kill(name string) {
	w.set(w.cut, name, true)
	w.set(w.deaf, name, true)
	w.dropLinks(name)
	w.mu.Lock()
	e := w.entries[name]
	w.mu.Unlock()
	e.cancel()
	<-e.done
}

// revive starts an entry again after kill.
func (w *world) revive(name string) {
	w.set(w.cut, name, false)
	w.set(w.deaf, name, false)
	w.addEntry(name)
}

func (w *world) set(m map[string]bool, name string, v bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m[name] = v
}

func (w *world) is(m map[string]bool, name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return m[name]
}

// term returns the term of the entry that leads with the highest epoch, or nil.
func (w *world) term() *lead.Term {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *lead.Term
	if e := w.entries[w.tellTo]; e != nil {
		return e.leader.Term()
	}
	for _, e := range w.entries {
		if t := e.leader.Term(); t != nil && (best == nil || t.Epoch() > best.Epoch()) {
			best = t
		}
	}
	return best
}

// addHost starts a worker with its agent.
func (w *world) addHost(name string, processors int64) *host {
	h := &host{name: name, worker: &runs.Worker{
		Name: name, Capacity: sizes.Resources{Processors: processors, Memory: 1 << 40}, StopTime: stopTime, MaxLease: lease,
		Plan: func(r wire.Run) runs.Plan { return w.plan(r) },
	}}
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	w.beginLife(h)
	w.startAgent(h)
	return h
}

func (w *world) beginLife(h *host) {
	h.lives++
	h.worker.Begin(wire.Life{ID: fmt.Sprintf("%s-%d", h.name, h.lives), Born: int64(h.lives)})
}

// startAgent starts an agent that knows nothing, as after a kill of its process.
func (w *world) startAgent(h *host) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	if h.cancel != nil {
		h.cancel()
	}
	a := orders.New(orders.Config{Worker: h.worker, Lease: lease, Log: w.log.With(zap.String("Agent", h.name))})
	h.agent, h.cancel = a, cancel
	w.mu.Unlock()
	w.dropLinks(h.name)
	w.wg.Go(func() { a.Run(ctx) })
	w.wg.Go(func() {
		for n := uint64(1); ctx.Err() == nil; n++ {
			a.Announce(h.worker.State(), n)
			w.register(ctx, h)
			wait(ctx, 1500*time.Millisecond)
		}
	})
}

// register stores the agent's row unless it is there.
func (w *world) register(ctx context.Context, h *host) {
	value, err := rows.Encode(&rows.Agent{Name: h.name, Zone: "agadir", Address: h.name + ":1"})
	if err != nil {
		w.t.Error(err)
		return
	}
	ref := rows.AgentRef(cell, h.name)
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// A row that is there already makes no change; a failure is tried again with the next announcement.
	_, _ = w.store.As(h.name).Change(limited, rows.Change{
		Conditions: []rows.Condition{{Ref: ref}}, Puts: []rows.Row{{Ref: ref, Value: value}},
	})
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// dropLinks cuts the sessions of an entry or agent.
func (w *world) dropLinks(name string) {
	w.mu.Lock()
	var list []*end
	for _, h := range w.hosts {
		for _, l := range h.links {
			if l.entry == name || l.host == name {
				list = append(list, l)
			}
		}
		h.links = slices.DeleteFunc(h.links, func(l *end) bool { return l.entry == name || l.host == name })
	}
	w.mu.Unlock()
	for _, l := range list {
		l.Close(errCut)
	}
}

// reach is an entry's way to the leader for an intake.
type reach struct {
	world *world
}

func (r reach) Epoch() uint64 {
	if t := r.world.term(); t != nil {
		return t.Epoch()
	}
	return 0
}

func (r reach) IsSelf() bool { return false }

func (r reach) Tell(epoch uint64, m *wire.JobAsk) {
	if t := r.world.term(); t != nil && t.Epoch() == epoch {
		t.Ask(&end{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}, m)
	}
}

func (r reach) Ask(ctx context.Context, m *wire.JobAsk) (*wire.JobTell, error) {
	t := r.world.term()
	if t == nil {
		return nil, intake.ErrNoLeader
	}
	e := &end{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}
	t.Ask(e, m)
	select {
	case reply := <-e.out:
		return reply.(*wire.JobTell), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// intake returns an intake that nobody cuts off.
func (w *world) intake() *intake.Intake {
	return intake.New(intake.Config{
		Cell: cell, Store: w.store.As("caller"), Leader: reach{w}, Log: w.log,
		Failing: func() time.Time { return time.Time{} }, Patience: func() time.Duration { return patience },
	})
}

// job returns a job of steps that follow each other, with the same number of tasks each.
func job(n int, steps, count int) *spec.Job {
	j := &spec.Job{
		ID: spec.ID(fmt.Sprintf("%016x", n)), Queue: "plans", Service: "packing", MaxAttempts: 2, Stretch: 2,
		Objective: 1000, AcceptedAt: time.Now().UnixMilli(),
	}
	for i := range steps {
		s := spec.Step{Count: count, Size: sizes.Resources{Processors: 1000, Memory: 1 << 20}, Estimate: 1000}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// submit stores a job and tells the leader.
func (w *world) submit(j *spec.Job) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	if v := w.intake().Submit(ctx, j); v != intake.Accepted {
		w.t.Errorf("job %s: %v", j.ID, v)
	}
}

// submitUntil repeats a submission until it is accepted, as callers do.
func (w *world) submitUntil(j *spec.Job) {
	w.t.Helper()
	for range 30 {
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		v := w.intake().Submit(ctx, j)
		cancel()
		if v == intake.Accepted {
			return
		}
		time.Sleep(intake.RetryAfter)
	}
	w.t.Errorf("job %s is not accepted", j.ID)
}

// state returns the state that callers see.
func (w *world) state(id spec.ID) rows.State {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	s, v := w.intake().State(ctx, id)
	if v != intake.Accepted {
		return rows.Queued
	}
	return s
}

// awaitState waits until callers see a state.
func (w *world) awaitState(id spec.ID, want rows.State, limit time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.state(id) == want {
			return
		}
	}
	w.t.Errorf("job %s is %v after %v; want %v", id, w.state(id), limit, want)
}

// records returns the runs of all workers, by task and in order of their start.
func (w *world) records() map[string][]runs.Record {
	all := make(map[string][]runs.Record)
	for _, h := range w.hosts {
		for _, r := range h.worker.Records() {
			all[r.Run.Task] = append(all[r.Run.Task], r)
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b runs.Record) int { return a.Began.Compare(b.Began) })
	}
	return all
}

// checkRuns fails on two runs of a task at the same time, a start after an end that was noted as done, and a start over
// the capacity.
func (w *world) checkRuns() {
	w.t.Helper()
	for task, list := range w.records() {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.Ended.IsZero() || b.Began.Before(a.Ended) {
					w.t.Errorf("%s: run %d on %s from %v and run %d on %s from %v overlap", task, a.Run.Number, a.Worker,
						a.Began.Format("05.000"), b.Run.Number, b.Worker, b.Began.Format("05.000"))
				}
				if a.Cause == wire.EndDone && !a.Noted.IsZero() {
					w.t.Errorf("%s: run %d was done and noted on %s, and run %d began on %s", task, a.Run.Number, a.Worker,
						b.Run.Number, b.Worker)
				}
			}
		}
	}
	for _, h := range w.hosts {
		if over := h.worker.Over(); len(over) > 0 {
			w.t.Errorf("%s: starts over its capacity: %v", h.name, over)
		}
	}
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) TookOver()                          {}
func (noMeter) Ordered(time.Duration, bool)        {}
func (noMeter) RunEnded(wire.EndCause)             {}
func (noMeter) JobEnded(rows.State, time.Duration) {}
