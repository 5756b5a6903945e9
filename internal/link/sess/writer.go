package sess

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// batches are shared by all sessions, so that an idle session holds none.
var batches = sync.Pool{New: func() any {
	b := make([]byte, 0, batchBytes+frame.MaxPayload+frame.Overhead)
	return &b
}}

// write is the goroutine that writes to the connection.
func (s *Session) write() {
	defer s.running.Done()
	defer close(s.flushed)
	for {
		if !s.writeBatch() {
			return
		}
	}
}

// writeBatch writes what is queued, or waits for something to write; it reports whether the session goes on.
func (s *Session) writeBatch() bool {
	buf, ok := batches.Get().(*[]byte)
	if !ok {
		return false
	}
	b, last := s.assemble((*buf)[:0])
	n := len(b)
	var err error
	if n > 0 {
		_, err = s.conn.Write(b)
	}
	*buf = b
	batches.Put(buf)
	if n > 0 {
		s.mu.Lock()
		s.writing, s.wrote = false, true
		s.mu.Unlock()
	}
	if err != nil {
		// The peer may have sent a reason before it closed the connection; the reader still gets it.
		time.AfterFunc(closeLimit, func() { s.fail(fmt.Errorf("write: %w", err)) })
		return false
	}
	if n == 0 && !last {
		<-s.wake
	}
	return !last
}

// assemble appends the next frames to b: control messages first, then one frame of each ready stream in turn. last
// reports that nothing follows.
func (s *Session) assemble(b []byte) (_ []byte, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended && !s.graceful {
		return b, true
	}
	b = s.appendPings(b)
	for len(b) < batchControl {
		f, ok := s.control.TryTake()
		if !ok {
			break
		}
		s.pending -= len(f)
		b = append(b, f...)
	}
	if s.ended && s.control.Len() == 0 {
		b = s.appendGoodbye(b)
		last = true
	}
	for len(s.urgent) > 0 && len(b) < batchBytes {
		st := s.urgent[0]
		s.urgent = s.urgent[1:]
		b = st.appendUrgent(b)
	}
	for len(s.ready) > 0 && len(b) < batchBytes {
		st := s.ready[0]
		s.ready = s.ready[1:]
		b = st.appendNext(b)
	}
	if len(b) > 0 {
		s.writing = true
	}
	return b, last
}

// appendPings stamps pings and pongs as late as possible, so that time in queues does not widen the error bound.
func (s *Session) appendPings(b []byte) []byte {
	if s.pongDue {
		s.pongDue = false
		var p [pongPayload]byte
		binary.BigEndian.PutUint64(p[:], s.pongSeq)
		binary.BigEndian.PutUint64(p[8:], uint64(s.pongReceived))
		binary.BigEndian.PutUint64(p[16:], uint64(time.Now().UnixNano()))
		b = appendSmall(b, wire.KindPong, 0, p[:])
	}
	if s.pingDue && !s.ended {
		s.pingDue = false
		s.pingSeq++
		s.pingAt = time.Now()
		var p [pingPayload]byte
		binary.BigEndian.PutUint64(p[:], s.pingSeq)
		b = appendSmall(b, wire.KindPing, 0, p[:])
	}
	return b
}

func (s *Session) appendGoodbye(b []byte) []byte {
	payload, err := wire.Pack(&goodbye{Reason: s.goodbyeReason})
	if err != nil {
		return b // the peer sees the end of the connection without a reason
	}
	return appendSmall(b, wire.KindGoodbye, 0, payload)
}

// appendSmall appends a frame whose payload is far below frame.MaxPayload, the only cause of an error of Append.
func appendSmall(b []byte, k wire.Kind, stream uint64, payload []byte) []byte {
	b, _ = frame.Append(b, frame.Frame{Kind: k, Stream: stream, Payload: payload})
	return b
}
