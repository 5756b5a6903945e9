package event

import "go.uber.org/zap/zapcore"

// Events of operations.
const (
	AdminRefused      Number = 601
	MetricRefused     Number = 602
	WorkerDrainAsked  Number = 603
	JobCancelAsked    Number = 604
	AdminFailed       Number = 605
	ConsoleSignedIn   Number = 606
	ConsoleSignFailed Number = 607
)

var operationEvents = []Entry{
	{AdminRefused, zapcore.InfoLevel, "administration request refused", "A request without a valid token reached the administration listener.", "Check who sends requests to this listener."},
	{MetricRefused, zapcore.ErrorLevel, "metric refused", "A metric clashes with another one of the same name.", "Report it; the metric is not exposed."},
	{WorkerDrainAsked, zapcore.InfoLevel, "drain of a worker asked for", "An operator asked for a worker to take no new work.", "None; the audit log names the author."},
	{JobCancelAsked, zapcore.InfoLevel, "cancellation of a job asked for", "An operator asked for a job to be cancelled.", "None; the audit log names the author."},
	{AdminFailed, zapcore.WarnLevel, "administration request failed", "A request with a valid token failed for a reason in the system.", "See the error; check the store."},
	{ConsoleSignedIn, zapcore.InfoLevel, "operator signed in", "An operator signed in to the console.", "None."},
	{ConsoleSignFailed, zapcore.WarnLevel, "sign-in refused", "A sign-in to the console had no valid token.", "Check who uses the console's listener."},
}
