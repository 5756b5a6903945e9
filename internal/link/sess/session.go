package sess

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
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
	conn       net.Conn // TLS if configured
	raw        net.Conn // closed instead of conn, because closing TLS may wait for the peer
	reader     *frame.Reader
	handler    Handler
	log        *zap.Logger
	peer       wire.Hello
	clock      clock
	control    *queue.Ring[[]byte] // encoded frames
	wake       chan struct{}       // signals the writer that there is something to write
	done       chan struct{}
	writerDone chan struct{} // closed when the writer goroutine has ended
	unanswered chan struct{} // see Unanswered
	delivering atomic.Bool   // the handler has a message, and the reader waits for it
	running    sync.WaitGroup

	mu            sync.Mutex
	ended         bool
	graceful      bool  // the writer still sends queued messages and the reason
	err           error // why the session ended
	pending       int   // bytes in control
	streams       map[uint64]*Stream
	urgent        []*Stream // streams with a window update or reset to send
	ready         []*Stream // streams with frames to send, served round-robin
	lastLocal     uint64    // highest stream number opened by this side
	lastPeer      uint64    // highest stream number opened by the peer
	localStreams  int
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
	frameSeen     bool // a frame has arrived since the last tick
	silentTicks   int  // consecutive ticks without a frame
	pongSeen      bool // a pong has arrived since the last tick
	pongless      int  // consecutive ticks without a pong, while the reader was not waiting for the handler
	writing       bool // the writer is blocked in Write or about to call it
	wrote         bool // a write has completed since the last tick
	stalledTicks  int  // consecutive ticks during the same write
	goodbyeReason string
}

// Dial connects to address and performs the handshake. With TLS and no ServerName, it verifies the host of address.
func Dial(ctx context.Context, address string, cfg Config, h Handler) (*Session, error) {
	d := net.Dialer{Timeout: HandshakeTimeout}
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
	hs, err := performHandshake(ctx, conn, cfg, dialing)
	if err != nil {
		raw.Close()
		logFailure(ctx, cfg.Log, raw, err)
		return nil, fmt.Errorf("session with %v: %w", raw.RemoteAddr(), err)
	}
	if c, ok := raw.(authenticatedConn); ok {
		c.Authenticated()
	}
	s := &Session{
		conn: conn, raw: raw, reader: hs.reader, handler: h, peer: hs.peerHello,
		log: cfg.Log.With(zap.String("Peer", hs.peerHello.Name), zap.Stringer("PeerRole", hs.peerHello.Role),
			zap.String("PeerZone", string(hs.peerHello.Zone)), zap.Stringer("Remote", raw.RemoteAddr())),
		control:    queue.NewRing[[]byte](controlFrames),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		writerDone: make(chan struct{}),
		unanswered: make(chan struct{}, 1),
		streams:    make(map[uint64]*Stream),
		pingDue:    true,
	}
	for _, v := range hs.samples {
		s.clock.add(v)
	}
	// Streams of the dialing side have odd numbers, those of the accepting side even ones; 0 is the session itself.
	if dialing {
		s.lastLocal = 1
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

// authenticatedConn is a connection that learns when its peer has authenticated; guard.Conn implements it.
type authenticatedConn interface {
	Authenticated()
}

func logFailure(ctx context.Context, log *zap.Logger, conn net.Conn, err error) {
	if ctx.Err() != nil {
		return // cancelled by the caller, so not a fault of the peer
	}
	n := event.HandshakeFailed
	if errors.Is(err, ErrVersion) {
		n = event.ProtocolRefused
	}
	event.Log(log, n, zap.Stringer("Remote", conn.RemoteAddr()), zap.Error(err))
}

// Peer returns the peer's hello.
func (s *Session) Peer() wire.Hello { return s.peer }

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.done }

// Unanswered returns a channel that receives a value once a second while the peer has not answered pings for two seconds or
// more. The connection may be silent for good, while the peer would answer on a new one.
func (s *Session) Unanswered() <-chan struct{} { return s.unanswered }

// Wait waits until the session's goroutines, including those of HandleStream, have ended.
func (s *Session) Wait() { s.running.Wait() }

// RoundTrip returns the smallest recent round-trip time.
func (s *Session) RoundTrip() time.Duration { return s.clock.estimate().rtt }

// LocalTime converts a time of the peer's wall clock (ns since 1970) to the local clock, less the error bound of the
// offset, so that a deadline is never extended.
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

// encode returns the encoded frame of a message.
func encode(stream uint64, m wire.Message) ([]byte, error) {
	payload, err := wire.Pack(m)
	if err != nil {
		return nil, err
	}
	return frame.Append(make([]byte, 0, len(payload)+frame.Overhead),
		frame.Frame{Kind: m.Kind(), Stream: stream, Payload: payload})
}

// Open opens a stream with a head message. If ctx ends before the stream does, the stream is reset. Open returns the
// error of ctx, ErrClosed, ErrBacklog when MaxStreams are open, or frame.ErrTooLarge.
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
	if s.localStreams >= MaxStreams {
		return nil, ErrBacklog
	}
	b, err := frame.Append(nil, frame.Frame{Kind: wire.KindOpen, Stream: s.lastLocal + 2, Payload: payload})
	if err != nil {
		return nil, err
	}
	s.lastLocal += 2
	s.localStreams++
	st := newStream(s, s.lastLocal, head, true)
	st.enqueue(b)
	return st, nil
}

// Close ends the session: streams are aborted, queued one-way messages are still written, then err is sent to the peer
// as the reason. A nil err stands for an ordinary end.
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
	time.AfterFunc(closeTimeout, func() { s.raw.Close() })
}

// fail ends the session without sending queued messages, after an error of the connection or a fault of the peer.
func (s *Session) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.end(err)
	s.raw.Close()
}

// end marks the session as ended and aborts its streams; s.mu is held.
func (s *Session) end(err error) {
	s.ended = true
	s.err = err
	s.ticker.Stop()
	for _, st := range s.streams {
		st.abort(ErrClosed)
	}
	s.streams, s.urgent, s.ready = nil, nil, nil
	close(s.done)
	s.notify()
}

// finish logs the end of the session and calls HandleClosed. It runs once, after reading and writing have ended.
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

// tick requests a ping and fails the session when no frame has arrived, or a write has not completed, for IdleTimeout.
// It counts ticks instead of comparing times, so that a pause of this process is not taken for a silent peer.
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
	s.silentTicks = consecutive(s.silentTicks, !s.frameSeen)
	s.stalledTicks = consecutive(s.stalledTicks, s.writing && !s.wrote)
	s.pongless = consecutive(s.pongless, !s.pongSeen && !s.delivering.Load())
	s.frameSeen, s.wrote, s.pongSeen = false, false, false
	if s.pongless >= unansweredTicks {
		select {
		case s.unanswered <- struct{}{}:
		default:
		}
	}
	idle := s.silentTicks >= idleTicks || s.stalledTicks >= idleTicks
	s.mu.Unlock()
	if idle {
		s.fail(ErrIdle)
	}
}

// consecutive returns n+1 if the condition holds and 0 otherwise.
func consecutive(n int, holds bool) int {
	if !holds {
		return 0
	}
	return n + 1
}
