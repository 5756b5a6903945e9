package worker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// Interval is a time during which an attempt ran without a pause.
type Interval struct {
	worker.Ref
	Worker ident.Worker
	From   time.Time
	To     time.Time     // now for an attempt that is still running
	Start  time.Duration // progress at From
	End    time.Duration // progress at To
	State  worker.State  // after To: Running when the interval is still open
}

// Overlap returns an error if two of the intervals of one task overlap, which means that the task ran in two places at
// once. It sorts the intervals.
func Overlap(list []Interval) error {
	slices.SortFunc(list, func(a, b Interval) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), a.From.Compare(b.From))
	})
	for i := 1; i < len(list); i++ {
		a, b := list[i-1], list[i]
		if a.Task == b.Task && b.From.Before(a.To) {
			return fmt.Errorf("attempt %d of task %s ran on %s until %s, and attempt %d on %s from %s",
				a.Attempt, a.Task, a.Worker, a.To.Format(time.RFC3339Nano), b.Attempt, b.Worker, b.From.Format(time.RFC3339Nano))
		}
	}
	return nil
}
