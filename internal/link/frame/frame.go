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
	headerSize   = 4 + 1 + 8 // length, kind, stream number
	checksumSize = 8
	// Overhead is the number of bytes that a frame adds to its payload.
	Overhead = headerSize + checksumSize
	// MaxPayload is the largest payload of a frame in bytes.
	MaxPayload = 64 << 10
	// readBufferSize fits a typical control frame; larger frames get a buffer of their own.
	readBufferSize = 4 << 10
)

// Errors of Append and of Reader.Read.
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
	r         *bufio.Reader
	toDiscard int // bytes of the last frame in r, which its payload refers to
	limit     int // largest accepted payload in bytes
}

// NewReader returns a Reader that rejects payloads over limit bytes with ErrTooLarge.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize), limit: limit}
}

// SetLimit sets the largest payload in bytes that Read accepts.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Read returns the next frame, whose payload is valid until the next call. It returns ErrTooLarge, ErrChecksum, or an
// error of the connection: io.EOF only between frames, and io.ErrUnexpectedEOF within one.
func (r *Reader) Read() (Frame, error) {
	if _, err := r.r.Discard(r.toDiscard); err != nil {
		return Frame{}, fmt.Errorf("discard frame: %w", err)
	}
	r.toDiscard = 0
	head, err := r.r.Peek(headerSize)
	if err != nil {
		return Frame{}, r.unexpectedEOF(err, len(head))
	}
	n := binary.BigEndian.Uint32(head)
	if uint64(n) > uint64(r.limit) {
		return Frame{}, fmt.Errorf("%d bytes: %w", n, ErrTooLarge)
	}
	b, err := r.next(headerSize + int(n) + checksumSize)
	if err != nil {
		return Frame{}, err
	}
	body := b[:len(b)-checksumSize]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[len(body):]) {
		return Frame{}, ErrChecksum
	}
	return Frame{
		Kind:    wire.Kind(body[4]),
		Stream:  binary.BigEndian.Uint64(body[5:]),
		Payload: body[headerSize:],
	}, nil
}

// next returns the next n bytes, without a copy when they fit into the read buffer.
func (r *Reader) next(n int) ([]byte, error) {
	if n <= r.r.Size() {
		b, err := r.r.Peek(n)
		if err != nil {
			return nil, r.unexpectedEOF(err, len(b))
		}
		r.toDiscard = n
		return b, nil
	}
	b := make([]byte, n)
	if m, err := io.ReadFull(r.r, b); err != nil {
		return nil, r.unexpectedEOF(err, m)
	}
	return b, nil
}

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF if the connection ended within a frame, that is after seen > 0
// of its bytes.
func (r *Reader) unexpectedEOF(err error, seen int) error {
	if seen > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
