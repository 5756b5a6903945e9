package event

import "go.uber.org/zap/zapcore"

// Events of serving.
const (
	ServingStarted       Number = 301
	ClaimNotRecorded     Number = 302
	ClaimNotReleased     Number = 303
	ResponseAborted      Number = 304
	TargetFailed         Number = 305
	DrainAbortedRequests Number = 306
	RequestHeadMalformed Number = 307
)

var servingEvents = []Entry{
	{ServingStarted, zapcore.InfoLevel, "callers' listener opened", "The entry accepts requests.", "None."},
	{ClaimNotRecorded, zapcore.WarnLevel, "response of a claimed key not recorded",
		"The request was executed, but the store did not confirm the record. Repeated requests with the key get Unknown.",
		"Check the store."},
	{ClaimNotReleased, zapcore.WarnLevel, "claim of a key not released",
		"The request was not executed, but its claim remains. Repeated requests with the key are refused until it expires.",
		"Check the store."},
	{ResponseAborted, zapcore.WarnLevel, "response aborted",
		"A response failed after its status line was sent; the caller's connection was aborted.",
		"Check the target and its agent."},
	{TargetFailed, zapcore.WarnLevel, "target failed a request",
		"The connection to a target failed after the request was forwarded; its outcome is Unknown.",
		"Check the target."},
	{DrainAbortedRequests, zapcore.WarnLevel, "requests aborted at the drain deadline",
		"Requests or streams were still open when the configured grace period ended.",
		"Increase the grace period if this affects requests other than endless streams."},
	{RequestHeadMalformed, zapcore.WarnLevel, "malformed request from an entry",
		"A stream did not begin with a valid request head.", "Check the versions of both processes."},
}
