package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

// Clock converts the wall clock of the stream's sender (ns since 1970) to the local clock, less the error bound, so
// that a deadline is never extended.
type Clock interface {
	LocalTime(peerWall int64) time.Time
}

// ServeStream handles a request that an entry of another zone relays to this one, and returns when the request has
// ended. It never relays the request to a third entry.
func (f *Front) ServeStream(clock Clock, st Stream) {
	head, ok := st.Head().(*wire.RequestHead)
	if !ok || head.Method == "" || head.Hops == 0 {
		event.Log(f.cfg.Log, event.RequestHeadMalformed)
		st.Reset("no relayed request head")
		return
	}
	ctx, cancel := context.WithCancelCause(st.Context())
	defer cancel(nil)
	sw := &streamWriter{ctx: ctx, st: st}
	svc, known := f.cfg.Services.Service(head.Service)
	if !known {
		sw.fail(notRun(wire.ReasonUnknownService, "the service is unknown"))
		return
	}
	unregister, ok := f.register(cancel)
	if !ok {
		sw.fail(notRun(wire.ReasonDraining, "the entry takes no new requests"))
		return
	}
	defer unregister()
	h := *head
	h.Deadline = clock.LocalTime(head.Deadline).UnixNano()
	c := &call{
		front:     f,
		service:   svc.withDefaults(),
		head:      h,
		deadline:  time.Unix(0, h.Deadline),
		writer:    sw,
		isRelayed: true,
		body: &body{
			memory:       &f.memory,
			length:       head.ContentLength,
			rest:         st,
			trailerNames: head.Trailer,
			trailer:      func() http.Header { return receiveTrailers(ctx, st) },
		},
	}
	defer c.body.release()
	if err := c.body.buffer(bufferLimit); err != nil {
		sw.fail(notRun(wire.ReasonBrokenOff, "the request broke off"))
		return
	}
	c.serve(ctx)
	c.awaitBody(func() {}) // the peer resets the stream when it has received the response
	relay.ReadToEnd(st)
}

func receiveTrailers(ctx context.Context, st Stream) http.Header {
	m, err := st.Receive(ctx)
	if err != nil {
		return nil // io.EOF if the announced trailers were not sent
	}
	if t, ok := m.(*wire.Trailers); ok {
		return t.Header
	}
	return nil
}

// streamWriter forwards a response unbuffered to the entry that relayed the request. That entry buffers it.
type streamWriter struct {
	ctx context.Context
	st  Stream

	mu      sync.Mutex
	started bool
	expired bool
}

func (sw *streamWriter) sendInformational(head *wire.ResponseHead) error { return sw.send(head) }

func (sw *streamWriter) begin(head *wire.ResponseHead) error { return sw.send(head) }

func (sw *streamWriter) send(head *wire.ResponseHead) error {
	sw.mu.Lock()
	if sw.expired {
		sw.mu.Unlock()
		return errExpired
	}
	sw.started = true
	sw.mu.Unlock()
	return sw.st.Send(sw.ctx, head)
}

// Write implements io.Writer.
func (sw *streamWriter) Write(p []byte) (int, error) { return sw.st.Write(p) }

func (sw *streamWriter) finish(trailer http.Header) error {
	if len(trailer) > 0 {
		if err := sw.st.Send(sw.ctx, &wire.Trailers{Header: trailer}); err != nil {
			return err
		}
	}
	return sw.st.CloseWrite()
}

func (sw *streamWriter) discard() bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return !sw.started && !sw.expired
}

func (sw *streamWriter) expire() bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.started {
		return false
	}
	sw.expired = true
	return true
}

func (sw *streamWriter) fail(v wire.Verdict) {
	sw.mu.Lock()
	started := sw.started
	sw.mu.Unlock()
	if started {
		sw.st.Reset("response broke off")
		return
	}
	if err := sw.st.Send(sw.ctx, &v); err != nil {
		sw.st.Reset("verdict could not be sent")
		return
	}
	_ = sw.st.CloseWrite() // fails only when the stream has ended
}

func logBrokenResponse(log *zap.Logger, c *call, detail string) {
	event.Log(log, event.ResponseAborted, zap.String("Service", c.head.Service),
		zap.String("Request", string(c.head.Request)), zap.String("Detail", detail))
}
