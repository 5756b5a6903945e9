package event

import "go.uber.org/zap/zapcore"

// Events of processes.
const (
	ProcessStarted Number = 101
	ProcessStopped Number = 102
)

var processEvents = []Entry{
	{ProcessStarted, zapcore.InfoLevel, "process started", "The process has read its settings and starts its role.", "None."},
	{ProcessStopped, zapcore.InfoLevel, "process stopping", "The process was requested to stop and finishes the work in progress.", "None."},
}
