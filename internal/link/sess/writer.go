package sess

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// batchPool is shared by all sessions, so that idle sessions use no write buffer.
var batchPool = sync.Pool{New: func() any {
	b := make([]byte, 0, batchBytes+frame.MaxPayload+frame.Overhead)
	return &b
}}

// write runs in the writer goroutine: it writes batches until the session or the connection ends.
func (s *Session) write() {
	defer s.running.Done()
	defer close(s.writerDone)
	for {
		if !s.writeBatch() {
			return
		}
	}
}

// writeBatch writes a batch of queued frames, or waits for frames; it reports whether the writer should continue.
func (s *Session) writeBatch() bool {
	buf, ok := batchPool.Get().(*[]byte)
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
	batchPool.Put(buf)
	if n > 0 {
		s.mu.Lock()
		s.writing, s.wrote = false, true
		s.mu.Unlock()
	}
	if err != nil {
		// Leave the reader time for a reason that the peer sent before it closed the connection.
		time.AfterFunc(closeTimeout, func() { s.fail(fmt.Errorf("write: %w", err)) })
		return false
	}
	if n == 0 && !last {
		<-s.wake
	}
	return !last
}

// assemble appends the next batch to b: pings, control messages, window updates and resets, then one frame of each
// ready stream in turn. last reports that no batch follows.
func (s *Session) assemble(b []byte) (_ []byte, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended && !s.graceful {
		return b, true
	}
	b = s.appendPings(b)
	for len(b) < controlBatchBytes {
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

// appendPings appends the ping and pong that are due. It sets their timestamps just before the write, so that time
// spent in queues does not increase the error bound of the clock offset.
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
		return b // the peer sees EOF without a reason
	}
	return appendSmall(b, wire.KindGoodbye, 0, payload)
}

// appendSmall appends a frame with a payload far below frame.MaxPayload; only a larger payload makes Append fail.
func appendSmall(b []byte, k wire.Kind, stream uint64, payload []byte) []byte {
	b, _ = frame.Append(b, frame.Frame{Kind: k, Stream: stream, Payload: payload})
	return b
}
