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
	startTimeout    = 350 * time.Millisecond // of one attempt to start a run
	startAttempts   = 3                      // a start without response is repeated; starts are idempotent
	stopTimeout     = 700 * time.Millisecond // of one stop
	stopRetryPause  = 100 * time.Millisecond // between failed stops
	endedRetryPause = time.Second            // likewise while the worker counts as ended
	paceTimeout     = 500 * time.Millisecond // of one change of a pace
)

// errObsolete is returned for a command that must no longer be sent.
var errObsolete = errors.New("the command is obsolete")

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
	return a.isCurrentLocked(h)
}

// isCurrentLocked is isCurrent for callers that hold mu.
func (a *Agent) isCurrentLocked(h header) bool {
	return h.incarnation == a.state.Incarnation && h.token == a.token && !a.gone
}

// readClock returns the agent's clock in milliseconds, never 0. It is monotonic, so that it also advances while the process
// is stopped.
func (a *Agent) readClock() int64 { return time.Since(a.beganAt).Milliseconds() + 1 }

// noLimit is a time that no process reaches.
var noLimit = time.Unix(1<<40, 0)

// timeAt returns the time at which the agent's clock shows a reading, and noLimit for 0.
func (a *Agent) timeAt(clock int64) time.Time {
	if clock == 0 {
		return noLimit
	}
	return a.beganAt.Add(time.Duration(clock-1) * time.Millisecond)
}

// start starts a run. A refusal speaks for its own attempt only: after an attempt without a response, which the worker
// may still execute, only a stop makes sure that the run does not begin.
//
// From before on, no attempt is made, and none continues: the worker's zone may be evacuated.
func (a *Agent) start(ctx context.Context, h header, command wire.StartCommand, before time.Time) {
	unanswered := 0
	var lastRefusal wire.Refusal
	for range startAttempts {
		err := a.startOnce(ctx, h, command, before)
		if errors.Is(err, errObsolete) {
			break
		}
		if err == nil {
			a.startDone(h, command.Run)
			if command.BestEffort {
				a.paceNewRun(ctx, h, command.Run)
			}
			return
		}
		if r := (*RefusedError)(nil); errors.As(err, &r) {
			event.Log(a.cfg.Log, event.StartRefused, zap.String("Task", command.Task), zap.Int("Run", command.Number),
				zap.Stringer("Reason", r.Reason), zap.Int("Unanswered", unanswered))
			if unanswered == 0 {
				a.startRefused(h, wire.RunRefused{Run: command.Run, Reason: r.Reason})
				return
			}
			lastRefusal = r.Reason
			break
		}
		event.Log(a.cfg.Log, event.StartUnanswered, zap.String("Task", command.Task),
			zap.Int("Run", command.Number), zap.Error(err))
		if errors.Is(err, ErrIncarnation) || errors.Is(err, ErrRestarted) {
			break
		}
		if !errors.Is(err, ErrUnreachable) {
			unanswered++
		}
	}
	a.cancelRun(ctx, h.incarnation, wire.RunRefused{Run: command.Run, Reason: wire.RefusedSilent, Cause: lastRefusal})
}

// startOnce attempts to start a pending run. Without an attempt, it returns errObsolete if the command is no longer valid, is
// cancelled or too late, or the run is no longer pending, and a refusal while the worker does not respond to polls. The worker
// does not count as ended during an attempt, since its next incarnation may have the same ID and execute it.
func (a *Agent) startOnce(ctx context.Context, h header, command wire.StartCommand, before time.Time) error {
	a.mu.Lock()
	p, isPending := a.pending[command.Run]
	now := time.Now()
	if !isPending || p.isCancelled || !a.isCurrentLocked(h) || !now.Before(before) {
		a.mu.Unlock()
		return errObsolete
	}
	if a.mayBeOther { // another incarnation would take the deadline for one on its clock
		a.mu.Unlock()
		return &RefusedError{Reason: wire.RefusedSick}
	}
	a.startCalls++
	a.mu.Unlock()
	end := now.Add(startTimeout)
	if before.Before(end) {
		end = before
	}
	callCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := a.cfg.Worker.Start(callCtx, Start{
		Incarnation: h.incarnation, Token: h.token, Deadline: h.deadline, Command: command,
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startCalls--
	return err
}

// cancelRun makes sure that the worker does not start a pending run any more, stops it if it is running, and then reports
// f. It retries until the outcome is known, whatever leaders come and go meanwhile.
func (a *Agent) cancelRun(ctx context.Context, incarnation wire.WorkerIncarnation, f wire.RunRefused) {
	for ctx.Err() == nil {
		a.mu.Lock()
		h, gone := a.header(), a.gone
		p, isPending := a.pending[f.Run]
		if h.incarnation != incarnation || !isPending {
			a.mu.Unlock()
			return
		}
		p.isCancelled = true
		a.pending[f.Run] = p
		a.mu.Unlock()
		if a.stopOnce(ctx, h, f.Run) {
			a.startRefused(h, f)
			return
		}
		if gone {
			pause.For(ctx, endedRetryPause)
		} else {
			pause.For(ctx, stopRetryPause)
		}
	}
}

// startDone records that the worker has a run.
func (a *Agent) startDone(h header, r wire.Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.incarnation == a.state.Incarnation {
		delete(a.pending, r)
	}
}

// startRefused reports that the worker has refused a run and will not start it any more.
func (a *Agent) startRefused(h header, f wire.RunRefused) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.incarnation != a.state.Incarnation {
		return
	}
	delete(a.pending, f.Run)
	if f.Reason == wire.RefusedSilent || f.Reason == wire.RefusedOld {
		a.synced = false // the next complete report shows whether the run is running, has ended or never started
	}
	if f.Reason == wire.RefusedOld || h.token != a.token {
		return
	}
	a.refused = append(a.refused, f)
	a.report(nil, nil)
}

// stop stops a run and retries until the worker confirms it or lists its end, or the command is obsolete.
func (a *Agent) stop(ctx context.Context, h header, r wire.Run) {
	for ctx.Err() == nil && a.isCurrent(h) && a.isStopping(h, r) && !a.stopOnce(ctx, h, r) {
		pause.For(ctx, stopRetryPause)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping[r] == h.token {
		delete(a.stopping, r)
	}
}

// isStopping reports whether the stop of a run with h is in progress, that is, the worker has not listed its end.
func (a *Agent) isStopping(h header, r wire.Run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping[r] == h.token
}

// stopOnce stops a run and reports whether the worker confirmed it.
func (a *Agent) stopOnce(ctx context.Context, h header, r wire.Run) bool {
	callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := a.cfg.Worker.Stop(callCtx, h.incarnation, h.token, r)
	if err != nil {
		event.Log(a.cfg.Log, event.StopFailed, zap.String("Task", r.Task), zap.Int("Run", r.Number), zap.Error(err))
	}
	return err == nil
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
