package noise

import (
	"math"
	"time"
)

const (
	noBudget      = -1.0
	targetShare   = 0.5  // a cut aims at this share of the allowed slowdown, which leaves room for errors of the model
	calmShare     = 0.7  // the service is calm below this share; the gap up to the bound is the hysteresis
	harmlessShare = 0.25 // of the allowed slowdown; a class that surely stays below is harmless
	blameShare    = 0.2  // of a slowdown; a class that explains less is not throttled for it
	lagPerStep    = 6.0  // s of lag for which a step is larger by restoreShare
	trustShare    = 0.7  // of a predicted slowdown that measurements do not confirm
	floorShare    = 0.05
	measureShare  = 0.01             // of a task's need while the quiet tail is learned; below quietUsage for a full worker
	restoreShare  = 0.25             // of a class's need per step
	changeShare   = 0.02             // smaller changes of a limit are not sent
	settleTime    = 2 * time.Second  // the call to the worker, and one whole second of requests after it
	calmTime      = 1 * time.Second  // of calm before a step back
	probeTime     = 30 * time.Second // of calm before a step back that the model advises against
	measureTime   = 6 * time.Second  // of requests, besides the lag
	measurePause  = 30 * time.Second // between two measurements of quiet tails, which cost batch its time
	tightShare    = 0.3
	tightTime     = 15 * time.Second // a task limited to less than tightShare for so long only keeps others out
	evictInterval = 10 * time.Second
)

// Decide returns the changes to make now. Call it about once a second, after SetTasks.
func (c *Controller) Decide(now time.Time) []Action {
	c.lag = max(firstLag, time.Duration(float64(c.lag)*lagDecay))
	complete := now.Add(-c.lag - requestMargin)
	for _, s := range c.services {
		s.settle(complete, c.usedFrom)
	}
	if c.measuring != nil {
		return c.continueMeasuring(now)
	}
	if now.Before(c.heldUntil) {
		return c.applyBudgets(now, Action{Kind: Throttle})
	}
	from := complete.Add(-window)
	if after := c.changedAt.Add(requestMargin); after.After(from) {
		from = after
	}
	v := c.judge(from, complete)
	if c.measuring != nil {
		c.acted(now)
		c.measureEnds = c.heldUntil.Add(measureTime)
		return c.holdBack(now)
	}
	if v.worst != nil && v.excess > math.Log(c.cfg.Bound) {
		c.calmSince = time.Time{}
		return c.tighten(now, v.worst, v.excess)
	}
	switch {
	case !v.calm:
		c.calmSince = time.Time{}
	case c.calmSince.IsZero():
		c.calmSince = now
	case now.Sub(c.calmSince) >= calmTime:
		c.restore(now, v.busy)
	}
	list := c.applyBudgets(now, Action{Kind: Throttle})
	if v.worst == nil {
		return list
	}
	// A task that is throttled this far uses so little that its end needs no wait of its own.
	if a, ok := c.evict(now, v.worst, false); ok {
		list = append(list, a)
	}
	return list
}

// outlook is the state of all services.
type outlook struct {
	busy   []*service // those with traffic; the others have no say
	worst  *service   // the one with the largest slowdown; nil without traffic
	excess float64    // its log slowdown, measured or predicted
	calm   bool       // all are well below the bound
}

// judge looks at the requests that started between two times. It sets c.measuring when a service is slow at a load for
// which no quiet tail is known.
func (c *Controller) judge(from, to time.Time) outlook {
	allowed := math.Log(c.cfg.Bound)
	x := c.present()
	o := outlook{calm: true}
	for _, s := range c.services {
		v := s.judge(from, to, allowed)
		if v.traffic < tailNeeded/2 {
			continue
		}
		o.busy = append(o.busy, s)
		slow := s.model(s.band).predict(x)
		if v.judged {
			// What was measured goes before what is predicted, but for the change of usage since.
			then, _ := c.usedFrom(from, to)
			since := max(0, slow-s.model(s.band).predict(then))
			slow = max(trustShare*slow, v.slowdown+since)
		}
		if v.suspected && total(x) > quietUsage && !to.Before(c.nextMeasure) {
			c.measuring = s
			return o
		}
		if o.worst == nil || slow > o.excess {
			o.worst, o.excess = s, slow
		}
		o.calm = o.calm && slow < calmShare*allowed && (v.judged || v.unknown && !v.suspected)
	}
	return o
}

func total(x vector) (sum float64) {
	for _, v := range x {
		sum += v
	}
	return sum
}

// present returns what the classes may use now.
func (c *Controller) present() vector {
	var x vector
	for i, k := range c.classes {
		x[i] = k.need
		if k.budget >= 0 {
			x[i] = min(k.need, k.budget)
		}
	}
	return x
}

// acted starts the wait until an action shows in the measurements.
func (c *Controller) acted(now time.Time) {
	c.changedAt = now
	c.heldUntil = now.Add(c.lag + settleTime)
}
