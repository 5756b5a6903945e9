package event

import "go.uber.org/zap/zapcore"

// Events of workers and targets.
const (
	TargetAnnounced Number = 701
	AnnounceFailed  Number = 702
	AnnounceWorks   Number = 703
	TargetLeaving   Number = 704
	StandInStarted  Number = 705
	StandInStopped  Number = 706
	TaskThrottled   Number = 707
	TaskRestored    Number = 708
	TaskHeldBack    Number = 709
	TaskMadeWay     Number = 710
)

var workerEvents = []Entry{
	{TargetAnnounced, zapcore.InfoLevel, "target announced", "A target announced itself to this agent.", "None."},
	{AnnounceFailed, zapcore.WarnLevel, "announcement failed", "The target could not announce itself to its agent and gets no new work.", "Check the agent beside the target and its address in the target's settings."},
	{AnnounceWorks, zapcore.InfoLevel, "announcement accepted", "The agent accepted the target's announcement, the first one or the first after a failure.", "None."},
	{TargetLeaving, zapcore.InfoLevel, "target leaving", "The target announces Leaving and finishes the requests it has.", "None."},
	{StandInStarted, zapcore.InfoLevel, "stand-in started", "A stand-in for a platform service listens.", "None; stand-ins serve tests and demonstrations only."},
	{StandInStopped, zapcore.InfoLevel, "stand-in stopped", "A stand-in has closed its listener.", "None."},
	{TaskThrottled, zapcore.InfoLevel, "task throttled for a service", "The tail of a service was above its bound, or was expected to be, and this task's class has the largest effect.", "None; if it repeats, keep the class and the service apart."},
	{TaskRestored, zapcore.InfoLevel, "task got processors back", "The services beside the task are calm.", "None."},
	{TaskHeldBack, zapcore.InfoLevel, "task held back for a measurement", "The quiet tail of a service is not known at its present load; batch waits some seconds to learn it.", "None."},
	{TaskMadeWay, zapcore.WarnLevel, "task evicted for a service", "Throttling this task's class was not enough, or left it without progress; it continues elsewhere from its checkpoint.", "If it repeats, keep the class and the service apart."},
}
