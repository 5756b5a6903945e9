package sess

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Protocol is the version of the protocol between processes; peers with another one are refused.
const Protocol uint16 = 1

// Limits of a session.
const (
	// Window is how many bytes of a stream may be under way or unread in each direction. Each frame counts with its
	// payload and frameCost.
	Window = 256 << 10
	// MaxStreams is how many unfinished streams each side may have opened.
	MaxStreams = 1024
	// ShakeLimit is the time a peer has for its proof.
	ShakeLimit = 3 * time.Second
	// IdleLimit is the time without a frame after which a session is closed.
	IdleLimit = 5 * time.Second

	pingInterval   = time.Second
	idleTicks      = int(IdleLimit / pingInterval)
	closeLimit     = time.Second // for the last messages and the reason of a close
	controlFrames  = 512         // queued one-way messages
	controlBytes   = 1 << 20     // bytes of queued one-way messages
	batchBytes     = 64 << 10    // small frames are coalesced into writes of about this size
	batchControl   = 48 << 10    // leaves room for body frames when control messages are many
	dataChunk      = 16 << 10    // small enough that control messages wait for little
	minChunk       = 1 << 10     // a writer waits for credit rather than send many tiny frames
	streamQueue    = 64 << 10    // bytes of a stream that wait for the writer
	frameCost      = 64          // bounds the memory for tiny frames, which hold more than their payload
	creditStep     = Window / 4  // consumed bytes after which credit is returned
	maxReason      = 256         // bytes of a reason sent to the peer
	helloLimit     = 4 << 10     // largest frame before the peer is authenticated
	maxHandlers    = 2 * MaxStreams
	serveShakes    = 256 // concurrent handshakes of one listener
	nonceSize      = 32
	offsetSamples  = 16 // old samples are dropped because clocks drift
	endPayload     = 16 // body length and checksum
	windowPayload  = 4
	pingPayload    = 8
	pongPayload    = 24
	firstPingDelay = 100 * time.Millisecond
	firstPings     = 4 // pings at firstPingDelay, so that a good sample of the clock offset exists early
)

// Errors of sessions and streams.
var (
	ErrClosed     = errors.New("session is closed")
	ErrBacklog    = errors.New("queue of the session is full")
	ErrTruncated  = errors.New("stream ended before its verified end")
	ErrReset      = errors.New("stream was reset")
	ErrBody       = errors.New("body bytes come before the next message")
	ErrIdle       = errors.New("peer is silent")
	ErrPeerClosed = errors.New("peer closed the session")
	ErrViolation  = errors.New("peer violates the protocol")
	ErrProof      = errors.New("peer gave no valid proof")
	ErrVersion    = errors.New("peer speaks another protocol version")
	ErrEnded      = errors.New("stream is already closed for writing")
)

// Config describes this process to its peers.
type Config struct {
	Self wire.Hello  // the session fills Nonce and Wall, and Protocol when it is 0
	Key  []byte      // shared key of the handshake
	TLS  *tls.Config // nil for plain TCP
	Log  *zap.Logger
}

// Handler receives what arrives on a session.
type Handler interface {
	// HandleMessage gets messages in order of arrival, from the session's reader; it must not block.
	HandleMessage(s *Session, m wire.Message)
	// HandleStream runs in a goroutine for each stream that the peer opens. A stream not closed for writing when it
	// returns is reset.
	HandleStream(s *Session, st *Stream)
	// HandleClosed is called once, after the last HandleMessage; err is nil after Close(nil).
	HandleClosed(s *Session, err error)
}
