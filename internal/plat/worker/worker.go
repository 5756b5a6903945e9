package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Errors of the worker. Except for ErrUnknown, they mean that a call has not taken effect and never will.
var (
	ErrUnavailable = errors.New("worker is unavailable")
	ErrUnknown     = errors.New("outcome of the worker request is unknown")
	ErrMalformed   = errors.New("worker request is malformed")
	ErrNotFound    = errors.New("worker does not hold the attempt")
	ErrExpired     = errors.New("lease deadline has passed")
	ErrDuplicate   = errors.New("attempt was started or stopped before")
	ErrSuperseded  = errors.New("a later attempt of the task was seen")
	ErrBusy        = errors.New("an earlier attempt of the task has not ended")
	ErrTooLarge    = errors.New("task exceeds what the worker has left")
	ErrStore       = errors.New("worker could not write the checkpoint")
)

// Platform is the API of one worker.
type Platform interface {
	// Describe returns the identity, location and capacity of the worker.
	Describe(ctx context.Context) (Info, error)
	// Tasks lists all attempts on the worker, including ended ones, in start order.
	Tasks(ctx context.Context) ([]Status, error)
	// Start starts an attempt. If the worker rejects it, Start returns ErrExpired, ErrDuplicate (also for a repeated
	// request after one that was received), ErrSuperseded, ErrBusy or ErrTooLarge. After ErrUnknown the attempt may still
	// start until its deadline; Stop prevents that.
	Start(ctx context.Context, s Start) error
	// Renew extends leases and resumes paused attempts. It returns the attempts that were not renewed because they are
	// unknown, have ended, or the new deadline has passed. A deadline never moves to an earlier time.
	Renew(ctx context.Context, r []Renewal) ([]Ref, error)
	// Stop ends an attempt if it has not ended and returns its final status. For an unknown attempt it returns
	// ErrNotFound, and the worker rejects a later Start of that attempt, so that a delayed request cannot run.
	Stop(ctx context.Context, r Ref) (Status, error)
	// Forget removes an attempt from Tasks and stops it first if it has not ended; a missing attempt is not an error.
	Forget(ctx context.Context, r Ref) error
	// Checkpoint writes the progress of an attempt to an object that the status names and, if stop is set, ends the
	// attempt at that progress. For an attempt that has ended or is Storing it only returns the status. After ErrStore
	// the attempt continues.
	Checkpoint(ctx context.Context, r Ref, stop bool) (Status, error)
	// Throttle limits the processors of an attempt, in thousandths of a processor; 0 removes the limit.
	Throttle(ctx context.Context, r Ref, processors int64) error
}

// Info describes the identity, location and capacity of a worker.
type Info struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation // changes when the worker restarts; a restarted worker has no tasks
	Zone        ident.AvailabilityZone
	Rack        string
	Total       sizes.Resources
}

// Ref identifies an attempt of a task.
type Ref struct {
	Task    ident.Task
	Attempt ident.Attempt
}

// Start is a request to start an attempt.
type Start struct {
	Ref
	Command    string
	Size       sizes.Resources
	Checkpoint string    // object to resume from; empty for none
	Label      string    // opaque to the worker; records for a restarted caller why the task was started
	Deadline   time.Time // end of the lease, wall clock
}

// Renewal extends the lease of an attempt.
type Renewal struct {
	Ref
	Deadline time.Time // wall clock
}

// Status is the status of an attempt on a worker.
type Status struct {
	Ref
	State      State
	Label      string          // as in Start
	Size       sizes.Resources // as in Start
	Deadline   time.Time
	Limit      int64           // thousandths of a processor, as in Throttle
	Used       sizes.Resources // as measured at Measured
	Peak       sizes.Resources // highest measured use
	Measured   time.Time       // time of Used; lags behind the current time
	RunTime    time.Duration   // time spent running, excluding pauses
	Result     string          // object with the result, when Done
	Checkpoint string          // object with the last checkpoint of this attempt
	Detail     string          // why the attempt failed
}

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type State -output state_string.go

// State is the state of an attempt on a worker.
type State int

// States of attempts.
const (
	Loading State = iota + 1 // reading the checkpoint to resume from
	Running
	Paused  // the lease has expired; a renewal resumes the attempt
	Storing // the run has ended and the result is being written
	Done    // the result is written
	Failed
	Stopped
)

// HasEnded reports whether the attempt has ended for good and its result, if any, has been written.
func (s State) HasEnded() bool { return s >= Done }

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state and returns an error for an unknown one.
func (s *State) UnmarshalText(b []byte) error {
	for c := Loading; c <= Stopped; c++ {
		if c.String() == string(b) {
			*s = c
			return nil
		}
	}
	return errors.Newf("%q is not a state of an attempt", b)
}

// ResultName returns the name of the object that holds the result of an attempt.
func ResultName(r Ref) string { return fmt.Sprintf("result/%s/%d", r.Task, r.Attempt) }

// CheckpointName returns the name of the object that holds the n-th checkpoint of an attempt.
func CheckpointName(r Ref, n int) string {
	return fmt.Sprintf("checkpoint/%s/%d/%d", r.Task, r.Attempt, n)
}
