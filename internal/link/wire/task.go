package wire

import "trefoilramp.org/trefoilramp/internal/core/sizes"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type WorkerPhase,EndCause,Refusal,JobAction,JobVerdict -output task_string.go

// WorkerPhase is whether a worker accepts new tasks and, if not, why.
type WorkerPhase uint8

// Phases of a worker.
const (
	WorkerReady WorkerPhase = iota + 1
	WorkerDraining
	WorkerGone // its process has exited; none of its runs is alive
)

// EndCause is how a run ended.
type EndCause uint8

// Causes of the end of a run.
const (
	EndDone EndCause = iota + 1
	EndFailed
	EndStopped
	EndLapsed // its lease expired
	EndBroken // another task of its gang ended
	EndAlone  // its gang was not complete in time
)

// Refusal is why a run did not start.
type Refusal uint8

// Reasons for refusing a run.
const (
	RefusedFence  Refusal = iota + 1 // the fencing token is lower than that of a newer leader
	RefusedOld                       // a run of the task with this or a higher number has ended on the worker
	RefusedLate                      // the lease had expired
	RefusedRoom                      // insufficient free capacity
	RefusedTicket                    // the ticket is missing or no longer valid
	RefusedBad                       // the worker does not accept the command
	RefusedSick                      // the worker is unhealthy
	RefusedSilent                    // an attempt to start the run got no response, and the worker has confirmed a stop
	RefusedLife                      // the worker has restarted
)

// WorkerIncarnation identifies an incarnation of a worker.
type WorkerIncarnation struct {
	ID        string
	StartedAt int64 `msgpack:"Born"` // ms since 1970
}

// Run identifies one run of a task.
type Run struct {
	Task   string
	Number int
}

// LeadAdopt puts an agent under a new leader; Token is its fencing token, higher than that of every earlier leader. An
// agent sends it to a leader that it refuses or leaves, with the token of the leader that has adopted it.
type LeadAdopt struct {
	Cell  string
	Token uint64
}

// WorkerState describes an agent's worker.
type WorkerState struct {
	Incarnation     WorkerIncarnation `msgpack:"Life"`
	Service         string
	Zone            string
	Phase           WorkerPhase
	Capacity        sizes.Resources
	Labels          []string
	Rack            string
	Remaining       int64 // minimum time until a draining worker leaves, ms
	WarmupRemaining int64 `msgpack:"Cold"` // remaining time for which the worker is slow, ms
	Healthy         bool  // the worker responds to calls
	RestartAge      int64 // time since the worker may have restarted under its ID, in ms; 0 if the agent knows of no restart
}

// RunState is the state of a run on a worker.
type RunState struct {
	Run
	Checkpoint  string `msgpack:"Saved"`
	Percent     int
	Measurement int `msgpack:"Figure"` // tail latency of a serving task, ms; otherwise processor usage in thousandths
}

// RunEnd reports a run that has ended on a worker.
type RunEnd struct {
	Number uint64 // sequence number among the ends of one incarnation, from 1
	Run
	Cause      EndCause
	Checkpoint string `msgpack:"Saved"`
}

// RunRefused reports a run that the worker will not start any more; after RefusedSilent it may have started it before.
type RunRefused struct {
	Run
	Reason Refusal
	Cause  Refusal // for RefusedSilent: why a later attempt was refused; 0 if none was
}

// RunReport reports the runs of a worker to the leader.
type RunReport struct {
	Incarnation  WorkerIncarnation `msgpack:"Life"`
	Clock        int64             // worker's clock when it was polled, ms
	Complete     bool              // Running lists all runs on the worker, and Pending those whose start is unconfirmed
	Running      []RunState
	Pending      []Run
	Ended        []RunEnd
	Refused      []RunRefused
	RequestLease bool                 `msgpack:"AskLease"`
	Interference []InterferenceWeight `msgpack:"Press"` // from an earlier leader; only in the first report to a leader
	LastOrders   uint64               `msgpack:"Order"` // number of the last TaskOrders received before the poll
	MoreEnds     bool                 // the worker may have ended runs that it has not listed yet
	AgentClock   int64                // agent's clock before the report was sent, ms since its process began
}

// ReportPart holds items of the next RunReport on the session, which would exceed a frame with them.
type ReportPart struct {
	Running      []RunState
	Pending      []Run
	Ended        []RunEnd
	Refused      []RunRefused
	Interference []InterferenceWeight
}

// LeaseGrant extends the lease of an agent's worker to the configured duration after Clock, a RunReport.Clock.
type LeaseGrant struct {
	Incarnation WorkerIncarnation `msgpack:"Life"`
	Clock       int64
}

// StartCommand commands a worker to start a run.
type StartCommand struct {
	RunProfile `msgpack:"RunTrait"`
	Payload    string
	Checkpoint string `msgpack:"Saved"`
	Ticket     string
}

// RunProfile is what an agent needs to know about a run to limit its interference with other runs on the worker.
type RunProfile struct {
	Run
	Size       int64  // processors of a best-effort task, thousandths
	Target     int64  // tail latency limit of a serving task, ms; 0 for other tasks
	BestEffort bool   `msgpack:"Fills"`
	Image      string // image that the task runs; tasks with the same image are expected to behave alike
}

// TaskOrders holds a leader's commands to a worker.
type TaskOrders struct {
	Incarnation  WorkerIncarnation `msgpack:"Life"`
	Number       uint64            // sequence number within the session, from 1
	Starts       []StartCommand
	Stops        []Run
	Cancels      []Run                `msgpack:"Closes"` // runs to stop even if not started, and then to report as refused
	DurableEnds  uint64               `msgpack:"Noted"`  // run ends up to this number are durable
	Profiles     []RunProfile         `msgpack:"Traits"`
	Interference []InterferenceWeight `msgpack:"Press"`
	StartBefore  int64                // on the agent's clock, from which Starts must not be sent to the worker; 0 for no limit
}

// InterferenceWeight is the interference of best-effort tasks with the image BestEffort on serving tasks with the image
// Serving on the same worker.
type InterferenceWeight struct {
	Serving    string
	BestEffort string `msgpack:"Filling"`
	Weight     float64
}

// JobAction is the type of a JobAsk.
type JobAction uint8

// Types of a JobAsk.
const (
	JobAccepted  JobAction = iota + 1 // notifies the leader of a stored job
	JobCancelled                      // notifies the leader of a stored cancellation
	JobState
	QueueLength
	JobStore    // requests storing a job for an entry whose store requests fail
	JobRevoke   // requests storing a cancellation, likewise
	JobRejected // notifies the leader of a job that the entry has rejected; Packed is a fcast.Rejection
	JobExplain  // asks where the job in Packed would run; it is not accepted
)

// JobVerdict is the outcome of a JobAsk.
type JobVerdict uint8

// Outcomes of a JobAsk.
const (
	VerdictKnown JobVerdict = iota + 1
	VerdictUnknown
	VerdictNotReady
	VerdictNotDone // not carried out and never will be
	VerdictUnclear // may have been carried out
)

// JobAsk is a request or notification from one entry to another; Number matches a request with its JobTell.
type JobAsk struct {
	Number uint64
	Action JobAction
	ID     string
	Queue  string
	Packed []byte // the encoded job of JobAccepted and JobStore; for QueueLength, the address of an entry that asks for a forecast
}

// JobTell is the response to a JobAsk.
type JobTell struct {
	Number  uint64
	Verdict JobVerdict
	State   uint8 // rows.State of the job, for JobState; with VerdictUnknown the number of its rejections, at most 255
	Waiting int   // jobs in the queue without a started task, for QueueLength
}

// JobForecast is sent before the JobTell of the same number to an entry that asks for a forecast. It is a message of its
// own, since entries and leaders of older versions accept no further fields of JobAsk and JobTell.
type JobForecast struct {
	Number uint64
	Packed []byte // an encoded fcast.Forecast
}

// JobExplained is sent before the JobTell of the same number in response to JobExplain. It is a message of its own for the
// same reason as JobForecast.
type JobExplained struct {
	Number uint64
	Packed []byte // a lead.Explanation as JSON, in which older versions ignore new fields
}

// Kind implements Message.
func (*LeadAdopt) Kind() Kind { return KindLeadAdopt }

// Kind implements Message.
func (*WorkerState) Kind() Kind { return KindWorkerState }

// Kind implements Message.
func (*RunReport) Kind() Kind { return KindRunReport }

// Kind implements Message.
func (*ReportPart) Kind() Kind { return KindReportPart }

// Kind implements Message.
func (*LeaseGrant) Kind() Kind { return KindLeaseGrant }

// Kind implements Message.
func (*TaskOrders) Kind() Kind { return KindTaskOrders }

// Kind implements Message.
func (*JobAsk) Kind() Kind { return KindJobAsk }

// Kind implements Message.
func (*JobTell) Kind() Kind { return KindJobTell }

// Kind implements Message.
func (*JobForecast) Kind() Kind { return KindJobForecast }

// Kind implements Message.
func (*JobExplained) Kind() Kind { return KindJobExplained }

func init() {
	register(&LeadAdopt{}, &WorkerState{}, &RunReport{}, &LeaseGrant{}, &TaskOrders{}, &JobAsk{}, &JobTell{}, &ReportPart{},
		&JobForecast{}, &JobExplained{})
}
