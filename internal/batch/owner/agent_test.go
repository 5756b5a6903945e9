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
	beatEvery   = 5 * time.Second
	redialAfter = time.Second
)

// verdict is what a fault script does to a message; sessions keep the order of messages in any case.
type verdict struct {
	lost    bool
	twice   bool
	delayed time.Duration
}

// agent is one agent process with the real runner and ledger, beside a worker stand-in.
type agent struct {
	w      *world
	info   owner.AgentInfo
	worker *standin.Worker
	gate   *gate
	ledger *ledger.Ledger
	runner *runner.Runner
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[*entry]*conn
	until map[*entry]time.Time // no session before
}

// gatedWorker is the worker as the agent process reaches it.
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

func (w *world) addWorkers(n int) {
	for i := range n {
		name := ident.Worker(fmt.Sprintf("w%d", i))
		s := standin.New(standin.Options{Worker: name, Zone: zone, Total: means, Objects: w.store})
		w.workers = append(w.workers, s)
		w.startAgent(s, name, fmt.Sprintf("rack%d", i/3))
	}
}

// startAgent starts an agent process; an earlier one on the same worker is dead.
func (w *world) startAgent(s *standin.Worker, name ident.Worker, rack string) {
	a := &agent{
		w: w, worker: s, gate: &gate{}, ledger: ledger.New(means),
		info:  owner.AgentInfo{Worker: name, Incarnation: ident.NewIncarnation(), Zone: zone, Rack: rack, Means: means},
		conns: map[*entry]*conn{}, until: map[*entry]time.Time{},
	}
	a.runner = runner.New(runner.Config{
		Incarnation: a.info.Incarnation, Worker: gatedWorker{s, a.gate}, Ledger: a.ledger, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(w.ctx)
	a.cancel = cancel
	w.mu.Lock()
	w.agents[name] = a
	w.mu.Unlock()
	w.wg.Go(func() {
		if a.runner.Restore(ctx) != nil {
			return
		}
		w.wg.Go(func() { a.runner.Run(ctx) })
		a.connect(ctx)
	})
}

// kill ends the agent process and leaves the worker running.
func (a *agent) kill() {
	a.gate.kill()
	a.cancel()
	for _, e := range a.w.live() {
		a.cut(e, time.Hour)
	}
}

func (a *agent) restart() { a.w.startAgent(a.worker, a.info.Worker, a.info.Rack) }

// connect keeps sessions with all live entries and sends heartbeats on them.
func (a *agent) connect(ctx context.Context) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		if a.gate.pass() {
			for _, e := range a.w.live() {
				a.dial(e)
			}
			if n%uint64(beatEvery/redialAfter) == 0 {
				for _, c := range a.sessions() {
					c.beat(n)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialAfter):
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

func (a *agent) dial(e *entry) {
	a.mu.Lock()
	if a.conns[e] != nil || time.Now().Before(a.until[e]) || e.gate.silentFor() > 0 {
		a.mu.Unlock()
		return
	}
	c := &conn{agent: a, entry: e, toAgent: make(chan wire.Message, 4096), toEntry: make(chan wire.Message, 4096),
		closed: make(chan struct{})}
	a.conns[e] = c
	a.mu.Unlock()
	e.owner.SessionUp(c)
	a.w.wg.Go(func() {
		c.carry(c.toAgent, a.gate, func(m wire.Message) { a.runner.HandleMessage(toOwner{c}, m) })
	})
	a.w.wg.Go(func() { c.carry(c.toEntry, e.gate, func(m wire.Message) { e.owner.HandleAgent(c, m) }) })
	c.beat(0)
}

// cut ends the session with an entry; no new one opens for d.
func (a *agent) cut(e *entry, d time.Duration) {
	a.mu.Lock()
	c := a.conns[e]
	delete(a.conns, e)
	a.until[e] = time.Now().Add(d)
	a.mu.Unlock()
	if c == nil {
		return
	}
	close(c.closed)
	a.w.wg.Go(func() {
		if e.gate.pass() {
			e.owner.SessionDown(c)
		}
	})
	a.w.wg.Go(func() {
		if a.gate.pass() {
			a.runner.HandleClosed(a.w.ctx, toOwner{c})
		}
	})
}

// conn is a session; each direction delivers in order.
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
func (c *conn) Send(m wire.Message) error { return c.put(c.toAgent, m) }

// toOwner is the agent's end of a session.
type toOwner struct{ c *conn }

// Send implements runner.Owner.
func (o toOwner) Send(m wire.Message) error { return o.c.put(o.c.toEntry, m) }

func (c *conn) put(q chan wire.Message, m wire.Message) error {
	select {
	case <-c.closed:
		return errDead
	case q <- c.agent.w.copy(m):
		return nil
	default:
		return errDead
	}
}

// carry delivers the messages of one direction.
func (c *conn) carry(q chan wire.Message, to *gate, deliver func(wire.Message)) {
	for {
		var m wire.Message
		select {
		case <-c.closed:
			return
		case <-c.agent.w.ctx.Done():
			return
		case m = <-q:
		}
		v := verdict{}
		if f := c.agent.w.verdict; f != nil {
			v = f(m)
		}
		time.Sleep(wireDelay + v.delayed)
		if v.lost || !to.pass() {
			continue
		}
		deliver(m)
		if v.twice {
			deliver(c.agent.w.copy(m))
		}
	}
}

// beat sends a heartbeat.
func (c *conn) beat(seq uint64) {
	a := c.agent
	if !a.gate.pass() {
		return
	}
	err := toOwner{c}.Send(&wire.Heartbeat{
		Seq: seq, SentAt: a.runner.Now(), Free: a.ledger.Free(), Renew: a.runner.Renewals(toOwner{c}),
	})
	if err != nil {
		a.w.t.Logf("heartbeat of %s: %v", a.info.Worker, err)
	}
}
