package front

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/admit"
	"trefoilramp.org/trefoilramp/internal/serve/claim"
	"trefoilramp.org/trefoilramp/internal/serve/retry"
	"trefoilramp.org/trefoilramp/internal/serve/route"
)

const (
	defaultMemory = 64 << 20 // bytes of bodies that an entry buffers
	retryShare    = 0.1      // retries for each first try
	retryBurst    = 20
	backoffBase   = 10 * time.Millisecond
	backoffLimit  = time.Second
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
	Sent() bool
}

// Directory knows the sessions with agents and with entries of other zones.
type Directory interface {
	// Candidates returns what reaches a service. The slices must not be changed after they were returned; a changed
	// list is a new slice.
	Candidates(service string) route.Set
	// Open opens a stream to a candidate.
	Open(ctx context.Context, c route.Candidate, head *wire.RequestHead) (Stream, error)
}

// Config joins a front with the other parts of the entry.
type Config struct {
	Services  Services
	Ready     func() bool // whether Services are known; nil means always
	Directory Directory
	Claims    *claim.Book // nil refuses requests that need a claim
	Log       *zap.Logger
	Hook      point.Hook
	Seed      uint64
	Memory    int64       // bytes of bodies buffered by all requests; 0 means 64 MiB
	Order     admit.Order // of waiting requests; nil means admit.ByExpectedRun
}

// Front serves callers; it implements http.Handler and is safe for concurrent use.
type Front struct {
	cfg        Config
	picker     *route.Picker
	backoff    *retry.Backoff
	memory     memory
	ctx        context.Context // ends with Drain
	stop       context.CancelFunc
	background sync.WaitGroup // records of claims

	mu       sync.Mutex
	pools    map[string]*servicePool
	draining bool
	cancels  map[int64]context.CancelCauseFunc // of requests in progress
	last     int64
	idle     chan struct{}
}

// servicePool is the admission of a service with what it was configured from.
type servicePool struct {
	pool    *admit.Pool
	budget  *retry.Budget
	service Service
	own     []route.Candidate
	other   []route.Candidate
}

// New returns a front.
func New(cfg Config) *Front {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Memory == 0 {
		cfg.Memory = defaultMemory
	}
	f := &Front{
		cfg:     cfg,
		picker:  route.NewPicker(cfg.Seed),
		backoff: retry.NewBackoff(backoffBase, backoffLimit, cfg.Seed),
		pools:   make(map[string]*servicePool),
		cancels: make(map[int64]context.CancelCauseFunc),
		idle:    make(chan struct{}),
	}
	f.memory.left.Store(cfg.Memory)
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

// pool returns the admission of a service, with the slots of its present candidates.
func (f *Front) pool(s Service) *admit.Pool {
	set := f.cfg.Directory.Candidates(s.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[s.Name]
	if !ok {
		p = &servicePool{
			service: s,
			pool:    admit.NewPool(f.admission(s)),
			budget:  retry.NewBudget(retryShare, retryBurst),
		}
		f.pools[s.Name] = p
	} else if p.service != s {
		p.service = s
		p.pool.Configure(f.admission(s))
	}
	if !ok || !isSame(p.own, set.Own) || !isSame(p.other, set.Other) {
		p.own, p.other = set.Own, set.Other
		p.pool.SetSlots(f.picker.Slots(set))
	}
	return p.pool
}

// budget returns the retry budget of a service that has a pool.
func (f *Front) budget(s Service) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pools[s.Name].budget
}

func (f *Front) admission(s Service) admit.Config {
	return admit.Config{
		ShortShare:   s.ShortShare,
		ShortPerSlot: s.ShortPerSlot,
		LongPerSlot:  s.LongPerSlot,
		LongAfter:    s.LongAfter,
		Order:        f.cfg.Order,
	}
}

// isSame reports whether two lists are the same slice.
func isSame(a, b []route.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Load tells how busy a service is at this entry.
type Load struct {
	InFlight int
	Queued   int
}

// Loads returns the load of each service that was asked for since the start.
func (f *Front) Loads() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]Load, len(f.pools))
	for name, p := range f.pools {
		m[name] = Load{InFlight: p.pool.InFlight(), Queued: p.pool.Queued()}
	}
	return m
}

// enter counts a request and reports false when the entry drains.
func (f *Front) enter(cancel context.CancelCauseFunc) (leave func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return nil, false
	}
	f.last++
	id := f.last
	f.cancels[id] = cancel
	return func() { f.leave(id) }, true
}

func (f *Front) leave(id int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels, id)
	if f.draining && len(f.cancels) == 0 {
		close(f.idle)
	}
}

// InProgress returns the number of requests that have not ended.
func (f *Front) InProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.cancels)
}

// Drain refuses new requests with NotRun and waits until those in progress have ended. When ctx ends first, it cuts off
// what is left, and returns the error of ctx. Readiness must fail before, so that the balancer sends nothing new.
func (f *Front) Drain(ctx context.Context) error {
	f.mu.Lock()
	if !f.draining {
		f.draining = true
		if len(f.cancels) == 0 {
			close(f.idle)
		}
	}
	f.mu.Unlock()
	defer f.stop()
	select {
	case <-f.idle:
		f.waitBackground(ctx)
		return nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	event.Log(f.cfg.Log, event.DrainCutStreams, zap.Int("Requests", len(f.cancels)))
	for _, cancel := range f.cancels {
		cancel(errDrained)
	}
	f.mu.Unlock()
	<-f.idle
	return context.Cause(ctx)
}

// waitBackground lets records of claims reach the store.
func (f *Front) waitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		f.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
