package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// pollResult lists the attempts that the worker had at some time after requestedAt.
type pollResult struct {
	list        []worker.Status
	requestedAt time.Time
}

// poll lists the worker's attempts at an interval, which is longer while the runner has none.
func (r *Runner) poll(ctx context.Context) {
	var last time.Time
	pause.Every(ctx, pollInterval, func() {
		if r.Unreported() > 0 || time.Since(last) >= idlePollInterval {
			last = time.Now()
			r.pollOnce(ctx)
		}
	})
}

func (r *Runner) pollOnce(ctx context.Context) {
	requestedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.cfg.Worker.Tasks(callCtx)
	if err != nil {
		r.cfg.Log.Debug("cannot list the tasks of the worker", zap.Error(err))
		return
	}
	r.inbox.Put(ctx, pollResult{list, requestedAt})
}

func (in pollResult) apply(r *Runner) {
	listed := make(map[worker.Ref]bool, len(in.list))
	for _, s := range in.list {
		listed[s.Ref] = true
		t, ok := r.tasks[s.Task]
		switch {
		case ok && t.ref == s.Ref:
			r.observe(t, s)
		case !ok && in.requestedAt.After(r.forgottenAt):
			r.observeUnknown(s)
		}
	}
	for _, t := range r.tasks {
		if t.final == nil && t.phase == phaseRunning && t.startedAt.Before(in.requestedAt) && !listed[t.ref] {
			t.fence = true // the worker was replaced or lost the attempt
			r.advance(t)
		}
	}
	r.evictOnOveruse()
}

// observe records the status of an attempt as the worker reported it.
func (r *Runner) observe(t *task, s worker.Status) {
	if t.final != nil {
		return
	}
	if s.State.HasEnded() {
		r.finish(t, finalReport(t, s))
		return
	}
	if s.Checkpoint != t.status.Checkpoint {
		t.savedRunTime = s.RunTime
	}
	t.status = s
	r.cfg.Ledger.Observe(t.holder(), s.Peak)
}

// observeUnknown takes over an attempt that this agent does not hold once it has ended or its lease has expired: the
// worker has executed a start of this agent's predecessor late. An inventory without the attempt may have been sent
// since, so it must not be resumed. While its lease is valid it may belong to an agent that replaces this one.
func (r *Runner) observeUnknown(s worker.Status) {
	if r.leaving || len(r.tasks) >= maxTasks || s.State != worker.Paused && !s.State.HasEnded() {
		return
	}
	t := r.restored(s)
	r.tasks[s.Task] = t
	if t.final != nil {
		r.sendReport(t)
		return
	}
	r.cfg.Log.Warn("worker executed the start of an earlier agent, stopping the attempt", zap.Stringer("Task", s.Task))
	r.cfg.Ledger.Reserve(t.holder(), s.Size) // without effect if it does not fit; the worker refuses starts until then
	r.stop(t, wire.StopSuperseded)
}

// evictOnOveruse evicts one task when the memory in use exceeds the capacity of the worker: the one furthest above its
// declared size. The owner learns the real size from the report and uses it for the next placement.
func (r *Runner) evictOnOveruse() {
	if r.cfg.Ledger.Overused().Memory <= 0 {
		return
	}
	var worst *task
	var most int64
	for _, t := range r.tasks {
		if t.final == nil && t.stopping == wire.StopEvict {
			return // an eviction is in progress
		}
		if excess := t.status.Peak.Memory - t.size.Memory; t.final == nil && excess > most {
			worst, most = t, excess
		}
	}
	if worst != nil {
		r.stop(worst, wire.StopEvict)
	}
}

// resendReports sends final reports again until they are acknowledged.
func (r *Runner) resendReports(ctx context.Context) {
	pause.Every(ctx, resendInterval, func() { r.inbox.Put(ctx, resendDue{}) })
}

// resendDue requests that unacknowledged reports are sent again.
type resendDue struct{}

func (resendDue) apply(r *Runner) {
	for _, t := range r.tasks {
		r.sendReport(t)
	}
}

// isRenewalDue reports whether to send the lease deadline to the worker: once a quarter of the lease that it knows has
// passed, which saves a renewal for most heartbeats.
func (p *partition) isRenewalDue(now int64) bool {
	return (p.workerDeadline-now)*4 < (p.deadline-now)*3
}

// renew sends the lease deadlines to the worker, for the tasks of partitions that their owners have reconciled.
func (r *Runner) renew() {
	now := r.Now()
	due := false
	var list []worker.Renewal
	for _, t := range r.tasks {
		p := r.partition(t.partition)
		if t.final != nil || t.stopsWithoutCheckpoint() || t.phase != phaseRunning || !p.reconciled || p.deadline <= now {
			continue
		}
		if p.isRenewalDue(now) || t.status.State == worker.Paused {
			due = true
		}
		list = append(list, worker.Renewal{Ref: t.ref, Deadline: r.deadline(t)})
	}
	if !due || r.renewing || len(list) == 0 {
		return
	}
	r.renewing = r.calls.TryPut(call{kind: callRenew, renewals: list})
	if !r.renewing {
		return
	}
	for _, p := range r.partitions {
		if p.reconciled {
			p.workerDeadline = p.deadline
		}
	}
}

// renewed handles the result of a renewal; after a failure, the next grant renews again.
func (r *Runner) renewed(err error) {
	r.renewing = false
	if err == nil {
		return
	}
	r.cfg.Log.Warn("lease renewal at the worker failed", zap.Error(err))
	for _, p := range r.partitions {
		p.workerDeadline = 0
	}
}
