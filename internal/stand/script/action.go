package script

import "github.com/cockroachdb/errors"

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
	return errors.Newf("action %q is none of %s", b, a.Allowed())
}

// Allowed implements strict.Allower.
func (*Action) Allowed() string { return "Down, Slow, LoseBefore, LoseAfter or LoseLate" }
