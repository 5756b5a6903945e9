package front

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	bufferLimit = 256 << 10 // bytes of a request body buffered for a retry, or of a response before it is streamed
	bufferStep  = 16 << 10  // bytes
)

var errTooLarge = errors.New("the body is over the limit of the service")

// memory limits the number of bytes that all requests of an entry buffer.
type memory struct {
	left atomic.Int64
}

func (m *memory) reserve(n int) bool {
	if m.left.Add(-int64(n)) < 0 {
		m.left.Add(int64(n))
		return false
	}
	return true
}

func (m *memory) release(n int) { m.left.Add(int64(n)) }

// body is the body of a request: a buffered prefix and a reader for the rest.
type body struct {
	memory       *memory
	reserved     int
	buf          []byte
	rest         io.Reader   // nil when buf is the whole body
	length       int64       // bytes; -1 if unknown
	consumed     bool        // reading of rest has begun, so the body cannot be sent again
	complete     atomic.Bool // rest was read to its end
	trailer      func() http.Header
	trailerNames []string // announced trailers
}

// limitedReader returns errTooLarge when more than left bytes are read.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

// buffer reads up to limit bytes. It stops earlier, without an error, if the entry's memory for buffers is exhausted.
func (b *body) buffer(limit int) error {
	if b.length == 0 {
		b.rest = nil
		return nil
	}
	for b.rest != nil && len(b.buf) < limit {
		if len(b.buf) == cap(b.buf) && !b.grow(limit) {
			return nil
		}
		n, err := b.rest.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if errors.Is(err, io.EOF) {
			b.rest = nil
			if len(b.trailerNames) == 0 { // a body with trailers must be sent with unknown length
				b.length = int64(len(b.buf))
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow enlarges the buffer to a declared length, or by at least bufferStep. It returns false if memory is exhausted.
func (b *body) grow(limit int) bool {
	n := bufferStep
	if b.length > 0 && b.length < int64(limit) {
		n = int(b.length) + 1 - len(b.buf) // one more byte, so that reading io.EOF needs no further growth
	}
	n = max(n, len(b.buf)) // doubling limits the number of copies
	if !b.memory.reserve(n) {
		return false
	}
	b.reserved += n
	grown := make([]byte, len(b.buf), len(b.buf)+n)
	copy(grown, b.buf)
	b.buf = grown
	return true
}

// isUnread reports whether the caller may still send bytes of the body.
func (b *body) isUnread() bool { return b.rest != nil && !b.complete.Load() }

func (b *body) isReplayable() bool { return b.rest == nil || !b.consumed }

// release releases the reserved memory. The buffer must not be used after that.
func (b *body) release() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

// writeTo writes the body to w, and the trailers with send, and reports whether it wrote everything. It returns only
// read errors; the cause of a write error is found on the response side of the stream.
func (b *body) writeTo(w io.Writer, send func(http.Header) error) (bool, error) {
	if len(b.buf) > 0 {
		if _, err := w.Write(b.buf); err != nil {
			return false, nil
		}
	}
	if b.rest != nil {
		if complete, err := b.copyRest(w); !complete {
			return false, err
		}
	}
	if len(b.trailerNames) > 0 {
		if t := b.trailer(); len(t) > 0 && send(t) != nil {
			return false, nil
		}
	}
	return true, nil
}

func (b *body) copyRest(w io.Writer) (bool, error) {
	buf, ok := buffers.Get().(*[]byte)
	if !ok {
		return false, errors.New("pool holds no buffer")
	}
	defer buffers.Put(buf)
	for {
		n, err := b.rest.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return false, nil
			}
		}
		if errors.Is(err, io.EOF) {
			b.complete.Store(true)
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}
