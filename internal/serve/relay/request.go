package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/notice"
)

var (
	errDrained  = errors.New("the agent's drain deadline has passed")
	errDeadline = errors.New("the request's deadline has passed")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// request holds the state of a request that is forwarded to a target.
type request struct {
	server      *Server
	stream      Stream
	head        *wire.RequestHead
	target      Target
	ctx         context.Context
	cancel      context.CancelCauseFunc
	releaseConn func() // releases the connection reserved in the ledger; nil without one
	releaseSlot func() // releases the slot of the target and of the worker; nil without one
	hasLongSlot bool
	body        *requestBody // nil if the request has no body

	mu      sync.Mutex
	conn    *countingConn // most recent connection that the transport used
	before  int64         // bytes written to conn before this request
	written int64         // bytes of this request on earlier connections
}

func newRequest(s *Server, st Stream, head *wire.RequestHead) *request {
	r := &request{server: s, stream: st, head: head}
	r.ctx, r.cancel = context.WithCancelCause(st.Context())
	return r
}

// close releases all reservations and unregisters the request. The handler calls it once, at its end.
func (r *request) close() {
	r.cancel(nil)
	r.releaseAll()
	r.server.unregister(r)
}

// releaseAll releases the connection and the slots. It must run before the last frame of a response is sent: the entry
// may send the next request for the same slot as soon as it receives that frame.
func (r *request) releaseAll() {
	r.releaseSlots()
	if r.releaseConn != nil {
		r.releaseConn()
		r.releaseConn = nil
	}
}

// releaseSlots releases the slots and keeps the connection reserved.
func (r *request) releaseSlots() {
	if r.releaseSlot != nil {
		r.releaseSlot()
		r.releaseSlot = nil
	}
	if r.hasLongSlot {
		r.server.releaseLongSlot(r)
		r.hasLongSlot = false
	}
}

// forward sends the request to the target and the response back to the entry. It returns a verdict if no response head
// was sent.
func (r *request) forward(deadline time.Time) *wire.Verdict {
	timer := time.AfterFunc(time.Until(deadline), func() { r.cancel(errDeadline) })
	defer timer.Stop()
	req, err := r.build()
	if err != nil {
		return notRun(wire.ReasonNoTarget, err.Error())
	}
	started := time.Now()
	resp, err := r.transport(req).RoundTrip(req)
	if err != nil {
		return r.classify(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 {
		return r.unknownVerdict(errors.Newf("target switched protocols with status %d", resp.StatusCode))
	}
	timer.Stop()
	if IsStreaming(resp.Header) {
		r.releaseSlots()
	} else if f := r.server.cfg.OnResponse; f != nil && !r.head.Long {
		f(r.head.Service, started, time.Now())
	}
	if err := r.server.cfg.Hook.At(point.ServeAnswered, string(r.head.Request)); err != nil {
		return r.unknownVerdict(err)
	}
	m := &wire.ResponseHead{
		Status:        resp.StatusCode,
		Header:        EndToEnd(resp.Header),
		Trailer:       trailerNames(resp.Trailer),
		ContentLength: resp.ContentLength,
	}
	if err := r.stream.Send(r.ctx, m); err != nil {
		return r.unknownVerdict(fmt.Errorf("send response head: %w", err))
	}
	r.sendResponse(resp)
	return nil
}

// transport returns a transport that never resends a request that must not run twice. If a reused connection fails,
// net/http resends a request without a body on another connection when its method is idempotent or an Idempotency-Key
// is present.
func (r *request) transport(req *http.Request) *http.Transport {
	if !r.head.Idempotent && req.Body == nil {
		return r.server.noKeepAlive
	}
	return r.server.keepAlive
}

func (r *request) build() (*http.Request, error) {
	u, err := url.ParseRequestURI(r.head.Path)
	if err != nil {
		return nil, fmt.Errorf("path of the request: %w", err)
	}
	u.Scheme, u.Host = "http", r.target.Address
	req := &http.Request{
		Method:        r.head.Method,
		URL:           u,
		Host:          r.head.Host,
		Header:        r.head.Header,
		ContentLength: r.head.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header[notice.RequestHeader] = []string{string(r.head.Request)}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // prevents net/http from adding its own
	}
	if _, ok := req.Header["Te"]; ok {
		req.Header["Connection"] = []string{"TE"} // RFC 9110, section 10.1.4
	}
	if r.head.ContentLength != 0 {
		r.body = &requestBody{r: r, req: req}
		req.Body = r.body
	}
	for _, k := range r.head.Trailer {
		if req.Trailer == nil {
			req.Trailer = make(http.Header)
		}
		req.Trailer[textproto.CanonicalMIMEHeaderKey(k)] = nil
	}
	return req.WithContext(httptrace.WithClientTrace(r.ctx, r.trace())), nil
}

func (r *request) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.conn != nil {
				r.written += r.conn.count() - r.before
			}
			if c, ok := info.Conn.(*countingConn); ok {
				r.conn, r.before = c, c.count()
			}
		},
		WroteHeaders: func() { _ = r.server.cfg.Hook.At(point.ServePassedOn, string(r.head.Request)) },
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusContinue {
				return nil
			}
			m := &wire.ResponseHead{Status: code, Header: EndToEnd(http.Header(h))}
			if err := r.stream.Send(r.ctx, m); err != nil {
				return fmt.Errorf("send informational response: %w", err)
			}
			return nil
		},
	}
}

// classify returns NotRun if no byte of the request was written to a target, and an unknown outcome otherwise.
func (r *request) classify(err error) *wire.Verdict {
	r.mu.Lock()
	conn, before, written := r.conn, r.before, r.written
	r.mu.Unlock()
	if conn != nil {
		written += conn.closeAndCount() - before
	}
	if written > 0 {
		return r.unknownVerdict(err)
	}
	if errors.Is(context.Cause(r.ctx), errDeadline) {
		return notRun(wire.ReasonDeadline, "the deadline passed before the target was reached")
	}
	return notRun(wire.ReasonUnreachable, err.Error())
}

func (r *request) unknownVerdict(err error) *wire.Verdict {
	cause := context.Cause(r.ctx)
	switch {
	case errors.Is(cause, errDeadline):
		return &wire.Verdict{Reason: wire.ReasonDeadline, Detail: "the deadline passed while the request ran"}
	case cause != nil: // canceled by the caller or by a drain
		return &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: cause.Error()}
	}
	event.Log(r.server.cfg.Log, event.TargetFailed, zap.String("Service", r.head.Service),
		zap.String("Target", r.target.Name), zap.Error(err))
	return &wire.Verdict{Reason: wire.ReasonBrokenOff, Detail: err.Error()}
}

// sendResponse copies the body and the trailers to the stream. It resets the stream if the response is truncated, so
// that the entry cannot mistake it for a complete one.
func (r *request) sendResponse(resp *http.Response) {
	if err := r.copyBody(resp); err != nil {
		if context.Cause(r.ctx) == nil {
			event.Log(r.server.cfg.Log, event.TargetFailed, zap.String("Service", r.head.Service),
				zap.String("Target", r.target.Name), zap.Error(err))
		}
		r.stream.Reset("response broke off: " + err.Error())
	}
}

func (r *request) copyBody(resp *http.Response) error {
	b, ok := buffers.Get().(*[]byte)
	if !ok {
		return errors.New("pool holds no buffer")
	}
	defer buffers.Put(b)
	for {
		n, err := resp.Body.Read(*b)
		if n > 0 {
			if _, err := r.stream.Write((*b)[:n]); err != nil {
				return fmt.Errorf("pass response on: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
	}
	r.releaseAll()
	if len(resp.Trailer) > 0 {
		if err := r.stream.Send(r.ctx, &wire.Trailers{Header: resp.Trailer}); err != nil {
			return fmt.Errorf("pass trailers on: %w", err)
		}
	}
	if err := r.stream.CloseWrite(); err != nil {
		return fmt.Errorf("end response: %w", err)
	}
	return nil
}
