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

// call is one request on its way through this entry.
type call struct {
	front    *Front
	service  Service
	head     wire.RequestHead // without what depends on the candidate
	deadline time.Time
	answer   answer
	isHop    bool // relayed here by another entry
	body     *body
	key      string // claimed before the request runs; empty for no claim
	readLate bool   // the body is read after admission

	grant      *admit.Grant
	keyed      *keyed
	tried      []string
	mayHaveRun bool          // in an earlier attempt
	trailer    http.Header   // of the whole response
	pumped     chan struct{} // closed when the goroutine that sends the body has ended; nil without one

	mu      sync.Mutex
	pumpErr error
}

func notRun(reason wire.Reason, detail string) wire.Verdict {
	return wire.Verdict{NotRun: true, Reason: reason, Detail: detail}
}

// serve admits, claims and runs the request, and gives the caller its response or a verdict.
func (c *call) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(c.deadline), func() {
		if c.answer.expire() {
			cancel(errDeadlinePassed)
		}
	})
	defer timer.Stop()
	done, v := c.prepare(ctx)
	if done {
		c.end(false)
		return
	}
	if v == nil {
		v = c.run(ctx)
	}
	if v == nil {
		c.end(true)
		return
	}
	if c.mayHaveRun {
		v.NotRun = false
	}
	c.end(false)
	c.keyed.settle(*v)
	c.answer.fail(*v)
}

// end gives the slot back.
func (c *call) end(complete bool) {
	switch {
	case c.grant == nil:
	case complete || c.mayHaveRun:
		c.grant.Release(complete)
	default:
		c.grant.Cancel()
	}
}

// prepare returns a verdict when the request must not run, or true when the caller has got a response already.
func (c *call) prepare(ctx context.Context) (done bool, v *wire.Verdict) {
	if v := c.acquire(ctx); v != nil {
		return false, v
	}
	if c.readLate {
		if v := c.buffer(); v != nil {
			return false, v
		}
	}
	if c.key == "" {
		return false, nil
	}
	return c.claim(ctx)
}

// buffer reads the body as far as a retry or a claim needs it.
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
	grant, err := c.take(ctx, pool)
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

// take waits for a slot, but not for a request that another entry relays: that entry holds a slot meanwhile, and would
// learn the wait as run time and refuse requests to idle targets of its own zone.
func (c *call) take(ctx context.Context, pool *admit.Pool) (*admit.Grant, error) {
	kind := kindOf(c.head.Method, c.head.Path)
	if c.isHop {
		return pool.TryAcquire(kind, c.deadline)
	}
	return pool.Acquire(ctx, kind, c.deadline)
}

func (c *call) candidates() route.Set {
	set := c.front.cfg.Directory.Candidates(c.head.Service)
	if c.isHop {
		set.Other = nil
	}
	return set
}

// run tries candidates until one gives a whole response. It returns the verdict of the last one otherwise.
func (c *call) run(ctx context.Context) *wire.Verdict {
	f := c.front
	f.budget(c.service).Try()
	none := notRun(wire.ReasonNoTarget, "no target is ready")
	last := &none
	for n := range maxAttempts {
		set := c.candidates()
		cand, ok := f.picker.Pick(set, c.grant.Expected(), c.tried)
		if !ok && len(c.tried) > 0 {
			c.tried = c.tried[:0] // all refused; after the delay one of them may have room
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
			f.pool(c.service).Shrink()
		}
		if n+1 == maxAttempts || !c.mayRetry(ctx, v) || !c.pause(ctx, n) {
			return last
		}
	}
	return last
}

// complete gives the caller the whole response. The slot is free by then: neither the store nor a slow caller holds it.
func (c *call) complete() *wire.Verdict {
	c.grant.Release(true)
	c.keyed.record(c.trailer)
	c.keyed = nil // settled
	err := c.answer.finish(c.trailer)
	switch {
	case errors.Is(err, errExpired):
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: errDeadlinePassed.Error()}
	case err != nil:
		return &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: err.Error()}
	}
	return nil
}

// awaitPump waits for the goroutine that sends the body; interrupt ends a read from a caller that sends nothing more.
func (c *call) awaitPump(interrupt func()) {
	if !c.body.begun {
		return // it reads from memory and ends with its stream
	}
	select {
	case <-c.pumped:
	default:
		interrupt()
		<-c.pumped
	}
}

// mayRetry reports whether another attempt is safe and still of use.
func (c *call) mayRetry(ctx context.Context, v *wire.Verdict) bool {
	switch {
	case ctx.Err() != nil, v.Reason == wire.ReasonTooLarge, v.Reason == wire.ReasonQuota:
		return false
	case !v.NotRun && !c.head.Idempotent:
		return false
	case time.Now().Add(c.grant.Expected()).After(c.deadline):
		return false
	}
	return c.body.isReplayable() && c.answer.discard() && c.front.budget(c.service).Retry()
}

// pause waits before a retry; the first one goes elsewhere at once.
func (c *call) pause(ctx context.Context, n int) bool {
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

// resultOf says what an attempt tells about its target.
func resultOf(ctx context.Context, status int, v *wire.Verdict) route.Result {
	switch {
	case v == nil && status >= http.StatusInternalServerError:
		return route.Faulty
	case v == nil:
		return route.Answered
	case v.NotRun && v.Reason == wire.ReasonOverloaded:
		return route.Refused
	case v.NotRun && v.Reason == wire.ReasonDeadline:
		return route.Abandoned
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadlinePassed):
		return route.Abandoned
	}
	return route.Failed
}
