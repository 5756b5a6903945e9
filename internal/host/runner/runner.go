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
	maxTasks         = 512 // limits the memory of an agent; a worker of the largest size runs about 30
	inboxSize        = 4 * maxTasks
	executors        = 4                      // goroutines that call the worker
	callTimeout      = 5 * time.Second        // of one call to the worker
	pollInterval     = 500 * time.Millisecond // between polls of the worker's status while it has tasks
	idlePollInterval = 5 * time.Second        // between polls while the agent holds no task
	resendInterval   = 2 * time.Second        // between transmissions of a final report until it is acknowledged
	retryInterval    = 500 * time.Millisecond // between attempts of a failed call to the worker
)

// Owner is a session with an entry that owns partitions.
type Owner interface {
	// Send queues a message to the owner; an error means that the session is ending.
	Send(m wire.Message) error
}

// Ledger accounts for the worker's resources; it is implemented by ledger.Ledger.
type Ledger interface {
	Rebuild(reserved map[ledger.Holder]sizes.Resources)
	Reserve(h ledger.Holder, need sizes.Resources) bool
	Release(h ledger.Holder) bool
	Observe(h ledger.Holder, used sizes.Resources)
	Overused() sizes.Resources
}

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Incarnation ident.Incarnation // of this agent
	Worker      worker.Platform
	Ledger      Ledger
	Log         *zap.Logger
	Hook        point.Hook
}

// Runner executes tasks on one worker. The goroutine of Run processes all inputs; others call the worker.
type Runner struct {
	cfg   Config
	base  time.Time // origin of the monotonic clock in heartbeats
	inbox *queue.Ring[input]
	calls *queue.Ring[call]

	mu          sync.Mutex // guards the fields below
	partitions  map[ident.Partition]*partition
	tasks       map[ident.Task]*task
	sessions    map[Owner]uint64 // open sessions, numbered in the order of their first message
	lastSession uint64
	renewing    bool
	leaving     bool
	forgottenAt time.Time // when an attempt was last removed from tasks
}

// input is a message or event that changes the state of a runner.
type input interface {
	apply(r *Runner)
}

// partition is the state of a partition that has tasks on this worker.
type partition struct {
	epoch          ident.Epoch
	owner          Owner // nil without a session
	reconciled     bool  // the owner has answered the inventory in this session
	deadline       int64 // lease deadline, ns since base
	workerDeadline int64 // lease deadline last sent to the worker, ns since base
}

// New returns a runner; call Restore, then Run, to start it.
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

// Restore reads the tasks of the worker and rebuilds the ledger from them; it retries until it succeeds, or returns the
// error of ctx when that ends.
func (r *Runner) Restore(ctx context.Context) error {
	for {
		list, err := r.cfg.Worker.Tasks(ctx)
		if err == nil {
			r.restore(list)
			return nil
		}
		r.cfg.Log.Warn("cannot list the tasks of the worker, retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}

func (r *Runner) restore(list []worker.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reserved := make(map[ledger.Holder]sizes.Resources)
	for _, s := range list {
		t := r.restored(s)
		if t.final == nil {
			reserved[t.holder()] = s.Size
		}
		r.tasks[s.Task] = t
	}
	r.cfg.Ledger.Rebuild(reserved)
}

// restored returns the task for an attempt on the worker that an earlier agent started.
func (r *Runner) restored(s worker.Status) *task {
	p, class, err := parseLabel(s.Label)
	if err != nil {
		r.cfg.Log.Warn("task on the worker has an invalid label", zap.Stringer("Task", s.Task), zap.Error(err))
	}
	t := &task{partition: p, ref: s.Ref, class: class, size: s.Size, phase: phaseRunning, status: s, startSent: true}
	if s.State.HasEnded() {
		t.end(finalReport(t, s))
	}
	return t
}

// Run processes inputs until ctx ends; running tasks continue on the worker under their leases.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range executors {
		wg.Go(func() { r.execute(ctx) })
	}
	wg.Go(func() { r.poll(ctx) })
	wg.Go(func() { r.resendReports(ctx) })
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

// HandleMessage queues a message from an owner and reports false when the queue is full; the caller should then close
// the session, since a lost message would leave both sides with different states.
func (r *Runner) HandleMessage(o Owner, m wire.Message) bool {
	return r.inbox.TryPut(ownerMessage{o, m})
}

// HandleClosed detaches the partitions of a closed session from their owner.
func (r *Runner) HandleClosed(ctx context.Context, o Owner) {
	r.inbox.Put(ctx, sessionClosed{o})
}

// Renewals returns the partitions of an owner for which the next heartbeat requests leases.
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

// SetLeaving makes the runner refuse new tasks; running tasks continue.
func (r *Runner) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// EvictAll makes the worker checkpoint and stop every task, so that the owners restart them on other workers.
func (r *Runner) EvictAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		r.stop(t, wire.StopEvict)
	}
}

// Unfinished returns the number of attempts that have not ended yet.
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

// Unreported returns the number of attempts whose end no owner has acknowledged yet, including those still running.
func (r *Runner) Unreported() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks)
}

// runHook calls the fault hook, which tests use to delay the runner at a step.
func (r *Runner) runHook(s point.Step, t ident.Task) {
	if err := r.cfg.Hook.At(s, t.String()); err != nil {
		r.cfg.Log.Warn("fault injected", zap.Stringer("Step", s), zap.Error(err))
	}
}
