package sess

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/queue"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Session is an authenticated connection to one peer. A reader and a writer goroutine serve it.
type Session struct {
	conn    net.Conn // TLS if configured
	raw     net.Conn // closed directly, because closing TLS may wait for the peer
	reader  *frame.Reader
	handler Handler
	log     *zap.Logger
	peer    wire.Hello
	clock   clock
	control *queue.Ring[[]byte] // encoded frames
	wake    chan struct{}       // tells the writer that there is something to write
	done    chan struct{}
	flushed chan struct{} // closed when the writer has ended
	running sync.WaitGroup

	mu            sync.Mutex
	ended         bool
	graceful      bool  // the writer sends what is queued and a reason before it closes the connection
	err           error // why the session ended
	pending       int   // bytes in control
	streams       map[uint64]*Stream
	urgent        []*Stream // with a window update or reset to send
	ready         []*Stream // with frames to send, served in turn
	lastOwn       uint64    // highest stream number opened here
	lastPeer      uint64    // highest stream number opened by the peer
	ownStreams    int
	peerStreams   int
	handlers      int // running HandleStream calls
	ticker        *time.Timer
	ticks         int
	pingDue       bool
	pingSeq       uint64
	pingAt        time.Time // when the ping with pingSeq was written
	pongDue       bool
	pongSeq       uint64
	pongReceived  int64
	frameSeen     bool // a frame arrived since the last tick
	quiet         int  // ticks without a frame
	writing       bool // the writer is in a call of Write
	wrote         bool // a write ended since the last tick
	writeStuck    int  // ticks without progress of the same write
	goodbyeReason string
}

// Dial connects to address and performs the handshake. With TLS and no ServerName, the host of address is verified.
func Dial(ctx context.Context, address string, cfg Config, h Handler) (*Session, error) {
	d := net.Dialer{Timeout: ShakeLimit}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if cfg.TLS != nil && cfg.TLS.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		cfg.TLS = cfg.TLS.Clone()
		cfg.TLS.ServerName = host
	}
	return Connect(ctx, conn, cfg, h)
}

// Connect performs the handshake of the dialing side on conn, which it closes on failure.
func Connect(ctx context.Context, conn net.Conn, cfg Config, h Handler) (*Session, error) {
	return open(ctx, conn, cfg, h, true)
}

// Accept performs the handshake of the accepting side on conn, which it closes on failure.
func Accept(ctx context.Context, conn net.Conn, cfg Config, h Handler) (*Session, error) {
	return open(ctx, conn, cfg, h, false)
}

func open(ctx context.Context, raw net.Conn, cfg Config, h Handler, dialing bool) (*Session, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	conn := raw
	if cfg.TLS != nil && dialing {
		conn = tls.Client(raw, cfg.TLS)
	} else if cfg.TLS != nil {
		conn = tls.Server(raw, cfg.TLS)
	}
	hands, err := shake(ctx, conn, cfg, dialing)
	if err != nil {
		raw.Close()
		logFailure(ctx, cfg.Log, raw, err)
		return nil, fmt.Errorf("session with %v: %w", raw.RemoteAddr(), err)
	}
	s := &Session{
		conn: conn, raw: raw, reader: hands.reader, handler: h, peer: hands.hello,
		log: cfg.Log.With(zap.String("Peer", hands.hello.Name), zap.Stringer("PeerRole", hands.hello.Role),
			zap.String("PeerZone", string(hands.hello.Zone)), zap.Stringer("Remote", raw.RemoteAddr())),
		control: queue.NewRing[[]byte](controlFrames),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		flushed: make(chan struct{}),
		streams: make(map[uint64]*Stream),
		pingDue: true,
	}
	for _, v := range hands.samples {
		s.clock.add(v)
	}
	// Stream numbers of the dialing side are odd, those of the accepting side even, and 0 is the session itself.
	if dialing {
		s.lastOwn = 1
	} else {
		s.lastPeer = 1
	}
	event.Log(s.log, event.SessionOpened, zap.Bool("Dialing", dialing), zap.Duration("RoundTrip", s.RoundTrip()))
	s.mu.Lock()
	s.ticker = time.AfterFunc(firstPingDelay, s.tick)
	s.mu.Unlock()
	s.running.Add(2)
	go s.read()
	go s.write()
	return s, nil
}

func logFailure(ctx context.Context, log *zap.Logger, conn net.Conn, err error) {
	if ctx.Err() != nil {
		return // the caller gave up; the peer did nothing wrong
	}
	n := event.HandshakeFailed
	if errors.Is(err, ErrVersion) {
		n = event.ProtocolRefused
	}
	event.Log(log, n, zap.Stringer("Remote", conn.RemoteAddr()), zap.Error(err))
}

// Peer returns what the peer told in the handshake.
func (s *Session) Peer() wire.Hello { return s.peer }

// Done is closed as soon as the session can no longer be used.
func (s *Session) Done() <-chan struct{} { return s.done }

// Wait returns when the session's goroutines, with those of HandleStream, have ended.
func (s *Session) Wait() { s.running.Wait() }

// RoundTrip returns the smallest recent round trip.
func (s *Session) RoundTrip() time.Duration { return s.clock.estimate().trip }

// LocalTime converts a time of the peer's wall clock (ns since 1970) to the local clock, less the error bound.
func (s *Session) LocalTime(peerWall int64) time.Time { return s.clock.localTime(peerWall) }

// Send queues a one-way message. It returns ErrClosed, ErrBacklog when the queue is full, or frame.ErrTooLarge.
func (s *Session) Send(m wire.Message) error {
	b, err := encode(0, m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return ErrClosed
	}
	if s.pending+len(b) > controlBytes || !s.control.TryPut(b) {
		return ErrBacklog
	}
	s.pending += len(b)
	s.notify()
	return nil
}

// encode returns the frame of a message.
func encode(stream uint64, m wire.Message) ([]byte, error) {
	payload, err := wire.Pack(m)
	if err != nil {
		return nil, err
	}
	return frame.Append(make([]byte, 0, len(payload)+frame.Overhead),
		frame.Frame{Kind: m.Kind(), Stream: stream, Payload: payload})
}

// Open opens a stream with a head message. The stream is reset when ctx ends before it. Open returns ErrClosed,
// ErrBacklog when MaxStreams are open, or frame.ErrTooLarge.
func (s *Session) Open(ctx context.Context, head wire.Message) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	packed, err := wire.Pack(head)
	if err != nil {
		return nil, err
	}
	payload := append([]byte{byte(head.Kind())}, packed...)
	st, err := s.openStream(head, payload)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { st.Reset(context.Cause(ctx).Error()) })
	context.AfterFunc(st.ctx, func() { stop() })
	return st, nil
}

func (s *Session) openStream(head wire.Message, payload []byte) (*Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, ErrClosed
	}
	if s.ownStreams >= MaxStreams {
		return nil, ErrBacklog
	}
	b, err := frame.Append(nil, frame.Frame{Kind: wire.KindOpen, Stream: s.lastOwn + 2, Payload: payload})
	if err != nil {
		return nil, err
	}
	s.lastOwn += 2
	s.ownStreams++
	st := newStream(s, s.lastOwn, head, true)
	st.enqueue(b)
	return st, nil
}

// Close ends the session: queued one-way messages are still written, then the peer is told the reason; streams end at
// once. A nil err stands for an ordinary end.
func (s *Session) Close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.graceful = true
	s.goodbyeReason = "closed"
	if err != nil {
		s.goodbyeReason = shorten(err.Error())
	}
	s.end(err)
	time.AfterFunc(closeLimit, func() { s.raw.Close() })
}

// fail ends the session at once because of the connection or the peer.
func (s *Session) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.end(err)
	s.raw.Close()
}

// end marks the session and its streams as ended; s.mu is held.
func (s *Session) end(err error) {
	s.ended = true
	s.err = err
	s.ticker.Stop()
	for _, st := range s.streams {
		st.kill(ErrClosed)
	}
	s.streams, s.urgent, s.ready = nil, nil, nil
	close(s.done)
	s.notify()
}

// finish runs once, after the reader and the writer have ended.
func (s *Session) finish() {
	s.mu.Lock()
	err, graceful := s.err, s.graceful
	s.mu.Unlock()
	n := event.SessionLost
	switch {
	case graceful, errors.Is(err, ErrPeerClosed):
		n = event.SessionClosed
	case errors.Is(err, ErrViolation), errors.Is(err, frame.ErrChecksum), errors.Is(err, frame.ErrTooLarge):
		n = event.SessionViolated
	}
	event.Log(s.log, n, zap.Error(err))
	s.handler.HandleClosed(s, err)
}

// notify wakes the writer; s.mu need not be held.
func (s *Session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// tick sends pings and closes the session when no frame has arrived, or a write has made no progress, for IdleLimit.
// It counts ticks instead of comparing clocks, so that a pause of this process does not look like a silent peer.
func (s *Session) tick() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.pingDue = true
	s.notify()
	s.ticks++
	if s.ticks < firstPings {
		s.ticker.Reset(firstPingDelay)
		s.mu.Unlock()
		return
	}
	s.ticker.Reset(pingInterval)
	s.quiet = count(s.quiet, !s.frameSeen)
	s.writeStuck = count(s.writeStuck, s.writing && !s.wrote)
	s.frameSeen, s.wrote = false, false
	idle := s.quiet >= idleTicks || s.writeStuck >= idleTicks
	s.mu.Unlock()
	if idle {
		s.fail(ErrIdle)
	}
}

// count returns n+1 while the condition lasts and 0 otherwise.
func count(n int, lasts bool) int {
	if !lasts {
		return 0
	}
	return n + 1
}
