package admit

import (
	"math"
	"time"
)

const (
	loadWindow         = 10 * time.Second // time constant of the load average; longer than most long runs
	maxWaitProb        = 0.1              // share of short requests that may wait for a slot
	recomputeEvery     = 100 * time.Millisecond
	maxLongUtilization = 0.9 // target utilization of the slots that long requests need
)

// loads holds moving averages of the offered load in erlangs, which is the run time of arrivals per unit of time. The
// slots needed for it are recomputed at most once per recomputeEvery, because the computation iterates over all
// slots.
type loads struct {
	short, long           float64
	updatedAt, computedAt time.Time
	shortNeed, longNeed   int // slots
}

// add records an arrival at a pool with the given number of slots.
func (l *loads) add(now time.Time, run time.Duration, long bool, slots int) {
	decay := math.Exp(-now.Sub(l.updatedAt).Seconds() / loadWindow.Seconds())
	l.short, l.long, l.updatedAt = l.short*decay, l.long*decay, now
	if long {
		l.long += run.Seconds() / loadWindow.Seconds()
	} else {
		l.short += run.Seconds() / loadWindow.Seconds()
	}
	if now.Sub(l.computedAt) >= recomputeEvery {
		l.computedAt = now
		l.shortNeed, l.longNeed = slotsFor(l.short, slots), int(math.Ceil(min(l.long/maxLongUtilization, float64(slots))))
	}
}

// slotsFor returns the smallest number of slots at which at most maxWaitProb of the requests of a load in erlangs
// wait, by the Erlang C formula, but no more than maxSlots.
func slotsFor(load float64, maxSlots int) int {
	if load <= 0 {
		return 0
	}
	erlangB := 1.0 // blocking probability of n slots, by recursion over n
	for n := 1; n < maxSlots; n++ {
		erlangB = load * erlangB / (float64(n) + load*erlangB)
		if utilization := load / float64(n); utilization < 1 && erlangB/(1-utilization*(1-erlangB)) <= maxWaitProb {
			return n
		}
	}
	return maxSlots
}
