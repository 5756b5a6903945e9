package event

import "go.uber.org/zap/zapcore"

// Events of sessions between processes.
const (
	SessionOpened Number = 201
)

var sessionEvents = []Entry{
	{SessionOpened, zapcore.InfoLevel, "session opened", "A peer passed the handshake.", "None."},
}
