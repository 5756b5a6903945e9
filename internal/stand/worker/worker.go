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

// storePause is the time between two tries to reach the object store.
const storePause = 200 * time.Millisecond

// Objects is the part of the store that a worker uses.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, b []byte) error
}

// Options describes a worker.
type Options struct {
	Worker  ident.Worker
	Zone    ident.AvailabilityZone
	Rack    string
	Total   sizes.Resources
	Lag     time.Duration // age of reported usage
	Objects Objects
}

// Worker is the stand-in as a Go object; it is safe for concurrent use and implements worker.Platform.
type Worker struct {
	o      Options
	means  worker.Means
	faults script.Script
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	runs    map[worker.Ref]*run
	seen    map[ident.Task]ident.Attempt // highest attempt started or stopped
	starts  uint64
	closed  []Interval
	failAll bool
	peak    sizes.Resources // highest sum of declared sizes
}

var _ worker.Platform = (*Worker)(nil)

// New returns a worker that runs no tasks.
func New(o Options) *Worker {
	w := &Worker{
		o:     o,
		means: worker.Means{Worker: o.Worker, Incarnation: ident.NewIncarnation(), Zone: o.Zone, Rack: o.Rack, Total: o.Total},
		runs:  make(map[worker.Ref]*run),
		seen:  make(map[ident.Task]ident.Attempt),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close ends all attempts without a result, as the death of the instance does; later calls get ErrUnavailable.
func (w *Worker) Close() {
	w.mu.Lock()
	now := wall()
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

// SetFailing sets whether the worker fails everything that is started on it from now on.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = failing
}

// Peak returns the highest sum of the declared sizes of attempts held at one time.
func (w *Worker) Peak() sizes.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// History returns when each attempt ran, including attempts that were forgotten; open intervals end now.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := wall()
	for _, r := range w.runs {
		w.advance(r, now)
	}
	list := slices.Clone(w.closed)
	for _, r := range w.runs {
		if r.isActive() {
			list = append(list, w.interval(r, now))
		}
	}
	slices.SortFunc(list, func(a, b Interval) int { return a.From.Compare(b.From) })
	return list
}

// wall returns the wall clock time; lease deadlines are absolute.
func wall() time.Time { return time.Now().Round(0) }

func (w *Worker) interval(r *run, to time.Time) Interval {
	r.settle(to)
	return Interval{Ref: r.Ref, Worker: w.o.Worker, From: r.began, To: to, Start: r.base, End: r.progress, State: r.State}
}

// advance brings an attempt up to the time now: it ends, or pauses at its deadline.
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
		w.leave(r, worker.Storing, end)
		w.wg.Go(func() { w.store(r) })
	case !r.Deadline.After(now):
		w.leave(r, worker.Paused, r.Deadline)
	}
}

// leave closes the open interval of an attempt at the time at.
func (w *Worker) leave(r *run, next worker.State, at time.Time) {
	i := w.interval(r, at)
	i.State, r.State = next, next
	w.closed = append(w.closed, i)
	r.note(at)
}

// end moves an attempt to a final state.
func (w *Worker) end(r *run, state worker.State, at time.Time, detail string) {
	if r.State.HasEnded() {
		return
	}
	if r.isActive() {
		w.leave(r, state, at)
	}
	r.State, r.Detail, r.frozen = state, detail, false
	r.note(at)
	if r.timer != nil {
		r.timer.Stop()
	}
}

// schedule sets the timer of an attempt to its next change.
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
		w.advance(r, wall())
		w.schedule(r)
	})
}

// saved is the content of result and checkpoint objects.
type saved struct {
	worker.Ref
	Worker   ident.Worker
	Progress time.Duration
}

// store writes the result of an attempt and repeats that until it succeeds.
func (w *Worker) store(r *run) {
	name := worker.ResultName(r.Ref)
	b, err := json.Marshal(saved{r.Ref, w.o.Worker, r.work})
	if err != nil {
		return
	}
	for w.o.Objects.PutObject(w.ctx, name, b) != nil {
		if !w.sleep() {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.State == worker.Storing {
		r.Result = name
		w.end(r, worker.Done, wall(), "")
	}
}

// load reads the checkpoint of an attempt, repeats that until it succeeds, and lets the attempt run.
func (w *Worker) load(r *run, name string) {
	var s saved
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
			w.end(r, worker.Failed, wall(), "checkpoint "+name+": "+err.Error())
			return
		}
		if !w.sleep() {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.progress = min(s.Progress, r.work)
	w.begin(r)
}

// begin lets a loading attempt run, or pauses it when its lease has ended meanwhile.
func (w *Worker) begin(r *run) {
	now := wall()
	if r.State != worker.Loading {
		return
	}
	if !r.Deadline.After(now) {
		r.State = worker.Paused
		return
	}
	r.resume(now)
	w.schedule(r)
	w.relieve(now)
}

// relieve fails attempts while the memory used exceeds that of the worker.
func (w *Worker) relieve(now time.Time) {
	for {
		var used, excess int64
		var worst *run
		for _, r := range w.runs {
			if r.State.HasEnded() {
				continue
			}
			used += r.use.Memory
			if over := r.use.Memory - r.Size.Memory; over > excess {
				worst, excess = r, over
			}
		}
		if used <= w.o.Total.Memory || worst == nil {
			return
		}
		w.end(worst, worker.Failed, now, "out of memory")
	}
}

func (w *Worker) sleep() bool {
	t := time.NewTimer(storePause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *Worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.order, b.order) })
	return list
}
