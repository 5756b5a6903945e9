package agent

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/host/interf"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/host/runner"
	"trefoilramp.org/trefoilramp/internal/host/target"
	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

const (
	workerInfoRetryDelay = 500 * time.Millisecond // between attempts to reach the worker at startup
	drainPollInterval    = 50 * time.Millisecond
	headerTimeout        = 5 * time.Second // default of the limit for the header of an HTTP request
	idleTimeout          = time.Minute     // default of the limit for an idle HTTP connection

	// leaveGrace is the minimum time for which a draining agent keeps its sessions open. An entry that has not yet
	// received the Leaving message sends requests for about another round trip; they get NotRun while the session is
	// open and Unknown once it is closed.
	leaveGrace = time.Second
)

// Config holds the settings and dependencies of an agent.
type Config struct {
	Settings setup.Agent
	Worker   worker.Platform
	Log      *zap.Logger
	Hook     point.Hook
	// Route maps the address of an entry to the address to dial, so that a test can insert a slow link; nil dials the
	// address unchanged.
	Route func(address string) string
}

// Agent is a running agent.
type Agent struct {
	cfg            Config
	incarnation    ident.Incarnation
	workerInfo     worker.Info
	ledger         *ledger.Ledger
	registry       *target.Registry
	runner         *runner.Runner
	relay          *relay.Server
	activeConfig   activeConfig
	interference   lockedController
	listener       net.Listener // for announcements of targets
	admin          net.Listener // for health checks; nil if disabled
	guard          *guard.Guard // of both listeners
	roster         *roster.Roster
	leaving        atomic.Bool
	drainRequested chan struct{} // closed when an operator requests a drain
	drainOnce      sync.Once

	mu       sync.Mutex
	sessions map[*sess.Session]*entrySession
}

// New reads the resources of the worker, retrying until it responds or ctx ends, and opens the listeners.
func New(ctx context.Context, cfg Config) (*Agent, error) {
	a := &Agent{
		cfg:            cfg,
		incarnation:    ident.NewIncarnation(),
		registry:       target.NewRegistry(),
		roster:         roster.New(),
		sessions:       make(map[*sess.Session]*entrySession),
		drainRequested: make(chan struct{}),
	}
	limits := guard.Derive(cfg.Settings.MemoryMiB, cmp.Or(cfg.Settings.Descriptors, setup.DefaultDescriptors))
	limits.HeaderTimeout, limits.IdleTimeout = headerTimeout, idleTimeout
	a.guard = guard.New(guard.Config{Limits: limits.With(cfg.Settings.Clients), Log: cfg.Log})
	var err error
	if a.workerInfo, err = readWorkerInfo(ctx, cfg); err != nil {
		return nil, err
	}
	a.ledger = ledger.New(a.workerInfo.Total)
	a.interference.controller = interf.New(interf.Config{Processors: a.workerInfo.Total.Processors})
	a.runner = runner.New(runner.Config{
		Incarnation: a.incarnation, Worker: cfg.Worker, Ledger: a.ledger, Log: cfg.Log, Hook: cfg.Hook,
	})
	a.relay = relay.New(relay.Config{
		Ledger: requestLedger{a.ledger}, Targets: targets{a.registry}, Limits: &a.activeConfig, Log: cfg.Log, Hook: cfg.Hook,
		OnResponse: a.interference.observeRequest,
	})
	if a.listener, err = a.guard.Listen(ctx, "announcements", cfg.Settings.Announcements); err != nil {
		return nil, err
	}
	if cfg.Settings.Administration == "" {
		return a, nil
	}
	if a.admin, err = a.guard.Listen(ctx, "administration", cfg.Settings.Administration); err != nil {
		a.listener.Close()
		return nil, err
	}
	return a, nil
}

func readWorkerInfo(ctx context.Context, cfg Config) (worker.Info, error) {
	for {
		info, err := cfg.Worker.Describe(ctx)
		if err == nil {
			return info, nil
		}
		cfg.Log.Warn("cannot read the resources of the worker yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return worker.Info{}, fmt.Errorf("read the resources of the worker: %w", err)
		case <-time.After(workerInfoRetryDelay):
		}
	}
}

// Announcements returns the address at which targets announce themselves.
func (a *Agent) Announcements() string { return a.listener.Addr().String() }

// Run serves until ctx ends, which stops the agent at once; running tasks continue until their leases expire. Call
// Drain first for a graceful shutdown.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.runner.Restore(ctx); err != nil {
		return fmt.Errorf("read the tasks of the worker: %w", err)
	}
	event.Log(a.cfg.Log, event.ProcessStarted, zap.String("Role", "agent"),
		zap.String("Announcements", a.Announcements()))
	var wg sync.WaitGroup
	wg.Go(func() { a.guard.Run(ctx) })
	wg.Go(func() { a.runner.Run(ctx) })
	wg.Go(func() { a.sendHeartbeats(ctx) })
	wg.Go(func() { a.limitInterference(ctx) })
	wg.Go(func() { a.newConnector().Run(ctx) })
	wg.Go(func() { a.serve(ctx, a.listener, a.announcements()) })
	if a.admin != nil {
		wg.Go(func() { a.serve(ctx, a.admin, a.health()) })
	}
	wg.Wait()
	a.closeSessions()
	return nil
}

// serve runs an HTTP server until ctx ends.
func (a *Agent) serve(ctx context.Context, ln net.Listener, h http.Handler) {
	s := a.guard.Server(guard.ServerConfig{Handler: h})
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		a.cfg.Log.Error("listener failed", zap.Stringer("Address", ln.Addr()), zap.Error(err))
	}
}

// DrainRequested returns a channel that is closed when an operator has requested a drain of this worker.
func (a *Agent) DrainRequested() <-chan struct{} { return a.drainRequested }

func (a *Agent) requestDrain() { a.drainOnce.Do(func() { close(a.drainRequested) }) }

// Drain refuses new work, waits for the requests in progress and evicts the tasks with a checkpoint. If ctx ends
// first, it cuts off the remaining requests and returns an error.
func (a *Agent) Drain(ctx context.Context) error {
	a.leave()
	a.runner.EvictAll()
	err := a.drainRequests(ctx)
	for a.runner.Unreported() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain with %d tasks left: %w", a.runner.Unreported(), context.Cause(ctx))
		case <-time.After(drainPollInterval):
		}
	}
	if err != nil {
		return fmt.Errorf("drain requests: %w", err)
	}
	return nil
}

// HandOver refuses new work and waits for the requests in progress, but leaves tasks running under their leases for the
// agent that replaces this one on the same worker.
func (a *Agent) HandOver(ctx context.Context) error {
	a.leave()
	return a.drainRequests(ctx)
}

// drainRequests waits for the requests in progress; a request counts as ended once its response has been written out.
func (a *Agent) drainRequests(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(leaveGrace):
	}
	err := a.relay.Drain(ctx)
	for _, es := range a.entrySessions() {
		if flushErr := es.session.Flush(ctx); flushErr != nil && !errors.Is(flushErr, sess.ErrClosed) {
			err = errors.CombineErrors(err, flushErr)
		}
	}
	return err
}

// leave notifies every entry that this agent accepts no new work; requests that still arrive are refused.
func (a *Agent) leave() {
	a.leaving.Store(true)
	a.runner.SetLeaving()
	a.relay.StopAccepting()
	for _, es := range a.entrySessions() {
		es.send(a.cfg.Log, &wire.Leaving{Reason: "agent is draining"})
	}
}
