package point

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Step -output step_string.go

// Step is a step of a protocol between processes.
type Step int

// Steps of the protocols, each protocol in the order of its steps.
const (
	AnnounceReceived Step = iota + 1
	AnnounceRefused
	ServeAdmitted
	ServeOpened
	ServeReserved
	ServePassedOn
	ServeAnswered
	ServeEnded
	ClaimWritten
	ClaimRecorded
	StartCommitted
	StartSent
	StartReserved
	StartPassedOn
	StartAcknowledged
	RenewSent
	RenewGranted
	RenewApplied
	EvictRequested
	EvictCheckpointed
	EvictCommitted
	FinishReported
	FinishCommitted
	FinishAcknowledged
	CancelCommitted
	CancelSent
	TakeoverSwapped
	TakeoverReplayed
	TakeoverAdopted
	TakeoverReconciled
	AcceptValidated
	AcceptCommitted
	DistributeSent
	DistributeApplied
	DrainAnnounced
	DrainFinished
)

// Hook is called when a process reaches a step; detail names the object concerned, such as a request. Tests use it to
// delay the process, to make the step fail by returning an error, or to stop the process.
type Hook func(s Step, detail string) error

// At calls h and returns its error; it does nothing if h is nil.
func (h Hook) At(s Step, detail string) error {
	if h == nil {
		return nil
	}
	return h(s, detail)
}
