package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Stream is the subset of a session stream's methods that serving uses.
type Stream interface {
	Head() wire.Message
	Context() context.Context
	Send(ctx context.Context, m wire.Message) error
	Receive(ctx context.Context) (wire.Message, error)
	Write(p []byte) (int, error)
	Read(p []byte) (int, error)
	CloseWrite() error
	Reset(reason string)
}

// Clock converts the wall clock of the stream's sender (ns since 1970) to the local clock, less the error bound, so
// that a deadline is never extended.
type Clock interface {
	LocalTime(peerWall int64) time.Time
}

// Ledger reserves resources of the worker. The release function that it returns must be called exactly once.
type Ledger interface {
	Reserve(need sizes.Resources) (release func(), ok bool)
}

// Target describes a target of a service on this agent's worker.
type Target struct {
	Name    string
	Address string // host:port
	Slots   int64  // maximum number of concurrent requests; 0 means no limit of its own
}

// Targets looks up the targets on this agent's worker.
type Targets interface {
	// Lookup returns the named target of a service, or any ready target if name is empty. It returns false if no such
	// target accepts new requests.
	Lookup(service, name string) (Target, bool)
}

// Limits provides the configured limits of services.
type Limits interface {
	// LongSlots returns the maximum number of slots that long requests of a service may occupy; 0 means no limit.
	LongSlots(service string) int64
}

// Config holds the dependencies of a Server.
type Config struct {
	Ledger  Ledger
	Targets Targets
	Limits  Limits // may be nil
	// OnResponse is called for each request that a target responded to, with the times at which the request was forwarded
	// and the response head arrived. It is not called for long requests and streaming responses. It must not block and
	// may be nil.
	OnResponse func(service string, started, responded time.Time)
	Log        *zap.Logger
	Hook       point.Hook
}

// Server forwards requests to the targets on one agent's worker; it is safe for concurrent use.
type Server struct {
	cfg         Config
	keepAlive   *http.Transport
	noKeepAlive *http.Transport // opens a new connection for each request

	mu        sync.Mutex
	draining  bool
	requests  map[*request]struct{}
	longSlots map[string]int64 // slots reserved by long requests, by service
	inFlight  map[string]int64 // requests that occupy a slot, by target
	idle      chan struct{}    // closed when draining and no request is left
}

// New returns a server that forwards requests as cfg specifies.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Server{
		cfg:         cfg,
		keepAlive:   newTransport(true),
		noKeepAlive: newTransport(false),
		requests:    make(map[*request]struct{}),
		longSlots:   make(map[string]int64),
		inFlight:    make(map[string]int64),
		idle:        make(chan struct{}),
	}
}

// Serve handles a stream whose head is a wire.RequestHead and returns when the stream has ended.
func (s *Server) Serve(clock Clock, st Stream) {
	head, ok := st.Head().(*wire.RequestHead)
	if !ok || head.Method == "" {
		event.Log(s.cfg.Log, event.RequestHeadMalformed)
		st.Reset("no request head")
		return
	}
	s.handle(newRequest(s, st, head), clock)
	ReadToEnd(st)
}

// handle sends a verdict if the request is refused, or else forwards it and sends the response.
func (s *Server) handle(r *request, clock Clock) {
	defer r.close()
	v := s.admit(r, clock)
	if v == nil {
		v = r.forward(clock.LocalTime(r.head.Deadline))
	}
	if r.body != nil {
		defer r.body.stop()
	}
	if v == nil {
		return
	}
	r.releaseAll()
	if err := r.stream.Send(r.stream.Context(), v); err != nil {
		r.stream.Reset("verdict could not be sent")
		return
	}
	_ = r.stream.CloseWrite() // fails only when the stream has ended
}

// admit returns a verdict if the request is refused, or nil after it has reserved a connection and the slots.
func (s *Server) admit(r *request, clock Clock) *wire.Verdict {
	if !s.register(r) {
		return notRun(wire.ReasonLeaving, "the agent takes no new requests")
	}
	if !time.Now().Before(clock.LocalTime(r.head.Deadline)) {
		return notRun(wire.ReasonDeadline, "the deadline passed before the request was passed on")
	}
	var ok bool
	if r.target, ok = s.cfg.Targets.Lookup(r.head.Service, r.head.Target); !ok {
		return notRun(wire.ReasonNoTarget, "no target takes new requests")
	}
	if !s.reserveLongSlot(r) {
		return notRun(wire.ReasonOverloaded, "long requests hold all slots that they may hold")
	}
	if r.releaseConn, ok = s.cfg.Ledger.Reserve(sizes.Resources{Connections: 1}); !ok {
		return notRun(wire.ReasonOverloaded, "no connection is free")
	}
	if r.releaseSlot, ok = s.reserveSlot(r.target); !ok {
		return notRun(wire.ReasonOverloaded, "no slot is free")
	}
	if err := s.cfg.Hook.At(point.ServeReserved, string(r.head.Request)); err != nil {
		return notRun(wire.ReasonOverloaded, err.Error())
	}
	return nil
}

// reserveSlot reserves a slot of the target and a slot of the worker, which all targets and entries share.
func (s *Server) reserveSlot(target Target) (release func(), ok bool) {
	if !s.reserveTargetSlot(target) {
		return nil, false
	}
	releaseWorkerSlot, ok := s.cfg.Ledger.Reserve(sizes.Resources{Slots: 1})
	if !ok {
		s.releaseTargetSlot(target.Name)
		return nil, false
	}
	return func() {
		s.releaseTargetSlot(target.Name)
		releaseWorkerSlot()
	}, true
}

func (s *Server) reserveTargetSlot(target Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target.Slots > 0 && s.inFlight[target.Name] >= target.Slots {
		return false
	}
	s.inFlight[target.Name]++
	return true
}

func (s *Server) releaseTargetSlot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[name]--; s.inFlight[name] == 0 {
		delete(s.inFlight, name)
	}
}

func notRun(reason wire.Reason, detail string) *wire.Verdict {
	return &wire.Verdict{NotRun: true, Reason: reason, Detail: detail}
}

func (s *Server) register(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.requests[r] = struct{}{}
	return true
}

func (s *Server) unregister(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.requests[r]; !ok {
		return
	}
	delete(s.requests, r)
	if s.draining && len(s.requests) == 0 {
		close(s.idle)
	}
}

func (s *Server) reserveLongSlot(r *request) bool {
	if !r.head.Long || s.cfg.Limits == nil {
		return true
	}
	limit := s.cfg.Limits.LongSlots(r.head.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.longSlots[r.head.Service] >= limit {
		return false
	}
	s.longSlots[r.head.Service]++
	r.hasLongSlot = true
	return true
}

func (s *Server) releaseLongSlot(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longSlots[r.head.Service]--
}

// InFlight returns the number of requests that occupy a slot of a target.
func (s *Server) InFlight(target string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight[target]
}

// InProgress returns the number of requests that were accepted and have not ended.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// StopAccepting makes the server refuse new requests with NotRun; requests in progress continue.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if len(s.requests) == 0 {
		close(s.idle)
	}
}

// Drain calls StopAccepting and waits until all requests have ended. If ctx ends first, it cancels the remaining
// requests, mostly long-lived streams, and returns the cause of ctx's end.
func (s *Server) Drain(ctx context.Context) error {
	s.StopAccepting()
	defer s.keepAlive.CloseIdleConnections()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	event.Log(s.cfg.Log, event.DrainAbortedRequests, zap.Int("Requests", len(s.requests)))
	for r := range s.requests {
		r.cancel(errDrained)
	}
	s.mu.Unlock()
	<-s.idle
	return context.Cause(ctx)
}
