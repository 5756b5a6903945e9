package event

import "go.uber.org/zap/zapcore"

// Events of operations.
const (
	AdminRefused Number = 601
)

var operationEvents = []Entry{
	{AdminRefused, zapcore.InfoLevel, "administration request refused", "A request without a valid token reached the administration listener.", "Check who sends requests to this listener."},
}
