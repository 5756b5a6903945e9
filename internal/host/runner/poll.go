package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// polled is the list of attempts that the worker held at a time after asked.
type polled struct {
	list  []worker.Status
	asked time.Time
}

// poll reads the worker's attempts while there are any.
func (r *Runner) poll(ctx context.Context) {
	pause.Every(ctx, pollEvery, func() {
		if r.Unreported() > 0 {
			r.pollOnce(ctx)
		}
	})
}

func (r *Runner) pollOnce(ctx context.Context) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.cfg.Worker.Tasks(call)
	if err != nil {
		r.cfg.Log.Debug("worker did not list its tasks", zap.Error(err))
		return
	}
	r.inbox.Put(ctx, polled{list, asked})
}

func (in polled) apply(r *Runner) {
	listed := make(map[worker.Ref]bool, len(in.list))
	for _, s := range in.list {
		listed[s.Ref] = true
		if t, ok := r.tasks[s.Task]; ok && t.ref == s.Ref {
			r.observe(t, s)
		}
	}
	for _, t := range r.tasks {
		if t.final == nil && t.phase == phaseRunning && t.startedAt.Before(in.asked) && !listed[t.ref] {
			t.fence = true // the worker was replaced or lost the attempt
			r.next(t)
		}
	}
	r.relieve()
}

// observe takes over the worker's status of an attempt.
func (r *Runner) observe(t *task, s worker.Status) {
	if t.final != nil {
		return
	}
	if s.State.HasEnded() {
		r.finish(t, reportOf(t, s))
		return
	}
	if s.Checkpoint != t.status.Checkpoint {
		t.savedAt = s.RunTime
	}
	t.status = s
	r.cfg.Ledger.Observe(t.holder(), s.Peak)
}

// relieve evicts one task when the worker uses more memory than it has, the one furthest above its declaration. The
// owner learns the real size from the report and will not place it so again.
func (r *Runner) relieve() {
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

// tick sends final reports again until they are acknowledged.
func (r *Runner) tick(ctx context.Context) {
	pause.Every(ctx, resendEvery, func() { r.inbox.Put(ctx, resend{}) })
}

// resend asks for unacknowledged reports to be sent again.
type resend struct{}

func (resend) apply(r *Runner) {
	for _, t := range r.tasks {
		r.sendReport(t)
	}
}

// isDue reports whether the worker should be told the lease deadline: when a quarter of the lease that it knows has
// passed, which spares it most of the heartbeats.
func (p *partition) isDue(now int64) bool { return (p.passedOn-now)*4 < (p.until-now)*3 }

// renew passes the lease deadlines on to the worker, for the tasks of partitions that their owners have reconciled.
func (r *Runner) renew() {
	now := r.Now()
	due := false
	var list []worker.Renewal
	for _, t := range r.tasks {
		p := r.partition(t.partition)
		if t.final != nil || t.isEnding() || t.phase != phaseRunning || !p.reconciled || p.until <= now {
			continue
		}
		if p.isDue(now) || t.status.State == worker.Paused {
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
			p.passedOn = p.until
		}
	}
}

// renewed notes the outcome of a renewal; one that failed is due again at the next grant.
func (r *Runner) renewed(err error) {
	r.renewing = false
	if err == nil {
		return
	}
	r.cfg.Log.Warn("leases were not renewed at the worker", zap.Error(err))
	for _, p := range r.partitions {
		p.passedOn = 0
	}
}
