package fcast

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

const (
	// ValueFactor times its completion target after its acceptance, a job has lost all value to its caller.
	ValueFactor = 3
	// MaxAge is the age from which a forecast is not used.
	MaxAge = 2 * time.Second
	// DueBuckets is the number of buckets by the time until a waiting job has lost all value; bucket i ends at 2^i s, and
	// the last one has no end.
	DueBuckets = 8
	// MaxRejections is the highest number of rejections of a job that is distinguished.
	MaxRejections = 4
	// MaxBlocked is the largest number of sizes in Class.Blocked.
	MaxBlocked = 4
	// MaxClasses is the largest number of classes in a forecast, of about 250 bytes each.
	MaxClasses = 128
	// MaxRatios is the largest number of queues in Forecast.Ratios.
	MaxRatios = 128

	maxEntries = 10_000
	maxAgeSent = int64(time.Hour / time.Millisecond) // largest Forecast.Age; a duration of any number of ms could overflow
)

// Pool identifies the capacity that tasks compete for: the workers of a service, and for best-effort tasks what other
// tasks on them leave over.
type Pool struct {
	Service    string
	BestEffort bool
}

// Forecast describes the work in progress in a cell. Work is in declared processor-milliseconds, for which an error that
// all declared run times have in common cancels out, since the rates are measured in the same unit.
type Forecast struct {
	Age     int64 // ms from its computation until it was sent
	Entries int   // entries that have asked for a forecast lately
	Pools   []PoolForecast
	Ratios  []Ratio // where they are known
}

// PoolForecast describes the work in a pool.
type PoolForecast struct {
	Pool    Pool
	Rate    float64 // work completed per second while tasks of the pool were waiting for capacity; 0 if unknown
	Classes []Class
}

// Class describes the work of one priority in a pool.
type Class struct {
	Priority  int
	Running   float64           // work left in current runs
	Waiting   []float64         // other work, by DueBucket
	Returning []float64         // work of rejected jobs whose callers are expected back, by the number of rejections less 1
	Blocked   []sizes.Resources // sizes of tasks that may start and for which there is no capacity, the smallest ones
}

// Ratio is the usual ratio of actual to declared run times of a queue's tasks; that of best-effort tasks is of the time at
// full speed.
type Ratio struct {
	Queue      string
	BestEffort bool
	Factor     float64
}

// DueBucket returns the index in Class.Waiting of work that has lost all value after a given time.
func DueBucket(left time.Duration) int {
	return min(bits.Len64(uint64(max(0, left)/time.Second)), DueBuckets-1)
}

// Check returns an error that names the first invalid field.
func (f *Forecast) Check() error {
	if f.Age < 0 || f.Age > maxAgeSent || f.Entries < 0 || f.Entries > maxEntries {
		return errors.Newf("Age %d or Entries %d is out of range", f.Age, f.Entries)
	}
	if len(f.Pools) > MaxClasses || len(f.Ratios) > MaxRatios {
		return errors.Newf("Pools has %d and Ratios %d elements; allowed: %d and %d", len(f.Pools), len(f.Ratios), MaxClasses, MaxRatios)
	}
	for i := range f.Pools {
		if err := f.Pools[i].check(); err != nil {
			return errors.Wrapf(err, "Pools[%d]", i)
		}
	}
	for i, r := range f.Ratios {
		if !isAmount(r.Factor) || r.Factor == 0 {
			return errors.Newf("Ratios[%d].Factor is %v; allowed: positive numbers", i, r.Factor)
		}
	}
	return nil
}

func (p *PoolForecast) check() error {
	if !isAmount(p.Rate) || len(p.Classes) > MaxClasses {
		return errors.Newf("Rate %v or the number of Classes, %d, is out of range", p.Rate, len(p.Classes))
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		if !isAmount(c.Running) || !areAmounts(c.Waiting, DueBuckets) || !areAmounts(c.Returning, MaxRejections) {
			return errors.Newf("Classes[%d]: Running, Waiting or Returning is out of range", i)
		}
		if len(c.Blocked) > MaxBlocked {
			return errors.Newf("Classes[%d]: Blocked has %d elements; allowed: at most %d", i, len(c.Blocked), MaxBlocked)
		}
	}
	return nil
}

func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func areAmounts(list []float64, want int) bool {
	for _, v := range list {
		if !isAmount(v) {
			return false
		}
	}
	return len(list) == want
}

// AddBlocked adds the size of a blocked task unless a smaller one is known. If MaxBlocked sizes are known and none is
// larger, the size is left out, which can only admit more jobs.
func (c *Class) AddBlocked(size sizes.Resources) {
	if c.IsBlocked(size) {
		return
	}
	c.Blocked = slices.DeleteFunc(c.Blocked, size.Fits)
	if len(c.Blocked) < MaxBlocked {
		c.Blocked = append(c.Blocked, size)
	}
}

// IsBlocked reports whether a task of the given size, or a smaller one, is blocked.
func (c *Class) IsBlocked(size sizes.Resources) bool {
	for _, b := range c.Blocked {
		if b.Fits(size) {
			return true
		}
	}
	return false
}
