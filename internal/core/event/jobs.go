package event

import "go.uber.org/zap/zapcore"

// Events of jobs of steps.
const (
	WorkerAnnounced     Number = 901
	WorkerUnresponsive  Number = 902
	WorkerEnded         Number = 903
	LeaderAdopted       Number = 904
	LeaderRefused       Number = 905
	LeaderUnreachable   Number = 906
	StartUnanswered     Number = 907
	StartRefused        Number = 908
	StopFailed          Number = 909
	RunPaced            Number = 910
	PaceFailed          Number = 911
	LeaderElected       Number = 912
	LeaderDeposed       Number = 913
	LeaderResigned      Number = 914
	TakeoverFailed      Number = 915
	CommitFailed        Number = 916
	RunOrdered          Number = 917
	RunEnded            Number = 918
	RunReleased         Number = 919
	RunStopped          Number = 920
	JobEnded            Number = 921
	JobAccepted         Number = 922
	JobRefused          Number = 923
	JobCancelled        Number = 924
	AgentOpened         Number = 925
	AgentClosed         Number = 926
	AgentRegistered     Number = 927
	RegisterFailed      Number = 928
	RowUnreadable       Number = 929
	QueuesApplied       Number = 930
	QueuesRefused       Number = 931
	AdviceGiven         Number = 932
	AdviceFailed        Number = 933
	InputRefused        Number = 934
	WorkerUnreliable    Number = 935
	SettingsChecked     Number = 939
	RunMoved            Number = 940
	LeaderPanicked      Number = 941
	QueuesRead          Number = 942
	QueuesReadFailed    Number = 943
	QueuesOutdated      Number = 944
	ReleasedRunFound    Number = 945
	StartPending        Number = 946
	AnnouncementRefused Number = 947
	SessionReplaced     Number = 948
	WorkerRestarted     Number = 949
	ZoneEvacuated       Number = 950
	ZoneUnknown         Number = 951
	EvacuationsNotRead  Number = 952
	ForecastUnreadable  Number = 955
	JobTurnedAway       Number = 956
	JobMovedUp          Number = 957
	ClientLimits        Number = 960
	ClientsExceeded     Number = 961
	ClientBytesExceeded Number = 962
	ClientStalled       Number = 963
	ClientInputExceeded Number = 964
	WorkerWithheld      Number = 965
	TurnSlow            Number = 966
)

var jobEvents = []Entry{
	{WorkerAnnounced, zapcore.InfoLevel, "worker announced", "The worker of this agent started or changed its phase.", "None."},
	{WorkerUnresponsive, zapcore.InfoLevel, "worker does not respond", "Status requests to the worker got no response or that of a restarted process; its runs continue under their lease.", "Check the worker if this persists."},
	{WorkerEnded, zapcore.InfoLevel, "worker has ended", "The worker process has exited, or another one with another ID has responded; none of its previous runs exists any more.", "None."},
	{LeaderAdopted, zapcore.InfoLevel, "agent follows a leader", "The leader has the highest fencing token that the agent has seen.", "None."},
	{LeaderRefused, zapcore.InfoLevel, "agent refuses a leader", "A leader has connected with a lower fencing token than that of the current leader.", "None."},
	{LeaderUnreachable, zapcore.InfoLevel, "leader unreachable", "A message to the leader could not be queued; the session is closed and the leader reconnects.", "None."},
	{StartUnanswered, zapcore.InfoLevel, "no response to a start", "The worker did not respond to a start command; it is retried, and the run is stopped after the last attempt.", "Check the worker if this persists."},
	{StartRefused, zapcore.InfoLevel, "start refused", "The worker refused an attempt to start a run. Unanswered is the number of earlier attempts without a response: if it is not 0, one of them may still be executed, and the run is stopped.", "None."},
	{StopFailed, zapcore.InfoLevel, "stop failed", "The worker did not confirm a stop command; it is retried until the worker confirms it or lists the end of the run, or the command is obsolete.", "Check the worker if this persists."},
	{RunPaced, zapcore.InfoLevel, "pace of a run changed", "The share of a best-effort task was adjusted to limit its interference with serving tasks on the worker.", "None."},
	{PaceFailed, zapcore.InfoLevel, "pace command failed", "The worker did not confirm a pace command; it is sent again.", "None."},
	{LeaderElected, zapcore.InfoLevel, "cell taken over", "This entry leads the cell under a new epoch.", "None; if it is frequent, entries restart or lose their connection to the store."},
	{LeaderDeposed, zapcore.InfoLevel, "cell leadership lost", "Another entry leads the cell.", "None; if it is frequent, entries are paused or disconnected from the store."},
	{LeaderResigned, zapcore.InfoLevel, "cell handed over", "This entry has stopped leading the cell and released it to another entry.", "None."},
	{TakeoverFailed, zapcore.InfoLevel, "takeover failed", "The head row was not written or the rows of the cell could not be read; the takeover is retried.", "Check the store if this persists."},
	{CommitFailed, zapcore.InfoLevel, "commit without confirmation", "The store did not confirm a write of the leader; the same write is retried.", "Check the store if this persists."},
	{RunOrdered, zapcore.InfoLevel, "run ordered", "The leader assigned a task to a worker.", "None."},
	{RunEnded, zapcore.InfoLevel, "run ended", "A worker reported the end of a run.", "None."},
	{RunReleased, zapcore.InfoLevel, "run released", "A run can no longer exist, although its worker did not report its end.", "None."},
	{RunStopped, zapcore.InfoLevel, "run stop ordered", "The leader commanded a worker to stop a run.", "None."},
	{JobEnded, zapcore.InfoLevel, "job ended", "The job reached a final state.", "None."},
	{JobAccepted, zapcore.InfoLevel, "job accepted", "The job is stored.", "None."},
	{JobRefused, zapcore.InfoLevel, "job not accepted", "The job was not stored, or the outcome of storing it is unknown.", "Check the store if this persists."},
	{JobCancelled, zapcore.InfoLevel, "job cancelled", "The cancellation is stored.", "None."},
	{AgentOpened, zapcore.InfoLevel, "agent connected", "The leader has opened a session to an agent.", "None."},
	{AgentClosed, zapcore.InfoLevel, "agent disconnected", "The leader has lost its session to an agent; it reconnects.", "Check the instance if this persists."},
	{AgentRegistered, zapcore.InfoLevel, "agent registered", "The agent's address is stored.", "None."},
	{RegisterFailed, zapcore.InfoLevel, "agent not registered", "The agent's address could not be stored; registration is retried.", "Check the store if this persists."},
	{RowUnreadable, zapcore.ErrorLevel, "row unreadable", "A stored row could not be decoded and is ignored.", "Report the bug with the log."},
	{QueuesApplied, zapcore.InfoLevel, "configuration of queues in force", "This process applies a newer configuration of queues.", "None."},
	{QueuesRefused, zapcore.WarnLevel, "configuration of queues refused", "A configuration of queues could not be applied; the previous one stays in force.", "Correct the configuration."},
	{AdviceGiven, zapcore.InfoLevel, "advice for a step received", "The policy service returned the workers that may run a step.", "None."},
	{AdviceFailed, zapcore.InfoLevel, "advice request failed", "The policy service returned no advice; the request is retried.", "Check the policy service if this persists."},
	{InputRefused, zapcore.InfoLevel, "input refused", "A message from outside the process was malformed and had no effect.", "Check its sender."},
	{WorkerUnreliable, zapcore.InfoLevel, "worker considered unreliable", "Runs fail or stall on the worker; it is assigned only probes for some time.", "Check the worker."},
	{SettingsChecked, zapcore.InfoLevel, "settings file reloaded", "The settings file was read again; settings that require a restart are unchanged.", "None."},
	{RunMoved, zapcore.InfoLevel, "run moved or copied", "A run is stopped, or a copy of it is started, because its task would end sooner on another worker.", "None."},
	{LeaderPanicked, zapcore.ErrorLevel, "leader panicked", "An event caused a programming error; the term ends, and a new one begins from the rows of the store.", "Report the stack."},
	{QueuesRead, zapcore.InfoLevel, "configuration of queues read", "A response of the store included a version of the configuration that this process has not read before.", "None."},
	{QueuesReadFailed, zapcore.InfoLevel, "configuration of queues not read", "The store did not return the configuration or its changes; the request is repeated and the current version stays in force.", "Check the store and the link to it if this persists."},
	{QueuesOutdated, zapcore.InfoLevel, "outdated configuration of queues ignored", "The store returned an older configuration than the one in force.", "Check the store if this persists."},
	{ReleasedRunFound, zapcore.WarnLevel, "released run found on a worker", "A worker has a run that the leader had released; another run of its task may have run at the same time, and the worker may have exceeded its capacity.", "Report it with the log; Reason is why the run had been released."},
	{StartPending, zapcore.InfoLevel, "start pending", "The outcome of a start is still unknown after some seconds; its task and its capacity are held until it is known.", "Check the worker if this persists."},
	{AnnouncementRefused, zapcore.InfoLevel, "announcement refused", "An announced incarnation of the worker is not the one that responds at the worker's address; it had no effect.", "Find its sender if this persists."},
	{SessionReplaced, zapcore.InfoLevel, "silent session replaced", "The agent did not answer on the open session, but on a new one; the leader uses the new one.", "Check the network, and any proxies that drop idle connections, if this persists."},
	{WorkerRestarted, zapcore.InfoLevel, "worker restarted under its ID", "Calls to the former process may have extended the lease of the new one; if the worker is lost, its tasks wait for the longest lease that it accepts.", "Check the worker if this persists."},
	{ZoneEvacuated, zapcore.InfoLevel, "zone evacuated or evacuation withdrawn", "The leader has read that the operator evacuated the zone, and starts nothing there, or that the evacuation is withdrawn; Evacuated tells which. Each new leader logs the evacuated zones.", "None."},
	{ZoneUnknown, zapcore.WarnLevel, "evacuated zone has no workers", "No worker is in the zone of an evacuation, which stays in effect for workers that are added.", "Check the name of the zone in the row."},
	{EvacuationsNotRead, zapcore.WarnLevel, "evacuations not read", "The leader could not read the evacuated zones; the read is repeated. The last known ones stay in effect, and no run is started anywhere once the last read is older than the bound less one second.", "Check the store if this persists."},
	{ForecastUnreadable, zapcore.WarnLevel, "forecast unreadable", "A forecast of the leader could not be decoded, or a field of it was out of range; this entry accepts all jobs until it receives one that it can read.", "Compare the versions of the entries; report the bug with the log if they are the same."},
	{JobTurnedAway, zapcore.InfoLevel, "job rejected by admission control", "According to the forecast, the job could not be done before it has lost all value; nothing was stored. Wait is the time until the work before it is done, Need its own run time after that, Useful the time after which it has lost all value.", "None; add capacity if this persists."},
	{JobMovedUp, zapcore.InfoLevel, "job moved up", "The job had been without a run for 30 s while capacity was insufficient, and gets capacity before jobs that can still be on time.", "Add workers if it is frequent."},
	{ClientLimits, zapcore.InfoLevel, "limits for clients", "The limits of this process for clients that nobody controls, from its memory, its descriptors and its settings.", "None."},
	{ClientsExceeded, zapcore.WarnLevel, "connections closed for new ones", "A limit of connections was reached; the connections that hold the most, or have waited longest, were closed. Count is since the last line for this reason and listener.", "Find out who opens the connections, by Remote; raise the limit if the callers are legitimate."},
	{ClientBytesExceeded, zapcore.WarnLevel, "byte budget for clients used up", "Requests and responses in progress hold all bytes that clients may use; the connections that held the most for their progress were closed, or requests refused that had stored nothing.", "Find out who sends, by Remote; add entries or memory if the callers are legitimate."},
	{ClientStalled, zapcore.InfoLevel, "stalled connection closed", "No byte of a body or a response has moved for the stall timeout.", "Check the client, by Remote, and the network if this persists."},
	{ClientInputExceeded, zapcore.InfoLevel, "request over a limit refused", "A body, or a list in it, is longer than allowed; the request had no effect.", "Check the client, by Remote."},
	{WorkerWithheld, zapcore.WarnLevel, "worker gets no runs", "For some seconds, a connected worker has had runs that the leader does not expect, or released runs that it may still start; it gets no runs until they are known to be gone. Cancels is the number of released runs whose cancel the leader counts as sent, Sent the number of the last command message in this session, and Received that of the last one that the agent had received.", "Check the worker and its agent if this persists."},
	{TurnSlow, zapcore.WarnLevel, "turn of the leader took long", "One turn of the leader's event loop took 200 ms or more, during which no lease was extended and no run started. Events, Leases, Starts, Watch and Commands are the times for events, the check of the leases, starts, the check of all runs, and commands.", "Check the load of the entry's instance; if it has processors to spare, report it with the log."},
}
