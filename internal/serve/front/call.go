package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/admit"
	"trefoilramp.org/trefoilramp/internal/serve/route"
)

const maxAttempts = 4

// call holds the state of a request that this entry serves.
type call struct {
	front     *Front
	service   Service
	head      wire.RequestHead // without the fields that depend on the candidate
	deadline  time.Time
	writer    responseWriter
	isRelayed bool // received from another entry
	body      *body
	key       string // idempotency key to claim before the request runs; empty for none
	deferRead bool   // read the body only after admission

	grant      *admit.Grant
	keyed      *keyedClaim
	tried      []string
	mayHaveRun bool          // an earlier attempt may have reached a target
	trailer    http.Header   // of the complete response
	bodyDone   chan struct{} // closed at the end of the goroutine that sends the body; nil without one

	mu      sync.Mutex
	bodyErr error
}

func notRun(reason wire.Reason, detail string) wire.Verdict {
	return wire.Verdict{NotRun: true, Reason: reason, Detail: detail}
}

// serve admits, claims and runs the request, and sends the caller its response or a verdict.
func (c *call) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(c.deadline), func() {
		if c.writer.expire() {
			cancel(errDeadlinePassed)
		}
	})
	defer timer.Stop()
	done, v := c.prepare(ctx)
	if done {
		c.releaseSlot(false)
		return
	}
	if v == nil {
		v = c.run(ctx)
	}
	if v == nil {
		c.releaseSlot(true)
		return
	}
	if c.mayHaveRun {
		v.NotRun = false
	}
	c.releaseSlot(false)
	c.keyed.settle(*v)
	c.writer.fail(*v)
}

// releaseSlot releases the slot. A request that did not run has no effect on learned run times.
func (c *call) releaseSlot(complete bool) {
	switch {
	case c.grant == nil:
	case complete || c.mayHaveRun:
		c.grant.Release(complete)
	default:
		c.grant.Cancel()
	}
}

// prepare admits the request, reads its body and claims its key. It returns a verdict if the request must not run, or
// true if a response was already sent.
func (c *call) prepare(ctx context.Context) (done bool, v *wire.Verdict) {
	if v := c.acquire(ctx); v != nil {
		return false, v
	}
	if c.deferRead {
		if v := c.buffer(); v != nil {
			return false, v
		}
	}
	if c.key == "" {
		return false, nil
	}
	return c.claim(ctx)
}

// buffer reads as much of the body as a retry or a claim needs. It returns a verdict if that fails.
func (c *call) buffer() *wire.Verdict {
	limit := bufferLimit
	if c.key != "" {
		limit = int(c.service.MaxBody) + 1 // the fingerprint covers the whole body
	}
	err := c.body.buffer(limit)
	var v wire.Verdict
	switch {
	case errors.Is(err, errTooLarge):
		v = notRun(wire.ReasonTooLarge, errTooLarge.Error())
	case err != nil && !time.Now().Before(c.deadline):
		v = notRun(wire.ReasonDeadline, "the deadline passed before the request had arrived")
	case err != nil:
		v = notRun(wire.ReasonBrokenOff, "the request broke off")
	case c.key != "" && c.body.rest != nil:
		v = notRun(wire.ReasonOverloaded, "the entry has no memory left for the body")
	default:
		return nil
	}
	return &v
}

func (c *call) acquire(ctx context.Context) *wire.Verdict {
	pool := c.front.pool(c.service)
	grant, err := c.acquireSlot(ctx, pool)
	var refusal *admit.RefusalError
	switch {
	case errors.As(err, &refusal):
		return &wire.Verdict{NotRun: true, Reason: refusal.Reason, Detail: refusal.Detail,
			RetryAfter: int64(refusal.RetryAfter)}
	case err != nil:
		v := c.cause(ctx, err)
		v.NotRun = true
		return v
	}
	c.grant = grant
	c.head.Long = grant.IsLong()
	if err := c.front.cfg.Hook.At(point.ServeAdmitted, string(c.head.Request)); err != nil {
		v := notRun(wire.ReasonOverloaded, err.Error())
		return &v
	}
	return nil
}

// acquireSlot waits for a slot, except for a request that another entry relays: that entry occupies a slot of its own
// in the meantime. It would count the wait as run time and refuse requests although targets in its own zone are idle.
func (c *call) acquireSlot(ctx context.Context, pool *admit.Pool) (*admit.Grant, error) {
	kind := kindOf(c.head.Method, c.head.Path)
	if c.isRelayed {
		return pool.TryAcquire(kind, c.deadline)
	}
	return pool.Acquire(ctx, kind, c.deadline)
}

func (c *call) candidates() route.Set {
	set := c.front.cfg.Directory.Candidates(c.head.Service)
	if c.isRelayed {
		set.Remote = nil
	}
	return set
}

// run tries candidates until one sends a complete response, or else returns the verdict of the last attempt.
func (c *call) run(ctx context.Context) *wire.Verdict {
	f := c.front
	f.budget(c.service).Deposit()
	noTarget := notRun(wire.ReasonNoTarget, "no target is ready")
	last := &noTarget
	for n := range maxAttempts {
		set := c.candidates()
		cand, ok := f.picker.Pick(set, c.grant.Expected(), c.tried)
		if !ok && len(c.tried) > 0 {
			c.tried = c.tried[:0] // all were tried; one may have a free slot after the delay
			cand, ok = f.picker.Pick(set, c.grant.Expected(), nil)
		}
		if !ok {
			return last
		}
		start := time.Now()
		status, v := c.attempt(ctx, cand)
		f.picker.Done(cand.Name, resultOf(ctx, status, v), c.grant.Expected(), time.Since(start))
		if v == nil {
			return c.complete()
		}
		last = v
		c.tried = append(c.tried, cand.Name)
		if !v.NotRun {
			c.mayHaveRun = true
		}
		if v.Reason == wire.ReasonOverloaded && v.NotRun && cand.Target != "" {
			f.pool(c.service).ReduceLimit()
		}
		if n+1 == maxAttempts || !c.mayRetry(ctx, v) || !c.waitBackoff(ctx, n) {
			return last
		}
	}
	return last
}

// complete records the response if its key was claimed, and sends it to the caller. It releases the slot first, so that
// neither a slow store nor a slow caller occupies it.
func (c *call) complete() *wire.Verdict {
	c.grant.Release(true)
	c.keyed.record(c.trailer)
	c.keyed = nil // settled
	err := c.writer.finish(c.trailer)
	switch {
	case errors.Is(err, errExpired):
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: errDeadlinePassed.Error()}
	case err != nil:
		return &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: err.Error()}
	}
	return nil
}

// awaitBody waits for the goroutine that sends the body. It calls interrupt to end a read from a caller that has
// stopped sending.
func (c *call) awaitBody(interrupt func()) {
	if !c.body.consumed {
		return // the goroutine reads from memory only and ends with the stream
	}
	select {
	case <-c.bodyDone:
	default:
		interrupt()
		<-c.bodyDone
	}
}

// mayRetry reports whether another attempt is safe and can still succeed before the deadline.
func (c *call) mayRetry(ctx context.Context, v *wire.Verdict) bool {
	switch {
	case ctx.Err() != nil, v.Reason == wire.ReasonTooLarge, v.Reason == wire.ReasonQuota:
		return false
	case !v.NotRun && !c.head.Idempotent:
		return false
	case time.Now().Add(c.grant.Expected()).After(c.deadline):
		return false
	}
	return c.body.isReplayable() && c.writer.discard() && c.front.budget(c.service).Withdraw()
}

// waitBackoff waits before a retry, but not before the first one, which goes to another candidate.
func (c *call) waitBackoff(ctx context.Context, n int) bool {
	if n == 0 {
		return true
	}
	timer := time.NewTimer(c.front.backoff.Delay(n))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// resultOf returns the result of an attempt for the selection of candidates.
func resultOf(ctx context.Context, status int, v *wire.Verdict) route.Result {
	switch {
	case v == nil && status >= http.StatusInternalServerError:
		return route.ServerError
	case v == nil:
		return route.Completed
	case v.NotRun && v.Reason == wire.ReasonOverloaded:
		return route.Refused
	case v.NotRun && v.Reason == wire.ReasonDeadline:
		return route.Cancelled
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadlinePassed):
		return route.Cancelled
	}
	return route.Failed
}
