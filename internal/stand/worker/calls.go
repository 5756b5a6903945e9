package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Kinds of calls, as fault scripts name them.
const (
	KindMeans      = "Means"
	KindTasks      = "Tasks"
	KindStart      = "Start"
	KindRenew      = "Renew"
	KindStop       = "Stop"
	KindCheckpoint = "Checkpoint"
	KindThrottle   = "Throttle"
)

// call runs effect under the fault script; lost is the error of a call whose response does not arrive.
func call[T any](ctx context.Context, w *Worker, kind string, lost error, effect func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil || w.ctx.Err() != nil {
		return zero, fmt.Errorf("%s: %w", kind, worker.ErrUnavailable)
	}
	res, err := script.Run(ctx, w.faults.Next(kind, ""), func() (T, error) {
		if w.ctx.Err() != nil {
			return zero, worker.ErrUnavailable
		}
		return effect()
	})
	switch {
	case err == nil:
		return res, nil
	case errors.Is(err, script.ErrRefused):
		err = worker.ErrUnavailable
	case errors.Is(err, script.ErrLost), ctx.Err() != nil:
		err = fmt.Errorf("%w: %w", lost, err)
	}
	return res, fmt.Errorf("%s: %w", kind, err)
}

// Means implements worker.Platform.
func (w *Worker) Means(ctx context.Context) (worker.Means, error) {
	return call(ctx, w, KindMeans, worker.ErrUnavailable, func() (worker.Means, error) { return w.means, nil })
}

// Tasks implements worker.Platform.
func (w *Worker) Tasks(ctx context.Context) ([]worker.Status, error) {
	return call(ctx, w, KindTasks, worker.ErrUnavailable, func() ([]worker.Status, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := wall()
		var list []worker.Status
		for _, r := range w.sorted() {
			list = append(list, w.status(r, now))
		}
		return list, nil
	})
}

// status brings an attempt up to date and describes it.
func (w *Worker) status(r *run, now time.Time) worker.Status {
	w.advance(r, now)
	if r.isActive() {
		r.settle(now)
	}
	s := r.Status
	r.measure(&s, now.Add(-w.o.Lag))
	return s
}

// Start implements worker.Platform.
func (w *Worker) Start(ctx context.Context, s worker.Start) error {
	_, err := call(ctx, w, KindStart, worker.ErrUnknown, func() (struct{}, error) { return struct{}{}, w.start(s) })
	return err
}

func (w *Worker) start(s worker.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := wall()
	s.Deadline = s.Deadline.Round(0)
	if err := w.admit(s, now); err != nil {
		return err
	}
	r := &run{Status: worker.Status{
		Ref: s.Ref, State: worker.Loading, Label: s.Label, Size: s.Size, Deadline: s.Deadline,
	}, order: w.starts}
	w.starts++
	w.seen[s.Task] = s.Attempt
	w.runs[s.Ref] = r
	c, err := parseCommand(s.Command)
	if err != nil {
		w.end(r, worker.Failed, now, err.Error())
		return nil
	}
	r.use = c.usage(s.Size)
	r.work, r.fails = c.work(s.Ref, w.o.Worker)
	if w.failAll {
		r.work, r.fails = 0, true
	}
	w.peak = w.peak.Max(w.held())
	if s.Checkpoint != "" {
		w.wg.Go(func() { w.load(r, s.Checkpoint) })
		return nil
	}
	w.begin(r)
	return nil
}

// admit returns why the worker refuses a start.
func (w *Worker) admit(s worker.Start, now time.Time) error {
	seen := w.seen[s.Task]
	switch {
	case s.Attempt == 0 || s.Size.IsNegative():
		return fmt.Errorf("%w: attempt 0 or a negative size", worker.ErrMalformed)
	case s.Attempt == seen:
		return worker.ErrSeen
	case s.Attempt < seen:
		return worker.ErrSuperseded
	case !s.Deadline.After(now):
		return worker.ErrExpired
	}
	for _, r := range w.runs {
		w.advance(r, now)
		if r.Task == s.Task && !r.State.HasEnded() {
			return worker.ErrBusy
		}
	}
	if !w.held().Plus(s.Size).Fits(w.o.Total) {
		return worker.ErrTooLarge
	}
	return nil
}

// held returns the sum of the declared sizes of all attempts that have not ended.
func (w *Worker) held() sizes.Resources {
	var sum sizes.Resources
	for _, r := range w.runs {
		if !r.State.HasEnded() {
			sum = sum.Plus(r.Size)
		}
	}
	return sum
}

// Renew implements worker.Platform.
func (w *Worker) Renew(ctx context.Context, list []worker.Renewal) ([]worker.Ref, error) {
	return call(ctx, w, KindRenew, worker.ErrUnknown, func() ([]worker.Ref, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := wall()
		var refused []worker.Ref
		for _, n := range list {
			if !w.renew(n, now) {
				refused = append(refused, n.Ref)
			}
		}
		return refused, nil
	})
}

func (w *Worker) renew(n worker.Renewal, now time.Time) bool {
	r := w.runs[n.Ref]
	if r == nil || !n.Deadline.After(now) {
		return false
	}
	w.advance(r, now) // first, since the lease may have ended while this process was suspended
	if r.State.HasEnded() {
		return false
	}
	if n.Deadline.After(r.Deadline) {
		r.Deadline = n.Deadline.Round(0)
	}
	if r.State == worker.Paused && !r.frozen {
		r.resume(now)
	}
	w.schedule(r)
	return true
}

// Stop implements worker.Platform.
func (w *Worker) Stop(ctx context.Context, ref worker.Ref) (worker.Status, error) {
	return w.finish(ctx, ref, false)
}

// Forget implements worker.Platform.
func (w *Worker) Forget(ctx context.Context, ref worker.Ref) error {
	_, err := w.finish(ctx, ref, true)
	if errors.Is(err, worker.ErrNotFound) {
		return nil
	}
	return err
}

func (w *Worker) finish(ctx context.Context, ref worker.Ref, forget bool) (worker.Status, error) {
	return call(ctx, w, KindStop, worker.ErrUnknown, func() (worker.Status, error) { return w.stop(ref, forget) })
}

func (w *Worker) stop(ref worker.Ref, forget bool) (worker.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := wall()
	w.seen[ref.Task] = max(w.seen[ref.Task], ref.Attempt)
	r := w.runs[ref]
	if r == nil {
		return worker.Status{}, worker.ErrNotFound
	}
	w.advance(r, now)
	w.end(r, worker.Stopped, now, "stopped")
	if forget {
		delete(w.runs, ref)
	}
	return w.status(r, now), nil
}

// Throttle implements worker.Platform.
func (w *Worker) Throttle(ctx context.Context, ref worker.Ref, processors int64) error {
	_, err := call(ctx, w, KindThrottle, worker.ErrUnknown, func() (struct{}, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		r := w.runs[ref]
		switch {
		case r == nil:
			return struct{}{}, worker.ErrNotFound
		case processors < 0:
			return struct{}{}, fmt.Errorf("%w: negative processors", worker.ErrMalformed)
		}
		now := wall()
		w.advance(r, now)
		if r.isActive() {
			r.settle(now) // the old speed holds until now
		}
		r.Limit = processors
		r.note(now)
		w.schedule(r)
		return struct{}{}, nil
	})
	return err
}

// Checkpoint implements worker.Platform.
func (w *Worker) Checkpoint(ctx context.Context, ref worker.Ref, stop bool) (worker.Status, error) {
	return call(ctx, w, KindCheckpoint, worker.ErrUnknown, func() (worker.Status, error) { return w.checkpoint(ref, stop) })
}

// checkpoint writes the progress without the lock, since the store may be slow. An attempt that is to stop does not run
// during the write, so that no progress is made after the checkpoint. Each write has a name of its own, so that a write
// that takes effect late replaces no later one.
func (w *Worker) checkpoint(ref worker.Ref, stop bool) (worker.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[ref]
	if r == nil {
		return worker.Status{}, worker.ErrNotFound
	}
	s := w.status(r, wall())
	switch {
	case s.State.HasEnded() || s.State == worker.Storing:
		return s, nil
	case s.State == worker.Loading || r.saving:
		return s, fmt.Errorf("%w: another checkpoint is being read or written", worker.ErrStore)
	}
	if stop {
		w.freeze(r)
	}
	r.saving = true
	r.saves++
	name, progress := worker.CheckpointName(ref, r.saves), r.progress
	w.mu.Unlock()
	err := w.save(ref, name, progress)
	w.mu.Lock()
	r.saving = false
	if err == nil {
		r.Checkpoint = name
	}
	if stop {
		w.release(r, err == nil)
	}
	return w.status(r, wall()), err
}

func (w *Worker) save(ref worker.Ref, name string, progress time.Duration) error {
	b, err := json.Marshal(saved{ref, w.o.Worker, progress})
	if err == nil {
		err = w.o.Objects.PutObject(w.ctx, name, b)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", worker.ErrStore, err)
	}
	return nil
}

// freeze closes the open interval of an attempt for the time of a checkpoint.
func (w *Worker) freeze(r *run) {
	if r.isActive() {
		w.leave(r, worker.Paused, wall())
	}
	r.frozen = true
	w.schedule(r)
}

// release ends a frozen attempt when its checkpoint was saved, or lets it go on.
func (w *Worker) release(r *run, saved bool) {
	r.frozen = false
	now := wall()
	if saved {
		w.end(r, worker.Stopped, now, "stopped with a checkpoint")
		return
	}
	if r.State == worker.Paused && r.Deadline.After(now) {
		r.resume(now)
	}
	w.schedule(r)
}
