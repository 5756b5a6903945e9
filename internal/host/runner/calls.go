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

// callResult is the result of a call.
type callResult struct {
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
		r.inbox.Put(ctx, callResult{c, status, err})
	}
}

func (r *Runner) invoke(ctx context.Context, c call) (worker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w := r.cfg.Worker
	switch c.kind {
	case callStart:
		r.runHook(point.StartPassedOn, c.ref.Task)
		return worker.Status{}, w.Start(ctx, c.start)
	case callStop:
		return w.Stop(ctx, c.ref)
	case callCheckpoint:
		r.runHook(point.EvictCheckpointed, c.ref.Task)
		return w.Checkpoint(ctx, c.ref, true)
	case callForget:
		return worker.Status{}, w.Forget(ctx, c.ref)
	case callThrottle:
		return worker.Status{}, w.Throttle(ctx, c.ref, c.processors)
	default:
		r.runHook(point.RenewApplied, c.ref.Task)
		_, err := w.Renew(ctx, c.renewals)
		return worker.Status{}, err
	}
}

func (in callResult) apply(r *Runner) {
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
			r.forget(t)
			return
		}
		r.retry(t, in.err)
	}
}

// advance queues the call that the state of the task requires; each task has at most one call in progress.
func (r *Runner) advance(t *task) {
	if t.calling {
		return
	}
	c := call{ref: t.ref}
	switch {
	case t.final != nil && t.acked && t.startSent:
		c.kind = callForget
	case t.final != nil && t.acked:
		r.forget(t)
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
		t.startSent = true
	default:
		return
	}
	t.calling = r.calls.TryPut(c)
	if !t.calling {
		r.retry(t, errors.New("queue of calls to the worker is full"))
	}
}

// forget removes an attempt whose final report is acknowledged and that the worker no longer lists.
func (r *Runner) forget(t *task) {
	delete(r.tasks, t.ref.Task)
	r.forgottenAt = time.Now()
}

// deadline returns the lease deadline of a task on the wall clock, which the worker shares since it is on this machine.
func (r *Runner) deadline(t *task) time.Time {
	return time.Now().Add(time.Duration(r.partition(t.partition).deadline - r.Now()))
}

// retry schedules the next call of a task after retryInterval.
func (r *Runner) retry(t *task, err error) {
	r.cfg.Log.Warn("call to the worker failed, retrying", zap.Stringer("Task", t.ref.Task), zap.Error(err))
	r.scheduleRetry(t)
}

// scheduleRetry queues the next call of a task after retryInterval, or later while the queue is full.
func (r *Runner) scheduleRetry(t *task) {
	time.AfterFunc(retryInterval, func() {
		if !r.inbox.TryPut(retryDue{t}) {
			r.scheduleRetry(t)
		}
	})
}

// retryDue requests the next call of a task.
type retryDue struct{ t *task }

func (in retryDue) apply(r *Runner) {
	if r.tasks[in.t.ref.Task] == in.t {
		r.advance(in.t)
	}
}

func (r *Runner) started(t *task, err error) {
	switch {
	case err == nil, errors.Is(err, worker.ErrDuplicate):
		// ErrDuplicate means that the response to an earlier start was lost; the next poll shows the state.
		t.phase = phaseRunning
		t.startedAt = time.Now()
		if p := r.partitions[t.partition]; p != nil && p.owner != nil {
			r.send(p.owner, t.report(wire.TaskRunning, ""))
		}
		r.advance(t)
	case errors.Is(err, worker.ErrUnknown), errors.Is(err, worker.ErrUnavailable):
		t.unanswered = t.unanswered || errors.Is(err, worker.ErrUnknown)
		if r.partition(t.partition).deadline <= r.Now() {
			t.fence = true // Stop makes the worker refuse a start that arrives later
		}
		r.retry(t, err)
	case t.unanswered:
		// The refusal is the outcome of this call only; the worker may still execute an earlier one.
		r.cfg.Log.Warn("worker refused a repeated start, stopping the attempt", zap.Stringer("Task", t.ref.Task), zap.Error(err))
		t.fence = true
		r.advance(t)
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
		r.finish(t, finalReport(t, s))
	}
}

func (r *Runner) checkpointed(t *task, s worker.Status, err error) {
	switch {
	case errors.Is(err, worker.ErrNotFound):
		t.fence = true
		r.advance(t)
	case err != nil:
		r.retry(t, err) // the attempt continues until a checkpoint can be written
	case !s.State.HasEnded():
		r.retry(t, errors.New("attempt is still running after its checkpoint"))
	default:
		r.finish(t, finalReport(t, s))
	}
}

// finish records the final report of an attempt, releases its resources and sends the report.
func (r *Runner) finish(t *task, m *wire.TaskReport) {
	if t.final != nil {
		return
	}
	t.end(m)
	r.cfg.Ledger.Release(t.holder())
	r.runHook(point.FinishReported, t.ref.Task)
	r.sendReport(t)
}
