package wire

import "trefoilramp.org/trefoilramp/internal/core/sizes"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type WorkerPhase,EndCause,Refusal,JobAction,JobVerdict -output task_string.go

// WorkerPhase says whether a worker takes new tasks.
type WorkerPhase uint8

// Phases of a worker.
const (
	WorkerReady WorkerPhase = iota + 1
	WorkerDraining
	WorkerGone // its process has ended: nothing runs there
)

// EndCause says how a run ended.
type EndCause uint8

// Causes of an end.
const (
	EndDone EndCause = iota + 1
	EndFailed
	EndStopped
	EndLapsed // its lease expired
	EndBroken // another member of its gang ended
	EndAlone  // it waited too long for its gang
)

// Refusal says why a run did not start.
type Refusal uint8

// Reasons of a refusal.
const (
	RefusedFence  Refusal = iota + 1 // a newer leader gives the orders
	RefusedOld                       // not newer than a run that has ended on that worker
	RefusedLate                      // the lease had expired
	RefusedRoom                      // it does not fit
	RefusedTicket                    // the ticket is missing or no longer valid
	RefusedBad                       // the worker does not accept the order
	RefusedSick                      // the worker is unhealthy
	RefusedSilent                    // there was no answer, and the run was closed by a stop
	RefusedLife                      // the worker has restarted
)

// Life identifies one life of a worker.
type Life struct {
	ID   string
	Born int64 // ms since 1970
}

// Run identifies one run of a task.
type Run struct {
	Task   string
	Number int
}

// LeadAdopt opens the reign of a leader over an agent; the token is higher than that of each earlier leader.
type LeadAdopt struct {
	Cell  string
	Token uint64
}

// WorkerState describes the worker of an agent.
type WorkerState struct {
	Life      Life
	Service   string
	Zone      string
	Phase     WorkerPhase
	Capacity  sizes.Resources
	Labels    []string
	Rack      string
	Remaining int64 // least time until a draining worker leaves, ms
	Cold      int64 // time for which the worker is still slow, ms
	Healthy   bool  // the worker answers calls
}

// RunState is a run that is on a worker.
type RunState struct {
	Run
	Saved   string
	Percent int
	Figure  int // tail latency of a serving task in ms, else processors in use in thousandths
}

// RunEnd is a run that has ended on a worker.
type RunEnd struct {
	Number uint64 // ends of one life are numbered from 1
	Run
	Cause EndCause
	Saved string
}

// RunRefused is a run that did not start and never will.
type RunRefused struct {
	Run
	Reason Refusal
}

// RunReport tells the leader what happens on a worker.
type RunReport struct {
	Life     Life
	Clock    int64 // clock of the worker at the look, ms
	Complete bool  // Running lists all runs there are; Pending those whose start has no answer yet
	Running  []RunState
	Pending  []Run
	Ended    []RunEnd
	Refused  []RunRefused
	AskLease bool
	Press    []PressWeight // what an earlier leader had told, in the first report to a leader
	Order    uint64        // number of the last orders that were taken before the look
}

// LeaseGrant permits the agent to hold the lease of its worker for the agreed time after Clock.
type LeaseGrant struct {
	Life  Life
	Clock int64
}

// StartOrder starts a run.
type StartOrder struct {
	RunTrait
	Payload string
	Saved   string
	Ticket  string
}

// RunTrait says what an agent needs to know to balance a run against others on its worker.
type RunTrait struct {
	Run
	Size   int64 // processors of a task that fills, thousandths
	Target int64 // tail latency that a serving task must stay below, ms; 0 for others
	Fills  bool
	Image  string // that the task runs; equal images behave alike
}

// TaskOrders are a leader's orders to a worker.
type TaskOrders struct {
	Life   Life
	Number uint64 // of these orders in the session, from 1
	Starts []StartOrder
	Stops  []Run
	Closes []Run  // runs to stop although they may not be there, and to report as refused then
	Noted  uint64 // ends up to this number are durable
	Traits []RunTrait
	Press  []PressWeight
}

// PressWeight says how much tasks of an image that fill a worker load serving tasks of another beside them.
type PressWeight struct {
	Serving string
	Filling string
	Weight  float64
}

// JobAction is what an entry asks a leader.
type JobAction uint8

// Actions.
const (
	JobAccepted  JobAction = iota + 1 // tells of a stored job
	JobCancelled                      // tells of a stored cancellation
	JobState
	QueueLength
	JobStore  // asks to store a job for an entry that the store turns away
	JobRevoke // asks to store a cancellation likewise
)

// JobVerdict is the result of a question.
type JobVerdict uint8

// Results.
const (
	VerdictKnown JobVerdict = iota + 1
	VerdictUnknown
	VerdictNotReady
	VerdictNotDone // it was not carried out and never will be
	VerdictUnclear // it may have been carried out
)

// JobAsk is a question of an entry; Number pairs it with its reply.
type JobAsk struct {
	Number uint64
	Action JobAction
	ID     string
	Queue  string
	Packed []byte // the job of JobAccepted
}

// JobTell replies to JobAsk.
type JobTell struct {
	Number  uint64
	Verdict JobVerdict
	State   uint8
	Waiting int
}

// Kind implements Message.
func (*LeadAdopt) Kind() Kind { return KindLeadAdopt }

// Kind implements Message.
func (*WorkerState) Kind() Kind { return KindWorkerState }

// Kind implements Message.
func (*RunReport) Kind() Kind { return KindRunReport }

// Kind implements Message.
func (*LeaseGrant) Kind() Kind { return KindLeaseGrant }

// Kind implements Message.
func (*TaskOrders) Kind() Kind { return KindTaskOrders }

// Kind implements Message.
func (*JobAsk) Kind() Kind { return KindJobAsk }

// Kind implements Message.
func (*JobTell) Kind() Kind { return KindJobTell }

func init() {
	register(&LeadAdopt{}, &WorkerState{}, &RunReport{}, &LeaseGrant{}, &TaskOrders{}, &JobAsk{}, &JobTell{})
}
