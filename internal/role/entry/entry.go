package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/owner"
	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/claim"
	"trefoilramp.org/trefoilramp/internal/serve/front"
)

const (
	summaryInterval = time.Second // between summaries to other entries, and between updates of the gauges
	// headerTimeout, idleTimeout and maxHeaderBytes are the defaults of the limits for clients; callers may stream, so the
	// timeout for progress is as long as that for idle connections.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	streamedBytes  = 512 << 10 // for the body of a request: what front buffers for a retry, in a buffer that doubles
	maxClientBytes = 64 << 20  // default of the byte budget, which front's buffers share
	responseBytes  = 1 << 20   // of a response of the administration API or the console
	// journalWriteRate limits the writes per second of the journals of all partitions of the deployment. The store
	// sustains several hundred; the rest is left for claims, membership, configuration and audit.
	journalWriteRate = 240
)

// Config holds the settings and dependencies of an entry.
type Config struct {
	Settings setup.Entry
	Store    table.Store
	Log      *zap.Logger
	Hook     point.Hook
	Seed     uint64 // of the random choices in routing
	// Route maps the address of another process to the address to dial, so that a test can insert a slow link; nil
	// dials the address unchanged.
	Route func(address string) string
	// ClaimStore stores the claims on idempotency keys; nil means Store.
	ClaimStore table.Store
}

// Entry is a running entry.
type Entry struct {
	cfg         Config
	incarnation ident.Incarnation
	holder      *head.Holder
	tracker     *head.Tracker
	directory   *directory
	members     *members
	owner       *owner.Owner
	front       *front.Front
	jobs        *jobs
	metrics     *metric.Set
	guard       *guard.Guard
	api         *admin.API
	listeners   listeners
	network     *network
	draining    atomic.Bool

	mu         sync.Mutex
	registered map[*sess.Session]bool
}

// listeners holds the listening sockets of an entry.
type listeners struct {
	callers  net.Listener
	admin    net.Listener
	console  net.Listener // nil if disabled
	sessions net.Listener
}

// New assembles an entry and opens its listeners.
func New(ctx context.Context, cfg Config) (*Entry, error) {
	e := &Entry{
		cfg:         cfg,
		incarnation: ident.NewIncarnation(),
		tracker:     head.NewTracker(),
		directory:   newDirectory(ident.AvailabilityZone(cfg.Settings.AvailabilityZone)),
		registered:  make(map[*sess.Session]bool),
	}
	if cfg.ClaimStore == nil {
		cfg.ClaimStore = cfg.Store
	}
	e.metrics = metric.New(cfg.Log)
	limits := clientLimits(cfg.Settings)
	e.guard = guard.New(guard.Config{Limits: limits, Metrics: e.metrics, Log: cfg.Log})
	if err := e.listen(ctx); err != nil {
		return nil, err
	}
	e.cfg.Store = meteredStore{cfg.Store, e.metrics}
	cfg.Store = e.cfg.Store
	e.holder = head.New(cfg.Store, head.Options{
		Log: cfg.Log, Hook: cfg.Hook, Peers: &configPeers{e.directory}, Accepted: e.announceConfig,
	})
	e.network = newNetwork(e)
	e.members = &members{
		self: ident.Entry(cfg.Settings.Name), zone: e.directory.zone, roster: e.network, holder: e.holder,
		directory: e.directory, owns: func(p ident.Partition) bool { return e.owner.Owns(p) },
	}
	e.owner = owner.New(owner.Config{
		Self:            commit.Self{Name: e.members.self, Incarnation: e.incarnation},
		Store:           cfg.Store,
		Members:         e.members,
		Peers:           &partitionPeers{e.network, e.directory},
		Terms:           leaseSource{e.holder},
		WritesPerSecond: journalWriteRate,
		Log:             cfg.Log,
		Hook:            cfg.Hook,

		Observer: batchCounters{e.metrics},
	})
	e.jobs = &jobs{e.members, e.owner}
	e.front = front.New(front.Config{
		Services:  services{e.holder},
		Ready:     func() bool { return e.holder.Current() != nil },
		Directory: e.directory,
		Claims:    claim.NewRegistry(cfg.ClaimStore, e.members.self, cfg.Seed, cfg.Log, cfg.Hook),
		Log:       cfg.Log,
		Hook:      cfg.Hook,
		Seed:      cfg.Seed,
		Memory:    limits.Bytes,
	})
	e.api = e.newAPI()
	return e, nil
}

func (e *Entry) listen(ctx context.Context) error {
	s := e.cfg.Settings
	var lc net.ListenConfig
	for _, l := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", s.Callers, &e.listeners.callers},
		{"administration", s.Administration, &e.listeners.admin},
		{"console", s.Console, &e.listeners.console},
		{"sessions", s.Sessions, &e.listeners.sessions},
	} {
		if l.address == "" {
			continue
		}
		ln, err := lc.Listen(ctx, "tcp", l.address)
		if err != nil {
			e.listeners.close()
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		if l.name == "sessions" {
			*l.to = e.guard.WrapSessions(ln)
		} else {
			*l.to = e.guard.Wrap(ln, l.name)
		}
	}
	return nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.admin, l.console, l.sessions} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Callers returns the address of the listener for callers.
func (e *Entry) Callers() string { return e.listeners.callers.Addr().String() }

// Administration returns the address of the administration listener.
func (e *Entry) Administration() string { return e.listeners.admin.Addr().String() }

// Console returns the address of the console listener, or an empty string if it is disabled.
func (e *Entry) Console() string {
	if e.listeners.console == nil {
		return ""
	}
	return e.listeners.console.Addr().String()
}

// Sessions returns the address at which other processes open sessions with this entry.
func (e *Entry) Sessions() string {
	if a := e.cfg.Settings.Advertise; a != "" {
		return a
	}
	return e.listeners.sessions.Addr().String()
}

// Run serves until ctx ends, which stops the entry at once; it returns an error if another process with the same name
// has replaced this one. Call Drain first for a graceful shutdown.
func (e *Entry) Run(ctx context.Context) error {
	event.Log(e.cfg.Log, event.ProcessStarted, zap.String("Role", "entry"), zap.String("Callers", e.Callers()),
		zap.String("Administration", e.Administration()), zap.String("Sessions", e.Sessions()),
		zap.Stringer("Listening", e.listeners.sessions.Addr()))
	event.Log(e.cfg.Log, event.ServingStarted, zap.String("Address", e.Callers()))
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var wg sync.WaitGroup
	wg.Go(func() { e.holder.Run(ctx) })
	wg.Go(func() { e.distributeConfig(ctx) })
	wg.Go(func() { e.sendSummaries(ctx) })
	wg.Go(func() { e.updateGauges(ctx) })
	wg.Go(func() { e.updateTaskGauges(ctx) })
	wg.Go(func() { e.network.run(ctx, stop) })
	wg.Go(func() { e.owner.Run(ctx) })
	wg.Go(func() {
		if err := sess.Serve(ctx, e.listeners.sessions, e.sessionConfig(), e); err != nil {
			e.cfg.Log.Error("session listener failed", zap.Error(err))
		}
	})
	wg.Go(func() { e.guard.Run(ctx) })
	wg.Go(func() {
		e.serve(ctx, e.listeners.callers, guard.ServerConfig{Handler: e.callerHandler(), Streamed: streamedBytes})
	})
	operators := guard.ServerConfig{Handler: e.api, Streamed: 2 * model.MaxDocument, Response: responseBytes}
	wg.Go(func() { e.serve(ctx, e.operatorListener(e.listeners.admin), operators) })
	if e.listeners.console != nil {
		console := operators
		console.Handler = e.consoleHandler()
		wg.Go(func() { e.serve(ctx, e.operatorListener(e.listeners.console), console) })
	}
	wg.Wait()
	e.closeSessions()
	if err := e.metrics.Close(); err != nil {
		return fmt.Errorf("stop metrics: %w", err)
	}
	if err := context.Cause(ctx); errors.Is(err, roster.ErrReplaced) {
		return fmt.Errorf("run entry: %w", err)
	}
	return nil
}

// clientLimits returns the limits for clients: those of the settings, else the defaults of an entry.
func clientLimits(s setup.Entry) guard.Limits {
	l := guard.Derive(s.MemoryMiB, cmp.Or(s.Descriptors, setup.DefaultDescriptors))
	l.Bytes = min(l.Bytes, maxClientBytes)
	l.HeaderTimeout, l.IdleTimeout, l.StallTimeout, l.HeaderBytes = headerTimeout, idleTimeout, idleTimeout, maxHeaderBytes
	return l.With(s.Clients)
}

// operatorListener adds TLS to a listener for operators if the settings enable it.
func (e *Entry) operatorListener(ln net.Listener) net.Listener {
	if cfg := e.cfg.Settings.OperatorTLS.Config(); cfg != nil {
		return tls.NewListener(ln, cfg)
	}
	return ln
}

// serve runs an HTTP server until ctx ends.
func (e *Entry) serve(ctx context.Context, ln net.Listener, cfg guard.ServerConfig) {
	s := e.guard.Server(cfg)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		e.cfg.Log.Error("listener failed", zap.Stringer("Address", ln.Addr()), zap.Error(err))
	}
}

// callerHandler returns the handler for callers and for the load balancer's readiness check. It avoids http.ServeMux,
// which would redirect paths such as /services/booking//parts instead of forwarding them.
func (e *Entry) callerHandler() http.Handler {
	services := e.withMetrics(e.front)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/readyz" {
			services.ServeHTTP(w, r)
			return
		}
		if err := e.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// ready returns the reason why this entry should get no new callers, or nil.
func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return errors.New("draining")
	case !e.holder.IsReady():
		return errors.New("the configuration is not known yet")
	}
	return nil
}

func (e *Entry) sessionConfig() sess.Config {
	s := e.cfg.Settings
	return sess.Config{
		Self: wire.Hello{
			Role:          wire.RoleEntry,
			Name:          s.Name,
			Incarnation:   e.incarnation,
			Zone:          ident.AvailabilityZone(s.AvailabilityZone),
			Rack:          s.Rack,
			Address:       e.Sessions(),
			ConfigVersion: e.holder.Version(),
		},
		Key: s.Key.Bytes(),
		TLS: s.TLS.Config(),
		Log: e.cfg.Log,
	}
}

// register adds a session on its first use, unless it has ended in the meantime.
func (e *Entry) register(s *sess.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-s.Done():
		return
	default:
	}
	if !e.registered[s] {
		e.registered[s] = true
		e.handleOpened(s)
	}
}

// unregister removes a session that has ended. It forgets what its peer reported, unless the peer has opened another
// session: the end of the earlier one may be noticed late.
func (e *Entry) unregister(s *sess.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.registered, s)
	if s.Peer().Role == wire.RoleAgent {
		if !e.hasSession(func(p wire.Hello) bool { return memberOf(p) == memberOf(s.Peer()) }) {
			e.tracker.Remove(memberOf(s.Peer()))
		}
		return
	}
	if !e.hasSession(func(p wire.Hello) bool { return roster.SourceOf(p) == roster.SourceOf(s.Peer()) }) {
		e.network.forgetPeer(s)
	}
}

// hasSession reports whether a session with a matching peer is registered; the caller holds e.mu.
func (e *Entry) hasSession(matches func(p wire.Hello) bool) bool {
	for s := range e.registered {
		if matches(s.Peer()) {
			return true
		}
	}
	return false
}

func (e *Entry) sessions() []*sess.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]*sess.Session, 0, len(e.registered))
	for s := range e.registered {
		list = append(list, s)
	}
	return list
}

func (e *Entry) closeSessions() {
	list := e.sessions()
	for _, s := range list {
		s.Close(nil)
	}
	for _, s := range list {
		s.Wait() // the session bounds the wait; the process must not exit before the last messages are written
	}
}

// Drain shuts this entry down gracefully: readiness fails first, then the requests in progress finish and the
// partitions are handed over. What has not finished when ctx ends is cut off and reported as an error.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.network.announceDraining()
	for _, s := range e.directory.peerSessions() {
		e.send(s, &wire.Leaving{Reason: "entry is draining"})
	}
	select {
	case <-ctx.Done():
	case <-time.After(balancerDelay):
	}
	served := make(chan error, 1)
	go func() { served <- e.front.Drain(ctx) }()
	err := errors.CombineErrors(e.owner.Drain(ctx), <-served)
	for _, s := range e.sessions() { // flushes responses to requests that other entries relayed
		if flushErr := s.Flush(ctx); flushErr != nil && !errors.Is(flushErr, sess.ErrClosed) {
			err = errors.CombineErrors(err, flushErr)
		}
	}
	return err
}

// balancerDelay gives the load balancer time to detect that readiness fails before requests are refused.
const balancerDelay = 2 * time.Second
