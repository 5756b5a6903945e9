package model

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// Std converts d to time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the format that UnmarshalText parses.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it rejects negative durations.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	if v < 0 {
		return errors.Newf("duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// Allowed implements strict.AllowedDescriber.
func (*Duration) Allowed() string { return `a duration such as "250ms", "10s" or "15m"` }

// CheckDuration records a fault unless low <= d <= high.
func CheckDuration(c strict.Check, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.Fail(d, `"%v" to "%v"`, low, high)
	}
}
