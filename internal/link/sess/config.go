package sess

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Protocol is the version of the protocol between processes; peers with another version are refused.
const Protocol uint16 = 1

// Limits of a session.
const (
	// Window is the flow-control window of a stream in bytes: what may be in flight or unread in each direction. Each
	// frame counts with its payload and frameCost.
	Window = 256 << 10
	// MaxStreams is the largest number of unfinished streams opened by each side.
	MaxStreams = 1024
	// HandshakeTimeout is the longest duration of a handshake.
	HandshakeTimeout = 3 * time.Second
	// IdleTimeout is the time without a frame, or without progress of a write, after which a session is closed.
	IdleTimeout = 5 * time.Second

	pingInterval        = time.Second
	idleTicks           = int(IdleTimeout / pingInterval)
	unansweredTicks     = 2              // ticks without a pong after which Unanswered reports the peer
	closeTimeout        = time.Second    // to send the last messages and the reason, and for the peer to close
	controlFrames       = 512            // queued one-way messages
	controlBytes        = 1 << 20        // bytes of queued one-way messages
	batchBytes          = 64 << 10       // small frames are coalesced into writes of about this size
	controlBatchBytes   = 48 << 10       // leaves space for body frames when there are many control messages
	maxChunkBytes       = 16 << 10       // small, so that control messages wait for little data
	minChunkBytes       = 1 << 10        // a writer waits for this much credit instead of sending many tiny frames
	streamQueueBytes    = 64 << 10       // bytes of a stream queued for the writer
	frameCost           = 64             // bounds the memory for tiny frames, which use more than their payload
	creditStep          = Window / 4     // consumed bytes after which credit is returned
	maxReasonBytes      = 256            // longest reason sent to the peer
	maxHandshakePayload = 4 << 10        // bytes of a frame, until the peer is authenticated
	maxHandlers         = 2 * MaxStreams // a handler can outlive its stream
	maxHandshakes       = 256            // concurrent, per listener
	nonceSize           = 32
	offsetSamples       = 16 // latest samples used; older ones are dropped because clocks drift
	endPayload          = 16 // body length and checksum
	windowPayload       = 4
	pingPayload         = 8
	pongPayload         = 24
	firstPingDelay      = 100 * time.Millisecond
	firstPings          = 4 // pings at firstPingDelay, so that a good sample of the clock offset exists early
)

// Errors of sessions and streams.
var (
	ErrClosed      = errors.New("session is closed")
	ErrBacklog     = errors.New("queue of the session is full")
	ErrTruncated   = errors.New("stream ended before its verified end")
	ErrReset       = errors.New("stream was reset")
	ErrBody        = errors.New("body bytes come before the next message")
	ErrIdle        = errors.New("peer is silent")
	ErrPeerClosed  = errors.New("peer closed the session")
	ErrViolation   = errors.New("peer violates the protocol")
	ErrProof       = errors.New("peer gave no valid proof")
	ErrVersion     = errors.New("peer speaks another protocol version")
	ErrWriteClosed = errors.New("stream is already closed for writing")
)

// Config holds the settings of the sessions of this process.
type Config struct {
	Self wire.Hello  // the session fills Nonce and Wall, and Protocol when it is 0
	Key  []byte      // shared key of the handshake
	TLS  *tls.Config // nil for plain TCP
	Log  *zap.Logger
}

// Handler receives the messages, streams and end of a session.
type Handler interface {
	// HandleMessage is called for each one-way message in order of arrival, in the reader goroutine; it must not block.
	HandleMessage(s *Session, m wire.Message)
	// HandleStream is called in a goroutine of its own for each stream that the peer opens. A stream that is not closed
	// for writing when it returns is reset.
	HandleStream(s *Session, st *Stream)
	// HandleClosed is called once, after the last HandleMessage, with the cause; err is nil after Close(nil).
	HandleClosed(s *Session, err error)
}
