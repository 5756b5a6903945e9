package front

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	bufferLimit = 256 << 10 // bytes of a body that are kept for a retry, and of a response before it is streamed
	bufferStep  = 16 << 10
)

var errTooLarge = errors.New("the body is over the limit of the service")

// memory bounds the bytes that all requests of an entry buffer.
type memory struct {
	left atomic.Int64
}

func (m *memory) take(n int) bool {
	if m.left.Add(-int64(n)) < 0 {
		m.left.Add(int64(n))
		return false
	}
	return true
}

func (m *memory) give(n int) { m.left.Add(int64(n)) }

// body is the body of a request: a buffered prefix, and the rest when that was not the whole.
type body struct {
	memory  *memory
	taken   int
	buf     []byte
	rest    io.Reader   // nil when buf is the whole body
	length  int64       // -1 when unknown
	begun   bool        // the rest is being read, so that the body cannot be sent again
	whole   atomic.Bool // the rest was read to its end
	trailer func() http.Header
	names   []string // announced trailers
}

// limitedReader fails when more than left bytes come.
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

// buffer reads up to limit bytes; it stops earlier when the entry's memory for buffers is used up.
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
			if len(b.names) == 0 { // trailers need a body of unknown length
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

// grow makes room for a declared length at once, or for one step.
func (b *body) grow(limit int) bool {
	n := bufferStep
	if b.length > 0 && b.length < int64(limit) {
		n = int(b.length) + 1 - len(b.buf) // one more, so that the end is read without another step
	}
	n = max(n, len(b.buf)) // doubling keeps the copies few
	if !b.memory.take(n) {
		return false
	}
	b.taken += n
	grown := make([]byte, len(b.buf), len(b.buf)+n)
	copy(grown, b.buf)
	b.buf = grown
	return true
}

// isUnread reports whether bytes of the body may still come from the caller.
func (b *body) isUnread() bool { return b.rest != nil && !b.whole.Load() }

func (b *body) isReplayable() bool { return b.rest == nil || !b.begun }

// release gives back the memory; the buffer must not be used after that.
func (b *body) release() {
	b.memory.give(b.taken)
	b.taken = 0
}

// pump writes the body to w, then the trailers through send. It returns only errors of reading; when writing fails, the
// response side of the stream tells why.
func (b *body) pump(w io.Writer, send func(http.Header) error) (bool, error) {
	if len(b.buf) > 0 {
		if _, err := w.Write(b.buf); err != nil {
			return false, nil
		}
	}
	if b.rest != nil {
		if whole, err := b.copyRest(w); !whole {
			return false, err
		}
	}
	if len(b.names) > 0 {
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
			b.whole.Store(true)
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}
