package sess

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// signal wakes all goroutines that wait for a change; it is guarded by the session's mutex.
type signal struct {
	ch chan struct{}
}

func (g *signal) wait() <-chan struct{} {
	if g.ch == nil {
		g.ch = make(chan struct{})
	}
	return g.ch
}

func (g *signal) fire() {
	if g.ch != nil {
		close(g.ch)
		g.ch = nil
	}
}

// resetCode is the first byte of a reset frame.
type resetCode byte

const (
	resetAbort resetCode = iota // the stream ends at once in both directions
	resetStop                   // the sender has sent its end frame and has stopped reading
)

// Stream carries messages and body bytes in both directions within a session. Each direction may be used by one
// goroutine at a time; Reset, Context and Sent are safe for concurrent use.
type Stream struct {
	s      *Session
	id     uint64
	local  bool // opened by this side
	head   wire.Message
	ctx    context.Context
	cancel context.CancelFunc
	sent   atomic.Bool

	// The session's mutex guards the fields below.
	err        error // why the stream ended early
	registered bool  // in s.streams and counted by the session
	inUrgent   bool  // in s.urgent
	inReady    bool  // in s.ready

	out         [][]byte // encoded frames
	outBytes    int
	credit      int // bytes left of the peer's receive window
	outLength   uint64
	outChecksum xxhash.Digest
	writeClosed bool // CloseWrite was called
	endSent     bool
	stopped     bool // the peer has stopped reading
	resetDue    bool
	resetReason string
	stopDue     bool // a resetStop is due after the end frame, because the handler has returned
	writable    signal

	in       inbound
	readable signal
}

// newStream returns a new stream registered with the session; s.mu is held.
func newStream(s *Session, id uint64, head wire.Message, local bool) *Stream {
	st := &Stream{s: s, id: id, local: local, head: head, credit: Window, registered: true}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	st.outChecksum.Reset()
	st.in.checksum.Reset()
	s.streams[id] = st
	return st
}

// Head returns the message that opened the stream.
func (st *Stream) Head() wire.Message { return st.head }

// Context returns a context that ends when either side resets the stream, when the session ends before the stream, or
// when both directions have ended and the end of the peer's direction was read.
func (st *Stream) Context() context.Context { return st.ctx }

// Sent reports whether any byte of the stream was passed to the connection. It does not change once Context has ended.
func (st *Stream) Sent() bool { return st.sent.Load() }

// Send queues a message, in order with body bytes, once flow control permits. It returns the error that ended the
// stream, ErrReset when the peer has stopped reading, ErrWriteClosed, the cause of ctx, or frame.ErrTooLarge.
func (st *Stream) Send(ctx context.Context, m wire.Message) error {
	b, err := encode(st.id, m)
	if err != nil {
		return err
	}
	cost := len(b) - frame.Overhead + frameCost
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	if err := st.waitWritable(ctx, func() bool { return st.credit >= cost }); err != nil {
		return err
	}
	st.credit -= cost
	st.enqueue(b)
	return nil
}

// Write queues body bytes as flow control permits. It returns the error that ended the stream, ErrReset when the peer
// has stopped reading, or ErrWriteClosed.
func (st *Stream) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := st.writeChunk(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (st *Stream) writeChunk(p []byte) (int, error) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	minCredit := min(len(p), minChunkBytes) + frameCost
	if err := st.waitWritable(st.ctx, func() bool { return st.credit >= minCredit }); err != nil {
		return 0, err
	}
	p = p[:min(len(p), maxChunkBytes, st.credit-frameCost)]
	b, err := frame.Append(make([]byte, 0, len(p)+frame.Overhead), frame.Frame{Kind: wire.KindData, Stream: st.id, Payload: p})
	if err != nil {
		return 0, err
	}
	if _, err := st.outChecksum.Write(p); err != nil {
		return 0, fmt.Errorf("checksum: %w", err)
	}
	st.outLength += uint64(len(p))
	st.credit -= len(p) + frameCost
	st.enqueue(b)
	return len(p), nil
}

// waitWritable waits until the queue of the stream has free space and there is enough credit; s.mu is held on entry and
// return, but not during the wait.
func (st *Stream) waitWritable(ctx context.Context, enough func() bool) error {
	for {
		switch {
		case st.err != nil:
			return st.err
		case st.stopped:
			return fmt.Errorf("%w: peer reads no more", ErrReset)
		case st.writeClosed:
			return ErrWriteClosed
		case enough() && st.outBytes < streamQueueBytes:
			return nil
		}
		changed := st.writable.wait()
		st.s.mu.Unlock()
		select {
		case <-changed:
			st.s.mu.Lock()
		case <-ctx.Done():
			st.s.mu.Lock()
			if st.err != nil {
				return st.err
			}
			return fmt.Errorf("wait for flow control: %w", context.Cause(ctx))
		}
	}
}

// CloseWrite queues the end frame behind the messages and body bytes sent before, without waiting; it returns
// ErrWriteClosed or the error that ended the stream.
func (st *Stream) CloseWrite() error {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	switch {
	case st.err != nil:
		return st.err
	case st.writeClosed:
		return ErrWriteClosed
	}
	st.writeClosed = true
	if st.stopped {
		return nil // the peer has already removed the stream
	}
	st.queueReady()
	st.writable.fire()
	return nil
}

// Reset ends both directions and drops frames that are not written yet. If both directions have already ended, it only
// ends Context. If Sent is false after Reset, the peer never sees the stream.
func (st *Stream) Reset(reason string) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	st.reset(reason)
}

func (st *Stream) reset(reason string) {
	if st.err != nil {
		return
	}
	if !st.registered {
		st.cancel() // both directions have ended; received items can still be read
		return
	}
	st.abort(fmt.Errorf("%w here: %w", ErrReset, errors.New(reason)))
	st.in.drop()
	if st.local && !st.sent.Load() {
		st.unregister()
		return
	}
	// The stream counts towards MaxStreams until its reset is written, which bounds the number of queued resets.
	st.resetDue = true
	st.resetReason = shorten(reason)
	st.queueUrgent()
}

// abort ends the stream early with err; received items can still be read. s.mu is held.
func (st *Stream) abort(err error) {
	if st.err != nil {
		return
	}
	st.err = err
	st.out, st.outBytes = nil, 0
	st.cancel()
	st.writable.fire()
	st.readable.fire()
}

// handlerReturned ends the directions that the handler left open: it resets a stream not closed for writing, and
// otherwise stops the peer's direction.
func (st *Stream) handlerReturned() {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	switch {
	case st.err != nil:
	case !st.writeClosed:
		st.reset("handler ended without an end frame")
	case !st.in.endReceived:
		st.in.drop()
		st.in.discard = true
		st.stopDue = true
		if st.endSent {
			st.queueUrgent()
		}
	}
	if st.in.endReceived {
		st.cancel()
	}
}

// unregister removes the stream from the session; s.mu is held.
func (st *Stream) unregister() {
	if !st.registered {
		return
	}
	st.registered = false
	delete(st.s.streams, st.id)
	if st.local {
		st.s.localStreams--
	} else {
		st.s.peerStreams--
	}
}

// enqueue queues an encoded frame for the writer; s.mu is held.
func (st *Stream) enqueue(b []byte) {
	st.out = append(st.out, b)
	st.outBytes += len(b)
	st.queueReady()
}

func (st *Stream) queueReady() {
	if !st.inReady {
		st.inReady = true
		st.s.ready = append(st.s.ready, st)
		st.s.notify()
	}
}

func (st *Stream) queueUrgent() {
	if !st.inUrgent {
		st.inUrgent = true
		st.s.urgent = append(st.s.urgent, st)
		st.s.notify()
	}
}

// appendNext appends the next frame of the stream and queues the stream again if it has more; s.mu is held. It sets
// sent before the bytes go to the connection.
func (st *Stream) appendNext(b []byte) []byte {
	st.inReady = false
	switch {
	case st.err != nil:
		return b
	case len(st.out) > 0:
		f := st.out[0]
		st.out = st.out[1:]
		st.outBytes -= len(f)
		st.sent.Store(true)
		b = append(b, f...)
		st.writable.fire()
	case st.writeClosed && !st.endSent:
		st.sent.Store(true)
		b = st.appendEnd(b)
	}
	if len(st.out) > 0 || st.writeClosed && !st.endSent {
		st.queueReady()
	}
	return b
}

func (st *Stream) appendEnd(b []byte) []byte {
	var p [endPayload]byte
	binary.BigEndian.PutUint64(p[:], st.outLength)
	binary.BigEndian.PutUint64(p[8:], st.outChecksum.Sum64())
	b = appendSmall(b, wire.KindEnd, st.id, p[:])
	st.endSent = true
	switch {
	case st.stopDue:
		st.queueUrgent()
	case st.in.endReceived:
		st.unregister()
		if st.in.verified {
			st.cancel()
		}
	}
	return b
}

// appendUrgent appends the window update or reset that is due; s.mu is held.
func (st *Stream) appendUrgent(b []byte) []byte {
	st.inUrgent = false
	switch {
	case st.resetDue:
		st.resetDue = false
		b = appendSmall(b, wire.KindReset, st.id, append([]byte{byte(resetAbort)}, st.resetReason...))
		st.unregister()
	case st.err != nil || !st.registered:
	case st.stopDue && !st.endSent: // appendEnd queues the stream as urgent again
	case st.stopDue:
		b = appendSmall(b, wire.KindReset, st.id, []byte{byte(resetStop)})
		st.cancel()
		st.unregister()
	case st.in.consumed > 0 && !st.in.endReceived:
		var p [windowPayload]byte
		binary.BigEndian.PutUint32(p[:], uint32(st.in.consumed))
		st.in.used -= st.in.consumed
		st.in.consumed = 0
		b = appendSmall(b, wire.KindWindow, st.id, p[:])
	}
	return b
}
