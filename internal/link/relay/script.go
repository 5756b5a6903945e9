package relay

import (
	"context"
	"time"
)

// Step is one action of a script.
type Step struct {
	After time.Duration // since the step before
	Do    func(r *Relay)
}

// Run performs the steps in order and stops when ctx ends.
func (r *Relay) Run(ctx context.Context, script ...Step) error {
	for _, s := range script {
		t := time.NewTimer(s.After)
		select {
		case <-t.C:
			s.Do(r)
		case <-ctx.Done():
			t.Stop()
			return context.Cause(ctx)
		}
	}
	return nil
}
