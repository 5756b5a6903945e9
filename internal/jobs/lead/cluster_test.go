package lead_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	cell       = "main"
	lease      = 6 * time.Second
	leaseLimit = 10 * time.Second // of a worker
	stopTime   = 400 * time.Millisecond
	linkDelay  = 3 * time.Millisecond
	hedgeDelay = 150 * time.Millisecond
)

var errDisconnected = errors.New("session is disconnected")

// cluster is an in-memory cell: a store, entries that may lead, and agents with their workers.
type cluster struct {
	t      testing.TB
	store  *memory.Store
	plan   func(wire.Run) runs.Plan
	log    *zap.Logger
	errors *observer.ObservedLogs // errors that the leaders have logged
	ctx    context.Context
	random *rand.Rand // guarded by randomMu

	randomMu    sync.Mutex
	mu          sync.Mutex
	wg          sync.WaitGroup
	entries     map[string]*entry
	hosts       map[string]*host
	isolated    map[string]bool // entries and agents that no other process can reach
	storeDown   map[string]bool // callers whose requests the store refuses
	partitioned map[string]bool // pairs "entry/agent" that cannot reach each other
	notifyEntry string          // entry that callers notify of jobs; empty for the current leader
	faults      func(caller string) memory.Fault
	advisor     lead.Advisor // nil for none
	evacuator                // of zones
	policy      order.Policy
}

// entry is a process that may lead.
type entry struct {
	name   string
	leader *lead.Leader
	cancel context.CancelFunc
	done   chan struct{}
}

// host is an agent and its worker.
type host struct {
	name   string
	worker *runs.Worker
	agent  *driver.Agent
	cancel context.CancelFunc
	starts int
	links  []*endpoint
}

func newCluster(ctx context.Context, t testing.TB, seed uint64) *cluster {
	core, logged := observer.New(zap.ErrorLevel)
	c := &cluster{
		t: t, store: memory.New(), ctx: ctx, random: rand.New(rand.NewPCG(seed, 1)), log: zap.New(core), errors: logged,
		entries: make(map[string]*entry), hosts: make(map[string]*host), isolated: make(map[string]bool),
		storeDown: make(map[string]bool), partitioned: make(map[string]bool),
	}
	c.plan = func(wire.Run) runs.Plan {
		return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Second}
	}
	c.store.NextFault = func(caller string) memory.Fault {
		c.mu.Lock()
		defer c.mu.Unlock()
		if caller == operatorName {
			return memory.Fault{} // repeats its changes until they are acknowledged
		}
		if c.storeDown[caller] || c.storeDown[strings.TrimPrefix(caller, readsOf)] {
			return memory.Fault{Refuse: true}
		}
		if c.faults != nil {
			return c.faults(caller)
		}
		return memory.Fault{}
	}
	return c
}

// randN returns a random number below n.
func (c *cluster) randN(n int) int {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return c.random.IntN(n)
}

// addEntry starts a process that may lead.
func (c *cluster) addEntry(name string) {
	ctx, cancel := context.WithCancel(c.ctx)
	e := &entry{name: name, cancel: cancel, done: make(chan struct{})}
	n := &network{cluster: c, entry: name, links: make(map[string]context.CancelFunc)}
	delay := time.Duration(len(c.entries)) * 50 * time.Millisecond
	cfg := lead.Config{
		Cell: cell, Name: name, Address: name + ":1", Store: c.store.Client(name), Lease: lease, LeaseLimit: leaseLimit,
		HedgeDelay: func() time.Duration { return hedgeDelay }, Retention: time.Minute,
		Queues: &queues.Holder{}, Network: n, Advisor: c.advisor, Order: c.policy, Meter: noMeter{&c.withheld},
		Log: c.log.With(zap.String("Entry", name)),
	}
	if c.usesEvacuations {
		cfg.EvacuationBound, cfg.Evacuations = evacBound, c.evacuations(name)
	}
	e.leader = lead.NewLeader(cfg, func() time.Duration { return delay })
	c.mu.Lock()
	c.entries[name] = e
	c.mu.Unlock()
	go func() {
		defer close(e.done)
		e.leader.Run(ctx)
		n.close()
	}()
}

// kill stops an entry without a handover.
func (c *cluster) kill(name string) {
	c.set(c.isolated, name, true)
	c.set(c.storeDown, name, true)
	c.dropLinks(name)
	c.mu.Lock()
	e := c.entries[name]
	c.mu.Unlock()
	e.cancel()
	<-e.done
}

// stop ends an entry with a handover.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	e := c.entries[name]
	c.mu.Unlock()
	e.cancel()
	<-e.done
}

// restart starts an entry again after kill.
func (c *cluster) restart(name string) {
	c.set(c.isolated, name, false)
	c.set(c.storeDown, name, false)
	c.addEntry(name)
}

func (c *cluster) set(m map[string]bool, name string, v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m[name] = v
}

func (c *cluster) isSet(m map[string]bool, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m[name]
}

// term returns the term of the entry that leads with the highest epoch, or nil.
func (c *cluster) term() *lead.Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *lead.Term
	if e := c.entries[c.notifyEntry]; e != nil {
		return e.leader.Term()
	}
	for _, e := range c.entries {
		if t := e.leader.Term(); t != nil && (best == nil || t.Epoch() > best.Epoch()) {
			best = t
		}
	}
	return best
}

// awaitTerm waits until an entry leads.
func (c *cluster) awaitTerm(limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); c.term() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("no entry leads after %v", limit)
		}
	}
}

// addHost starts a worker with its agent.
func (c *cluster) addHost(name string, processors int64) *host {
	return c.addHostIn("agadir", name, processors)
}

// addHostIn starts a worker with its agent in a zone.
func (c *cluster) addHostIn(zone, name string, processors int64) *host {
	h := &host{name: name, worker: &runs.Worker{
		Name: name, Zone: zone, Capacity: sizes.Resources{Processors: processors, Memory: 1 << 40}, StopTime: stopTime, MaxLease: leaseLimit,
		Plan: func(r wire.Run) runs.Plan { return c.plan(r) },
	}}
	c.mu.Lock()
	c.hosts[name] = h
	c.mu.Unlock()
	c.startWorker(h)
	c.startAgent(h)
	return h
}

// startWorker starts a new process of the worker, which has no runs.
func (c *cluster) startWorker(h *host) {
	h.starts++
	h.worker.Restart(wire.WorkerIncarnation{ID: fmt.Sprintf("%s-%d", h.name, h.starts), StartedAt: int64(h.starts)})
}

// startAgent starts an agent without any state, as after a restart of its process.
func (c *cluster) startAgent(h *host) { c.restartAgent(h, h.worker.State()) }

// restartAgent starts an agent without any state, which receives first before the announcements of the worker.
func (c *cluster) restartAgent(h *host, first wire.WorkerState) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	if h.cancel != nil {
		h.cancel()
	}
	a := driver.New(driver.Config{Worker: h.worker, Lease: lease, Log: c.log.With(zap.String("Agent", h.name))})
	h.agent, h.cancel = a, cancel
	c.mu.Unlock()
	c.dropLinks(h.name)
	c.wg.Go(func() { a.Run(ctx) })
	c.wg.Go(func() {
		a.Announce(first, 1)
		if first.Incarnation != h.worker.Incarnation() {
			wait(ctx, 500*time.Millisecond)
		}
		for n := uint64(1); ctx.Err() == nil; n++ {
			a.Announce(h.worker.State(), n)
			c.register(ctx, h)
			wait(ctx, 1500*time.Millisecond)
		}
	})
}

// register stores the agent's row unless it exists.
func (c *cluster) register(ctx context.Context, h *host) {
	value, err := rows.Encode(&rows.Agent{Name: h.name, Zone: h.worker.Zone, Address: h.name + ":1"})
	if err != nil {
		c.t.Error(err)
		return
	}
	ref := rows.AgentRef(cell, h.name)
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// An existing row is left unchanged; a failure is retried with the next announcement.
	_, _ = c.store.Client(h.name).Change(limited, rows.Change{
		Conditions: []rows.Condition{{Ref: ref}}, Puts: []rows.Row{{Ref: ref, Value: value}},
	})
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// dropLinks closes the sessions of an entry or agent.
func (c *cluster) dropLinks(name string) {
	c.mu.Lock()
	var list []*endpoint
	for _, h := range c.hosts {
		for _, l := range h.links {
			if l.entry == name || l.host == name {
				list = append(list, l)
			}
		}
		h.links = slices.DeleteFunc(h.links, func(l *endpoint) bool { return l.entry == name || l.host == name })
	}
	c.mu.Unlock()
	for _, l := range list {
		l.Close(errDisconnected)
	}
}

// leaderClient forwards requests of an intake to the current leader.
type leaderClient struct {
	cluster *cluster
}

func (r leaderClient) Epoch() uint64 {
	if t := r.cluster.term(); t != nil {
		return t.Epoch()
	}
	return 0
}

func (r leaderClient) IsSelf() bool { return false }

func (r leaderClient) Notify(epoch uint64, m *wire.JobAsk) {
	if t := r.cluster.term(); t != nil && t.Epoch() == epoch {
		t.Request(&endpoint{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}, m)
	}
}

func (r leaderClient) Request(ctx context.Context, m *wire.JobAsk) (*wire.JobTell, error) {
	t := r.cluster.term()
	if t == nil {
		return nil, intake.ErrNoLeader
	}
	e := &endpoint{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}
	t.Request(e, m)
	select {
	case reply := <-e.out:
		return reply.(*wire.JobTell), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// intake returns an intake that always reaches the store and the leader.
func (c *cluster) intake() *intake.Intake { return c.intakeOf("caller") }

// intakeOf returns an intake whose requests to the store are made by caller.
func (c *cluster) intakeOf(caller string) *intake.Intake {
	return intake.New(intake.Config{
		Cell: cell, Store: c.store.Client(caller), Leader: leaderClient{c}, Log: c.log,
		FailingSince: func() time.Time { return time.Time{} }, HedgeDelay: func() time.Duration { return hedgeDelay },
	})
}

// job returns a job whose steps depend on each other in sequence and have the same number of tasks.
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

// submit stores a job and notifies the leader.
func (c *cluster) submit(j *spec.Job) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	if v := c.intake().Submit(ctx, j).Verdict; v != intake.Accepted {
		c.t.Errorf("job %s: %v", j.ID, v)
	}
}

// submitUntil repeats a submission until it is accepted, as clients do.
func (c *cluster) submitUntil(j *spec.Job) {
	c.t.Helper()
	for range 30 {
		ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
		v := c.intake().Submit(ctx, j).Verdict
		cancel()
		if v == intake.Accepted {
			return
		}
		time.Sleep(intake.RetryAfter)
	}
	c.t.Errorf("job %s is not accepted", j.ID)
}

// state returns the state that callers see.
func (c *cluster) state(id spec.ID) rows.State {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	s, v := c.intake().State(ctx, id)
	if v != intake.Accepted {
		return rows.Queued
	}
	return s
}

// encodeCheckpoints returns the progress of a job with a checkpoint for each task.
func encodeCheckpoints(tb testing.TB, tasks int) []byte {
	tb.Helper()
	p := rows.JobProgress{State: rows.Running, Done: make([]byte, (tasks+7)/8)}
	for i := range tasks {
		p.Tasks = append(p.Tasks, rows.TaskProgress{Task: i, Checkpoint: fmt.Sprintf("%016d", i)})
	}
	value, err := rows.Encode(p)
	if err != nil {
		tb.Fatal(err)
	}
	return value
}

// putProgress stores a checkpoint for each task of a job, as an earlier leader did.
func (c *cluster) putProgress(j *spec.Job) {
	c.t.Helper()
	change := rows.Change{Puts: []rows.Row{{
		Ref: rows.ProgressRef(cell, j.ID), Value: encodeCheckpoints(c.t, j.TaskCount()),
	}}}
	if _, err := c.store.Client("caller").Change(c.ctx, change); err != nil {
		c.t.Fatal(err)
	}
}

// awaitProgress waits until the store has a task of the job as done.
func (c *cluster) awaitProgress(id spec.ID, limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		page, err := c.store.Client("caller").Read(c.ctx, rows.ProgressRef(cell, id).One())
		if err != nil || len(page.Rows) == 0 {
			continue
		}
		var p rows.JobProgress
		if err := rows.Decode(page.Rows[0], &p); err != nil {
			c.t.Fatal(err)
		}
		if slices.ContainsFunc(p.Done, func(b byte) bool { return b != 0 }) {
			return
		}
	}
	c.t.Errorf("job %s: no done task is stored after %v", id, limit)
}

// awaitState waits until a job has a state as seen by callers, and reports an error after limit.
func (c *cluster) awaitState(id spec.ID, want rows.State, limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.state(id) == want {
			return
		}
	}
	c.t.Errorf("job %s is %v after %v; want %v", id, c.state(id), limit, want)
}

// records returns the runs of all workers by task, in order of their start.
func (c *cluster) records() map[string][]runs.Record {
	all := make(map[string][]runs.Record)
	for _, h := range c.hosts {
		for _, r := range h.worker.Records() {
			all[r.Run.Task] = append(all[r.Run.Task], r)
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b runs.Record) int { return a.Began.Compare(b.Began) })
	}
	return all
}

// checkRuns reports overlapping runs of a task, starts of a task after its success was acknowledged, starts that exceed
// the capacity of a worker, and panics of leaders.
func (c *cluster) checkRuns() {
	c.t.Helper()
	for _, e := range c.errors.All() {
		c.t.Errorf("error in a log: %s %v", e.Message, e.ContextMap())
	}
	for task, list := range c.records() {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.Ended.IsZero() || b.Began.Before(a.Ended) {
					c.t.Errorf("%s: run %d on %s from %v and run %d on %s from %v overlap", task, a.Run.Number, a.Worker,
						a.Began.Format("05.000"), b.Run.Number, b.Worker, b.Began.Format("05.000"))
				}
				if a.Cause == wire.EndDone && !a.Acknowledged.IsZero() {
					c.t.Errorf("%s: run %d succeeded and was acknowledged on %s, but run %d started on %s", task,
						a.Run.Number, a.Worker, b.Run.Number, b.Worker)
				}
			}
		}
	}
	for _, h := range c.hosts {
		if over := h.worker.Overcommitted(); len(over) > 0 {
			c.t.Errorf("%s: starts exceed its capacity: %v", h.name, over)
		}
	}
}
