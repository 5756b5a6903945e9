package event

import "go.uber.org/zap/zapcore"

// Events of workers and targets.
const (
	TargetAnnounced Number = 701
)

var workerEvents = []Entry{
	{TargetAnnounced, zapcore.InfoLevel, "target announced", "A target announced itself to this agent.", "None."},
}
