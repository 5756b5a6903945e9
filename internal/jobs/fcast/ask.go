package fcast

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

// Ask describes an arriving job for Decide.
type Ask struct {
	Pool       Pool // that limits the job
	Priority   int
	Queue      string
	Work       float64       // in Pool, in declared processor-milliseconds
	Chain      time.Duration // declared run time of the longest chain of steps
	Stretch    float64
	Objective  time.Duration
	Starts     []Start // tasks that may start at once, one for each step without predecessors
	IsExempt   bool    // the job has long-running tasks or a schedule
	Rejections int     // of the job, so far
	Random     float64 // from 0 up to but not including 1
}

// Start is a task that may start as soon as there is capacity.
type Start struct {
	Pool Pool
	Size sizes.Resources
}

// NewAsk describes a job. The pool of a job with best-effort steps is that of these steps, since counted tasks have
// capacity before them.
func NewAsk(j *spec.Job) Ask {
	a := Ask{
		Pool: Pool{Service: j.Service}, Priority: j.Priority, Queue: j.Queue, IsExempt: j.IsLongRunning() || j.Occurrences > 0,
		Chain:   time.Duration(j.CriticalPath()) * time.Millisecond,
		Stretch: max(1, j.Stretch), Objective: time.Duration(j.Objective) * time.Millisecond,
	}
	if a.IsExempt {
		return a
	}
	for i := range j.Steps {
		a.Pool.BestEffort = a.Pool.BestEffort || j.Steps[i].BestEffort
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.BestEffort == a.Pool.BestEffort {
			a.Work += float64(s.Count) * TaskWork(s)
		}
		if len(s.After) == 0 {
			a.Starts = append(a.Starts, Start{Pool{j.Service, s.BestEffort}, s.Size})
		}
	}
	return a
}

// TaskWork returns the declared work of one task of a step in processor-milliseconds, and 0 for a long-running one.
func TaskWork(s *spec.Step) float64 {
	if s.LongRunning {
		return 0
	}
	return float64(s.Size.Processors) / 1000 * float64(s.Estimate)
}

// useful returns the time after its acceptance at which the job has lost all value, if its run time is the declared one
// times ratio.
func (a *Ask) useful(ratio float64) time.Duration {
	const limit = float64(365 * 24 * time.Hour)
	return time.Duration(min(limit, ValueFactor*(a.Stretch*ratio*float64(a.Chain)+float64(a.Objective))))
}
