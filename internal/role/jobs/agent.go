package jobs

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

const (
	registerTimeout = 1500 * time.Millisecond // for a response of the store
	registerRetry   = 400 * time.Millisecond  // delay after a failure
	reregisterAfter = 5 * time.Second         // without a leader, after which the agent registers again
	callsInterval   = time.Second             // between updates of the gauges of open calls
)

// errRowChanged is returned when the row of the agent has changed while its address was being stored.
var errRowChanged = errors.New("the row of the agent has changed")

// AgentConfig configures an Agent.
type AgentConfig struct {
	Cell    string
	Name    string
	Zone    string
	Address string // at which leaders open sessions, HOST:PORT
	Listen  string // address of the listener, HOST:PORT; empty for Address
	Key     []byte // shared key of the session handshake
	Lease   time.Duration
	Worker  driver.Worker
	Store   rows.Store
	Guard   *guard.Guard // of the listener for sessions; nil for no limits
	Metrics *metric.Set
	Log     *zap.Logger
}

// Agent executes the leader's commands on the worker of its instance.
type Agent struct {
	cfg      AgentConfig
	driver   *driver.Agent
	calls    *driver.Monitor // of the worker
	listener net.Listener
	sessions sess.Config

	mu    sync.Mutex
	links map[*sess.Session]*link
	ctx   context.Context // passed to Run; bounds the execution of commands
}

// NewAgent returns an agent and opens its listener for sessions; it returns an error if the address cannot be bound.
func NewAgent(ctx context.Context, cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg, links: make(map[*sess.Session]*link), ctx: ctx}
	a.calls = driver.NewMonitor(cfg.Worker, meter{cfg.Metrics})
	a.driver = driver.New(driver.Config{Worker: a.calls, Lease: cfg.Lease, Log: cfg.Log})
	a.sessions = sess.Config{
		Self: wire.Hello{
			Role: wire.RoleAgent, Name: cfg.Name, Incarnation: ident.NewIncarnation(),
			Zone: ident.AvailabilityZone(cfg.Zone),
		},
		Key: cfg.Key, Log: cfg.Log,
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", cmp.Or(cfg.Listen, cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for sessions: %w", err)
	}
	if cfg.Guard != nil {
		ln = cfg.Guard.WrapSessions(ln)
	}
	a.listener = ln
	return a, nil
}

// Driver returns the executor of commands, which also receives the worker's announcements.
func (a *Agent) Driver() *driver.Agent { return a.driver }

// Run registers the agent and serves sessions until ctx ends; it returns an error if the listener fails.
func (a *Agent) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { a.driver.Run(ctx) })
	wg.Go(func() { a.register(ctx) })
	wg.Go(func() {
		pause.Every(ctx, callsInterval, func() {
			a.calls.Report()
			a.driver.ReportWaiting(meter{a.cfg.Metrics})
		})
	})
	err := sess.Serve(ctx, a.listener, a.sessions, a)
	wg.Wait()
	return err
}

// register stores the address of the agent, and stores it again whenever no leader was connected for reregisterAfter.
func (a *Agent) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.storeAddress(ctx); err != nil {
			event.Log(a.cfg.Log, event.RegisterFailed, zap.Error(err))
			pause.For(ctx, registerRetry)
			continue
		}
		event.Log(a.cfg.Log, event.AgentRegistered, zap.String("Address", a.cfg.Address))
		for lastLed := time.Now(); ctx.Err() == nil && time.Since(lastLed) < reregisterAfter; {
			pause.For(ctx, reregisterAfter/5)
			if !a.driver.HasNoLeader() {
				lastLed = time.Now()
			}
		}
	}
}

// storeAddress stores the address of the agent unless the row has it, on condition that the row has not changed since it
// was read: a write without a response may be applied after a later registration under the same name.
func (a *Agent) storeAddress(ctx context.Context) error {
	value, err := rows.Encode(&rows.Agent{
		Name: a.cfg.Name, Zone: a.cfg.Zone, Address: a.cfg.Address, Incarnation: string(a.sessions.Self.Incarnation),
	})
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	version, registered, err := a.readAddress(limited)
	if err != nil || registered {
		return err
	}
	ref := rows.AgentRef(a.cfg.Cell, a.cfg.Name)
	out, err := a.cfg.Store.Change(limited, rows.Change{
		Conditions: []rows.Condition{{Ref: ref, Version: version}},
		Puts:       []rows.Row{{Ref: ref, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("store address: %w", err)
	}
	if !out.Applied {
		return errRowChanged
	}
	return nil
}

// readAddress returns the version of the agent's row, 0 if there is none, and whether it has the current address. Agents
// that come back together then read the rows instead of writing all of them at once to the part of the store in which
// entries take the cell over.
func (a *Agent) readAddress(ctx context.Context) (version uint64, registered bool, err error) {
	p, err := a.cfg.Store.Read(ctx, rows.AgentRef(a.cfg.Cell, a.cfg.Name).One())
	if err != nil {
		return 0, false, fmt.Errorf("read address: %w", err)
	}
	if len(p.Rows) == 0 {
		return 0, false, nil
	}
	var stored rows.Agent
	registered = rows.Decode(p.Rows[0], &stored) == nil && stored.Address == a.cfg.Address && stored.Zone == a.cfg.Zone
	return p.Rows[0].Version, registered, nil
}

// linkFor returns the link of a session and the context for commands that arrive on it.
func (a *Agent) linkFor(s *sess.Session) (*link, context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[s]
	if l == nil {
		l = &link{session: s}
		a.links[s] = l
	}
	return l, a.ctx
}

// HandleMessage implements sess.Handler.
func (a *Agent) HandleMessage(s *sess.Session, m wire.Message) {
	l, ctx := a.linkFor(s)
	switch m := m.(type) {
	case *wire.LeadAdopt:
		if !a.driver.Adopt(l, m) {
			s.Close(driver.ErrSuperseded)
		}
	case *wire.LeaseGrant:
		a.driver.Grant(l, m)
	case *wire.TaskOrders:
		a.driver.Execute(ctx, l, m)
	}
}

// HandleStream implements sess.Handler. It resets the stream, since leaders open none.
func (a *Agent) HandleStream(_ *sess.Session, st *sess.Stream) { st.Reset("no streams are served") }

// HandleClosed implements sess.Handler.
func (a *Agent) HandleClosed(s *sess.Session, _ error) {
	a.mu.Lock()
	l := a.links[s]
	delete(a.links, s)
	a.mu.Unlock()
	if l != nil {
		a.driver.LeaderDisconnected(l)
	}
}
