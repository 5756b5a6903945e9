package event

import "go.uber.org/zap/zapcore"

// Events of processes.
const (
	ProcessStarted Number = 101
)

var processEvents = []Entry{
	{ProcessStarted, zapcore.InfoLevel, "process started", "A role has read its settings and begins to work.", "None."},
}
