package owner_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/owner"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/host/runner"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	heartbeatInterval = 5 * time.Second
	redialInterval    = time.Second
)

// delivery is how a fault script delivers a message; a session preserves the order of messages in any case.
type delivery struct {
	lost       bool
	duplicated bool
	delay      time.Duration
}

// agent is one simulated agent process with the real runner and ledger and a simulated worker.
type agent struct {
	cluster *cluster
	info    owner.AgentInfo
	worker  *standin.Worker
	gate    *gate
	ledger  *ledger.Ledger
	runner  *runner.Runner
	cancel  context.CancelFunc

	mu          sync.Mutex
	conns       map[*entry]*conn
	reconnectAt map[*entry]time.Time // no new session before this time
}

// gatedWorker is the worker client of an agent process, subject to its gate.
type gatedWorker struct {
	worker.Platform
	gate *gate
}

func (g gatedWorker) Start(ctx context.Context, s worker.Start) error {
	if !g.gate.pass() {
		return errDead
	}
	return g.Platform.Start(ctx, s)
}

func (g gatedWorker) Renew(ctx context.Context, list []worker.Renewal) ([]worker.Ref, error) {
	if !g.gate.pass() {
		return nil, errDead
	}
	return g.Platform.Renew(ctx, list)
}

// addWorkers adds n workers, three per rack, and starts an agent for each.
func (c *cluster) addWorkers(n int) {
	for i := range n {
		c.addWorker(ident.Worker(fmt.Sprintf("w%d", i)), fmt.Sprintf("rack%d", i/3))
	}
}

// addWorker adds a worker and starts its agent.
func (c *cluster) addWorker(name ident.Worker, rack string) {
	s := standin.New(standin.Options{Worker: name, Zone: zone, Total: workerCapacity, Objects: c.store})
	c.workers = append(c.workers, s)
	c.startAgent(s, name, rack)
}

// startAgent starts an agent process for a worker; an earlier one must have been killed.
func (c *cluster) startAgent(s *standin.Worker, name ident.Worker, rack string) {
	a := &agent{
		cluster: c, worker: s, gate: &gate{}, ledger: ledger.New(workerCapacity),
		info:  owner.AgentInfo{Worker: name, Incarnation: ident.NewIncarnation(), Zone: zone, Rack: rack, Capacity: workerCapacity},
		conns: map[*entry]*conn{}, reconnectAt: map[*entry]time.Time{},
	}
	a.runner = runner.New(runner.Config{
		Incarnation: a.info.Incarnation, Worker: gatedWorker{s, a.gate}, Ledger: a.ledger, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(c.ctx)
	a.cancel = cancel
	c.mu.Lock()
	c.agents[name] = a
	c.mu.Unlock()
	c.wg.Go(func() {
		if a.runner.Restore(ctx) != nil {
			return
		}
		c.wg.Go(func() { a.runner.Run(ctx) })
		a.connect(ctx)
	})
}

// kill terminates the agent process; the worker continues to run.
func (a *agent) kill() {
	a.gate.kill()
	a.cancel()
	for _, e := range a.cluster.live() {
		a.disconnect(e, time.Hour)
	}
}

func (a *agent) restart() { a.cluster.startAgent(a.worker, a.info.Worker, a.info.Rack) }

// connect maintains sessions with all live entries and sends heartbeats on them.
func (a *agent) connect(ctx context.Context) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		if a.gate.pass() {
			for _, e := range a.cluster.live() {
				a.dial(e)
			}
			if n%uint64(heartbeatInterval/redialInterval) == 0 {
				for _, c := range a.sessions() {
					c.sendHeartbeat(n)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (a *agent) sessions() []*conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []*conn
	for _, c := range a.conns {
		list = append(list, c)
	}
	return list
}

// dial opens a session with an entry unless there is one or the entry is unreachable.
func (a *agent) dial(e *entry) {
	a.mu.Lock()
	if a.conns[e] != nil || time.Now().Before(a.reconnectAt[e]) || e.gate.silentFor() > 0 {
		a.mu.Unlock()
		return
	}
	c := &conn{agent: a, entry: e, toAgent: make(chan wire.Message, 4096), toEntry: make(chan wire.Message, 4096),
		closed: make(chan struct{})}
	a.conns[e] = c
	a.mu.Unlock()
	e.owner.SessionOpened(c)
	a.cluster.wg.Go(func() {
		c.transmit(c.toAgent, a.gate, func(m wire.Message) { a.runner.HandleMessage(toOwner{c}, m) })
	})
	a.cluster.wg.Go(func() { c.transmit(c.toEntry, e.gate, func(m wire.Message) { e.owner.HandleAgent(c, m) }) })
	c.sendHeartbeat(0)
}

// disconnect closes the session with an entry and prevents a new one for d.
func (a *agent) disconnect(e *entry, d time.Duration) {
	a.mu.Lock()
	c := a.conns[e]
	delete(a.conns, e)
	a.reconnectAt[e] = time.Now().Add(d)
	a.mu.Unlock()
	if c == nil {
		return
	}
	close(c.closed)
	a.cluster.wg.Go(func() {
		if e.gate.pass() {
			e.owner.SessionClosed(c)
		}
	})
	a.cluster.wg.Go(func() {
		if a.gate.pass() {
			a.runner.HandleClosed(a.cluster.ctx, toOwner{c})
		}
	})
}

// conn is a session; each direction delivers messages in order.
type conn struct {
	agent   *agent
	entry   *entry
	toAgent chan wire.Message
	toEntry chan wire.Message
	closed  chan struct{}
}

// Info implements owner.Agent.
func (c *conn) Info() owner.AgentInfo { return c.agent.info }

// Send implements owner.Agent.
func (c *conn) Send(m wire.Message) error { return c.enqueue(c.toAgent, m) }

// toOwner is the agent's end of a session.
type toOwner struct{ c *conn }

// Send implements runner.Owner.
func (o toOwner) Send(m wire.Message) error { return o.c.enqueue(o.c.toEntry, m) }

func (c *conn) enqueue(q chan wire.Message, m wire.Message) error {
	select {
	case <-c.closed:
		return errDead
	case q <- c.agent.cluster.copy(m):
		return nil
	default:
		return errDead
	}
}

// transmit delivers the messages of one direction with the delay and the faults of the script.
func (c *conn) transmit(q chan wire.Message, to *gate, deliver func(wire.Message)) {
	for {
		var m wire.Message
		select {
		case <-c.closed:
			return
		case <-c.agent.cluster.ctx.Done():
			return
		case m = <-q:
		}
		d := delivery{}
		if deliveryOf := c.agent.cluster.deliveryOf; deliveryOf != nil {
			d = deliveryOf(m)
		}
		time.Sleep(wireDelay + d.delay)
		if d.lost || !to.pass() {
			continue
		}
		deliver(m)
		if d.duplicated {
			deliver(c.agent.cluster.copy(m))
		}
	}
}

// sendHeartbeat sends a heartbeat on the session.
func (c *conn) sendHeartbeat(seq uint64) {
	a := c.agent
	if !a.gate.pass() {
		return
	}
	err := toOwner{c}.Send(&wire.Heartbeat{
		Seq: seq, SentAt: a.runner.Now(), Free: a.ledger.Free(), Renew: a.runner.Renewals(toOwner{c}),
	})
	if err != nil {
		a.cluster.t.Logf("heartbeat of %s: %v", a.info.Worker, err)
	}
}
