package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

type callKind int

const (
	callStart callKind = iota + 1
	callStop
	callCheckpoint
	callForget
	callThrottle
	callRenew
)

// call is one call to the worker.
type call struct {
	kind       callKind
	ref        worker.Ref
	start      worker.Start
	processors int64
	renewals   []worker.Renewal
}

// called is the outcome of a call.
type called struct {
	call   call
	status worker.Status
	err    error
}

// execute makes calls to the worker until ctx ends.
func (r *Runner) execute(ctx context.Context) {
	for {
		c, ok := r.calls.Take(ctx)
		if !ok {
			return
		}
		status, err := r.invoke(ctx, c)
		r.inbox.Put(ctx, called{c, status, err})
	}
}

func (r *Runner) invoke(ctx context.Context, c call) (worker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w := r.cfg.Worker
	switch c.kind {
	case callStart:
		r.at(point.StartPassedOn, c.ref.Task)
		return worker.Status{}, w.Start(ctx, c.start)
	case callStop:
		return w.Stop(ctx, c.ref)
	case callCheckpoint:
		r.at(point.EvictCheckpointed, c.ref.Task)
		return w.Checkpoint(ctx, c.ref, true)
	case callForget:
		return worker.Status{}, w.Forget(ctx, c.ref)
	case callThrottle:
		return worker.Status{}, w.Throttle(ctx, c.ref, c.processors)
	default:
		r.at(point.RenewApplied, c.ref.Task)
		_, err := w.Renew(ctx, c.renewals)
		return worker.Status{}, err
	}
}

func (in called) apply(r *Runner) {
	switch in.call.kind {
	case callRenew:
		r.renewed(in.err)
		return
	case callThrottle:
		return
	}
	t, ok := r.tasks[in.call.ref.Task]
	if !ok || t.ref != in.call.ref {
		return
	}
	t.calling = false
	switch in.call.kind {
	case callStart:
		r.started(t, in.err)
	case callStop:
		r.stopped(t, in.status, in.err)
	case callCheckpoint:
		r.checkpointed(t, in.status, in.err)
	case callForget:
		if in.err == nil {
			delete(r.tasks, t.ref.Task)
			return
		}
		r.retry(t, in.err)
	}
}

// next makes the call that the state of the task asks for; each task has at most one call in progress.
func (r *Runner) next(t *task) {
	if t.calling {
		return
	}
	c := call{ref: t.ref}
	switch {
	case t.final != nil && t.acked && t.given:
		c.kind = callForget
	case t.final != nil && t.acked:
		delete(r.tasks, t.ref.Task)
		return
	case t.final != nil:
		return
	case t.stopping == wire.StopEvict && !t.fence:
		c.kind = callCheckpoint
	case t.stopping != 0 || t.fence:
		c.kind = callStop
	case t.phase == phaseStarting:
		c.kind = callStart
		c.start = t.start
		c.start.Deadline = r.deadline(t)
		t.given = true
	default:
		return
	}
	t.calling = r.calls.TryPut(c)
	if !t.calling {
		r.retry(t, errors.New("too many calls to the worker are waiting"))
	}
}

// deadline returns the lease deadline of a task on the wall clock of this machine, which the worker shares.
func (r *Runner) deadline(t *task) time.Time {
	return time.Now().Add(time.Duration(r.partition(t.partition).until - r.Now()))
}

// retry repeats the call of a task after a while.
func (r *Runner) retry(t *task, err error) {
	r.cfg.Log.Warn("call to the worker is repeated", zap.Stringer("Task", t.ref.Task), zap.Error(err))
	time.AfterFunc(retryEvery, func() { r.inbox.TryPut(retried{t}) })
}

// retried asks for the next call of a task.
type retried struct{ t *task }

func (in retried) apply(r *Runner) {
	if r.tasks[in.t.ref.Task] == in.t {
		r.next(in.t)
	}
}

func (r *Runner) started(t *task, err error) {
	switch {
	case err == nil, errors.Is(err, worker.ErrSeen):
		// ErrSeen follows a start whose response was lost; the next poll tells the state.
		t.phase = phaseRunning
		t.startedAt = time.Now()
		if p := r.partitions[t.partition]; p != nil && p.owner != nil {
			r.send(p.owner, t.report(wire.TaskRunning, ""))
		}
		r.next(t)
	case errors.Is(err, worker.ErrUnknown), errors.Is(err, worker.ErrUnavailable):
		if r.partition(t.partition).until <= r.Now() {
			t.fence = true // Stop makes the worker refuse a start that is still on its way
		}
		r.retry(t, err)
	default:
		r.finish(t, t.report(wire.TaskRefused, err.Error()))
	}
}

func (r *Runner) stopped(t *task, s worker.Status, err error) {
	switch {
	case errors.Is(err, worker.ErrNotFound) && t.phase == phaseStarting && t.stopping != wire.StopCancel:
		r.finish(t, t.report(wire.TaskRefused, "worker did not start the attempt"))
	case errors.Is(err, worker.ErrNotFound):
		m := t.report(wire.TaskEvicted, "worker lost the attempt")
		if t.stopping == wire.StopCancel || t.stopping == wire.StopSuperseded {
			m.State = wire.TaskStopped
		}
		r.finish(t, m)
	case err != nil:
		r.retry(t, err)
	default:
		r.finish(t, reportOf(t, s))
	}
}

func (r *Runner) checkpointed(t *task, s worker.Status, err error) {
	switch {
	case errors.Is(err, worker.ErrNotFound):
		t.fence = true
		r.next(t)
	case err != nil:
		r.retry(t, err) // the attempt goes on until a checkpoint can be written
	case !s.State.HasEnded():
		r.retry(t, errors.New("attempt has not ended after its checkpoint"))
	default:
		r.finish(t, reportOf(t, s))
	}
}

// finish records the end of an attempt, frees its resources and reports it.
func (r *Runner) finish(t *task, m *wire.TaskReport) {
	if t.final != nil {
		return
	}
	t.end(m)
	r.cfg.Ledger.Release(t.holder())
	r.at(point.FinishReported, t.ref.Task)
	r.sendReport(t)
}
