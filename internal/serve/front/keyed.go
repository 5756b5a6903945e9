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
	recordWait    = 500 * time.Millisecond // limit on the delay of a response by its record
	recordTimeout = time.Minute            // limit on writing the record in the background
)

// keyedClaim is the claim of a request with an idempotency key.
type keyedClaim struct {
	front  *Front
	claim  *claim.Claim
	writer *httpWriter
}

// claim claims the key of the request. It returns true if a response was already sent, or a verdict if the request must
// not run.
func (c *call) claim(ctx context.Context) (done bool, v *wire.Verdict) {
	hw, ok := c.writer.(*httpWriter)
	if !ok || c.front.cfg.Claims == nil {
		v := notRun(wire.ReasonStore, "keys cannot be claimed here")
		return false, &v
	}
	fingerprint := claim.Fingerprint(c.head.Method, c.head.Path, c.body.buf)
	result, err := c.front.cfg.Claims.Acquire(ctx, c.service.Name, c.key, fingerprint, c.head.Request, c.deadline)
	if err != nil {
		v := notRun(wire.ReasonStore, err.Error())
		return false, &v
	}
	switch result.Outcome {
	case claim.Acquired:
		c.keyed = &keyedClaim{front: c.front, claim: result.Claim, writer: hw}
		return false, nil
	case claim.Replayed:
		return true, c.replay(result.Response)
	case claim.InProgress:
		p := requestProblem(http.StatusConflict, result.Detail)
		p.Outcome = Unknown // the caller may be repeating the request that is running
		hw.refuse(p)
		return true, nil
	case claim.Mismatch:
		hw.refuse(requestProblem(http.StatusUnprocessableEntity, result.Detail))
		return true, nil
	}
	return false, &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: result.Detail}
}

// replay sends the recorded response. It returns a verdict if the deadline passed before the response started.
func (c *call) replay(r *claim.Response) *wire.Verdict {
	head := &wire.ResponseHead{Status: r.Status, Header: r.Header, ContentLength: int64(len(r.Body))}
	for k := range r.Trailer {
		head.Trailer = append(head.Trailer, k)
	}
	err := c.writer.begin(head)
	if err == nil {
		_, err = c.writer.Write(r.Body)
	}
	if err == nil {
		err = c.writer.finish(r.Trailer)
	}
	if errors.Is(err, errExpired) {
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: errDeadlinePassed.Error()}
	}
	return nil
}

// record stores the complete response before it is sent to the caller. If the store is slow or unavailable, it delays
// the response by at most recordWait.
func (k *keyedClaim) record(trailer http.Header) {
	if k == nil {
		return
	}
	resp, ok := k.writer.bufferedResponse(trailer)
	k.update(func(ctx context.Context) error {
		if !ok {
			return k.claim.MarkLost(ctx, "the first request completed; its response was too large to record")
		}
		return k.claim.Record(ctx, resp)
	})
}

// settle ends the claim of a request without a complete response: it releases the claim if the request did not run, and
// records the outcome as lost otherwise.
func (k *keyedClaim) settle(v wire.Verdict) {
	if k == nil {
		return
	}
	k.update(func(ctx context.Context) error {
		if v.NotRun {
			return k.claim.Release(ctx)
		}
		return k.claim.MarkLost(ctx, "the first request may have run: "+v.Detail)
	})
}

// update writes to the store in a goroutine, limited by recordTimeout, and waits for it at most recordWait. The claim
// logs errors.
func (k *keyedClaim) update(write func(ctx context.Context) error) {
	done := make(chan struct{})
	k.front.claimRecords.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(k.front.ctx, recordTimeout)
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
