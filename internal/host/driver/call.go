package driver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	startTimeout  = 350 * time.Millisecond // of one attempt to start a run
	startAttempts = 3                      // a start without response is repeated; starts are idempotent
	stopTimeout   = 700 * time.Millisecond // of one stop
	minStopPause  = 100 * time.Millisecond // after the first failure of a stop
	maxStopPause  = time.Second            // after many, and while the worker counts as ended
	maxDoublings  = 4                      // of minStopPause
	paceTimeout   = 500 * time.Millisecond // of one change of a pace
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
// the worker has not ended. The caller holds mu.
func (a *Agent) isCurrent(h header) bool {
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

// startCall starts a run. A refusal speaks for its own attempt only: after an attempt without a response, which the worker
// may still execute, only a stop makes sure that the run does not begin.
type startCall struct {
	header     header
	command    wire.StartCommand
	before     time.Time // no attempt is made, and none continues, from then on: the worker's zone may be evacuated
	attempts   int
	unanswered int
}

func (c *startCall) kind() CallKind { return CallStart }

func (c *startCall) call(ctx context.Context, a *Agent) result {
	reply, err := a.startOnce(ctx, c.header, c.command, c.before)
	r := (*RefusedError)(nil)
	switch {
	case err == nil:
		a.startDone(ctx, c.header, c.command)
		return result{reply: reply}
	case errors.Is(err, errObsolete):
		return result{next: a.cancelOf(c, 0)}
	case errors.As(err, &r):
		event.Log(a.cfg.Log, event.StartRefused, zap.String("Task", c.command.Task), zap.Int("Run", c.command.Number),
			zap.Stringer("Reason", r.Reason), zap.Int("Unanswered", c.unanswered))
		if c.unanswered > 0 {
			return result{reply: reply, next: a.cancelOf(c, r.Reason)}
		}
		a.startRefused(c.header, wire.RunRefused{Run: c.command.Run, Reason: r.Reason})
		return result{reply: reply}
	}
	event.Log(a.cfg.Log, event.StartUnanswered, zap.String("Task", c.command.Task),
		zap.Int("Run", c.command.Number), zap.Error(err))
	c.attempts++
	if !errors.Is(err, ErrUnreachable) {
		c.unanswered++
	}
	if c.attempts == startAttempts || isOtherIncarnation(err) {
		return result{reply: reply, next: a.cancelOf(c, 0)}
	}
	return result{reply: reply, next: c}
}

// cancelOf returns the command that makes sure that a run does not begin any more, or nil if there is one already or the
// outcome of the start is known. Cause is the refusal of an attempt to start it, if there was one.
func (a *Agent) cancelOf(c *startCall, cause wire.Refusal) command {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, isPending := a.pending[c.command.Run]
	if !isPending || p.isCancelled || c.header.incarnation != a.state.Incarnation {
		return nil
	}
	p.isCancelled = true
	a.pending[c.command.Run] = p
	return &cancelCall{
		incarnation: c.header.incarnation,
		refusal:     wire.RunRefused{Run: c.command.Run, Reason: wire.RefusedSilent, Cause: cause},
	}
}

// isOtherIncarnation reports whether another incarnation of the worker has responded.
func isOtherIncarnation(err error) bool {
	return errors.Is(err, ErrIncarnation) || errors.Is(err, ErrRestarted)
}

// replyOf returns how the worker replied to a call with an error.
func replyOf(err error) reply {
	if err == nil || isOtherIncarnation(err) || errors.HasType(err, (*RefusedError)(nil)) {
		return answered
	}
	return unanswered
}

// startOnce attempts to start a pending run. Without an attempt, it returns errObsolete if the command is no longer valid, is
// cancelled or too late, or the run is no longer pending, and a refusal while the worker does not respond to polls. The worker
// does not count as ended during an attempt, since its next incarnation may have the same ID and execute it.
func (a *Agent) startOnce(ctx context.Context, h header, command wire.StartCommand, before time.Time) (reply, error) {
	a.mu.Lock()
	p, isPending := a.pending[command.Run]
	now := time.Now()
	if !isPending || p.isCancelled || !a.isCurrent(h) || !now.Before(before) {
		a.mu.Unlock()
		return noCall, errObsolete
	}
	if a.mayBeOther { // another incarnation would take the deadline for one on its clock
		a.mu.Unlock()
		return noCall, &RefusedError{Reason: wire.RefusedSick}
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
	return replyOf(err), err
}

// cancelCall makes sure that the worker does not start a pending run any more, stops it if it is running, and then reports
// its refusal. It is repeated until the outcome is known, whatever leaders come and go meanwhile.
type cancelCall struct {
	incarnation wire.WorkerIncarnation
	refusal     wire.RunRefused
	failures    int
}

func (c *cancelCall) kind() CallKind { return CallStop }

func (c *cancelCall) call(ctx context.Context, a *Agent) result {
	a.mu.Lock()
	h, gone := a.header(), a.gone
	_, isPending := a.pending[c.refusal.Run]
	a.mu.Unlock()
	if h.incarnation != c.incarnation || !isPending {
		return result{}
	}
	err := a.stopOnce(ctx, h, c.refusal.Run)
	if err == nil && a.hasNewerCommand(h, c.refusal.Run) {
		return result{reply: answered, next: c}
	}
	if err == nil {
		a.startRefused(h, c.refusal)
		return result{reply: answered}
	}
	pause := stopPause(c.failures)
	if gone {
		pause = maxStopPause
	}
	c.failures++
	return result{reply: replyOf(err), next: c, pause: pause}
}

// hasNewerCommand reports whether a later leader than that of h has cancelled a pending run. It waits for a refusal, which a
// stop under its own token brings about.
func (a *Agent) hasNewerCommand(h header, r wire.Run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.incarnation == a.state.Incarnation && a.pending[r].token > h.token
}

// stopPause returns the pause after a stop that has failed after a number of earlier failures.
func stopPause(failures int) time.Duration {
	return min(minStopPause<<min(failures, maxDoublings), maxStopPause)
}

// startDone records that the worker has a run, and sets its pace before it interferes with serving tasks.
func (a *Agent) startDone(ctx context.Context, h header, c wire.StartCommand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.incarnation != a.state.Incarnation {
		return
	}
	delete(a.pending, c.Run)
	if c.BestEffort {
		a.enqueuePaces(ctx, a.pacer.runStarted(c.Run, a.state.Capacity.Processors, time.Now()))
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
	} else {
		delete(a.pendingBefore, f.Run) // the worker has not started it since
	}
	if f.Reason == wire.RefusedOld || h.token != a.token {
		return
	}
	a.refused = append(a.refused, f)
	a.report(nil, nil)
}

// stopCall stops a run. It is repeated until the worker confirms it or lists the end of the run, or it is obsolete.
type stopCall struct {
	header   header
	run      wire.Run
	failures int
}

func (c *stopCall) kind() CallKind { return CallStop }

func (c *stopCall) call(ctx context.Context, a *Agent) result {
	a.mu.Lock()
	isDue := a.isCurrent(c.header) && a.stopping[c.run] == c.header.token
	a.mu.Unlock()
	var err error
	if isDue {
		if err = a.stopOnce(ctx, c.header, c.run); err != nil {
			c.failures++
			return result{reply: replyOf(err), next: c, pause: stopPause(c.failures - 1)}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping[c.run] == c.header.token {
		delete(a.stopping, c.run)
	}
	if !isDue {
		return result{}
	}
	return result{reply: answered}
}

// stopOnce stops a run; without an error, the worker has confirmed it.
func (a *Agent) stopOnce(ctx context.Context, h header, r wire.Run) error {
	callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := a.cfg.Worker.Stop(callCtx, h.incarnation, h.token, r)
	if err != nil {
		event.Log(a.cfg.Log, event.StopFailed, zap.String("Task", r.Task), zap.Int("Run", r.Number), zap.Error(err))
	}
	return err
}

// paceCall sets the processor share of a run; later polls show whether it has to change again.
type paceCall struct {
	incarnation wire.WorkerIncarnation
	pace        paceCommand // replaced by a later one while the call waits
}

func (c *paceCall) kind() CallKind { return CallPace }

// enqueuePaces queues changes of paces. The caller holds mu.
func (a *Agent) enqueuePaces(ctx context.Context, list []paceCommand) {
	for _, p := range list {
		if c := a.pacing[p.run]; c != nil {
			c.pace = p
			continue
		}
		c := &paceCall{incarnation: a.state.Incarnation, pace: p}
		a.pacing[p.run] = c
		a.enqueue(ctx, c)
	}
}

func (c *paceCall) call(ctx context.Context, a *Agent) result {
	a.mu.Lock()
	if c.incarnation != a.state.Incarnation {
		a.mu.Unlock()
		return result{}
	}
	h, p := a.header(), c.pace
	delete(a.pacing, p.run)
	a.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	err := a.cfg.Worker.Pace(callCtx, h.incarnation, h.token, p.run, p.percent)
	if err != nil {
		event.Log(a.cfg.Log, event.PaceFailed, zap.String("Task", p.run.Task), zap.Int("Run", p.run.Number),
			zap.Int("Percent", p.percent), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pacer.markUnconfirmed(p.run, time.Now())
		return result{reply: replyOf(err)}
	}
	event.Log(a.cfg.Log, event.RunPaced, zap.String("Task", p.run.Task), zap.Int("Run", p.run.Number),
		zap.Int("Percent", p.percent), zap.Int("Tail", p.tail))
	return result{reply: answered}
}
