package agent

import (
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
	"trefoilramp.org/trefoilramp/internal/host/beside"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/host/noise"
	"trefoilramp.org/trefoilramp/internal/host/runner"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

const (
	meansRetry  = 500 * time.Millisecond // between tries to reach the worker at the start
	drainPoll   = 50 * time.Millisecond
	headerLimit = 5 * time.Second // for the header of an announcement

	// refuseTime is how long a leaving agent keeps its sessions at least. An entry that has not heard of the leave yet
	// sends requests for about a round trip more; they get NotRun on the session and Unknown once it is closed.
	refuseTime = time.Second
)

// Config is what an agent needs besides its settings.
type Config struct {
	Settings setup.Agent
	Worker   worker.Platform
	Log      *zap.Logger
	Hook     point.Hook
	// Route replaces the address of an entry before it is dialed, so that a test can put a slow link in between; nil
	// dials the address itself.
	Route func(address string) string
}

// Agent is a running agent.
type Agent struct {
	cfg         Config
	incarnation ident.Incarnation
	means       worker.Means
	ledger      *ledger.Ledger
	registry    *beside.Registry
	runner      *runner.Runner
	relay       *relay.Server
	limits      limits
	noise       interference
	listener    net.Listener // announcements
	admin       net.Listener // health; nil for none
	roster      *roster.Roster
	leaving     atomic.Bool
	drain       chan struct{} // closed when an operator asks for a drain
	drainOnce   sync.Once

	mu       sync.Mutex
	sessions map[*sess.Session]*link
}

// New reads the worker's means and opens the listeners; it waits until the worker answers or ctx ends.
func New(ctx context.Context, cfg Config) (*Agent, error) {
	a := &Agent{
		cfg:         cfg,
		incarnation: ident.NewIncarnation(),
		registry:    beside.NewRegistry(),
		roster:      roster.New(),
		sessions:    make(map[*sess.Session]*link),
		drain:       make(chan struct{}),
	}
	var err error
	if a.means, err = readMeans(ctx, cfg); err != nil {
		return nil, err
	}
	a.ledger = ledger.New(a.means.Total)
	a.noise.controller = noise.New(noise.Config{Processors: a.means.Total.Processors})
	a.runner = runner.New(runner.Config{
		Incarnation: a.incarnation, Worker: cfg.Worker, Ledger: a.ledger, Log: cfg.Log, Hook: cfg.Hook,
	})
	a.relay = relay.New(relay.Config{
		Ledger: requestLedger{a.ledger}, Targets: targets{a.registry}, Limits: &a.limits, Log: cfg.Log, Hook: cfg.Hook,
		Finished: a.noise.finished,
	})
	var lc net.ListenConfig
	if a.listener, err = lc.Listen(ctx, "tcp", cfg.Settings.Announcements); err != nil {
		return nil, fmt.Errorf("listen for announcements: %w", err)
	}
	if cfg.Settings.Administration == "" {
		return a, nil
	}
	if a.admin, err = lc.Listen(ctx, "tcp", cfg.Settings.Administration); err != nil {
		a.listener.Close()
		return nil, fmt.Errorf("listen for administration: %w", err)
	}
	return a, nil
}

func readMeans(ctx context.Context, cfg Config) (worker.Means, error) {
	for {
		m, err := cfg.Worker.Means(ctx)
		if err == nil {
			return m, nil
		}
		cfg.Log.Warn("worker does not tell its means yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return worker.Means{}, fmt.Errorf("read the worker's means: %w", err)
		case <-time.After(meansRetry):
		}
	}
}

// Announcements returns the address at which targets announce themselves.
func (a *Agent) Announcements() string { return a.listener.Addr().String() }

// Run works until ctx ends, which stops the agent at once and leaves tasks to their leases. Drain before that for a
// graceful end.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.runner.Restore(ctx); err != nil {
		return fmt.Errorf("read the worker's tasks: %w", err)
	}
	event.Log(a.cfg.Log, event.ProcessStarted, zap.String("Role", "agent"),
		zap.String("Announcements", a.Announcements()))
	var wg sync.WaitGroup
	wg.Go(func() { a.runner.Run(ctx) })
	wg.Go(func() { a.beat(ctx) })
	wg.Go(func() { a.control(ctx) })
	wg.Go(func() { a.newKeeper().Run(ctx) })
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
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		a.cfg.Log.Error("listener failed", zap.Stringer("Address", ln.Addr()), zap.Error(err))
	}
}

// DrainAsked is closed when an operator has asked for a drain of this worker.
func (a *Agent) DrainAsked() <-chan struct{} { return a.drain }

func (a *Agent) askDrain() { a.drainOnce.Do(func() { close(a.drain) }) }

// Drain refuses new work, finishes the requests in progress and moves the tasks elsewhere by checkpoint; what has not
// ended with ctx is cut off.
func (a *Agent) Drain(ctx context.Context) error {
	a.leave()
	a.runner.EvictAll()
	err := a.drainRequests(ctx)
	for a.runner.Unreported() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain with %d tasks left: %w", a.runner.Unreported(), context.Cause(ctx))
		case <-time.After(drainPoll):
		}
	}
	if err != nil {
		return fmt.Errorf("drain requests: %w", err)
	}
	return nil
}

// HandOver refuses new work and finishes the requests in progress, but leaves tasks running under their leases for the
// agent that replaces this one on the same worker.
func (a *Agent) HandOver(ctx context.Context) error {
	a.leave()
	return a.drainRequests(ctx)
}

// drainRequests finishes the requests in progress; a request has ended only when its response was written.
func (a *Agent) drainRequests(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(refuseTime):
	}
	err := a.relay.Drain(ctx)
	for _, l := range a.links() {
		if flushed := l.session.Flush(ctx); flushed != nil && !errors.Is(flushed, sess.ErrClosed) {
			err = errors.CombineErrors(err, flushed)
		}
	}
	return err
}

// leave tells every entry that this agent takes no new work; requests that are under way already are refused.
func (a *Agent) leave() {
	a.leaving.Store(true)
	a.runner.SetLeaving()
	a.relay.Leave()
	for _, l := range a.links() {
		l.send(a.cfg.Log, &wire.Leaving{Reason: "agent is draining"})
	}
}
