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

// Stream is the part of a session's stream that serving uses.
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

// Clock converts the wall clock of the stream's sender (ns since 1970) to the local clock, on the safe side.
type Clock interface {
	LocalTime(peerWall int64) time.Time
}

// Ledger reserves resources of the worker; release must be called once.
type Ledger interface {
	Reserve(need sizes.Resources) (release func(), ok bool)
}

// Target is where a service can be reached beside this agent.
type Target struct {
	Name    string
	Address string // host:port
	Slots   int64  // requests that it runs at the same time; 0 for no bound of its own
}

// Targets looks up the targets beside this agent.
type Targets interface {
	// Lookup returns the named target of a service, or any ready one when name is empty; false when there is none that
	// takes new work.
	Lookup(service, name string) (Target, bool)
}

// Limits holds what the configuration says of a service.
type Limits interface {
	// LongSlots returns how many slots long requests of a service may hold; 0 for no limit.
	LongSlots(service string) int64
}

// Config joins a server with the other parts of the agent.
type Config struct {
	Ledger  Ledger
	Targets Targets
	Limits  Limits // may be nil
	// Finished is told of each request that a target answered, with the time from passing the request on to the head of
	// the response; long requests and open streams are left out. It must not block and may be nil.
	Finished func(service string, started, ended time.Time)
	Log      *zap.Logger
	Hook     point.Hook
}

// Server forwards requests to the targets beside one agent; it is safe for concurrent use.
type Server struct {
	cfg   Config
	reuse *http.Transport
	fresh *http.Transport // a new connection for each request

	mu       sync.Mutex
	leaving  bool
	requests map[*request]struct{}
	longs    map[string]int64 // by service
	inFlight map[string]int64 // requests that hold a slot, by target
	idle     chan struct{}    // closed when leaving and no request is left
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Server{
		cfg:      cfg,
		reuse:    newTransport(true),
		fresh:    newTransport(false),
		requests: make(map[*request]struct{}),
		longs:    make(map[string]int64),
		inFlight: make(map[string]int64),
		idle:     make(chan struct{}),
	}
}

// Serve handles a stream whose head is a RequestHead and returns when it has ended.
func (s *Server) Serve(clock Clock, st Stream) {
	head, ok := st.Head().(*wire.RequestHead)
	if !ok || head.Method == "" {
		event.Log(s.cfg.Log, event.RelayRefused)
		st.Reset("no request head")
		return
	}
	s.handle(newRequest(s, st, head), clock)
	Finish(st)
}

// handle refuses the request, or forwards it and sends the answer.
func (s *Server) handle(r *request, clock Clock) {
	defer r.end()
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
	r.giveBack()
	if err := r.stream.Send(r.stream.Context(), v); err != nil {
		r.stream.Reset("verdict could not be sent")
		return
	}
	_ = r.stream.CloseWrite() // fails only when the stream has ended
}

// admit returns the verdict when the request is refused, or nil with everything reserved.
func (s *Server) admit(r *request, clock Clock) *wire.Verdict {
	if !s.enter(r) {
		return notRun(wire.ReasonLeaving, "the agent takes no new requests")
	}
	if !time.Now().Before(clock.LocalTime(r.head.Deadline)) {
		return notRun(wire.ReasonDeadline, "the deadline passed before the request was passed on")
	}
	var ok bool
	if r.target, ok = s.cfg.Targets.Lookup(r.head.Service, r.head.Target); !ok {
		return notRun(wire.ReasonNoTarget, "no target takes new requests")
	}
	if !s.takeLong(r) {
		return notRun(wire.ReasonOverloaded, "long requests hold all slots that they may hold")
	}
	if r.releaseConn, ok = s.cfg.Ledger.Reserve(sizes.Resources{Connections: 1}); !ok {
		return notRun(wire.ReasonOverloaded, "no connection is free")
	}
	if r.releaseSlot, ok = s.takeSlot(r.target); !ok {
		return notRun(wire.ReasonOverloaded, "no slot is free")
	}
	if err := s.cfg.Hook.At(point.ServeReserved, string(r.head.Request)); err != nil {
		return notRun(wire.ReasonOverloaded, err.Error())
	}
	return nil
}

// takeSlot reserves a slot of the target and one of the worker, which its other targets and entries use as well.
func (s *Server) takeSlot(target Target) (release func(), ok bool) {
	if !s.enterTarget(target) {
		return nil, false
	}
	free, ok := s.cfg.Ledger.Reserve(sizes.Resources{Slots: 1})
	if !ok {
		s.leaveTarget(target.Name)
		return nil, false
	}
	return func() {
		s.leaveTarget(target.Name)
		free()
	}, true
}

func (s *Server) enterTarget(target Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target.Slots > 0 && s.inFlight[target.Name] >= target.Slots {
		return false
	}
	s.inFlight[target.Name]++
	return true
}

func (s *Server) leaveTarget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[name]--; s.inFlight[name] == 0 {
		delete(s.inFlight, name)
	}
}

func notRun(reason wire.Reason, detail string) *wire.Verdict {
	return &wire.Verdict{NotRun: true, Reason: reason, Detail: detail}
}

func (s *Server) enter(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.requests[r] = struct{}{}
	return true
}

func (s *Server) leave(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.requests[r]; !ok {
		return
	}
	delete(s.requests, r)
	if s.leaving && len(s.requests) == 0 {
		close(s.idle)
	}
}

func (s *Server) takeLong(r *request) bool {
	if !r.head.Long || s.cfg.Limits == nil {
		return true
	}
	limit := s.cfg.Limits.LongSlots(r.head.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.longs[r.head.Service] >= limit {
		return false
	}
	s.longs[r.head.Service]++
	r.long = true
	return true
}

func (s *Server) giveLong(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longs[r.head.Service]--
}

// InFlight returns the number of requests that hold a slot for a target.
func (s *Server) InFlight(target string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight[target]
}

// InProgress returns the number of requests that were not refused and have not ended.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// Leave refuses all later requests with NotRun; those in progress go on.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	if len(s.requests) == 0 {
		close(s.idle)
	}
}

// Drain calls Leave and waits until all requests have ended. When ctx ends first, it cuts off what is left, which is
// mostly streams that stay open, and returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	defer s.reuse.CloseIdleConnections()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	event.Log(s.cfg.Log, event.DrainCutStreams, zap.Int("Requests", len(s.requests)))
	for r := range s.requests {
		r.cancel(errDrained)
	}
	s.mu.Unlock()
	<-s.idle
	return context.Cause(ctx)
}
