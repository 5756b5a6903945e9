package script

import "github.com/cockroachdb/errors"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Action -output action_string.go

// Action is the effect of a fault on a call.
type Action int

// Actions of a fault. The delay is Fault.Delay.
const (
	None       Action = iota
	Down              // the call is refused and has no effect
	Slow              // the call takes effect and responds after the delay
	LoseBefore        // the call has no effect and its response is lost after the delay
	LoseAfter         // the call takes effect immediately and its response is lost after the delay
	LoseLate          // the response is lost immediately and the call takes effect after the delay
	Reject            // the call gets an error of its kind from a stand-in that is up, and has no effect
)

// MarshalText implements encoding.TextMarshaler with the name of the action.
func (a Action) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it returns an error for an unknown name.
func (a *Action) UnmarshalText(b []byte) error {
	for c := None; c <= Reject; c++ {
		if c.String() == string(b) {
			*a = c
			return nil
		}
	}
	return errors.Newf("action %q is none of %s", b, a.Allowed())
}

// Allowed implements strict.AllowedDescriber.
func (*Action) Allowed() string { return "Down, Slow, LoseBefore, LoseAfter, LoseLate or Reject" }
