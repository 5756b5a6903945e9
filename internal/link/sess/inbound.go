package sess

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// item is a received message or a chunk of the body.
type item struct {
	message wire.Message // nil for body bytes
	data    []byte
	cost    int // bytes of the window, not counting data
}

// inbound is the receiving direction of a stream; it is guarded by the session's mutex.
type inbound struct {
	items        []item
	deferred     []item // messages that Read skipped, for Receive
	deferredCost int
	used         int // bytes of the window
	consumed     int // part of used not yet returned to the peer as credit
	length       uint64
	checksum     xxhash.Digest // of the body bytes read
	endReceived  bool          // the end frame has arrived
	endLength    uint64
	endChecksum  uint64
	verified     bool
	discard      bool // the handler has returned, so nothing is read
}

func (in *inbound) drop() {
	in.items, in.deferred = nil, nil
}

// handle processes a frame of the stream in the reader goroutine; s.mu is held.
func (st *Stream) handle(f frame.Frame) error {
	switch f.Kind {
	case wire.KindWindow:
		return st.handleWindow(f.Payload)
	case wire.KindReset:
		return st.handleReset(f.Payload)
	}
	if st.err != nil {
		return nil // sent before the peer saw the local reset
	}
	if st.in.endReceived {
		return violation("%v after the end of stream %d", f.Kind, st.id)
	}
	if f.Kind == wire.KindEnd {
		return st.handleEnd(f.Payload)
	}
	return st.handleItem(f)
}

func (st *Stream) handleWindow(p []byte) error {
	if len(p) != windowPayload {
		return violation("window update of %d bytes", len(p))
	}
	n := binary.BigEndian.Uint32(p)
	if uint64(st.credit)+uint64(n) > Window {
		return violation("window of stream %d over %d bytes", st.id, Window)
	}
	st.credit += int(n)
	st.writable.fire()
	return nil
}

// handleReset ends the stream for resetAbort, or only the direction to the peer for resetStop.
func (st *Stream) handleReset(p []byte) error {
	if len(p) == 0 || p[0] > byte(resetStop) {
		return violation("malformed reset of stream %d", st.id)
	}
	switch {
	case st.err != nil:
		st.resetDue = false // reset by both sides at once; handle ignored the end frame that precedes a resetStop
	case resetCode(p[0]) == resetAbort:
		st.abort(fmt.Errorf("%w by peer: %q", ErrReset, shorten(string(p[1:]))))
	case !st.in.endReceived:
		return violation("stream %d stopped before its end", st.id)
	default:
		st.stopped = true
		st.out, st.outBytes = nil, 0
		st.writable.fire()
	}
	st.unregister()
	return nil
}

func (st *Stream) handleEnd(p []byte) error {
	if len(p) != endPayload {
		return violation("end frame of %d bytes", len(p))
	}
	st.in.endReceived = true
	st.in.endLength = binary.BigEndian.Uint64(p)
	st.in.endChecksum = binary.BigEndian.Uint64(p[8:])
	if st.endSent {
		st.unregister()
	}
	st.readable.fire()
	return nil
}

func (st *Stream) handleItem(f frame.Frame) error {
	cost := len(f.Payload) + frameCost
	if cost > Window-st.in.used {
		return violation("stream %d exceeds its window", st.id)
	}
	it := item{cost: cost}
	if f.Kind == wire.KindData {
		if len(f.Payload) == 0 {
			return violation("empty data frame on stream %d", st.id)
		}
		it.cost = frameCost
		it.data = append([]byte(nil), f.Payload...)
	} else {
		m, err := decode(f.Kind, f.Payload)
		if err != nil {
			return err
		}
		it.message = m
	}
	st.in.used += cost
	if st.in.discard {
		return nil // the peer gets no credit back and stops when its window is used up
	}
	st.in.items = append(st.in.items, it)
	st.readable.fire()
	return nil
}

// consume counts n bytes of the window as read and queues a window update once there are creditStep of them.
func (st *Stream) consume(n int) {
	st.in.consumed += n
	if st.in.consumed >= creditStep && !st.in.endReceived && st.err == nil {
		st.queueUrgent()
	}
}

// Read reads body bytes. It returns io.EOF when the end frame has arrived and its length and checksum match, and
// ErrTruncated for any other end of the stream. Messages between body bytes are queued for Receive.
func (st *Stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	for {
		if n := st.in.readBody(p); n > 0 {
			return n, st.consumeBody(p[:n])
		}
		if err := st.deferMessage(); err != nil {
			return 0, err
		}
		if len(st.in.items) > 0 {
			continue
		}
		if st.in.endReceived {
			return 0, st.verify()
		}
		if st.err != nil {
			return 0, fmt.Errorf("%w: %w", ErrTruncated, st.err)
		}
		changed := st.readable.wait()
		st.s.mu.Unlock()
		<-changed
		st.s.mu.Lock()
	}
}

// readBody copies body bytes from the first queued item to p and returns 0 if that is a message.
func (in *inbound) readBody(p []byte) int {
	if len(in.items) == 0 || in.items[0].message != nil {
		return 0
	}
	n := copy(p, in.items[0].data)
	in.items[0].data = in.items[0].data[n:]
	return n
}

// consumeBody adds p to the length, checksum and credit of the body bytes read, and removes the first item once empty.
func (st *Stream) consumeBody(p []byte) error {
	n := len(p)
	st.in.length += uint64(n)
	if len(st.in.items[0].data) == 0 {
		n += st.in.items[0].cost
		st.in.items = st.in.items[1:]
	}
	st.consume(n)
	if _, err := st.in.checksum.Write(p); err != nil {
		return fmt.Errorf("checksum: %w", err)
	}
	return nil
}

// deferMessage moves a message at the head of the queue to those that Receive returns. It resets the stream when they
// use more than half of the window.
func (st *Stream) deferMessage() error {
	if len(st.in.items) == 0 || st.in.items[0].message == nil {
		return nil
	}
	it := st.in.items[0]
	st.in.items = st.in.items[1:]
	st.in.deferred = append(st.in.deferred, it)
	st.in.deferredCost += it.cost
	if st.in.deferredCost > Window/2 {
		st.reset("too many messages within the body")
		return fmt.Errorf("%w: too many messages within the body", ErrTruncated)
	}
	return nil
}

// verify compares the end frame with the length and checksum of the body. It returns io.EOF if they match; otherwise it
// resets the stream and returns ErrTruncated.
func (st *Stream) verify() error {
	if st.in.verified {
		return io.EOF
	}
	if st.in.length != st.in.endLength || st.in.checksum.Sum64() != st.in.endChecksum {
		st.reset("end frame does not match the body")
		return fmt.Errorf("%w: end frame does not match the body", ErrTruncated)
	}
	st.in.verified = true
	if st.endSent || st.stopped {
		st.cancel()
	}
	return io.EOF
}

// Receive returns the next message, ErrBody when body bytes come first, io.EOF after a verified end frame, ErrTruncated
// after any other end of the stream, or the cause of ctx.
func (st *Stream) Receive(ctx context.Context) (wire.Message, error) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	for {
		if len(st.in.deferred) > 0 {
			it := st.in.deferred[0]
			st.in.deferred = st.in.deferred[1:]
			st.in.deferredCost -= it.cost
			st.consume(it.cost)
			return it.message, nil
		}
		if len(st.in.items) > 0 {
			if st.in.items[0].message == nil {
				return nil, ErrBody
			}
			if err := st.deferMessage(); err != nil {
				return nil, err
			}
			continue
		}
		if st.in.endReceived {
			return nil, st.verify()
		}
		if st.err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTruncated, st.err)
		}
		changed := st.readable.wait()
		st.s.mu.Unlock()
		select {
		case <-changed:
			st.s.mu.Lock()
		case <-ctx.Done():
			st.s.mu.Lock()
			if len(st.in.items) > 0 || st.in.endReceived || st.err != nil {
				continue
			}
			return nil, errors.Wrap(context.Cause(ctx), "wait for a message")
		}
	}
}
