package script

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text such as "250ms" in JSON.
type Duration time.Duration

// MarshalText returns the duration in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}
