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

// Kinds of calls in fault scripts.
const (
	KindMeans      = "Means" // Describe
	KindTasks      = "Tasks"
	KindStart      = "Start"
	KindRenew      = "Renew"
	KindStop       = "Stop" // Stop and Forget
	KindCheckpoint = "Checkpoint"
	KindThrottle   = "Throttle"
)

// call runs effect under the fault script of the worker. It returns an error that wraps lostErr if the response is lost
// or ctx ends first, and worker.ErrUnavailable if the call is refused, ctx has ended before or the worker is closed.
func call[T any](ctx context.Context, w *Worker, kind string, lostErr error, effect func() (T, error)) (T, error) {
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
	case errors.Is(err, script.ErrRejected):
		err = rejection(kind)
	case errors.Is(err, script.ErrLost), ctx.Err() != nil:
		err = fmt.Errorf("%w: %w", lostErr, err)
	}
	return res, fmt.Errorf("%s: %w", kind, err)
}

// rejection returns the error with which a worker that is up rejects a valid call.
func rejection(kind string) error {
	switch kind {
	case KindStart:
		return worker.ErrTooLarge
	case KindCheckpoint:
		return worker.ErrStore
	default:
		return worker.ErrUnavailable
	}
}

// Describe implements worker.Platform.
func (w *Worker) Describe(ctx context.Context) (worker.Info, error) {
	return call(ctx, w, KindMeans, worker.ErrUnavailable, func() (worker.Info, error) { return w.info, nil })
}

// Tasks implements worker.Platform.
func (w *Worker) Tasks(ctx context.Context) ([]worker.Status, error) {
	return call(ctx, w, KindTasks, worker.ErrUnavailable, func() ([]worker.Status, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := wallTime()
		var list []worker.Status
		for _, r := range w.sorted() {
			list = append(list, w.status(r, now))
		}
		return list, nil
	})
}

// status updates an attempt to the time now and returns its status.
func (w *Worker) status(r *run, now time.Time) worker.Status {
	w.advance(r, now)
	if r.isActive() {
		r.updateProgress(now)
	}
	s := r.Status
	r.fillUsage(&s, now.Add(-w.o.Lag))
	return s
}

// Start implements worker.Platform.
func (w *Worker) Start(ctx context.Context, s worker.Start) error {
	_, err := call(ctx, w, KindStart, worker.ErrUnknown, func() (struct{}, error) { return struct{}{}, w.start(s) })
	return err
}

// start admits an attempt and starts it, or the loading of its checkpoint. An attempt with a malformed command is
// admitted and fails.
func (w *Worker) start(s worker.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := wallTime()
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
	r.demand = c.usage(s.Size)
	r.work, r.fails = c.work(s.Ref, w.o.Worker)
	if w.failStarts {
		r.work, r.fails = 0, true
	}
	w.peak = w.peak.Max(w.reserved())
	if s.Checkpoint != "" {
		w.wg.Go(func() { w.loadCheckpoint(r, s.Checkpoint) })
		return nil
	}
	w.activate(r)
	return nil
}

// admit returns the error with which the worker rejects a start, or nil.
func (w *Worker) admit(s worker.Start, now time.Time) error {
	seen := w.seen[s.Task]
	switch {
	case s.Attempt == 0 || s.Size.IsNegative():
		return fmt.Errorf("%w: attempt 0 or a negative size", worker.ErrMalformed)
	case s.Attempt == seen:
		return worker.ErrDuplicate
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
	if !w.reserved().Plus(s.Size).Fits(w.o.Total) {
		return worker.ErrTooLarge
	}
	return nil
}

// reserved returns the sum of the declared sizes of all attempts that have not ended.
func (w *Worker) reserved() sizes.Resources {
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
		now := wallTime()
		var refused []worker.Ref
		for _, n := range list {
			if !w.renew(n, now) {
				refused = append(refused, n.Ref)
			}
		}
		return refused, nil
	})
}

// renew extends a lease and resumes a paused attempt. It reports whether the renewal was accepted.
func (w *Worker) renew(n worker.Renewal, now time.Time) bool {
	r := w.runs[n.Ref]
	if r == nil || !n.Deadline.After(now) {
		return false
	}
	w.advance(r, now) // the lease may have expired while this process was suspended
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
	return w.stopOrForget(ctx, ref, false)
}

// Forget implements worker.Platform.
func (w *Worker) Forget(ctx context.Context, ref worker.Ref) error {
	_, err := w.stopOrForget(ctx, ref, true)
	if errors.Is(err, worker.ErrNotFound) {
		return nil
	}
	return err
}

func (w *Worker) stopOrForget(ctx context.Context, ref worker.Ref, forget bool) (worker.Status, error) {
	return call(ctx, w, KindStop, worker.ErrUnknown, func() (worker.Status, error) { return w.stop(ref, forget) })
}

// stop ends an attempt. It also marks an unknown attempt as seen, so that a delayed start of it is rejected.
func (w *Worker) stop(ref worker.Ref, forget bool) (worker.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := wallTime()
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
		now := wallTime()
		w.advance(r, now)
		if r.isActive() {
			r.updateProgress(now) // at the old speed
		}
		r.Limit = processors
		r.recordUsage(now)
		w.schedule(r)
		return struct{}{}, nil
	})
	return err
}

// Checkpoint implements worker.Platform.
func (w *Worker) Checkpoint(ctx context.Context, ref worker.Ref, stop bool) (worker.Status, error) {
	return call(ctx, w, KindCheckpoint, worker.ErrUnknown,
		func() (worker.Status, error) { return w.checkpoint(ref, stop) })
}

// checkpoint writes the progress without the lock, since the store may be slow. With stop set, the attempt is frozen
// during the write, so that it makes no progress after the checkpoint. Each checkpoint has a unique name, so that a
// delayed write cannot overwrite a later one.
func (w *Worker) checkpoint(ref worker.Ref, stop bool) (worker.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[ref]
	if r == nil {
		return worker.Status{}, worker.ErrNotFound
	}
	s := w.status(r, wallTime())
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
	r.checkpointSeq++
	name, progress := worker.CheckpointName(ref, r.checkpointSeq), r.progress
	w.mu.Unlock()
	err := w.saveCheckpoint(ref, name, progress)
	w.mu.Lock()
	r.saving = false
	if err == nil {
		r.Checkpoint = name
	}
	if stop {
		w.unfreeze(r, err == nil)
	}
	return w.status(r, wallTime()), err
}

func (w *Worker) saveCheckpoint(ref worker.Ref, name string, progress time.Duration) error {
	b, err := json.Marshal(savedProgress{ref, w.o.Worker, progress})
	if err == nil {
		err = w.o.Objects.PutObject(w.ctx, name, b)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", worker.ErrStore, err)
	}
	return nil
}

// freeze suspends an attempt while its last checkpoint is written.
func (w *Worker) freeze(r *run) {
	if r.isActive() {
		w.closeInterval(r, worker.Paused, wallTime())
	}
	r.frozen = true
	w.schedule(r)
}

// unfreeze ends a frozen attempt if its checkpoint was saved; otherwise it resumes the attempt if its lease is valid.
func (w *Worker) unfreeze(r *run, saved bool) {
	r.frozen = false
	now := wallTime()
	if saved {
		w.end(r, worker.Stopped, now, "stopped with a checkpoint")
		return
	}
	if r.State == worker.Paused && r.Deadline.After(now) {
		r.resume(now)
	}
	w.schedule(r)
}
