package model

import (
	"math"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Limits of a job class.
const (
	MinRunTime  = time.Millisecond
	MaxRunTime  = 30 * 24 * time.Hour
	MaxTasks    = 1 << 20
	MaxAttempts = 100
)

// TaskSize holds the resources that a task needs or a team's quota allows.
type TaskSize struct {
	Processors   int64 // thousandths of a processor
	Memory       int64 // bytes
	Accelerators int64
}

// Resources converts t to sizes.Resources, without slots and connections.
func (t TaskSize) Resources() sizes.Resources {
	return sizes.Resources{Processors: t.Processors, Memory: t.Memory, Accelerators: t.Accelerators}
}

// plus returns the sum of t and o, saturated at the largest int64: validation also sums values that are out of range.
func (t TaskSize) plus(o TaskSize) TaskSize {
	return TaskSize{
		Processors:   addSaturating(t.Processors, o.Processors),
		Memory:       addSaturating(t.Memory, o.Memory),
		Accelerators: addSaturating(t.Accelerators, o.Accelerators),
	}
}

// addSaturating returns a+b, at most math.MaxInt64; a negative operand counts as 0.
func addSaturating(a, b int64) int64 {
	a, b = max(a, 0), max(b, 0)
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// mulSaturating returns n*size, at most math.MaxInt64; a negative operand counts as 0.
func mulSaturating(n, size int64) int64 {
	n, size = max(n, 0), max(size, 0)
	if size > 0 && n > math.MaxInt64/size {
		return math.MaxInt64
	}
	return n * size
}

func (t TaskSize) check(c strict.Check) {
	strict.Between(c.Field("Processors"), t.Processors, 1, maxProcessors)
	strict.Between(c.Field("Memory"), t.Memory, 1, maxMemory)
	strict.Between(c.Field("Accelerators"), t.Accelerators, 0, maxAccelerators)
}

// JobClass holds the defaults and limits of a class of batch jobs.
type JobClass struct {
	Name            string
	DefaultSize     TaskSize // size of a task whose job declares none
	DefaultRunTime  Duration // run time assumed for a task whose job declares none
	MaxRunTime      Duration // a task that runs longer is stopped and counts as failed
	MaxTasks        int64    // limit of the tasks of one job
	MaxAttempts     int64    // executions of a task before it counts as failed; evictions do not count
	UrgentAllowed   bool     // whether jobs of the class may be urgent
	CheckpointGrace Duration // time that an evicted task has to write its checkpoint
}

func (j JobClass) check(c strict.Check, zones []AvailabilityZone) {
	CheckName(c.Field("Name"), j.Name)
	j.DefaultSize.check(c.Field("DefaultSize"))
	if hasWorkers(zones) && !fitsSomeWorker(j.DefaultSize, zones) {
		c.Field("DefaultSize").Fail(j.DefaultSize, "a size that fits a worker of the declared capacity")
	}
	CheckDuration(c.Field("MaxRunTime"), j.MaxRunTime, MinRunTime, MaxRunTime)
	CheckDuration(c.Field("DefaultRunTime"), j.DefaultRunTime, MinRunTime, MaxRunTime)
	if j.MaxRunTime > 0 && j.DefaultRunTime > j.MaxRunTime {
		c.Field("DefaultRunTime").Fail(j.DefaultRunTime, "at most MaxRunTime, which is %q", j.MaxRunTime)
	}
	strict.Between(c.Field("MaxTasks"), j.MaxTasks, 1, MaxTasks)
	strict.Between(c.Field("MaxAttempts"), j.MaxAttempts, 1, MaxAttempts)
	CheckDuration(c.Field("CheckpointGrace"), j.CheckpointGrace, 0, time.Hour)
}

// hasWorkers reports whether any zone declares capacity.
func hasWorkers(zones []AvailabilityZone) bool {
	return slices.ContainsFunc(zones, func(z AvailabilityZone) bool { return len(z.Capacity) > 0 })
}

// fitsSomeWorker reports whether t fits an empty worker of any zone.
func fitsSomeWorker(t TaskSize, zones []AvailabilityZone) bool {
	for _, z := range zones {
		for _, g := range z.Capacity {
			if t.Resources().Fits(g.Each) {
				return true
			}
		}
	}
	return false
}
