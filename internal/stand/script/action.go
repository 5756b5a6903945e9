package script

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Action -output action_string.go

// Action is what a fault does to a call.
type Action int

// Actions of faults.
const (
	None       Action = iota
	Down              // the call is refused and has no effect
	Slow              // the call takes effect and responds after the delay
	LoseBefore        // the call has no effect and its response is lost after the delay
	LoseAfter         // the call takes effect at once and its response is lost after the delay
	LoseLate          // the response is lost at once and the call takes effect after the delay
)

// MarshalText returns the action's name.
func (a Action) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText reads an action's name.
func (a *Action) UnmarshalText(b []byte) error {
	for c := None; c <= LoseLate; c++ {
		if c.String() == string(b) {
			*a = c
			return nil
		}
	}
	return errors.Newf("action %q is none of Down, Slow, LoseBefore, LoseAfter, LoseLate", b)
}

// LosesResponse reports whether the caller gets no response.
func (a Action) LosesResponse() bool { return a == LoseBefore || a == LoseAfter || a == LoseLate }

// Validate reports an action that does nothing.
func (a Action) Validate() error {
	if a <= None || a > LoseLate {
		return fmt.Errorf("action %v does nothing", a)
	}
	return nil
}
