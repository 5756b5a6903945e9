package runner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/queue"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

const (
	maxTasks    = 512 // bounds the memory of an agent; a worker of the largest size runs about 30
	inboxSize   = 4 * maxTasks
	executors   = 4                      // concurrent calls to the worker
	callTimeout = 5 * time.Second        // of one call to the worker
	pollEvery   = 500 * time.Millisecond // the worker's status is read this often while it holds tasks
	resendEvery = 2 * time.Second        // final reports are sent again this often until acknowledged
	retryEvery  = 500 * time.Millisecond // between repeated calls to the worker
)

// Owner is a session with the entry that owns a partition.
type Owner interface {
	// Send queues a message to the owner.
	Send(m wire.Message) error
}

// Ledger is the account of the worker's resources.
type Ledger interface {
	Rebuild(held map[ledger.Holder]sizes.Resources)
	Reserve(h ledger.Holder, need sizes.Resources) bool
	Release(h ledger.Holder) bool
	Observe(h ledger.Holder, used sizes.Resources)
	Overused() sizes.Resources
}

// Config is what a Runner needs.
type Config struct {
	Incarnation ident.Incarnation // of this agent
	Worker      worker.Platform
	Ledger      Ledger
	Log         *zap.Logger
	Hook        point.Hook
}

// Runner executes tasks on one worker. One goroutine changes its state; others call the worker.
type Runner struct {
	cfg   Config
	base  time.Time // zero of the monotonic clock in heartbeats
	inbox *queue.Ring[input]
	calls *queue.Ring[call]

	mu         sync.Mutex // guards what follows
	partitions map[ident.Partition]*partition
	tasks      map[ident.Task]*task
	sessions   map[Owner]uint64 // order in which open sessions were first heard
	met        uint64
	renewing   bool
	leaving    bool
}

// input is something that changes the state of a runner.
type input interface {
	apply(r *Runner)
}

// partition is what an agent knows of a partition with tasks on its worker.
type partition struct {
	epoch      ident.Epoch
	owner      Owner // nil without a session
	reconciled bool  // the owner has seen the inventory in this session
	until      int64 // lease deadline, ns since base
	passedOn   int64 // lease deadline that the worker was told last
}

// New returns a runner; Restore and Run make it work.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:        cfg,
		base:       time.Now(),
		inbox:      queue.NewRing[input](inboxSize),
		calls:      queue.NewRing[call](2 * maxTasks),
		partitions: make(map[ident.Partition]*partition),
		tasks:      make(map[ident.Task]*task),
		sessions:   make(map[Owner]uint64),
	}
}

// Now returns the time on the monotonic clock of heartbeats, in ns.
func (r *Runner) Now() int64 { return int64(time.Since(r.base)) }

// Restore reads what the worker holds and rebuilds the ledger from it; it tries until it succeeds or ctx ends.
func (r *Runner) Restore(ctx context.Context) error {
	for {
		list, err := r.cfg.Worker.Tasks(ctx)
		if err == nil {
			r.restore(list)
			return nil
		}
		r.cfg.Log.Warn("worker does not list its tasks yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryEvery):
		}
	}
}

func (r *Runner) restore(list []worker.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := make(map[ledger.Holder]sizes.Resources)
	for _, s := range list {
		p, class, err := parseLabel(s.Label)
		if err != nil {
			r.cfg.Log.Warn("worker holds a task without a partition", zap.Stringer("Task", s.Task), zap.Error(err))
		}
		t := &task{partition: p, ref: s.Ref, class: class, size: s.Size, phase: phaseRunning, status: s, given: true}
		if s.State.HasEnded() {
			t.end(reportOf(t, s))
		} else {
			held[t.holder()] = s.Size
		}
		r.tasks[s.Task] = t
	}
	r.cfg.Ledger.Rebuild(held)
}

// Run works until ctx ends; it leaves running tasks as they are, under their leases.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range executors {
		wg.Go(func() { r.execute(ctx) })
	}
	wg.Go(func() { r.poll(ctx) })
	wg.Go(func() { r.tick(ctx) })
	for {
		in, ok := r.inbox.Take(ctx)
		if !ok {
			break
		}
		r.mu.Lock()
		in.apply(r)
		r.mu.Unlock()
	}
	wg.Wait()
}

// HandleMessage takes a message from an owner and reports false when the runner is overloaded; the session should then
// be closed, since a lost message would leave both sides with different states.
func (r *Runner) HandleMessage(o Owner, m wire.Message) bool {
	return r.inbox.TryPut(received{o, m})
}

// HandleClosed ends what depends on a session with an owner.
func (r *Runner) HandleClosed(ctx context.Context, o Owner) {
	r.inbox.Put(ctx, closed{o})
}

// Renewals returns the partitions for which leases are asked from an owner.
func (r *Runner) Renewals(o Owner) []wire.PartitionEpoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := make(map[ident.Partition]bool)
	for _, t := range r.tasks {
		if t.final == nil {
			busy[t.partition] = true
		}
	}
	var list []wire.PartitionEpoch
	for name, p := range r.partitions {
		if p.owner == o && p.reconciled && busy[name] {
			list = append(list, wire.PartitionEpoch{Partition: name, Epoch: p.epoch})
		}
	}
	return list
}

// SetLeaving makes the runner refuse new tasks; those that run go on.
func (r *Runner) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// EvictAll asks the worker for a checkpoint of every task and then stops it; the owners start them elsewhere.
func (r *Runner) EvictAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		r.stop(t, wire.StopEvict)
	}
}

// Unfinished returns the number of attempts that have not ended.
func (r *Runner) Unfinished() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.tasks {
		if t.final == nil {
			n++
		}
	}
	return n
}

// Unreported returns the number of attempts that an owner has not acknowledged.
func (r *Runner) Unreported() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks)
}

// at runs the fault hook; tests use it to delay the runner at a step.
func (r *Runner) at(s point.Step, t ident.Task) {
	if err := r.cfg.Hook.At(s, t.String()); err != nil {
		r.cfg.Log.Warn("fault injected", zap.Stringer("Step", s), zap.Error(err))
	}
}
