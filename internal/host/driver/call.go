package driver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	startTimeout   = 350 * time.Millisecond // of one attempt to start a run
	startAttempts  = 3                      // a start without response is repeated; starts are idempotent
	stopTimeout    = 700 * time.Millisecond // of one stop
	stopRetryPause = 100 * time.Millisecond // between failed stops
	paceTimeout    = 500 * time.Millisecond // of one change of a pace
)

// header holds the fields that are common to the commands to a worker.
type header struct {
	incarnation wire.WorkerIncarnation
	token       uint64
	deadline    int64
}

func (a *Agent) header() header {
	return header{incarnation: a.state.Incarnation, token: a.token, deadline: a.deadline}
}

// isCurrent reports whether commands with h are still valid: neither the incarnation nor the leader has changed, and
// the worker has not ended.
func (a *Agent) isCurrent(h header) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.incarnation == a.state.Incarnation && h.token == a.token && !a.gone
}

// start starts a run. A refusal speaks for its own attempt only: after an attempt without a response, which the worker
// may still execute, only a stop makes sure that the run does not begin.
func (a *Agent) start(ctx context.Context, h header, command wire.StartCommand) {
	unanswered := 0
	var lastRefusal wire.Refusal
	for range startAttempts {
		callCtx, cancel := context.WithTimeout(ctx, startTimeout)
		err := a.cfg.Worker.Start(callCtx, Start{
			Incarnation: h.incarnation, Token: h.token, Deadline: h.deadline, Command: command,
		})
		cancel()
		if r := (*RefusedError)(nil); errors.As(err, &r) {
			event.Log(a.cfg.Log, event.StartRefused, zap.String("Task", command.Task), zap.Int("Run", command.Number),
				zap.Stringer("Reason", r.Reason), zap.Int("Unanswered", unanswered))
			if unanswered == 0 {
				a.startDone(h, wire.RunRefused{Run: command.Run, Reason: r.Reason})
				return
			}
			lastRefusal = r.Reason
			break
		}
		if err == nil || errors.Is(err, ErrIncarnation) || !a.isCurrent(h) {
			a.startDone(h, wire.RunRefused{Run: command.Run})
			if err == nil && command.BestEffort {
				a.paceNewRun(ctx, h, command.Run)
			}
			return
		}
		event.Log(a.cfg.Log, event.StartUnanswered, zap.String("Task", command.Task),
			zap.Int("Run", command.Number), zap.Error(err))
		if !errors.Is(err, ErrUnreachable) {
			unanswered++
		}
	}
	if a.stop(ctx, h, command.Run) {
		a.startDone(h, wire.RunRefused{Run: command.Run, Reason: wire.RefusedSilent, Cause: lastRefusal})
	}
}

// cancelRun stops a run whose start may still reach the worker, and reports to the leader that it can no longer start.
func (a *Agent) cancelRun(ctx context.Context, h header, r wire.Run) {
	if !a.stop(ctx, h, r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.incarnation == a.state.Incarnation && h.token == a.token {
		a.refused = append(a.refused, wire.RunRefused{Run: r, Reason: wire.RefusedSilent})
		a.report(nil, nil)
	}
}

// startDone handles the outcome of a start; reason 0 means that the worker has the run or that the command is obsolete.
func (a *Agent) startDone(h header, f wire.RunRefused) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.incarnation != a.state.Incarnation {
		return
	}
	delete(a.pending, f.Run)
	if f.Reason == 0 || h.token != a.token {
		return
	}
	if f.Reason == wire.RefusedSilent || f.Reason == wire.RefusedOld {
		a.synced = false // the next complete report shows whether the run is running, has ended or never started
	}
	if f.Reason == wire.RefusedOld {
		return
	}
	a.refused = append(a.refused, f)
	a.report(nil, nil)
}

// stop stops a run and retries until the worker responds or the command is obsolete; it reports whether the worker
// confirmed the stop.
func (a *Agent) stop(ctx context.Context, h header, r wire.Run) bool {
	for a.isCurrent(h) {
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		err := a.cfg.Worker.Stop(callCtx, h.incarnation, h.token, r)
		cancel()
		if err == nil {
			return true
		}
		event.Log(a.cfg.Log, event.StopFailed, zap.String("Task", r.Task), zap.Int("Run", r.Number), zap.Error(err))
		if refusal := (*RefusedError)(nil); errors.As(err, &refusal) || errors.Is(err, ErrIncarnation) {
			return false
		}
		pause.For(ctx, stopRetryPause)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// paceNewRun sets the pace of a run that has just started, before it interferes with serving tasks.
func (a *Agent) paceNewRun(ctx context.Context, h header, r wire.Run) {
	a.mu.Lock()
	var list []paceCommand
	if h.incarnation == a.state.Incarnation {
		list = a.pacer.runStarted(r, a.state.Capacity.Processors, time.Now())
	}
	a.mu.Unlock()
	for _, p := range list {
		a.pace(ctx, h, p)
	}
}

// pace sets the processor share of a run; later polls show whether it has to change again.
func (a *Agent) pace(ctx context.Context, h header, p paceCommand) {
	callCtx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	if err := a.cfg.Worker.Pace(callCtx, h.incarnation, h.token, p.run, p.percent); err != nil {
		event.Log(a.cfg.Log, event.PaceFailed, zap.String("Task", p.run.Task), zap.Int("Run", p.run.Number),
			zap.Int("Percent", p.percent), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pacer.markUnconfirmed(p.run, time.Now())
		return
	}
	event.Log(a.cfg.Log, event.RunPaced, zap.String("Task", p.run.Task), zap.Int("Run", p.run.Number),
		zap.Int("Percent", p.percent), zap.Int("Tail", p.tail))
}
