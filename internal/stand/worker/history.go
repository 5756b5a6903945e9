package worker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// Interval is a period in which an attempt ran without a pause.
type Interval struct {
	worker.Ref
	Worker ident.Worker
	From   time.Time
	To     time.Time     // the current time while the attempt is running
	Start  time.Duration // progress at From
	End    time.Duration // progress at To
	State  worker.State  // state after To; Running while the interval is open
}

// Overlap returns an error if two intervals of one task overlap, which means that the task ran more than once at the
// same time. It sorts list.
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
