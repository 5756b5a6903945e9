package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Errors of the worker. Except for ErrUnknown, a call that fails has no effect now or later.
var (
	ErrUnavailable = errors.New("worker is unavailable")
	ErrUnknown     = errors.New("outcome of the worker request is unknown")
	ErrMalformed   = errors.New("worker request is malformed")
	ErrNotFound    = errors.New("worker does not hold the attempt")
	ErrExpired     = errors.New("lease deadline has passed")
	ErrSeen        = errors.New("attempt was started or stopped before")
	ErrSuperseded  = errors.New("a later attempt of the task was seen")
	ErrBusy        = errors.New("an earlier attempt of the task has not ended")
	ErrTooLarge    = errors.New("task exceeds what the worker has left")
	ErrStore       = errors.New("worker could not write the checkpoint")
)

// Platform is the platform's worker.
type Platform interface {
	// Means returns what the worker has.
	Means(ctx context.Context) (Means, error)
	// Tasks lists all attempts that the worker holds, ended ones included, in order of their start.
	Tasks(ctx context.Context) ([]Status, error)
	// Start starts an attempt. It returns ErrExpired, ErrSeen (a repeated start gets this when the first one arrived),
	// ErrSuperseded, ErrBusy or ErrTooLarge when the worker refuses. After ErrUnknown the attempt may still start until
	// its deadline; Stop makes that impossible.
	Start(ctx context.Context, s Start) error
	// Renew extends leases; a paused attempt goes on. It returns the attempts that were not renewed because they are
	// unknown, have ended, or the new deadline has passed. A deadline never moves back.
	Renew(ctx context.Context, r []Renewal) ([]Ref, error)
	// Stop ends an attempt if it has not ended and returns its final status. An attempt that the worker does not hold
	// gets ErrNotFound and is refused from then on, so that a delayed Start of it cannot run.
	Stop(ctx context.Context, r Ref) (Status, error)
	// Forget removes an attempt that has ended from Tasks; a missing one is no error. An attempt that still runs is
	// stopped first.
	Forget(ctx context.Context, r Ref) error
	// Checkpoint writes the progress of an attempt to an object that the status names and, if stop is set, ends the
	// attempt at that progress. An attempt that has ended or is Storing is returned as it is. After ErrStore the attempt
	// goes on.
	Checkpoint(ctx context.Context, r Ref, stop bool) (Status, error)
	// Throttle limits the processors of an attempt, in thousandths; 0 removes the limit.
	Throttle(ctx context.Context, r Ref, processors int64) error
}

// Means is what a worker has.
type Means struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation // a restarted worker has another one and holds no tasks
	Zone        ident.AvailabilityZone
	Rack        string
	Total       sizes.Resources
}

// Ref names one attempt of a task.
type Ref struct {
	Task    ident.Task
	Attempt ident.Attempt
}

// Start tells the worker what to start.
type Start struct {
	Ref
	Command    string
	Size       sizes.Resources
	Checkpoint string    // object to resume from; empty for none
	Label      string    // kept for the caller, who cannot tell otherwise after a restart why it started the task
	Deadline   time.Time // end of the lease, wall clock
}

// Renewal extends the lease of an attempt.
type Renewal struct {
	Ref
	Deadline time.Time // wall clock
}

// Status is what a worker knows of an attempt.
type Status struct {
	Ref
	State      State
	Label      string          // as in Start
	Size       sizes.Resources // as in Start
	Deadline   time.Time
	Limit      int64           // processors, as in Throttle
	Used       sizes.Resources // as measured at Measured
	Peak       sizes.Resources // highest measurement
	Measured   time.Time       // earlier than now by the worker's lag
	RunTime    time.Duration   // time spent running, without pauses
	Result     string          // object with the result, when Done
	Checkpoint string          // object with the last checkpoint of this attempt
	Detail     string          // why the attempt failed
}

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type State -output state_string.go

// State is the state of an attempt on a worker.
type State int

// States of attempts.
const (
	Loading State = iota + 1 // reads the checkpoint to resume from
	Running
	Paused  // the lease has ended; a renewal makes it go on
	Storing // the run is over and the result is being written
	Done    // the result is written
	Failed
	Stopped
)

// HasEnded reports whether the attempt will not run again and its result, if any, is written.
func (s State) HasEnded() bool { return s >= Done }

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(b []byte) error {
	for c := Loading; c <= Stopped; c++ {
		if c.String() == string(b) {
			*s = c
			return nil
		}
	}
	return errors.Newf("%q is no state of an attempt", b)
}

// ResultName returns the name of the object that holds the result of an attempt.
func ResultName(r Ref) string { return fmt.Sprintf("result/%s/%d", r.Task, r.Attempt) }

// CheckpointName returns the name of the object that holds the n-th checkpoint of an attempt.
func CheckpointName(r Ref, n int) string {
	return fmt.Sprintf("checkpoint/%s/%d/%d", r.Task, r.Attempt, n)
}
