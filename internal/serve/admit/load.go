package admit

import (
	"math"
	"time"
)

const (
	loadWindow  = 10 * time.Second // the load follows a shift within some window; longer than most long runs
	maxWaitProb = 0.1              // share of short requests that may find all their slots busy
	countEvery  = 100 * time.Millisecond
	maxLongUse  = 0.9 // long work keeps the slots that it uses up to this share of their time
)

// loads follows the work that arrives, in slots: the run time of arrivals per unit of time. What both need is counted anew
// at most once in countEvery, as counting takes a step per slot.
type loads struct {
	short, long         float64
	at, counted         time.Time
	shortNeed, longNeed int // slots
}

// add counts an arrival at a pool with a number of slots.
func (l *loads) add(now time.Time, run time.Duration, long bool, slots int) {
	past := math.Exp(-now.Sub(l.at).Seconds() / loadWindow.Seconds())
	l.short, l.long, l.at = l.short*past, l.long*past, now
	if long {
		l.long += run.Seconds() / loadWindow.Seconds()
	} else {
		l.short += run.Seconds() / loadWindow.Seconds()
	}
	if now.Sub(l.counted) >= countEvery {
		l.counted = now
		l.shortNeed, l.longNeed = slotsFor(l.short, slots), int(math.Ceil(min(l.long/maxLongUse, float64(slots))))
	}
}

// slotsFor returns the fewest slots, or most, at which at most maxWaitProb of the requests of a load wait, by the Erlang C
// formula.
func slotsFor(load float64, most int) int {
	if load <= 0 {
		return 0
	}
	blocked := 1.0 // Erlang B of n slots, by its recursion
	for n := 1; n < most; n++ {
		blocked = load * blocked / (float64(n) + load*blocked)
		if use := load / float64(n); use < 1 && blocked/(1-use*(1-blocked)) <= maxWaitProb {
			return n
		}
	}
	return most
}
