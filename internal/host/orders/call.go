package orders

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
	startLimit = 350 * time.Millisecond // for the answer to a start
	startTries = 3                      // a start without answer is repeated, which is idempotent
	stopLimit  = 700 * time.Millisecond // for the answer to a stop
	stopPause  = 100 * time.Millisecond // between stops without answer
	paceLimit  = 500 * time.Millisecond // for the answer to a pace
)

// call is the identity of an order to the worker.
type call struct {
	life     wire.Life
	token    uint64
	deadline int64
}

func (a *Agent) call() call { return call{life: a.state.Life, token: a.token, deadline: a.deadline} }

// isCurrent reports whether orders of c still count.
func (a *Agent) isCurrent(c call) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.life == a.state.Life && c.token == a.token && !a.gone
}

// start starts a run. A start whose outcome stays unknown is closed by a stop of the same run, which the worker obeys
// also for a start that reaches it later.
func (a *Agent) start(ctx context.Context, c call, o wire.StartOrder) {
	for range startTries {
		limited, cancel := context.WithTimeout(ctx, startLimit)
		err := a.cfg.Worker.Start(limited, Start{Life: c.life, Token: c.token, Deadline: c.deadline, Order: o})
		cancel()
		if r := (*RefusedError)(nil); errors.As(err, &r) {
			a.startEnded(c, o.Run, r.Reason)
			return
		}
		if err == nil || errors.Is(err, ErrLife) || !a.isCurrent(c) {
			a.startEnded(c, o.Run, 0)
			if err == nil && o.Fills {
				a.paceStarted(ctx, c, o.Run)
			}
			return
		}
		event.Log(a.cfg.Log, event.StartUnanswered, zap.String("Task", o.Task), zap.Int("Run", o.Number), zap.Error(err))
	}
	if a.stop(ctx, c, o.Run) {
		a.startEnded(c, o.Run, wire.RefusedSilent)
	}
}

// closeRun stops a run whose start may still reach the worker, and reports that it cannot begin any more.
func (a *Agent) closeRun(ctx context.Context, c call, r wire.Run) {
	if !a.stop(ctx, c, r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.life == a.state.Life && c.token == a.token {
		a.refused = append(a.refused, wire.RunRefused{Run: r, Reason: wire.RefusedSilent})
		a.report(nil, nil)
	}
}

// startEnded notes the outcome of a start; reason 0 says that the worker has the run or that the order no longer counts.
func (a *Agent) startEnded(c call, r wire.Run, reason wire.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.life != a.state.Life {
		return
	}
	delete(a.pending, r)
	if reason == 0 || c.token != a.token {
		return
	}
	event.Log(a.cfg.Log, event.StartRefused, zap.String("Task", r.Task), zap.Int("Run", r.Number),
		zap.Stringer("Reason", reason))
	if reason == wire.RefusedSilent || reason == wire.RefusedOld {
		a.adopted = false // the next complete report shows whether the run is there, has ended or never was
		return
	}
	a.refused = append(a.refused, wire.RunRefused{Run: r, Reason: reason})
	a.report(nil, nil)
}

// stop stops a run and repeats that until the worker answers; it reports whether it did.
func (a *Agent) stop(ctx context.Context, c call, r wire.Run) bool {
	for a.isCurrent(c) {
		limited, cancel := context.WithTimeout(ctx, stopLimit)
		err := a.cfg.Worker.Stop(limited, c.life, c.token, r)
		cancel()
		if err == nil {
			return true
		}
		event.Log(a.cfg.Log, event.StopFailed, zap.String("Task", r.Task), zap.Int("Run", r.Number), zap.Error(err))
		if refusal := (*RefusedError)(nil); errors.As(err, &refusal) || errors.Is(err, ErrLife) {
			return false
		}
		pause.For(ctx, stopPause)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// paceStarted brings a run that has just begun to its pace before it disturbs serving tasks.
func (a *Agent) paceStarted(ctx context.Context, c call, r wire.Run) {
	a.mu.Lock()
	var list []paced
	if c.life == a.state.Life {
		list = a.pacer.started(r, a.state.Capacity.Processors, time.Now())
	}
	a.mu.Unlock()
	for _, p := range list {
		a.pace(ctx, c, p)
	}
}

// pace sets the share of a run; the next look shows whether it has to change again.
func (a *Agent) pace(ctx context.Context, c call, p paced) {
	limited, cancel := context.WithTimeout(ctx, paceLimit)
	defer cancel()
	if err := a.cfg.Worker.Pace(limited, c.life, c.token, p.run, p.percent); err != nil {
		event.Log(a.cfg.Log, event.PaceFailed, zap.String("Task", p.run.Task), zap.Int("Run", p.run.Number),
			zap.Int("Percent", p.percent), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pacer.failed(p.run, time.Now())
		return
	}
	event.Log(a.cfg.Log, event.RunPaced, zap.String("Task", p.run.Task), zap.Int("Run", p.run.Number),
		zap.Int("Percent", p.percent), zap.Int("Tail", p.tail))
}
