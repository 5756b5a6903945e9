package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	headerSize = 4 + 1 + 8 // length, kind, stream number
	sumSize    = 8
	// Overhead is the number of bytes that a frame adds to its payload.
	Overhead = headerSize + sumSize
	// MaxPayload is the largest payload of a frame in bytes.
	MaxPayload = 64 << 10
	// readBuffer holds typical control frames whole; larger frames are read past it into their own buffer.
	readBuffer = 4 << 10
)

// Errors of frames that cannot be written or that break the format.
var (
	ErrTooLarge = errors.New("frame is too large")
	ErrChecksum = errors.New("frame has a wrong checksum")
)

// Frame is the unit in which a session writes to its connection.
type Frame struct {
	Kind    wire.Kind
	Stream  uint64 // 0 for frames of the session itself
	Payload []byte
}

// Append appends the encoded frame to dst; it returns dst unchanged and ErrTooLarge for a payload over MaxPayload.
func Append(dst []byte, f Frame) ([]byte, error) {
	if len(f.Payload) > MaxPayload {
		return dst, fmt.Errorf("%v with %d bytes: %w", f.Kind, len(f.Payload), ErrTooLarge)
	}
	start := len(dst)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Payload)))
	dst = append(dst, byte(f.Kind))
	dst = binary.BigEndian.AppendUint64(dst, f.Stream)
	dst = append(dst, f.Payload...)
	return binary.BigEndian.AppendUint64(dst, xxhash.Sum64(dst[start:])), nil
}

// Reader reads frames from a connection.
type Reader struct {
	r     *bufio.Reader
	held  int // bytes in r that the last frame refers to
	limit int
}

// NewReader returns a Reader that refuses payloads over limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// SetLimit changes the largest payload in bytes.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Read returns the next frame, whose payload is valid until the next call. It returns io.EOF only between frames and
// io.ErrUnexpectedEOF within one.
func (r *Reader) Read() (Frame, error) {
	if _, err := r.r.Discard(r.held); err != nil {
		return Frame{}, fmt.Errorf("discard frame: %w", err)
	}
	r.held = 0
	head, err := r.r.Peek(headerSize)
	if err != nil {
		return Frame{}, r.cut(err, len(head))
	}
	n := binary.BigEndian.Uint32(head)
	if uint64(n) > uint64(r.limit) {
		return Frame{}, fmt.Errorf("%d bytes: %w", n, ErrTooLarge)
	}
	b, err := r.take(headerSize + int(n) + sumSize)
	if err != nil {
		return Frame{}, err
	}
	body := b[:len(b)-sumSize]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[len(body):]) {
		return Frame{}, ErrChecksum
	}
	return Frame{
		Kind:    wire.Kind(body[4]),
		Stream:  binary.BigEndian.Uint64(body[5:]),
		Payload: body[headerSize:],
	}, nil
}

// take returns the next n bytes, from the read buffer when they fit there.
func (r *Reader) take(n int) ([]byte, error) {
	if n <= r.r.Size() {
		b, err := r.r.Peek(n)
		if err != nil {
			return nil, r.cut(err, len(b))
		}
		r.held = n
		return b, nil
	}
	b := make([]byte, n)
	if m, err := io.ReadFull(r.r, b); err != nil {
		return nil, r.cut(err, m)
	}
	return b, nil
}

// cut tells the end of the connection within a frame from one between frames.
func (r *Reader) cut(err error, seen int) error {
	if seen > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
