package orders

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Errors of a worker.
var (
	ErrDown = errors.New("nothing listens at the worker's address") // its process has ended
	ErrLife = errors.New("another life of the worker answers")
)

// RefusedError says that the worker refused an order and has not carried it out.
type RefusedError struct {
	Reason wire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refuses: %v", e.Reason) }

// Look asks a worker for its runs and extends its lease.
type Look struct {
	Life     wire.Life
	Token    uint64
	Noted    uint64 // ends up to this number may be forgotten
	Deadline int64  // of the lease, by the worker's clock in ms; 0 leaves it
	Wait     int64  // ms to wait for an end
}

// Sight is what a worker answers to a look.
type Sight struct {
	Clock   int64 // ms
	Running []wire.RunState
	Ended   []wire.RunEnd
}

// Start is an order to start a run.
type Start struct {
	Life     wire.Life
	Token    uint64
	Deadline int64 // of the lease, by the worker's clock in ms
	Order    wire.StartOrder
}

// Worker is the interface of one worker. Errors are ErrDown, ErrLife, a *RefusedError, or unknown outcomes.
type Worker interface {
	Look(ctx context.Context, l Look) (Sight, error)
	Start(ctx context.Context, s Start) error
	Stop(ctx context.Context, life wire.Life, token uint64, r wire.Run) error
	Pace(ctx context.Context, life wire.Life, token uint64, r wire.Run, percent int) error
}

// Leader is the session to the leader that an agent follows.
type Leader interface {
	Send(m wire.Message) error
	Close(err error)
}
