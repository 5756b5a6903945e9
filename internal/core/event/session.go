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
	EntryDead
	EntryReplaced
	MembershipStale
	DialFailed
)

var sessionEvents = []Entry{
	{SessionOpened, zapcore.InfoLevel, "session opened", "A peer passed the handshake.", "None."},
	{SessionClosed, zapcore.InfoLevel, "session closed", "This process or its peer ended the session on purpose.", "None."},
	{SessionLost, zapcore.WarnLevel, "session lost", "The connection failed, or no frame arrived or could be written for 5 s.", "None for a peer that stopped; otherwise check the peer and the network."},
	{SessionViolated, zapcore.ErrorLevel, "session closed after a protocol violation", "The peer sent a frame that is damaged, malformed, out of order or beyond a limit.", "Check the version of the peer and what stands between it and this process."},
	{HandshakeFailed, zapcore.WarnLevel, "handshake failed", "A peer gave no valid proof within 3 s, or TLS failed.", "Check the shared key and the certificates of both sides, and who connects to this listener."},
	{ProtocolRefused, zapcore.ErrorLevel, "protocol version refused", "A peer speaks another version of the protocol between processes.", "Run the same version on both sides."},
	{EntryDead, zapcore.WarnLevel, "entry considered dead", "The row of an entry has not changed for 8 s.", "Check the entry and its connection to the store."},
	{EntryReplaced, zapcore.ErrorLevel, "entry replaced", "Another process with the name of this entry has started.", "Give each entry its own name, unless this is an old process that was stuck."},
	{MembershipStale, zapcore.WarnLevel, "membership not updated", "A write of the own row or a read of the others failed; nobody is declared dead meanwhile.", "Check the store."},
	{DialFailed, zapcore.WarnLevel, "entry not reached", "A session could not be opened; the dial is repeated with backoff.", "Check the address, the entry and the network if it lasts."},
}
