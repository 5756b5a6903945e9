package point

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Step -output step_string.go

// Step is a named step of a protocol between the system's processes.
type Step int

// Steps of the protocols, in the order in which they happen.
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

// Hook is called when a process reaches a step; tests use it to delay, fail or stop the process there.
type Hook func(s Step, detail string) error

// At calls h if it is set.
func (h Hook) At(s Step, detail string) error {
	if h == nil {
		return nil
	}
	return h(s, detail)
}
