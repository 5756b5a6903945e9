package noise

import (
	"math"
	"time"
)

// applyBudgets brings the limits of all tasks in line with the budgets of their classes; a new task shares the budget of
// its class at once. Service and Slowdown of the actions are those of why.
func (c *Controller) applyBudgets(now time.Time, why Action) []Action {
	var list []Action
	for i := range c.tasks {
		t := &c.tasks[i]
		k := c.classOf(t)
		limit := int64(0)
		if k.budget >= 0 && k.budget < k.need {
			limit = max(1, int64(float64(t.Need)*k.budget/k.need))
		}
		list = c.limit(now, list, t, limit, why)
	}
	return list
}

// limit adds the action that gives a task a limit, unless the one it has is close.
func (c *Controller) limit(now time.Time, list []Action, t *Task, limit int64, why Action) []Action {
	old := c.given[t.Ref].limit
	change := math.Abs(float64(limit - old))
	if t.Ending || limit == old || limit > 0 && old > 0 && change <= changeShare*float64(t.Need) && limit > 1 {
		return list
	}
	why.Ref, why.Class, why.Processors = t.Ref, t.Class, limit
	if limit == 0 || old > 0 && limit > old {
		why.Kind, why.Service, why.Slowdown = Restore, "", 0
	}
	c.given[t.Ref] = grant{limit, now}
	return append(list, why)
}

func (c *Controller) classOf(t *Task) *class { return &c.classes[c.find(t.Class)] }

// find returns the place of a class that SetTasks has placed.
func (c *Controller) find(name string) int {
	for i := range c.classes {
		if c.classes[i].name == name && !c.classes[i].seenAt.IsZero() {
			return i
		}
	}
	return maxClasses - 1
}

func (c *Controller) setBudget(now time.Time, n int, budget float64) {
	k := &c.classes[n]
	k.budget = budget
	switch {
	case budget < 0 || budget >= tightShare*k.need:
		k.tightAt = time.Time{}
	case k.tightAt.IsZero():
		k.tightAt = now
	}
}

// tighten throttles the classes with the largest effect first, as far as the model says that is needed. Where the model
// is not sure of any, it halves the one that may explain the most. A class that slows the service even at its lowest
// limit loses a task.
func (c *Controller) tighten(now time.Time, s *service, excess float64) []Action {
	m, x := s.model(s.band), c.present()
	left := excess - targetShare*math.Log(c.cfg.Bound)
	changed := false
	for left > modelError {
		n := c.loudest(m, x, blameShare*excess)
		if n < 0 {
			break
		}
		low := floorShare * c.classes[n].need
		next := max(low, x[n]-left/m.mean[n])
		left -= m.mean[n] * (x[n] - next)
		c.setBudget(now, n, next)
		x[n] = next
		changed = true
	}
	why := Action{Kind: Throttle, Service: s.name, Slowdown: exp(excess)}
	if !changed {
		if a, ok := c.evict(now, s, true); ok {
			a.Slowdown = why.Slowdown
			c.acted(now)
			return []Action{a}
		}
		if n := c.suspect(m, x); n >= 0 {
			low := floorShare * c.classes[n].need
			if excess < 2*math.Log(c.cfg.Bound) {
				low = max(low, x[n]/2)
			}
			c.setBudget(now, n, low)
			changed = true
		}
	}
	if changed {
		c.acted(now)
	}
	return c.applyBudgets(now, why)
}

// loudest returns the class with the largest effect, above the least that matters, that is sure and can be throttled
// further; -1 for none.
func (c *Controller) loudest(m *model, x vector, least float64) int {
	best, most := -1, 0.0
	for i := range x {
		if c.canTighten(i, x) && m.sure(i) && m.mean[i]*x[i] > max(most, least) {
			best, most = i, m.mean[i]*x[i]
		}
	}
	return best
}

// suspect returns the class that may explain the largest slowdown; -1 for none.
func (c *Controller) suspect(m *model, x vector) int {
	best, most := -1, 0.0
	for i := range x {
		if worth := (m.mean[i] + m.spread(i)) * x[i]; c.canTighten(i, x) && worth > most {
			best, most = i, worth
		}
	}
	return best
}

func (c *Controller) canTighten(n int, x vector) bool {
	k := c.classes[n]
	return k.tasks > 0 && x[n] > (floorShare+changeShare)*k.need
}

// evict returns the eviction of the task that loses the least work, of the throttled class with the largest effect. With
// urgent set it must be throttled as far as possible; otherwise it must have made little progress for long, so that its
// processors serve better for other work.
func (c *Controller) evict(now time.Time, s *service, urgent bool) (Action, bool) {
	if now.Sub(c.evictedAt) < evictInterval {
		return Action{}, false
	}
	m := s.model(s.band)
	best, most := -1, 0.0
	for i, k := range c.classes {
		due := !k.tightAt.IsZero() && (urgent || now.Sub(k.tightAt) >= tightTime)
		if worth := m.mean[i] * k.need; due && k.tasks > 0 && m.sure(i) && worth > most {
			best, most = i, worth
		}
	}
	if best < 0 {
		return Action{}, false
	}
	var least *Task
	for i := range c.tasks {
		t := &c.tasks[i]
		if c.find(t.Class) == best && !t.Ending && (least == nil || t.Unsaved < least.Unsaved) {
			least = t
		}
	}
	if least == nil {
		return Action{}, false
	}
	c.evictedAt = now
	least.Ending = true
	return Action{Kind: Evict, Ref: least.Ref, Class: least.Class, Service: s.name}, true
}

// restore gives limited classes one step of their processors back, as far as the model allows for every service with
// traffic: all that are known to be harmless, or else the least harmful one. After a long calm it takes a small step
// regardless, since effects change and are learned only from use.
func (c *Controller) restore(now time.Time, busy []*service) {
	best, least, room := -1, math.Inf(1), 0.0
	probing := now.Sub(c.changedAt) >= probeTime && now.Sub(c.calmSince) >= probeTime
	changed := false
	for i, k := range c.classes {
		if k.tasks == 0 || k.budget < 0 {
			continue
		}
		step, harm, harmless := c.step(i, busy)
		if harmless || !c.blamed(i, busy) {
			c.raise(now, i, step)
			changed = true
			continue
		}
		if probing {
			step = max(step, restoreShare/4*k.need)
		}
		if step > changeShare*k.need && harm < least {
			best, least, room = i, harm, step
		}
	}
	if !changed && best >= 0 {
		c.raise(now, best, room)
		changed = true
	}
	if changed {
		c.acted(now)
	}
}

// step returns how much a class may get back at once, its largest effect, and whether it surely slows no service.
func (c *Controller) step(n int, busy []*service) (step, harm float64, harmless bool) {
	allowed, need := math.Log(c.cfg.Bound), c.classes[n].need
	// Steps are rarer with a long lag, so they are larger.
	share := min(restoreShare*(1+c.lag.Seconds()/lagPerStep), 0.5)
	step, harmless = share*need, true
	for _, s := range busy {
		m := s.model(s.band)
		harm = max(harm, m.mean[n])
		harmless = harmless && (m.mean[n]+m.spread(n))*need < harmlessShare*allowed
		if m.sure(n) {
			step = min(step, (calmShare*allowed-m.predict(c.present()))/m.mean[n])
		}
	}
	if harmless {
		step = 2 * share * need
	}
	return step, harm, harmless
}

// blamed reports whether a class is known to slow a service with traffic.
func (c *Controller) blamed(n int, busy []*service) bool {
	for _, s := range busy {
		if s.model(s.band).sure(n) {
			return true
		}
	}
	return false
}

func (c *Controller) raise(now time.Time, n int, step float64) {
	next := c.classes[n].budget + step
	if next >= c.classes[n].need {
		next = noBudget
	}
	c.setBudget(now, n, next)
}

// holdBack limits all tasks to almost nothing.
func (c *Controller) holdBack(now time.Time) []Action {
	var list []Action
	for i := range c.tasks {
		t := &c.tasks[i]
		limit := max(1, int64(measureShare*float64(t.Need)))
		list = c.limit(now, list, t, limit, Action{Kind: Measure, Service: c.measuring.name})
	}
	return list
}

// continueMeasuring holds batch back until the quiet tail is known or the time for it is over.
func (c *Controller) continueMeasuring(now time.Time) []Action {
	s := c.measuring
	known := s.quiet[s.band].n >= quietNeeded
	if now.Before(c.measureEnds) && (!known || now.Before(c.heldUntil)) {
		return c.holdBack(now)
	}
	c.measuring = nil
	c.nextMeasure = now.Add(measurePause)
	m := s.model(s.band)
	for i, k := range c.classes {
		if k.tasks > 0 && k.budget < 0 && known && !m.sure(i) && (m.mean[i]+m.spread(i))*k.need > harmlessShare*math.Log(c.cfg.Bound) {
			c.setBudget(now, i, restoreShare*k.need)
		}
	}
	c.acted(now)
	return c.applyBudgets(now, Action{Kind: Throttle})
}
