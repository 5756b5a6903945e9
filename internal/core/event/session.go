package event

import "go.uber.org/zap/zapcore"

// Events of sessions between processes.
const (
	SessionOpened Number = 201 + iota
	SessionClosed
	SessionLost
	SessionViolated
	HandshakeFailed
	ProtocolRefused
)

var sessionEvents = []Entry{
	{SessionOpened, zapcore.InfoLevel, "session opened", "A peer passed the handshake.", "None."},
	{SessionClosed, zapcore.InfoLevel, "session closed", "This process or its peer ended the session on purpose.", "None."},
	{SessionLost, zapcore.WarnLevel, "session lost", "The connection failed, or no frame arrived or could be written for 5 s.", "None for a peer that stopped; otherwise check the peer and the network."},
	{SessionViolated, zapcore.ErrorLevel, "session closed after a protocol violation", "The peer sent a frame that is damaged, malformed, out of order or beyond a limit.", "Check the version of the peer and what stands between it and this process."},
	{HandshakeFailed, zapcore.WarnLevel, "handshake failed", "A peer gave no valid proof within 3 s, or TLS failed.", "Check the shared key and the certificates of both sides, and who connects to this listener."},
	{ProtocolRefused, zapcore.ErrorLevel, "protocol version refused", "A peer speaks another version of the protocol between processes.", "Run the same version on both sides."},
}
