package sess

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// read runs in the reader goroutine: it reads frames, calls the handler and ends the session. After Close it reads
// until the peer closes the connection, because closing a TCP connection with unread bytes resets it, and the peer
// would lose data that it has not read yet, such as the reason.
func (s *Session) read() {
	defer s.running.Done()
	for {
		f, err := s.reader.Read()
		if err == nil {
			err = s.handle(f)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = fmt.Errorf("read: %w", io.ErrUnexpectedEOF)
			}
			s.fail(err)
			break
		}
	}
	s.raw.Close()
	<-s.writerDone
	s.finish()
}

// violation returns an ErrViolation with details.
func violation(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrViolation, errors.Newf(format, args...))
}

func (s *Session) handle(f frame.Frame) error {
	s.mu.Lock()
	s.frameSeen = true
	ended := s.ended
	s.mu.Unlock()
	if ended && f.Kind != wire.KindGoodbye {
		return nil // discarded until the peer closes the connection
	}
	if f.Stream != 0 {
		return s.handleStreamFrame(f)
	}
	switch f.Kind {
	case wire.KindPing:
		return s.handlePing(f.Payload)
	case wire.KindPong:
		return s.handlePong(f.Payload)
	case wire.KindGoodbye:
		return peerGoodbye(f.Payload)
	}
	m, err := decode(f.Kind, f.Payload)
	if err != nil {
		return err
	}
	return s.deliver(m)
}

// deliver passes a message to the handler. A panic of the handler ends this session only, since the message that caused
// it is lost with the session.
func (s *Session) deliver(m wire.Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			event.Log(s.log, event.HandlerPanicked, zap.Stringer("Message", m.Kind()), zap.Any("Panic", p), zap.Stack("Stack"))
			err = errors.Newf("handler of %v panicked", m.Kind())
		}
	}()
	s.delivering.Store(true)
	s.handler.HandleMessage(s, m)
	s.delivering.Store(false)
	return nil
}

// minMessageKind is the lowest kind of a message; lower kinds are frames of the session layer.
const minMessageKind wire.Kind = 32

func decode(k wire.Kind, payload []byte) (wire.Message, error) {
	if k < minMessageKind {
		return nil, violation("frame %v in place of a message", k)
	}
	m, err := wire.Decode(k, payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrViolation, err)
	}
	return m, nil
}

func (s *Session) handlePing(p []byte) error {
	if len(p) != pingPayload {
		return violation("ping of %d bytes", len(p))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pongDue = true
	s.pongSeq = binary.BigEndian.Uint64(p)
	s.pongReceived = time.Now().UnixNano()
	s.notify()
	return nil
}

func (s *Session) handlePong(p []byte) error {
	now := time.Now()
	if len(p) != pongPayload {
		return violation("pong of %d bytes", len(p))
	}
	s.mu.Lock()
	s.pongSeen = true
	select {
	case <-s.unanswered:
	default:
	}
	current := binary.BigEndian.Uint64(p) == s.pingSeq
	sentAt := s.pingAt
	s.mu.Unlock()
	if !current {
		return nil // the pong arrived after the next ping was sent
	}
	received, replied := int64(binary.BigEndian.Uint64(p[8:])), int64(binary.BigEndian.Uint64(p[16:]))
	if v, ok := newSample(sentAt, received, replied, now); ok {
		s.clock.add(v)
	}
	return nil
}

func (s *Session) handleStreamFrame(f frame.Frame) error {
	if f.Kind == wire.KindOpen {
		return s.handleOpen(f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[f.Stream]
	if st == nil {
		if s.ended || f.Stream <= s.lastLocal && f.Stream%2 == s.lastLocal%2 || f.Stream <= s.lastPeer && f.Stream%2 == s.lastPeer%2 {
			return nil // sent before the peer saw the end of the stream
		}
		return violation("%v for stream %d, which was never opened", f.Kind, f.Stream)
	}
	return st.handle(f)
}

// handleOpen registers a stream opened by the peer and starts its handler. The peer's stream numbers must increase, so
// that none is used twice.
func (s *Session) handleOpen(f frame.Frame) error {
	if len(f.Payload) == 0 {
		return violation("stream %d has no head", f.Stream)
	}
	head, err := decode(wire.Kind(f.Payload[0]), f.Payload[1:])
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	if f.Stream%2 != s.lastPeer%2 || f.Stream <= s.lastPeer {
		return violation("stream %d after stream %d", f.Stream, s.lastPeer)
	}
	s.lastPeer = f.Stream
	if s.peerStreams >= MaxStreams || s.handlers >= maxHandlers {
		return violation("more than %d streams", MaxStreams)
	}
	st := newStream(s, f.Stream, head, false)
	s.peerStreams++
	s.handlers++
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.handler.HandleStream(s, st)
		st.handlerReturned()
		s.mu.Lock()
		s.handlers--
		s.mu.Unlock()
	}()
	return nil
}
