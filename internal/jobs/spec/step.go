package spec

import (
	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

const (
	maxProcessors = 1 << 40 // thousandths
	maxMemory     = 1 << 50 // bytes
	maxEstimate   = 1 << 40 // ms
)

// Step is a group of identical tasks of a job.
type Step struct {
	Count          int
	Size           sizes.Resources // of one task
	Estimate       int64           // declared run time of one task, ms
	After          []int           // earlier steps whose tasks must all be done first
	Checkpoints    bool
	Gang           bool   // the tasks run only all together
	OneRack        bool   // the tasks are slower when they run on several racks
	Label          string // that the worker must have; empty for none
	DataRack       string // rack closest to the input data; empty for none
	PerWorker      int    // maximum tasks of one occurrence on a worker; 0 for no limit
	Speculative    bool   `msgpack:"Copies"`  // speculative runs of a task may overlap; the first to finish counts
	LongRunning    bool   `msgpack:"Lasting"` // the tasks run until the job is cancelled
	BestEffort     bool   `msgpack:"Fills"`   // the processors of the tasks do not count against a worker's capacity
	Image          string
	Target         int64 // tail latency target of a serving task, ms; 0 for none
	MaxUnavailable int   `msgpack:"MayMiss"` // maximum tasks of a long-running step that may be evicted at the same time
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Newf("count is %d; allowed: 1 to %d", s.Count, MaxTasks)
	}
	if s.Size.IsNegative() || s.Size.Processors > maxProcessors || s.Size.Memory > maxMemory {
		return errors.Newf("size %+v is out of range", s.Size)
	}
	if s.Estimate < 0 || s.Estimate > maxEstimate {
		return errors.Newf("estimate of %d ms is out of range", s.Estimate)
	}
	if s.PerWorker < 0 || s.MaxUnavailable < 0 || s.Target < 0 {
		return errors.New("limit per worker, limit of unavailable tasks or latency target is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Newf("depends on step %d; allowed: an earlier step", a)
		}
	}
	return nil
}

// Reserved returns the resources that a task of the step occupies on its worker.
func (s *Step) Reserved() sizes.Resources {
	r := s.Size
	if s.BestEffort {
		r.Processors = 0
	}
	return r
}
