package worker

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// storeRetryDelay is the time between two attempts to reach the object store.
const storeRetryDelay = 200 * time.Millisecond

// Objects is the object store for results and checkpoints.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, b []byte) error
}

// Options configures a worker.
type Options struct {
	Worker  ident.Worker
	Zone    ident.AvailabilityZone
	Rack    string
	Total   sizes.Resources
	Lag     time.Duration // age of reported usage
	Objects Objects
}

// Worker is a simulated worker that implements worker.Platform. It is safe for concurrent use.
type Worker struct {
	o      Options
	info   worker.Info
	faults script.Script
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	runs       map[worker.Ref]*run
	seen       map[ident.Task]ident.Attempt // highest attempt started or stopped
	starts     uint64                       // attempts started so far
	intervals  []Interval                   // closed intervals
	failStarts bool                         // see SetFailing
	peak       sizes.Resources              // highest sum of declared sizes
}

var _ worker.Platform = (*Worker)(nil)

// New returns a worker that runs no tasks.
func New(o Options) *Worker {
	w := &Worker{
		o: o,
		info: worker.Info{
			Worker: o.Worker, Incarnation: ident.NewIncarnation(), Zone: o.Zone, Rack: o.Rack, Total: o.Total,
		},
		runs: make(map[worker.Ref]*run),
		seen: make(map[ident.Task]ident.Attempt),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close ends all attempts without a result, as the loss of the instance does; later calls return ErrUnavailable.
func (w *Worker) Close() {
	w.mu.Lock()
	now := wallTime()
	for _, r := range w.runs {
		w.advance(r, now)
		w.end(r, worker.Stopped, now, "worker closed")
	}
	w.cancel()
	w.mu.Unlock()
	w.wg.Wait()
}

// Faults returns the worker's fault script.
func (w *Worker) Faults() *script.Script { return &w.faults }

// SetFailing sets whether every attempt that is started from now on fails immediately.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failStarts = failing
}

// Peak returns the highest sum of the declared sizes of concurrent attempts so far.
func (w *Worker) Peak() sizes.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// History returns the intervals in which attempts ran, including forgotten attempts; open intervals end now.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := wallTime()
	for _, r := range w.runs {
		w.advance(r, now)
	}
	list := slices.Clone(w.intervals)
	for _, r := range w.runs {
		if r.isActive() {
			list = append(list, w.interval(r, now))
		}
	}
	slices.SortFunc(list, func(a, b Interval) int { return a.From.Compare(b.From) })
	return list
}

// wallTime returns the wall clock time without a monotonic reading, since lease deadlines are absolute.
func wallTime() time.Time { return time.Now().Round(0) }

func (w *Worker) interval(r *run, to time.Time) Interval {
	r.updateProgress(to)
	return Interval{
		Ref: r.Ref, Worker: w.o.Worker, From: r.intervalStart, To: to,
		Start: r.intervalProgress, End: r.progress, State: r.State,
	}
}

// advance updates an attempt to the time now: its work may have finished, or its lease may have expired.
func (w *Worker) advance(r *run, now time.Time) {
	if !r.isActive() {
		return
	}
	end := r.finishAt()
	switch {
	case !end.After(now) && !end.After(r.Deadline):
		if r.fails {
			w.end(r, worker.Failed, end, "the command failed")
			return
		}
		w.closeInterval(r, worker.Storing, end)
		w.wg.Go(func() { w.storeResult(r) })
	case !r.Deadline.After(now):
		w.closeInterval(r, worker.Paused, r.Deadline)
	}
}

// closeInterval moves an active attempt to the state next and closes its interval at the time at.
func (w *Worker) closeInterval(r *run, next worker.State, at time.Time) {
	i := w.interval(r, at)
	i.State, r.State = next, next
	w.intervals = append(w.intervals, i)
	r.recordUsage(at)
}

// end moves an attempt to a final state.
func (w *Worker) end(r *run, state worker.State, at time.Time, detail string) {
	if r.State.HasEnded() {
		return
	}
	if r.isActive() {
		w.closeInterval(r, state, at)
	}
	r.State, r.Detail, r.frozen = state, detail, false
	r.recordUsage(at)
	if r.timer != nil {
		r.timer.Stop()
	}
}

// schedule sets the timer of an attempt to its next change of state.
func (w *Worker) schedule(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	if !r.isActive() {
		return
	}
	next := r.finishAt()
	if r.Deadline.Before(next) {
		next = r.Deadline
	}
	r.timer = time.AfterFunc(time.Until(next), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance(r, wallTime())
		w.schedule(r)
	})
}

// savedProgress is the JSON content of result and checkpoint objects.
type savedProgress struct {
	worker.Ref
	Worker   ident.Worker
	Progress time.Duration
}

// storeResult writes the result of an attempt, retrying until it succeeds or the worker is closed, and ends the
// attempt.
func (w *Worker) storeResult(r *run) {
	name := worker.ResultName(r.Ref)
	b, err := json.Marshal(savedProgress{r.Ref, w.o.Worker, r.work})
	if err != nil {
		return
	}
	for w.o.Objects.PutObject(w.ctx, name, b) != nil {
		if !w.waitToRetry() {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.State == worker.Storing {
		r.Result = name
		w.end(r, worker.Done, wallTime(), "")
	}
}

// loadCheckpoint reads the checkpoint of an attempt, retrying while the store is unavailable, and activates the
// attempt. The attempt fails if the checkpoint is missing or malformed.
func (w *Worker) loadCheckpoint(r *run, name string) {
	var s savedProgress
	for {
		b, err := w.o.Objects.GetObject(w.ctx, name)
		if err == nil {
			err = json.Unmarshal(b, &s)
			if err == nil {
				break
			}
		}
		if errors.Is(err, table.ErrNotFound) || b != nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, worker.Failed, wallTime(), "checkpoint "+name+": "+err.Error())
			return
		}
		if !w.waitToRetry() {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.progress = min(s.Progress, r.work)
	w.activate(r)
}

// activate runs a loading attempt, or pauses it if its lease has expired meanwhile.
func (w *Worker) activate(r *run) {
	now := wallTime()
	if r.State != worker.Loading {
		return
	}
	if !r.Deadline.After(now) {
		r.State = worker.Paused
		return
	}
	r.resume(now)
	w.schedule(r)
	w.enforceMemory(now)
}

// enforceMemory fails the attempts that exceed their declared memory the most while the memory used exceeds that of the
// worker.
func (w *Worker) enforceMemory(now time.Time) {
	for {
		var used, excess int64
		var worst *run
		for _, r := range w.runs {
			if r.State.HasEnded() {
				continue
			}
			used += r.demand.Memory
			if overuse := r.demand.Memory - r.Size.Memory; overuse > excess {
				worst, excess = r, overuse
			}
		}
		if used <= w.o.Total.Memory || worst == nil {
			return
		}
		w.end(worst, worker.Failed, now, "out of memory")
	}
}

// waitToRetry waits for storeRetryDelay and returns false if the worker is closed first.
func (w *Worker) waitToRetry() bool {
	t := time.NewTimer(storeRetryDelay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// sorted returns all attempts in order of their start.
func (w *Worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	return list
}
