package driver

import (
	"context"
	"time"
)

// enqueue queues a command and begins its call if the limit allows it. The caller holds mu.
func (a *Agent) enqueue(ctx context.Context, c command) {
	a.queue.add(ctx, c, time.Now())
	a.dispatch()
}

// dispatch begins the calls that are due. The caller holds mu.
func (a *Agent) dispatch() {
	if a.hasEnded {
		return
	}
	now := time.Now()
	for c := a.queue.next(now); c != nil; c = a.queue.next(now) {
		a.commands.Go(func() { a.execute(c) })
	}
	if at := a.queue.wakeAt(); !at.Equal(a.retryAt) {
		a.retryAt = at
		select {
		case a.retryChanged <- struct{}{}:
		default: // the signal of an earlier change has not been received yet
		}
	}
}

// execute makes the call of a command, and then calls that are due.
func (a *Agent) execute(c *queuedCommand) {
	r := c.command.call(c.ctx, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.ended(c, r, time.Now())
	a.dispatch()
}

// dispatchRetries begins calls whose time has come, until ctx ends.
func (a *Agent) dispatchRetries(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		a.dispatch()
		at := a.retryAt
		a.mu.Unlock()
		var due <-chan time.Time
		if !at.IsZero() {
			due = time.After(max(time.Millisecond, time.Until(at)))
		}
		select {
		case <-due:
		case <-a.retryChanged:
		case <-ctx.Done():
		}
	}
}

// ReportWaiting records the commands that wait for a call.
func (a *Agent) ReportWaiting(m CallMeter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, k := range commandOrder {
		n, oldest := a.queue.waiting(k, now)
		m.CallsWaiting(k, n, now.Sub(oldest))
	}
}
