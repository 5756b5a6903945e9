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

// item is a message or a piece of the body.
type item struct {
	message wire.Message // nil for body bytes
	data    []byte
	cost    int // of the window, besides data
}

// inbound is the receiving direction of a stream; the session's mutex guards it.
type inbound struct {
	items     []item
	kept      []item // messages passed by Read, for Receive
	keptCost  int
	used      int // of the window
	consumed  int // part of used to return to the peer
	length    uint64
	sum       xxhash.Digest // of the body bytes that were read
	ended     bool          // the end frame has arrived
	endLength uint64
	endSum    uint64
	verified  bool
	discard   bool // nobody reads
}

func (in *inbound) drop() {
	in.items, in.kept = nil, nil
}

// handle takes a frame of the peer from the session's reader; s.mu is held.
func (st *Stream) handle(f frame.Frame) error {
	switch f.Kind {
	case wire.KindWindow:
		return st.handleWindow(f.Payload)
	case wire.KindReset:
		return st.handleReset(f.Payload)
	}
	if st.err != nil {
		return nil // reset here, which the peer did not know
	}
	if st.in.ended {
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

// handleReset ends the stream or, when the peer has sent its end and only reads no more, the direction to the peer.
func (st *Stream) handleReset(p []byte) error {
	if len(p) == 0 || p[0] > byte(resetStop) {
		return violation("malformed reset of stream %d", st.id)
	}
	switch {
	case st.err != nil:
		st.resetDue = false // reset on both sides at once; the end frame before a resetStop was ignored
	case resetCode(p[0]) == resetAbort:
		st.kill(fmt.Errorf("%w by peer: %q", ErrReset, shorten(string(p[1:]))))
	case !st.in.ended:
		return violation("stream %d stopped before its end", st.id)
	default:
		st.stopped = true
		st.out, st.outBytes = nil, 0
		st.writable.fire()
	}
	st.forget()
	return nil
}

func (st *Stream) handleEnd(p []byte) error {
	if len(p) != endPayload {
		return violation("end frame of %d bytes", len(p))
	}
	st.in.ended = true
	st.in.endLength = binary.BigEndian.Uint64(p)
	st.in.endSum = binary.BigEndian.Uint64(p[8:])
	if st.endSent {
		st.forget()
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
		return nil // no credit is returned, so the peer stops soon
	}
	st.in.items = append(st.in.items, it)
	st.readable.fire()
	return nil
}

// consume returns credit to the peer once a good part of the window was read.
func (st *Stream) consume(n int) {
	st.in.consumed += n
	if st.in.consumed >= creditStep && !st.in.ended && st.err == nil {
		st.queueUrgent()
	}
}

// Read returns body bytes; io.EOF means that the end frame has arrived and length and checksum agree. Any other end is
// ErrTruncated. Messages that it passes are kept for Receive.
func (st *Stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	for {
		if n := st.in.take(p); n > 0 {
			return n, st.settle(p[:n])
		}
		if err := st.keep(); err != nil {
			return 0, err
		}
		if len(st.in.items) > 0 {
			continue
		}
		if st.in.ended {
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

// take copies body bytes at the head of the queue to p.
func (in *inbound) take(p []byte) int {
	if len(in.items) == 0 || in.items[0].message != nil {
		return 0
	}
	n := copy(p, in.items[0].data)
	in.items[0].data = in.items[0].data[n:]
	return n
}

// settle counts p as read, returns credit for it and removes an emptied item.
func (st *Stream) settle(p []byte) error {
	n := len(p)
	st.in.length += uint64(n)
	if len(st.in.items[0].data) == 0 {
		n += st.in.items[0].cost
		st.in.items = st.in.items[1:]
	}
	st.consume(n)
	if _, err := st.in.sum.Write(p); err != nil {
		return fmt.Errorf("checksum: %w", err)
	}
	return nil
}

// keep moves a message at the head of the queue to those that Receive returns.
func (st *Stream) keep() error {
	if len(st.in.items) == 0 || st.in.items[0].message == nil {
		return nil
	}
	it := st.in.items[0]
	st.in.items = st.in.items[1:]
	st.in.kept = append(st.in.kept, it)
	st.in.keptCost += it.cost
	if st.in.keptCost > Window/2 {
		st.reset("too many messages within the body")
		return fmt.Errorf("%w: too many messages within the body", ErrTruncated)
	}
	return nil
}

// verify checks the end frame against what was read.
func (st *Stream) verify() error {
	if st.in.verified {
		return io.EOF
	}
	if st.in.length != st.in.endLength || st.in.sum.Sum64() != st.in.endSum {
		st.reset("end frame does not match the body")
		return fmt.Errorf("%w: end frame does not match the body", ErrTruncated)
	}
	st.in.verified = true
	if st.endSent || st.stopped {
		st.cancel()
	}
	return io.EOF
}

// Receive returns the next message, ErrBody when body bytes come first, or io.EOF after a verified end frame.
func (st *Stream) Receive(ctx context.Context) (wire.Message, error) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	for {
		if len(st.in.kept) > 0 {
			it := st.in.kept[0]
			st.in.kept = st.in.kept[1:]
			st.in.keptCost -= it.cost
			st.consume(it.cost)
			return it.message, nil
		}
		if len(st.in.items) > 0 {
			if st.in.items[0].message == nil {
				return nil, ErrBody
			}
			if err := st.keep(); err != nil {
				return nil, err
			}
			continue
		}
		if st.in.ended {
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
			if len(st.in.items) > 0 || st.in.ended || st.err != nil {
				continue
			}
			return nil, errors.Wrap(context.Cause(ctx), "wait for a message")
		}
	}
}
