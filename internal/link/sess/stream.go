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

// signal wakes all goroutines that wait for a change; the session's mutex guards it.
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
	resetStop                   // the sender has sent its end frame and reads no more
)

// Stream carries messages and body bytes in both directions within a session. Each direction may be used by one
// goroutine at a time; Reset, Context and Sent by any.
type Stream struct {
	s      *Session
	id     uint64
	own    bool // opened here
	head   wire.Message
	ctx    context.Context
	cancel context.CancelFunc
	sent   atomic.Bool

	// The session's mutex guards all that follows.
	err      error // why the stream ended early
	inMap    bool  // counted by the session
	inUrgent bool  // queued in the session's lists
	inReady  bool

	out         [][]byte // encoded frames
	outBytes    int
	credit      int // what the peer can take
	outLength   uint64
	outSum      xxhash.Digest
	ended       bool // CloseWrite was called
	endSent     bool
	stopped     bool // the peer reads no more
	resetDue    bool
	resetReason string
	stopDue     bool // a resetStop follows the end frame, because nobody reads here
	writable    signal

	in       inbound
	readable signal
}

// newStream adds a stream to the session; s.mu is held.
func newStream(s *Session, id uint64, head wire.Message, own bool) *Stream {
	st := &Stream{s: s, id: id, own: own, head: head, credit: Window, inMap: true}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	st.outSum.Reset()
	st.in.sum.Reset()
	s.streams[id] = st
	return st
}

// Head returns the message that opened the stream.
func (st *Stream) Head() wire.Message { return st.head }

// Context ends when the stream is reset by either side, when the session ends before the stream, or when both directions
// have ended and the end was read here.
func (st *Stream) Context() context.Context { return st.ctx }

// Sent reports whether any byte of the stream was handed to the connection. After Context has ended it does not change.
func (st *Stream) Sent() bool { return st.sent.Load() }

// Send sends a message in order with body bytes and waits for flow control.
func (st *Stream) Send(ctx context.Context, m wire.Message) error {
	b, err := encode(st.id, m)
	if err != nil {
		return err
	}
	cost := len(b) - frame.Overhead + frameCost
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	if err := st.await(ctx, func() bool { return st.credit >= cost }); err != nil {
		return err
	}
	st.credit -= cost
	st.enqueue(b)
	return nil
}

// Write sends body bytes and waits for flow control.
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
	least := min(len(p), minChunk) + frameCost
	if err := st.await(st.ctx, func() bool { return st.credit >= least }); err != nil {
		return 0, err
	}
	p = p[:min(len(p), dataChunk, st.credit-frameCost)]
	b, err := frame.Append(make([]byte, 0, len(p)+frame.Overhead), frame.Frame{Kind: wire.KindData, Stream: st.id, Payload: p})
	if err != nil {
		return 0, err
	}
	if _, err := st.outSum.Write(p); err != nil {
		return 0, fmt.Errorf("checksum: %w", err)
	}
	st.outLength += uint64(len(p))
	st.credit -= len(p) + frameCost
	st.enqueue(b)
	return len(p), nil
}

// await waits until the stream has room in its queue and enough credit; s.mu is held except while it waits.
func (st *Stream) await(ctx context.Context, enough func() bool) error {
	for {
		switch {
		case st.err != nil:
			return st.err
		case st.stopped:
			return fmt.Errorf("%w: peer reads no more", ErrReset)
		case st.ended:
			return ErrEnded
		case enough() && st.outBytes < streamQueue:
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

// CloseWrite sends the end frame after what was written before; it does not wait.
func (st *Stream) CloseWrite() error {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	switch {
	case st.err != nil:
		return st.err
	case st.ended:
		return ErrEnded
	}
	st.ended = true
	if st.stopped {
		return nil // the peer has forgotten the stream
	}
	st.queueReady()
	st.writable.fire()
	return nil
}

// Reset ends both directions at once and drops what has not been written yet. On a stream that has ended it only ends
// Context. When Sent is false after Reset, the peer never learns of the stream.
func (st *Stream) Reset(reason string) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	st.reset(reason)
}

func (st *Stream) reset(reason string) {
	if st.err != nil {
		return
	}
	if !st.inMap {
		st.cancel() // both directions have ended; what arrived can still be read
		return
	}
	st.kill(fmt.Errorf("%w here: %w", ErrReset, errors.New(reason)))
	st.in.drop()
	if st.own && !st.sent.Load() {
		st.forget()
		return
	}
	// The stream counts until its reset was written, which bounds the number of resets that wait.
	st.resetDue = true
	st.resetReason = shorten(reason)
	st.queueUrgent()
}

// kill ends the stream early; what has arrived can still be read. s.mu is held.
func (st *Stream) kill(err error) {
	if st.err != nil {
		return
	}
	st.err = err
	st.out, st.outBytes = nil, 0
	st.cancel()
	st.writable.fire()
	st.readable.fire()
}

// release ends what the handler of the stream left open.
func (st *Stream) release() {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	switch {
	case st.err != nil:
	case !st.ended:
		st.reset("handler ended without an end frame")
	case !st.in.ended:
		st.in.drop()
		st.in.discard = true
		st.stopDue = true
		if st.endSent {
			st.queueUrgent()
		}
	}
	if st.in.ended {
		st.cancel()
	}
}

// forget removes the stream from the session; s.mu is held.
func (st *Stream) forget() {
	if !st.inMap {
		return
	}
	st.inMap = false
	delete(st.s.streams, st.id)
	if st.own {
		st.s.ownStreams--
	} else {
		st.s.peerStreams--
	}
}

// enqueue adds an encoded frame for the writer; s.mu is held.
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

// appendNext appends the next frame of the stream, and queues the stream again when it has more; s.mu is held. Sent is
// set here, before the bytes go to the connection.
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
	case st.ended && !st.endSent:
		st.sent.Store(true)
		b = st.appendEnd(b)
	}
	if len(st.out) > 0 || st.ended && !st.endSent {
		st.queueReady()
	}
	return b
}

func (st *Stream) appendEnd(b []byte) []byte {
	var p [endPayload]byte
	binary.BigEndian.PutUint64(p[:], st.outLength)
	binary.BigEndian.PutUint64(p[8:], st.outSum.Sum64())
	b = appendSmall(b, wire.KindEnd, st.id, p[:])
	st.endSent = true
	switch {
	case st.stopDue:
		st.queueUrgent()
	case st.in.ended:
		st.forget()
		if st.in.verified {
			st.cancel()
		}
	}
	return b
}

// appendUrgent appends a window update or a reset; s.mu is held.
func (st *Stream) appendUrgent(b []byte) []byte {
	st.inUrgent = false
	switch {
	case st.resetDue:
		st.resetDue = false
		b = appendSmall(b, wire.KindReset, st.id, append([]byte{byte(resetAbort)}, st.resetReason...))
		st.forget()
	case st.err != nil || !st.inMap:
	case st.stopDue && !st.endSent: // appendEnd queues the stream again
	case st.stopDue:
		b = appendSmall(b, wire.KindReset, st.id, []byte{byte(resetStop)})
		st.cancel()
		st.forget()
	case st.in.consumed > 0 && !st.in.ended:
		var p [windowPayload]byte
		binary.BigEndian.PutUint32(p[:], uint32(st.in.consumed))
		st.in.used -= st.in.consumed
		st.in.consumed = 0
		b = appendSmall(b, wire.KindWindow, st.id, p[:])
	}
	return b
}
