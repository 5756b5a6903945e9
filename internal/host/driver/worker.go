package driver

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Errors of the methods of a Worker.
var (
	ErrUnreachable = errors.New("connection to the worker refused")                             // its process has ended
	ErrIncarnation = errors.New("an incarnation of the worker with another ID responded")       // and did nothing
	ErrRestarted   = errors.New("a later incarnation of the worker with the same ID responded") // and may have executed the command
)

// RefusedError is the error of a command that the worker refused and did not execute.
type RefusedError struct {
	Reason wire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the command: %v", e.Reason) }

// PollRequest is a poll request, which lists the runs of a worker and extends its lease.
type PollRequest struct {
	Incarnation wire.WorkerIncarnation
	Token       uint64
	DurableEnds uint64 // the worker may drop ended runs up to this number
	Deadline    int64  // of the lease, on the worker's clock in ms; 0 leaves it unchanged
	Wait        int64  // ms to wait for a run to end
}

// PollResponse is the response of a worker to a poll.
type PollResponse struct {
	Clock   int64 // of the worker, ms
	Running []wire.RunState
	Ended   []wire.RunEnd
}

// Start is a command to start a run.
type Start struct {
	Incarnation wire.WorkerIncarnation
	Token       uint64
	Deadline    int64 // of the lease, on the worker's clock in ms
	Command     wire.StartCommand
}

// Worker is the API of one worker. Methods return ErrUnreachable, ErrIncarnation, ErrRestarted or a *RefusedError; after
// ErrRestarted and any other error the outcome is unknown.
type Worker interface {
	Poll(ctx context.Context, request PollRequest) (PollResponse, error)
	Start(ctx context.Context, s Start) error
	Stop(ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run) error
	Pace(ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run, percent int) error
}

// Leader is the session of the leader whose commands an agent executes.
type Leader interface {
	Send(m wire.Message) error
	Close(err error)
}
