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
	HandlerPanicked
)

var sessionEvents = []Entry{
	{SessionOpened, zapcore.InfoLevel, "session opened", "The handshake with a peer succeeded.", "None."},
	{SessionClosed, zapcore.InfoLevel, "session closed", "This process or its peer ended the session on purpose.", "None."},
	{SessionLost, zapcore.WarnLevel, "session lost", "The connection failed, or no frame arrived or could be written for 5 s.", "None for a peer that stopped; otherwise check the peer and the network."},
	{SessionViolated, zapcore.ErrorLevel, "session closed after a protocol violation", "The peer sent a frame that is damaged, malformed, out of order or beyond a limit.", "Check the version of the peer and any proxies between it and this process."},
	{HandshakeFailed, zapcore.WarnLevel, "handshake failed", "A peer did not prove knowledge of the shared key within 3 s, or the TLS handshake failed.", "Check the shared key and the certificates of both sides, and who connects to this listener."},
	{ProtocolRefused, zapcore.ErrorLevel, "protocol version refused", "A peer speaks another version of the protocol between processes.", "Run the same version on both sides."},
	{EntryDead, zapcore.WarnLevel, "entry considered dead", "The row of an entry has not changed for 8 s.", "Check the entry and its connection to the store."},
	{EntryReplaced, zapcore.ErrorLevel, "entry replaced", "Another process with the name of this entry has started.", "Give each entry its own name, unless this is an old process that stalled."},
	{MembershipStale, zapcore.WarnLevel, "membership not updated", "This entry could not write its own row or read those of the others; it declares no entry dead meanwhile.", "Check the store."},
	{DialFailed, zapcore.WarnLevel, "entry not reachable", "A session could not be opened; the dial is retried with backoff.", "Check the address, the entry and the network if this persists."},
	{HandlerPanicked, zapcore.ErrorLevel, "message handler panicked", "A message caused a programming error; its session is closed and the process goes on.", "Report the stack, with the version of both sides."},
}
