package event

import "go.uber.org/zap/zapcore"

// Events of jobs of steps.
const (
	WorkerAnnounced   Number = 901
	WorkerSilent      Number = 902
	WorkerEnded       Number = 903
	LeaderAdopted     Number = 904
	LeaderRefused     Number = 905
	LeaderUnreachable Number = 906
	StartUnanswered   Number = 907
	StartRefused      Number = 908
	StopFailed        Number = 909
	RunPaced          Number = 910
	PaceFailed        Number = 911
	LeaderElected     Number = 912
	LeaderDeposed     Number = 913
	LeaderResigned    Number = 914
	TakeoverFailed    Number = 915
	CommitFailed      Number = 916
	RunOrdered        Number = 917
	RunEnded          Number = 918
	RunReleased       Number = 919
	RunStopped        Number = 920
	JobEnded          Number = 921
	JobTaken          Number = 922
	JobRefused        Number = 923
	JobCancelled      Number = 924
	AgentOpened       Number = 925
	AgentClosed       Number = 926
	AgentRegistered   Number = 927
	RegisterFailed    Number = 928
	RowUnreadable     Number = 929
	QueuesApplied     Number = 930
	QueuesRefused     Number = 931
	AdviceGiven       Number = 932
	AdviceFailed      Number = 933
	InputRefused      Number = 934
	WorkerDistrusted  Number = 935
	SettingsReloaded  Number = 939
	RunMoved          Number = 940
)

var jobEvents = []Entry{
	{WorkerAnnounced, zapcore.InfoLevel, "worker announced", "The worker beside this agent began a life or changed its phase.", "None."},
	{WorkerSilent, zapcore.InfoLevel, "worker does not answer", "A look at the worker got no answer; its runs go on under their lease.", "Check the worker if it lasts."},
	{WorkerEnded, zapcore.InfoLevel, "worker has ended", "The process of the worker has ended or restarted; nothing of that life runs any more.", "None."},
	{LeaderAdopted, zapcore.InfoLevel, "agent follows a leader", "The leader has the highest token that the agent has seen.", "None."},
	{LeaderRefused, zapcore.InfoLevel, "agent refuses a leader", "A leader with a lower token than the one followed has connected.", "None."},
	{LeaderUnreachable, zapcore.InfoLevel, "leader unreachable", "A message to the leader could not be queued; the leader connects again.", "None."},
	{StartUnanswered, zapcore.InfoLevel, "start without answer", "The worker did not answer a start; it is repeated, and closed by a stop in the end.", "Check the worker if it lasts."},
	{StartRefused, zapcore.InfoLevel, "start refused", "The worker refused a start and did not carry it out.", "None."},
	{StopFailed, zapcore.InfoLevel, "stop failed", "The worker did not take a stop; it is repeated unless the order no longer counts.", "Check the worker if it lasts."},
	{RunPaced, zapcore.InfoLevel, "run paced", "The share of a task that fills was changed for the serving tasks beside it.", "None."},
	{PaceFailed, zapcore.InfoLevel, "pace failed", "The worker did not take a pace; it is ordered again.", "None."},
	{LeaderElected, zapcore.InfoLevel, "cell taken over", "This entry leads the cell under a new epoch.", "None; frequent events mean that entries restart or lose the store."},
	{LeaderDeposed, zapcore.InfoLevel, "cell lost", "Another entry leads the cell.", "None; frequent events mean that entries are paused or cut off from the store."},
	{LeaderResigned, zapcore.InfoLevel, "cell handed over", "This entry has stopped and left the cell to another entry.", "None."},
	{TakeoverFailed, zapcore.InfoLevel, "takeover failed", "The head row was not written or the rows of the cell could not be read; it is tried again.", "Check the store if it lasts."},
	{CommitFailed, zapcore.InfoLevel, "commit without confirmation", "The store did not confirm a write of the leader; the same write is repeated.", "Check the store if it lasts."},
	{RunOrdered, zapcore.InfoLevel, "run ordered", "The leader chose a worker for a task.", "None."},
	{RunEnded, zapcore.InfoLevel, "run ended", "A worker listed the end of a run.", "None."},
	{RunReleased, zapcore.InfoLevel, "run released", "A run cannot exist any more although its end was not listed.", "None."},
	{RunStopped, zapcore.InfoLevel, "run stopped by order", "The leader ordered the stop of a run.", "None."},
	{JobEnded, zapcore.InfoLevel, "job ended", "The job reached its final state.", "None."},
	{JobTaken, zapcore.InfoLevel, "job accepted", "The job is stored.", "None."},
	{JobRefused, zapcore.InfoLevel, "job not accepted", "The job was not stored, or it is not known whether it was.", "Check the store if it lasts."},
	{JobCancelled, zapcore.InfoLevel, "job cancelled", "The cancellation is stored.", "None."},
	{AgentOpened, zapcore.InfoLevel, "agent connected", "The leader has a session with an agent.", "None."},
	{AgentClosed, zapcore.InfoLevel, "agent disconnected", "The leader has lost the session with an agent; it connects again.", "Check the instance if it lasts."},
	{AgentRegistered, zapcore.InfoLevel, "agent registered", "The agent's address is stored.", "None."},
	{RegisterFailed, zapcore.InfoLevel, "agent not registered", "The agent's address could not be stored; it is tried again.", "Check the store if it lasts."},
	{RowUnreadable, zapcore.ErrorLevel, "row unreadable", "A stored row could not be decoded and is left out.", "Report the fault with the log."},
	{QueuesApplied, zapcore.InfoLevel, "queues in force", "A newer configuration of queues is in force in this process.", "None."},
	{QueuesRefused, zapcore.WarnLevel, "queues refused", "A configuration of queues could not be applied; the one before it stays in force.", "Correct the configuration."},
	{AdviceGiven, zapcore.InfoLevel, "workers of a step advised", "The policy service named the workers that may run a step.", "None."},
	{AdviceFailed, zapcore.InfoLevel, "advice failed", "The policy service did not answer; it is asked again.", "Check the policy service if it lasts."},
	{InputRefused, zapcore.InfoLevel, "input refused", "A message from outside is malformed and changed nothing.", "Check its sender."},
	{WorkerDistrusted, zapcore.InfoLevel, "worker distrusted", "Runs fail or stand still on the worker; it gets only probes for a while.", "Check the worker."},
	{SettingsReloaded, zapcore.InfoLevel, "settings read again", "The settings file was read again; what needs a restart is left as it was.", "None."},
	{RunMoved, zapcore.InfoLevel, "run moves", "A run is stopped because its task would end sooner on another worker.", "None."},
}
