package event

import "go.uber.org/zap/zapcore"

// Events of processes.
const (
	ProcessStarted Number = 101
	ProcessStopped Number = 102
)

var processEvents = []Entry{
	{ProcessStarted, zapcore.InfoLevel, "process started", "A role has read its settings and begins to work.", "None."},
	{ProcessStopped, zapcore.InfoLevel, "process stops", "A role was told to end and finishes what is in progress.", "None."},
}
