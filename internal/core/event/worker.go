package event

import "go.uber.org/zap/zapcore"

// Events of workers and targets.
const (
	TargetAnnounced          Number = 701
	AnnounceFailed           Number = 702
	AnnounceAccepted         Number = 703
	TargetLeaving            Number = 704
	StandInStarted           Number = 705
	StandInStopped           Number = 706
	TaskThrottled            Number = 707
	TaskRestored             Number = 708
	TaskThrottledForBaseline Number = 709
	TaskEvictedForService    Number = 710
)

var workerEvents = []Entry{
	{TargetAnnounced, zapcore.InfoLevel, "target announced", "A target announced itself to this agent.", "None."},
	{AnnounceFailed, zapcore.WarnLevel, "announcement failed", "The target could not announce itself to its agent and receives no new work.", "Check the agent of the target and its address in the target's settings."},
	{AnnounceAccepted, zapcore.InfoLevel, "announcement accepted", "The agent accepted the target's announcement, the first one or the first after a failure.", "None."},
	{TargetLeaving, zapcore.InfoLevel, "target leaving", "The target has announced Leaving and finishes its open requests.", "None."},
	{StandInStarted, zapcore.InfoLevel, "stand-in started", "A stand-in for a platform service has opened its listener.", "None; stand-ins serve tests and demonstrations only."},
	{StandInStopped, zapcore.InfoLevel, "stand-in stopped", "A stand-in has closed its listener.", "None."},
	{TaskThrottled, zapcore.InfoLevel, "task throttled for a service", "The tail latency of a service exceeded its bound, or was predicted to, and this task's class interferes most with it.", "None; if this persists, place the class and the service on different workers."},
	{TaskRestored, zapcore.InfoLevel, "processor limit of a task raised", "The services on the worker of the task tolerate more interference.", "None."},
	{TaskThrottledForBaseline, zapcore.InfoLevel, "task throttled for a measurement", "The tail latency of a service without interference is unknown at its current load; batch tasks are throttled for some seconds to measure it.", "None."},
	{TaskEvictedForService, zapcore.WarnLevel, "task evicted for a service", "Throttling this task's class was not enough, or left it without progress; the task resumes elsewhere from its checkpoint.", "If this persists, place the class and the service on different workers."},
}
