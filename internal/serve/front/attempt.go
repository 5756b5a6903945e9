package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
	"trefoilramp.org/trefoilramp/internal/serve/route"
)

// inlineLimit is the largest body that is written before the response is read. It fits into the window of a stream, so
// that the write cannot wait for a target that answers first.
const inlineLimit = 64 << 10

var (
	errDeadlinePassed = errors.New("the deadline has passed")
	errDrained        = errors.New("the entry's drain deadline has passed")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// attempt sends the request to one candidate. It returns the status of a whole response, which the answer holds or has
// streamed, or a verdict.
func (c *call) attempt(ctx context.Context, cand route.Candidate) (int, *wire.Verdict) {
	head := c.head
	head.Target = cand.Target
	head.ContentLength = c.body.length
	if cand.Target == "" {
		head.Hops++
	}
	st, err := c.front.cfg.Directory.Open(ctx, cand, &head)
	if err != nil {
		return 0, notOpened(err)
	}
	defer st.Reset("request has ended") // no effect after both directions have ended
	if err := c.front.cfg.Hook.At(point.ServeOpened, string(head.Request)); err != nil {
		return 0, c.broken(ctx, st, err)
	}
	c.sendBody(st)
	resp, v := c.receiveHead(ctx, st)
	if v != nil {
		return 0, v
	}
	if relay.IsStreaming(resp.Header) {
		c.grant.Cancel() // it holds a connection, but no slot
	}
	if err := c.answer.begin(resp); err != nil {
		return 0, c.broken(ctx, st, err)
	}
	if c.trailer, err = c.receiveBody(ctx, st); err != nil {
		return 0, c.broken(ctx, st, err)
	}
	if err := c.front.cfg.Hook.At(point.ServeEnded, string(head.Request)); err != nil {
		return 0, c.broken(ctx, st, err)
	}
	return resp.Status, nil
}

// notOpened describes a stream that could not be opened. A session with too many streams is busy, not broken.
func notOpened(err error) *wire.Verdict {
	v := notRun(wire.ReasonUnreachable, err.Error())
	switch {
	case errors.Is(err, sess.ErrBacklog):
		v.Reason = wire.ReasonOverloaded
	case errors.Is(err, frame.ErrTooLarge):
		v.Reason = wire.ReasonTooLarge
	}
	return &v
}

// sendBody writes a short body at once and leaves a longer one to a goroutine.
func (c *call) sendBody(st Stream) {
	send := func(h http.Header) error { return st.Send(st.Context(), &wire.Trailers{Header: h}) }
	if c.body.rest == nil && len(c.body.buf) <= inlineLimit {
		if whole, _ := c.body.pump(st, send); whole { // nothing is read
			_ = st.CloseWrite()
		}
		return
	}
	c.body.begun = c.body.rest != nil
	c.pumped = make(chan struct{})
	done := c.pumped
	go func() {
		defer close(done)
		whole, err := c.body.pump(st, send)
		if whole {
			_ = st.CloseWrite() // fails only when the stream has ended
		}
		if err != nil {
			c.mu.Lock()
			c.pumpErr = err
			c.mu.Unlock()
			st.Reset("request broke off")
		}
	}()
}

// receiveHead returns the head of the final response, or a verdict.
func (c *call) receiveHead(ctx context.Context, st Stream) (*wire.ResponseHead, *wire.Verdict) {
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return nil, c.broken(ctx, st, err)
		}
		switch m := m.(type) {
		case *wire.Verdict:
			if m.Reason == wire.ReasonUnknownService {
				m.Reason = wire.ReasonNoTarget // the service is known here, so the caller must not see 404
			}
			return nil, m
		case *wire.ResponseHead:
			if m.Status >= http.StatusOK {
				return m, nil
			}
			if err := c.answer.inform(m); err != nil {
				return nil, c.broken(ctx, st, err)
			}
		default:
			return nil, c.broken(ctx, st, errors.Newf("message %T in place of a response", m))
		}
	}
}

// receiveBody passes the body on and returns the trailers after the end frame was verified.
func (c *call) receiveBody(ctx context.Context, st Stream) (http.Header, error) {
	b, ok := buffers.Get().(*[]byte)
	if !ok {
		return nil, errors.New("pool holds no buffer")
	}
	defer buffers.Put(b)
	for {
		n, err := st.Read(*b)
		if n > 0 {
			if _, werr := c.answer.Write((*b)[:n]); werr != nil {
				return nil, fmt.Errorf("pass response on: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
	}
	m, err := st.Receive(ctx)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read trailers: %w", err)
	}
	t, ok := m.(*wire.Trailers)
	if !ok {
		return nil, errors.Newf("message %T in place of trailers", m)
	}
	return t.Header, nil
}

// broken says what a failed stream means: NotRun when no byte of it was or will be written, else Unknown.
func (c *call) broken(ctx context.Context, st Stream, err error) *wire.Verdict {
	st.Reset("request has ended")
	v := c.cause(ctx, err)
	v.NotRun = !st.Sent()
	if v.NotRun && v.Reason == wire.ReasonBrokenOff {
		v.Reason = wire.ReasonUnreachable
	}
	return v
}

// cause finds the reason behind an error of a stream or of a wait.
func (c *call) cause(ctx context.Context, err error) *wire.Verdict {
	c.mu.Lock()
	pumpErr := c.pumpErr
	c.mu.Unlock()
	switch cause := context.Cause(ctx); {
	case errors.Is(pumpErr, errTooLarge):
		return &wire.Verdict{Reason: wire.ReasonTooLarge, Detail: errTooLarge.Error()}
	case errors.Is(cause, errDeadlinePassed), errors.Is(err, errExpired):
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: errDeadlinePassed.Error()}
	case errors.Is(cause, errDrained):
		return &wire.Verdict{Reason: wire.ReasonDraining, Detail: errDrained.Error()}
	}
	return &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: err.Error()}
}
