package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/claim"
)

const (
	recordWait  = 500 * time.Millisecond // a response waits no longer for its record
	recordLimit = time.Minute            // the record is tried in the background for this long
)

// keyed is the claim of a request with a key.
type keyed struct {
	front  *Front
	claim  *claim.Claim
	answer *httpAnswer
}

// claim claims the key of the request. It returns true when the caller has got a response, and a verdict when the
// request must not run.
func (c *call) claim(ctx context.Context) (done bool, v *wire.Verdict) {
	a, ok := c.answer.(*httpAnswer)
	if !ok || c.front.cfg.Claims == nil {
		v := notRun(wire.ReasonStore, "keys cannot be claimed here")
		return false, &v
	}
	fingerprint := claim.Fingerprint(c.head.Method, c.head.Path, c.body.buf)
	found, err := c.front.cfg.Claims.Acquire(ctx, c.service.Name, c.key, fingerprint, c.head.Request, c.deadline)
	if err != nil {
		v := notRun(wire.ReasonStore, err.Error())
		return false, &v
	}
	switch found.Outcome {
	case claim.Acquired:
		c.keyed = &keyed{front: c.front, claim: found.Claim, answer: a}
		return false, nil
	case claim.Repeated:
		return true, c.repeat(found.Response)
	case claim.InProgress:
		a.refuse(problem(http.StatusConflict, found.Detail))
		return true, nil
	case claim.Mismatch:
		a.refuse(problem(http.StatusUnprocessableEntity, found.Detail))
		return true, nil
	}
	return false, &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: found.Detail}
}

// repeat gives the caller the recorded response.
func (c *call) repeat(r *claim.Response) *wire.Verdict {
	head := &wire.ResponseHead{Status: r.Status, Header: r.Header, ContentLength: int64(len(r.Body))}
	for k := range r.Trailer {
		head.Trailer = append(head.Trailer, k)
	}
	err := c.answer.begin(head)
	if err == nil {
		_, err = c.answer.Write(r.Body)
	}
	if err == nil {
		err = c.answer.finish(r.Trailer)
	}
	if errors.Is(err, errExpired) {
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: errDeadlinePassed.Error()}
	}
	return nil
}

// record stores the whole response before the caller gets it, but keeps it waiting only for a while when the store is
// slow or down.
func (k *keyed) record(trailer http.Header) {
	if k == nil {
		return
	}
	resp, ok := k.answer.recordable(trailer)
	k.update(func(ctx context.Context) error {
		if !ok {
			return k.claim.Lose(ctx, "the first request completed; its response was too large to record")
		}
		return k.claim.Record(ctx, resp)
	})
}

// settle ends the claim of a request without a whole response.
func (k *keyed) settle(v wire.Verdict) {
	if k == nil {
		return
	}
	k.update(func(ctx context.Context) error {
		if v.NotRun {
			return k.claim.Release(ctx)
		}
		return k.claim.Lose(ctx, "the first request may have run: "+v.Detail)
	})
}

// update writes to the store in a goroutine of bounded life and waits for it at most recordWait. The claim logs errors.
func (k *keyed) update(write func(ctx context.Context) error) {
	done := make(chan struct{})
	k.front.background.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(k.front.ctx, recordLimit)
		defer cancel()
		_ = write(ctx)
	})
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
