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
	defaultMemory = 64 << 20 // bytes of request and response bodies buffered per entry
	retryShare    = 0.1      // retries per first attempt
	retryBurst    = 20       // retries
	backoffBase   = 10 * time.Millisecond
	backoffLimit  = time.Second
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
	Sent() bool
}

// Directory provides the sessions with agents and with entries of other zones.
type Directory interface {
	// Candidates returns the agents and entries that can serve a service. An implementation must not modify slices
	// that it has returned; it returns a new slice for a changed list.
	Candidates(service string) route.Set
	// Open opens a stream to a candidate with head as its first message.
	Open(ctx context.Context, c route.Candidate, head *wire.RequestHead) (Stream, error)
}

// Config holds the dependencies and settings of a Front.
type Config struct {
	Services  Services
	Ready     func() bool // reports whether the configuration has been read; nil means always
	Directory Directory
	Claims    *claim.Registry // if nil, requests that need a claim are refused
	Log       *zap.Logger
	Hook      point.Hook
	Seed      uint64
	Memory    int64       // bytes of bodies buffered for all requests; 0 means 64 MiB
	Order     admit.Order // order of queued requests; nil means admit.ByExpectedRun
}

// Front serves requests of callers. It implements http.Handler and is safe for concurrent use.
type Front struct {
	cfg          Config
	picker       *route.Picker
	backoff      *retry.Backoff
	memory       memory
	ctx          context.Context // canceled at the end of Drain
	stop         context.CancelFunc
	claimRecords sync.WaitGroup // writes of claim records in progress

	mu       sync.Mutex
	pools    map[string]*servicePool
	draining bool
	cancels  map[int64]context.CancelCauseFunc // by ID of the request in progress
	lastID   int64
	idle     chan struct{}
}

// servicePool holds the admission pool and the retry budget of a service, with the inputs of the pool's configuration.
type servicePool struct {
	pool    *admit.Pool
	budget  *retry.Budget
	service Service
	local   []route.Candidate
	remote  []route.Candidate
}

// New returns a front that serves the services of cfg.
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

// pool returns the admission pool of a service, after updating its configuration and its slots.
func (f *Front) pool(s Service) *admit.Pool {
	set := f.cfg.Directory.Candidates(s.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[s.Name]
	if !ok {
		p = &servicePool{
			service: s,
			pool:    admit.NewPool(f.admitConfig(s)),
			budget:  retry.NewBudget(retryShare, retryBurst),
		}
		f.pools[s.Name] = p
	} else if p.service != s {
		p.service = s
		p.pool.Configure(f.admitConfig(s))
	}
	if !ok || !isSameSlice(p.local, set.Local) || !isSameSlice(p.remote, set.Remote) {
		p.local, p.remote = set.Local, set.Remote
		p.pool.SetSlots(f.picker.Slots(set))
	}
	return p.pool
}

// budget returns the retry budget of a service. The service must have a pool.
func (f *Front) budget(s Service) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pools[s.Name].budget
}

func (f *Front) admitConfig(s Service) admit.Config {
	return admit.Config{
		ShortShare:   s.ShortShare,
		ShortPerSlot: s.ShortPerSlot,
		LongPerSlot:  s.LongPerSlot,
		LongAfter:    s.LongAfter,
		Order:        f.cfg.Order,
	}
}

// isSameSlice reports whether two slices share the same elements in memory.
func isSameSlice(a, b []route.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Load holds the number of requests of a service that are in flight and queued at this entry.
type Load struct {
	InFlight int
	Queued   int
}

// Loads returns the load of each service that has received a request since the start.
func (f *Front) Loads() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]Load, len(f.pools))
	for name, p := range f.pools {
		m[name] = Load{InFlight: p.pool.InFlight(), Queued: p.pool.Queued()}
	}
	return m
}

// register adds a request to those in progress. It returns false if the entry is draining.
func (f *Front) register(cancel context.CancelCauseFunc) (unregister func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return nil, false
	}
	f.lastID++
	id := f.lastID
	f.cancels[id] = cancel
	return func() { f.unregister(id) }, true
}

func (f *Front) unregister(id int64) {
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

// Drain refuses new requests with NotRun and waits until those in progress have ended and their claim records are
// written. If ctx ends while requests are in progress, it cancels them and returns the cause of ctx's end. If ctx ends
// while only claim records are being written, it cancels the writes and returns nil. The readiness check must fail
// before Drain is called, so that the load balancer sends no new requests.
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
		f.awaitClaimRecords(ctx)
		return nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	event.Log(f.cfg.Log, event.DrainAbortedRequests, zap.Int("Requests", len(f.cancels)))
	for _, cancel := range f.cancels {
		cancel(errDrained)
	}
	f.mu.Unlock()
	<-f.idle
	return context.Cause(ctx)
}

// awaitClaimRecords waits until all claim records are written or ctx ends.
func (f *Front) awaitClaimRecords(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		f.claimRecords.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
