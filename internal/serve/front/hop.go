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

// Clock converts the wall clock of the stream's sender (ns since 1970) to the local clock, on the safe side.
type Clock interface {
	LocalTime(peerWall int64) time.Time
}

// ServeStream handles a request that an entry of another zone relays to this one, and returns when it has ended. It is
// never relayed again.
func (f *Front) ServeStream(clock Clock, st Stream) {
	head, ok := st.Head().(*wire.RequestHead)
	if !ok || head.Method == "" || head.Hops == 0 {
		event.Log(f.cfg.Log, event.RelayRefused)
		st.Reset("no relayed request head")
		return
	}
	ctx, cancel := context.WithCancelCause(st.Context())
	defer cancel(nil)
	a := &streamAnswer{ctx: ctx, st: st}
	svc, known := f.cfg.Services.Service(head.Service)
	if !known {
		a.fail(notRun(wire.ReasonUnknownService, "the service is unknown"))
		return
	}
	leave, ok := f.enter(cancel)
	if !ok {
		a.fail(notRun(wire.ReasonDraining, "the entry takes no new requests"))
		return
	}
	defer leave()
	h := *head
	h.Deadline = clock.LocalTime(head.Deadline).UnixNano()
	c := &call{
		front:    f,
		service:  svc.withDefaults(),
		head:     h,
		deadline: time.Unix(0, h.Deadline),
		answer:   a,
		isHop:    true,
		body: &body{
			memory:  &f.memory,
			length:  head.ContentLength,
			rest:    st,
			names:   head.Trailer,
			trailer: func() http.Header { return receiveTrailers(ctx, st) },
		},
	}
	defer c.body.release()
	if err := c.body.buffer(bufferLimit); err != nil {
		a.fail(notRun(wire.ReasonBrokenOff, "the request broke off"))
		return
	}
	c.serve(ctx)
	c.awaitPump(func() {}) // the peer resets the stream when it has the answer
	relay.ReadToEnd(st)
}

func receiveTrailers(ctx context.Context, st Stream) http.Header {
	m, err := st.Receive(ctx)
	if err != nil {
		return nil // io.EOF: the announced trailers were not sent
	}
	if t, ok := m.(*wire.Trailers); ok {
		return t.Header
	}
	return nil
}

// streamAnswer passes a response on to the entry that relayed the request. That entry buffers it.
type streamAnswer struct {
	ctx context.Context
	st  Stream

	mu      sync.Mutex
	started bool
	expired bool
}

func (a *streamAnswer) inform(head *wire.ResponseHead) error { return a.send(head) }

func (a *streamAnswer) begin(head *wire.ResponseHead) error { return a.send(head) }

func (a *streamAnswer) send(head *wire.ResponseHead) error {
	a.mu.Lock()
	if a.expired {
		a.mu.Unlock()
		return errExpired
	}
	a.started = true
	a.mu.Unlock()
	return a.st.Send(a.ctx, head)
}

// Write implements io.Writer.
func (a *streamAnswer) Write(p []byte) (int, error) { return a.st.Write(p) }

func (a *streamAnswer) finish(trailer http.Header) error {
	if len(trailer) > 0 {
		if err := a.st.Send(a.ctx, &wire.Trailers{Header: trailer}); err != nil {
			return err
		}
	}
	return a.st.CloseWrite()
}

func (a *streamAnswer) discard() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.started && !a.expired
}

func (a *streamAnswer) expire() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started {
		return false
	}
	a.expired = true
	return true
}

func (a *streamAnswer) fail(v wire.Verdict) {
	a.mu.Lock()
	started := a.started
	a.mu.Unlock()
	if started {
		a.st.Reset("response broke off")
		return
	}
	if err := a.st.Send(a.ctx, &v); err != nil {
		a.st.Reset("verdict could not be sent")
		return
	}
	_ = a.st.CloseWrite() // fails only when the stream has ended
}

func logBroken(log *zap.Logger, c *call, detail string) {
	event.Log(log, event.AnswerBroken, zap.String("Service", c.head.Service),
		zap.String("Request", string(c.head.Request)), zap.String("Detail", detail))
}
