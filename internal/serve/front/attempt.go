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

// inlineLimit is the size in bytes of the largest body that is written before the response is read. It fits into the
// flow-control window of a stream, so the write cannot block on a target that responds before reading the body.
const inlineLimit = 64 << 10

var (
	errDeadlinePassed = errors.New("the deadline has passed")
	errDrained        = errors.New("the entry's drain deadline has passed")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// attempt sends the request to one candidate. It returns the status of a complete response, which the writer has
// buffered or sent, or a verdict.
func (c *call) attempt(ctx context.Context, cand route.Candidate) (int, *wire.Verdict) {
	head := c.head
	head.Target = cand.Target
	head.ContentLength = c.body.length
	if cand.Target == "" {
		head.Hops++
	}
	st, err := c.front.cfg.Directory.Open(ctx, cand, &head)
	if err != nil {
		return 0, openVerdict(err)
	}
	defer st.Reset("request has ended") // no effect after both directions have ended
	if err := c.front.cfg.Hook.At(point.ServeOpened, string(head.Request)); err != nil {
		return 0, c.streamVerdict(ctx, st, err)
	}
	c.sendBody(st)
	resp, v := c.receiveHead(ctx, st)
	if v != nil {
		return 0, v
	}
	if relay.IsStreaming(resp.Header) {
		c.grant.Cancel() // a streaming response occupies a connection, but no slot
	}
	if err := c.writer.begin(resp); err != nil {
		return 0, c.streamVerdict(ctx, st, err)
	}
	if c.trailer, err = c.receiveBody(ctx, st); err != nil {
		return 0, c.streamVerdict(ctx, st, err)
	}
	if err := c.front.cfg.Hook.At(point.ServeEnded, string(head.Request)); err != nil {
		return 0, c.streamVerdict(ctx, st, err)
	}
	return resp.Status, nil
}

// openVerdict returns the verdict for a stream that could not be opened. A session with too many streams counts as
// overloaded, not as unreachable.
func openVerdict(err error) *wire.Verdict {
	v := notRun(wire.ReasonUnreachable, err.Error())
	switch {
	case errors.Is(err, sess.ErrBacklog):
		v.Reason = wire.ReasonOverloaded
	case errors.Is(err, frame.ErrTooLarge):
		v.Reason = wire.ReasonTooLarge
	}
	return &v
}

// sendBody writes a short buffered body synchronously, and any other body in a goroutine.
func (c *call) sendBody(st Stream) {
	send := func(h http.Header) error { return st.Send(st.Context(), &wire.Trailers{Header: h}) }
	if c.body.rest == nil && len(c.body.buf) <= inlineLimit {
		if complete, _ := c.body.writeTo(st, send); complete { // no read error: the body is in memory
			_ = st.CloseWrite()
		}
		return
	}
	c.body.consumed = c.body.rest != nil
	c.bodyDone = make(chan struct{})
	done := c.bodyDone
	go func() {
		defer close(done)
		complete, err := c.body.writeTo(st, send)
		if complete {
			_ = st.CloseWrite() // fails only when the stream has ended
		}
		if err != nil {
			c.mu.Lock()
			c.bodyErr = err
			c.mu.Unlock()
			st.Reset("request broke off")
		}
	}()
}

// receiveHead forwards informational responses and returns the head of the final response, or a verdict.
func (c *call) receiveHead(ctx context.Context, st Stream) (*wire.ResponseHead, *wire.Verdict) {
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return nil, c.streamVerdict(ctx, st, err)
		}
		switch m := m.(type) {
		case *wire.Verdict:
			if m.Reason == wire.ReasonUnknownService {
				m.Reason = wire.ReasonNoTarget // this entry knows the service, so the status must not be 404
			}
			return nil, m
		case *wire.ResponseHead:
			if m.Status >= http.StatusOK {
				return m, nil
			}
			if err := c.writer.sendInformational(m); err != nil {
				return nil, c.streamVerdict(ctx, st, err)
			}
		default:
			return nil, c.streamVerdict(ctx, st, errors.Newf("message %T in place of a response", m))
		}
	}
}

// receiveBody copies the body to the writer and returns the trailers after verifying the end frame.
func (c *call) receiveBody(ctx context.Context, st Stream) (http.Header, error) {
	b, ok := buffers.Get().(*[]byte)
	if !ok {
		return nil, errors.New("pool holds no buffer")
	}
	defer buffers.Put(b)
	for {
		n, err := st.Read(*b)
		if n > 0 {
			if _, werr := c.writer.Write((*b)[:n]); werr != nil {
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

// streamVerdict resets a failed stream and returns its verdict: NotRun if no byte was or will be written to it, else
// Unknown.
func (c *call) streamVerdict(ctx context.Context, st Stream, err error) *wire.Verdict {
	st.Reset("request has ended")
	v := c.cause(ctx, err)
	v.NotRun = !st.Sent()
	if v.NotRun && v.Reason == wire.ReasonBrokenOff {
		v.Reason = wire.ReasonUnreachable
	}
	return v
}

// cause returns a verdict with the reason for an error of a stream or of a wait for a slot.
func (c *call) cause(ctx context.Context, err error) *wire.Verdict {
	c.mu.Lock()
	bodyErr := c.bodyErr
	c.mu.Unlock()
	switch cause := context.Cause(ctx); {
	case errors.Is(bodyErr, errTooLarge):
		return &wire.Verdict{Reason: wire.ReasonTooLarge, Detail: errTooLarge.Error()}
	case errors.Is(cause, errDeadlinePassed), errors.Is(err, errExpired):
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: errDeadlinePassed.Error()}
	case errors.Is(cause, errDrained):
		return &wire.Verdict{Reason: wire.ReasonDraining, Detail: errDrained.Error()}
	}
	return &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: err.Error()}
}
