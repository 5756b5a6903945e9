package owner_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/owner"
	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	zone        = ident.AvailabilityZone("agadir")
	detectAfter = 8 * time.Second // silence after which an entry is considered dead
	wireDelay   = 3 * time.Millisecond
)

var (
	workerCapacity = sizes.Resources{Processors: 16000, Memory: 64 << 30}
	taskSize       = sizes.Resources{Processors: 1000, Memory: 1 << 30}
	errDead        = errors.New("the process is dead")
)

// gate blocks all communication of a simulated process while it is paused, and permanently once it is dead.
type gate struct {
	mu     sync.Mutex
	paused chan struct{} // closed on resume; nil while not paused
	since  time.Time     // when the process was paused, killed or hidden
	dead   bool
	hidden bool
}

// hide makes the process appear dead to the others for d although it continues to run.
func (g *gate) hide(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hidden, g.since = true, time.Now()
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.hidden = false
	})
}

// pass waits while the process is paused and reports whether it is alive.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		c, dead := g.paused, g.dead
		g.mu.Unlock()
		if dead || c == nil {
			return !dead
		}
		<-c
	}
}

func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil || g.dead {
		return
	}
	c := make(chan struct{})
	g.paused, g.since = c, time.Now()
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.paused = nil
		close(c)
	})
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.dead && g.paused == nil {
		g.since = time.Now()
	}
	g.dead = true
}

// silentFor returns for how long the process has been paused, dead or hidden.
func (g *gate) silentFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead || g.hidden || g.paused != nil {
		return time.Since(g.since)
	}
	return 0
}

// gatedStore is the store client of one entry, subject to its gate.
type gatedStore struct {
	table.Store
	gate *gate
}

func (s gatedStore) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	if !s.gate.pass() {
		return table.Result{}, errDead
	}
	res, err := s.Store.Transact(ctx, t)
	if !s.gate.pass() {
		return table.Result{}, errDead
	}
	return res, err
}

func (s gatedStore) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	if !s.gate.pass() {
		return nil, errDead
	}
	rows, err := s.Store.Range(ctx, from, to, limit)
	s.gate.pass()
	return rows, err
}

// cluster is a simulated deployment of one zone in virtual time: entries with their owners, and workers with agents.
type cluster struct {
	t          testing.TB
	ctx        context.Context
	store      *store.Store
	parts      []ident.Partition
	terms      lease.Terms
	writes     float64
	hook       func(e *entry, s point.Step, detail string) error
	deliveryOf func(m wire.Message) delivery // how the fault script delivers a message; optional

	mu       sync.Mutex
	draining *entry // no longer assigned any partitions
	entries  map[ident.Entry]*entry
	agents   map[ident.Worker]*agent
	workers  []*standin.Worker
	wg       sync.WaitGroup
}

func newCluster(t testing.TB, o store.Options, partitions int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		t: t, ctx: ctx, store: store.New(o), terms: lease.Default(), writes: 300,
		entries: map[ident.Entry]*entry{}, agents: map[ident.Worker]*agent{},
	}
	for n := range partitions {
		c.parts = append(c.parts, ident.Partition{Zone: zone, Number: uint16(n)})
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range c.workers {
			s.Close()
		}
		for _, e := range c.entries {
			e.gate.kill()
		}
		c.wg.Wait()
	})
	return c
}

// entry is one simulated entry process.
type entry struct {
	cluster *cluster
	self    commit.Self
	owner   *owner.Owner
	gate    *gate
	cancel  context.CancelFunc
}

func (c *cluster) addEntry(name ident.Entry) *entry {
	e := &entry{cluster: c, self: commit.Self{Name: name, Incarnation: ident.NewIncarnation()}, gate: &gate{}}
	e.owner = owner.New(owner.Config{
		Self: e.self, Store: gatedStore{c.store.Client(string(name)), e.gate}, Members: e, Peers: e, Terms: c.terms,
		WritesPerSecond: c.writes, Log: zap.NewNop(),
		Hook: func(s point.Step, detail string) error {
			if c.hook != nil {
				if err := c.hook(e, s, detail); err != nil {
					return err
				}
			}
			if !e.gate.pass() {
				return errDead
			}
			return nil
		},
	})
	ctx, cancel := context.WithCancel(c.ctx)
	e.cancel = cancel
	c.mu.Lock()
	c.entries[name] = e
	c.mu.Unlock()
	c.wg.Go(func() { e.owner.Run(ctx) })
	return e
}

// kill terminates the process without a handover.
func (e *entry) kill() {
	e.gate.kill()
	e.cancel()
	for _, a := range e.cluster.allAgents() {
		a.disconnect(e, 0)
	}
}

func (c *cluster) live() []*entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*entry
	for _, e := range c.entries {
		if e.gate.silentFor() < detectAfter && e != c.draining {
			list = append(list, e)
		}
	}
	return list
}

func (c *cluster) allAgents() []*agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*agent
	for _, a := range c.agents {
		list = append(list, a)
	}
	return list
}

// choice returns the live entry that rendezvous hashing selects for a partition.
func (c *cluster) choice(p ident.Partition) *entry {
	return slices.MaxFunc(append(c.live(), nil), func(a, b *entry) int {
		rank := func(e *entry) uint64 {
			if e == nil {
				return 0
			}
			return xxhash.Sum64String(string(e.self.Name) + p.String())
		}
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
}

// Partitions and the methods below implement owner.Members and owner.Peers.
func (e *entry) Partitions() []ident.Partition { return e.cluster.parts }

func (e *entry) Candidates() []ident.Partition { return e.cluster.parts }

func (e *entry) ShouldOwn(p ident.Partition) bool { return e.cluster.choice(p) == e }

func (e *entry) IsAlive(name ident.Entry, inc ident.Incarnation) bool {
	return slices.ContainsFunc(e.cluster.live(), func(o *entry) bool {
		return o.self.Name == name && o.self.Incarnation == inc
	})
}

func (e *entry) Free(ident.AvailabilityZone) sizes.Resources { return workerCapacity }

func (e *entry) Policy(ident.Team) (float64, sizes.Resources) { return 1, sizes.Resources{} }

func (e *entry) Send(p ident.Partition, m wire.Message) error {
	c := e.cluster
	if o := c.choice(p); o != nil {
		time.AfterFunc(wireDelay, func() {
			if e.gate.pass() && o.gate.pass() {
				o.owner.HandlePeer(c.copy(m))
			}
		})
	}
	return nil
}

// copy encodes and decodes a message, as a connection would.
func (c *cluster) copy(m wire.Message) wire.Message {
	b, err := wire.Pack(m)
	if err == nil {
		m, err = wire.Decode(m.Kind(), b)
	}
	if err != nil {
		c.t.Error(err)
	}
	return m
}

// ownerOf returns the owner of a partition and waits until there is one.
func (c *cluster) ownerOf(p ident.Partition) *owner.Owner {
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > time.Hour {
			c.t.Fatalf("partition %s has had no owner for an hour", p)
		}
		for _, e := range c.live() {
			if e.owner.Owns(p) && e.gate.silentFor() == 0 {
				return e.owner
			}
		}
	}
}

// submit repeats a submission until it is accepted.
func (c *cluster) submit(spec wire.JobSpec) {
	c.t.Helper()
	c.call(spec.Job, func(ctx context.Context, o *owner.Owner, home ident.Partition) *wire.JobReply {
		return o.Submit(ctx, &wire.JobSubmit{Home: home, Spec: spec})
	})
}

// call repeats a call for a job until its outcome is known.
func (c *cluster) call(
	job ident.Job, f func(context.Context, *owner.Owner, ident.Partition) *wire.JobReply,
) *wire.JobReply {
	c.t.Helper()
	home := part.Home(job, c.parts)
	for range 2000 { // about 3 h
		ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
		r := f(ctx, c.ownerOf(home), home)
		cancel()
		if r.Status < 500 && r.Detail != owner.Unconfirmed {
			return r
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("no outcome of a call for job %s", job)
	return nil
}

// status returns the progress of a job.
func (c *cluster) status(job ident.Job) wire.JobStatus {
	c.t.Helper()
	r := c.call(job, func(ctx context.Context, o *owner.Owner, home ident.Partition) *wire.JobReply {
		return o.Query(ctx, &wire.JobQuery{Home: home, Job: job})
	})
	if len(r.Jobs) != 1 {
		c.t.Fatalf("query of %s: %+v", job, r)
	}
	return r.Jobs[0]
}

// finish waits until a job is finished and returns its final status.
func (c *cluster) finish(job ident.Job, within time.Duration) wire.JobStatus {
	c.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(time.Second) {
		st := c.status(job)
		if st.Finished {
			return st
		}
		if time.Now().After(end) {
			c.t.Fatalf("job %s is not finished after %v: %+v", job, within, st)
		}
	}
}

func spec(job ident.Job, tasks uint32, command string) wire.JobSpec {
	return wire.JobSpec{Job: job, Team: "plans", Tasks: tasks, Command: command, Size: taskSize}
}

// intervals returns when and where each attempt ran.
func (c *cluster) intervals() []standin.Interval {
	var list []standin.Interval
	for _, s := range c.workers {
		list = append(list, s.History()...)
	}
	return list
}

// cancel cancels a job.
func (c *cluster) cancel(job ident.Job) {
	c.t.Helper()
	c.call(job, func(ctx context.Context, o *owner.Owner, home ident.Partition) *wire.JobReply {
		return o.Cancel(ctx, &wire.JobCancel{Home: home, Job: job, Author: "operator"})
	})
}
