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
)

var workerEvents = []Entry{
	{TargetAnnounced, zapcore.InfoLevel, "target announced", "A target announced itself to this agent.", "None."},
	{AnnounceFailed, zapcore.WarnLevel, "announcement failed", "The target could not announce itself to its agent and gets no new work.", "Check the agent beside the target and its address in the target's settings."},
	{AnnounceWorks, zapcore.InfoLevel, "announcement accepted", "The agent accepted the target's announcement, the first one or the first after a failure.", "None."},
	{TargetLeaving, zapcore.InfoLevel, "target leaving", "The target announces Leaving and finishes the requests it has.", "None."},
	{StandInStarted, zapcore.InfoLevel, "stand-in started", "A stand-in for a platform service listens.", "None; stand-ins serve tests and demonstrations only."},
	{StandInStopped, zapcore.InfoLevel, "stand-in stopped", "A stand-in has closed its listener.", "None."},
}
