package interf

import (
	"math"
	"time"
)

const (
	unlimited        = -1.0
	targetShare      = 0.5              // of the allowed slowdown, targeted by a throttle; the rest is for model errors
	slackShare       = 0.7              // of the allowed slowdown, below which a service has slack; the rest is hysteresis
	harmlessShare    = 0.25             // of the allowed slowdown, below which the upper bound of a harmless effect is
	causeShare       = 0.2              // of a slowdown; a class that explains less is not throttled for it
	lagPerStep       = 6.0              // s of lag that increase a step by restoreShare
	unconfirmedShare = 0.7              // of a predicted slowdown, assumed even if measurements do not confirm it
	minShare         = 0.05             // of a class's need, the lowest budget
	measureShare     = 0.01             // of a task's need while a baseline is measured; below idleUsage for a full worker
	restoreShare     = 0.25             // of a class's need, per step
	minChangeShare   = 0.02             // of a need; smaller changes of a limit are not sent
	settleTime       = 2 * time.Second  // for the call to the worker and a full second of requests after it
	slackTime        = 1 * time.Second  // of slack before a limit is raised
	probeTime        = 30 * time.Second // of slack before a limit is raised against the model's prediction
	measureTime      = 6 * time.Second  // of requests, in addition to the lag
	measurePause     = 30 * time.Second // between two baseline measurements, which delay batch tasks
	tightShare       = 0.3              // of a class's need, below which its budget is tight
	tightTime        = 15 * time.Second // after which a task with a tight budget is evicted: it only blocks others
	evictInterval    = 10 * time.Second // between two evictions
)

// Decide returns the actions to perform at the time now. Call it about once a second, after SetTasks.
func (c *Controller) Decide(now time.Time) []Action {
	c.lag = max(minLag, time.Duration(float64(c.lag)*lagDecay))
	complete := now.Add(-c.lag - requestMargin)
	for _, s := range c.services {
		s.processBuckets(complete, c.averageUsage)
	}
	if c.measuring != nil {
		return c.continueMeasuring(now)
	}
	if now.Before(c.waitUntil) {
		return c.applyBudgets(now, Action{Kind: Throttle})
	}
	from := complete.Add(-window)
	if after := c.changedAt.Add(requestMargin); after.After(from) {
		from = after
	}
	v := c.assess(from, complete)
	if c.measuring != nil {
		c.startWait(now)
		c.measureEnds = c.waitUntil.Add(measureTime)
		return c.throttleAll(now)
	}
	if v.worst != nil && v.excess > math.Log(c.cfg.Bound) {
		c.slackSince = time.Time{}
		return c.tighten(now, v.worst, v.excess)
	}
	switch {
	case !v.hasSlack:
		c.slackSince = time.Time{}
	case c.slackSince.IsZero():
		c.slackSince = now
	case now.Sub(c.slackSince) >= slackTime:
		c.restore(now, v.active)
	}
	list := c.applyBudgets(now, Action{Kind: Throttle})
	if v.worst == nil {
		return list
	}
	// No wait is needed after this eviction: a task with such a low limit has little influence on the measurements.
	if a, ok := c.evict(now, v.worst, false); ok {
		list = append(list, a)
	}
	return list
}

// assessment is the state of all services.
type assessment struct {
	active   []*service // services with traffic; the others are ignored
	worst    *service   // the service with the largest slowdown; nil without traffic
	excess   float64    // log slowdown of worst, measured or predicted
	hasSlack bool       // all services are well below the bound
}

// assess evaluates the requests that started between two times. It sets c.measuring to a service that seems slow at a
// load without a known baseline.
func (c *Controller) assess(from, to time.Time) assessment {
	allowed := math.Log(c.cfg.Bound)
	x := c.currentUsage()
	a := assessment{hasSlack: true}
	for _, s := range c.services {
		v := s.estimate(from, to, allowed)
		if v.traffic < minTailSamples/2 {
			continue
		}
		a.active = append(a.active, s)
		slow := s.model(s.band).predict(x)
		if v.known {
			// A measurement takes precedence over the prediction, except for an increase of usage since then.
			pastUsage, _ := c.averageUsage(from, to)
			increase := max(0, slow-s.model(s.band).predict(pastUsage))
			slow = max(unconfirmedShare*slow, v.slowdown+increase)
		}
		if v.likelySlow && total(x) > idleUsage && !to.Before(c.nextMeasure) {
			c.measuring = s
			return a
		}
		if a.worst == nil || slow > a.excess {
			a.worst, a.excess = s, slow
		}
		a.hasSlack = a.hasSlack && slow < slackShare*allowed && (v.known || v.noBaseline && !v.likelySlow)
	}
	return a
}

func total(x vector) (sum float64) {
	for _, v := range x {
		sum += v
	}
	return sum
}

// currentUsage returns the usage that the current budgets allow, by class.
func (c *Controller) currentUsage() vector {
	var x vector
	for i, k := range c.classes {
		x[i] = k.need
		if k.budget >= 0 {
			x[i] = min(k.need, k.budget)
		}
	}
	return x
}

// startWait starts the wait until an action shows in the measurements.
func (c *Controller) startWait(now time.Time) {
	c.changedAt = now
	c.waitUntil = now.Add(c.lag + settleTime)
}
