package relay

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

var errStopped = errors.New("request has ended")

// requestBody reads the body of a request from its stream and sets the request's trailers at the end.
type requestBody struct {
	r       *request
	req     *http.Request
	stopped atomic.Bool
	mu      sync.Mutex // held during Read
	done    bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.done:
		return 0, io.EOF
	case b.stopped.Load():
		return 0, errStopped
	}
	n, err := b.r.stream.Read(p)
	if errors.Is(err, io.EOF) {
		b.done = true
		b.receiveTrailers()
		err = io.EOF // callers of Read compare with ==
	}
	return n, err
}

func (b *requestBody) receiveTrailers() {
	if len(b.req.Trailer) == 0 {
		return
	}
	m, err := b.r.stream.Receive(b.r.ctx)
	if err != nil {
		return // io.EOF if the announced trailers were not sent
	}
	t, ok := m.(*wire.Trailers)
	if !ok {
		return
	}
	for k, v := range t.Header {
		if _, ok := b.req.Trailer[k]; ok {
			b.req.Trailer[k] = v
		}
	}
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// stop makes later calls of Read fail and waits for a call in progress.
func (b *requestBody) stop() {
	b.stopped.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
}

// ReadToEnd discards the rest of a stream after the response was sent. The peer resets the stream when it has received
// the response, so this takes about one round trip. If the handler returned earlier, the transport could still be
// reading from a stream that the session has already removed.
func ReadToEnd(st Stream) {
	b, ok := buffers.Get().(*[]byte)
	if !ok {
		return
	}
	defer buffers.Put(b)
	for {
		if _, err := st.Read(*b); err != nil {
			return
		}
	}
}
