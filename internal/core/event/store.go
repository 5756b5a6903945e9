package event

import "go.uber.org/zap/zapcore"

// Events of the store.
const (
	StoreUnavailable Number = 801
	StoreAvailable   Number = 802
)

var storeEvents = []Entry{
	{StoreUnavailable, zapcore.InfoLevel, "store unavailable", "A store request failed or timed out.", "Check the store; serving continues, and starts of batch tasks wait."},
	{StoreAvailable, zapcore.InfoLevel, "store available", "A store request succeeded after a failure.", "None."},
}
