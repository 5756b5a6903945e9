package netsim

import (
	"context"
	"time"
)

// Step is one timed action of a script.
type Step struct {
	After time.Duration // since the previous step
	Do    func(r *Relay)
}

// Run performs the steps in order; when ctx ends first, it returns the cause of ctx.
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
