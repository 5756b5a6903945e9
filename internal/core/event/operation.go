package event

import "go.uber.org/zap/zapcore"

// Events of operations.
const (
	AdminRefused         Number = 601
	MetricRefused        Number = 602
	WorkerDrainRequested Number = 603
	JobCancelRequested   Number = 604
	AdminFailed          Number = 605
	ConsoleSignedIn      Number = 606
	ConsoleSignInFailed  Number = 607
)

var operationEvents = []Entry{
	{AdminRefused, zapcore.InfoLevel, "administration request refused", "A request without a valid token reached the administration listener.", "Check who sends requests to this listener."},
	{MetricRefused, zapcore.ErrorLevel, "metric refused", "A metric conflicts with another one of the same name.", "Report the bug; the metric is not exposed."},
	{WorkerDrainRequested, zapcore.InfoLevel, "drain of a worker requested", "An operator requested that a worker receive no new work.", "None; the audit log names the author."},
	{JobCancelRequested, zapcore.InfoLevel, "cancellation of a job requested", "An operator requested the cancellation of a job.", "None; the audit log names the author."},
	{AdminFailed, zapcore.WarnLevel, "administration request failed", "A request with a valid token failed because of an internal error.", "Check the error in the log line and the store."},
	{ConsoleSignedIn, zapcore.InfoLevel, "operator signed in", "An operator signed in to the console.", "None."},
	{ConsoleSignInFailed, zapcore.WarnLevel, "sign-in refused", "A sign-in to the console had no valid token.", "Check who uses the console's listener."},
}
