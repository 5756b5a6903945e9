package event

import "go.uber.org/zap/zapcore"

// Events of serving.
const (
	ServingStarted Number = 301
)

var servingEvents = []Entry{
	{ServingStarted, zapcore.InfoLevel, "callers' listener opened", "The entry accepts requests.", "None."},
}
