package interf

import (
	"math"
	"time"
)

// applyBudgets sets the limits of all tasks according to the budgets of their classes; a new task shares the budget of
// its class at once. Throttle actions are copies of template.
func (c *Controller) applyBudgets(now time.Time, template Action) []Action {
	var list []Action
	for i := range c.tasks {
		t := &c.tasks[i]
		k := c.classOf(t)
		limit := int64(0)
		if k.budget >= 0 && k.budget < k.need {
			limit = max(1, int64(float64(t.Need)*k.budget/k.need))
		}
		list = c.setLimit(now, list, t, limit, template)
	}
	return list
}

// setLimit appends the action that sets the limit of a task, unless the task is ending or its current limit is
// close enough.
func (c *Controller) setLimit(now time.Time, list []Action, t *Task, limit int64, template Action) []Action {
	old := c.limits[t.Ref].limit
	change := math.Abs(float64(limit - old))
	if t.Ending || limit == old || limit > 0 && old > 0 && change <= minChangeShare*float64(t.Need) && limit > 1 {
		return list
	}
	template.Ref, template.Class, template.Processors = t.Ref, t.Class, limit
	if limit == 0 || old > 0 && limit > old {
		template.Kind, template.Service, template.Slowdown = Restore, "", 0
	}
	c.limits[t.Ref] = appliedLimit{limit, now}
	return append(list, template)
}

func (c *Controller) classOf(t *Task) *class { return &c.classes[c.findClass(t.Class)] }

// findClass returns the index of a class of a listed task.
func (c *Controller) findClass(name string) int {
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
		k.tightSince = time.Time{}
	case k.tightSince.IsZero():
		k.tightSince = now
	}
}

// tighten throttles the classes with the largest effects first, by as much as the model predicts to be necessary. If a
// class slows the service even at its lowest limit, it evicts one of its tasks. If no effect is significant, it halves
// the budget of the likely cause, or reduces it to the minimum for a large slowdown.
func (c *Controller) tighten(now time.Time, s *service, excess float64) []Action {
	m, x := s.model(s.band), c.currentUsage()
	left := excess - targetShare*math.Log(c.cfg.Bound)
	changed := false
	for left > modelError {
		n := c.largestEffect(m, x, causeShare*excess)
		if n < 0 {
			break
		}
		low := minShare * c.classes[n].need
		next := max(low, x[n]-left/m.mean[n])
		left -= m.mean[n] * (x[n] - next)
		c.setBudget(now, n, next)
		x[n] = next
		changed = true
	}
	template := Action{Kind: Throttle, Service: s.name, Slowdown: exp(excess)}
	if !changed {
		if a, ok := c.evict(now, s, true); ok {
			a.Slowdown = template.Slowdown
			c.startWait(now)
			return []Action{a}
		}
		if n := c.likelyCause(m, x); n >= 0 {
			low := minShare * c.classes[n].need
			if excess < 2*math.Log(c.cfg.Bound) {
				low = max(low, x[n]/2)
			}
			c.setBudget(now, n, low)
			changed = true
		}
	}
	if changed {
		c.startWait(now)
	}
	return c.applyBudgets(now, template)
}

// largestEffect returns the class that can be throttled further with the largest significant effect above threshold; -1
// for none.
func (c *Controller) largestEffect(m *model, x vector, threshold float64) int {
	best, most := -1, 0.0
	for i := range x {
		if c.canTighten(i, x) && m.isSignificant(i) && m.mean[i]*x[i] > max(most, threshold) {
			best, most = i, m.mean[i]*x[i]
		}
	}
	return best
}

// likelyCause returns the class with the largest upper bound of its effect; -1 for none.
func (c *Controller) likelyCause(m *model, x vector) int {
	best, most := -1, 0.0
	for i := range x {
		if upper := (m.mean[i] + m.deviation(i)) * x[i]; c.canTighten(i, x) && upper > most {
			best, most = i, upper
		}
	}
	return best
}

func (c *Controller) canTighten(n int, x vector) bool {
	k := c.classes[n]
	return k.tasks > 0 && x[n] > (minShare+minChangeShare)*k.need
}

// evict returns the eviction of the task with the least unsaved work, of the class with a tight budget and the largest
// effect. Unless urgent is set, the budget must have been tight for tightTime: by then, other work makes better use
// of the capacity.
func (c *Controller) evict(now time.Time, s *service, urgent bool) (Action, bool) {
	if now.Sub(c.evictedAt) < evictInterval {
		return Action{}, false
	}
	m := s.model(s.band)
	best, most := -1, 0.0
	for i, k := range c.classes {
		due := !k.tightSince.IsZero() && (urgent || now.Sub(k.tightSince) >= tightTime)
		if effect := m.mean[i] * k.need; due && k.tasks > 0 && m.isSignificant(i) && effect > most {
			best, most = i, effect
		}
	}
	if best < 0 {
		return Action{}, false
	}
	var victim *Task
	for i := range c.tasks {
		t := &c.tasks[i]
		if c.findClass(t.Class) == best && !t.Ending && (victim == nil || t.Unsaved < victim.Unsaved) {
			victim = t
		}
	}
	if victim == nil {
		return Action{}, false
	}
	c.evictedAt = now
	victim.Ending = true
	return Action{Kind: Evict, Ref: victim.Ref, Class: victim.Class, Service: s.name}, true
}

// restore raises the budgets of limited classes by one step, within the model's prediction for every service with
// traffic: of all classes whose effect is harmless or not significant, or else of the least harmful one. After a long
// time with slack it takes a small step against the prediction, since effects change and are learned only from usage.
func (c *Controller) restore(now time.Time, active []*service) {
	best, leastHarm, bestStep := -1, math.Inf(1), 0.0
	probing := now.Sub(c.changedAt) >= probeTime && now.Sub(c.slackSince) >= probeTime
	changed := false
	for i, k := range c.classes {
		if k.tasks == 0 || k.budget < 0 {
			continue
		}
		step, harm, harmless := c.restoreStep(i, active)
		if harmless || !c.isHarmful(i, active) {
			c.raiseBudget(now, i, step)
			changed = true
			continue
		}
		if probing {
			step = max(step, restoreShare/4*k.need)
		}
		if step > minChangeShare*k.need && harm < leastHarm {
			best, leastHarm, bestStep = i, harm, step
		}
	}
	if !changed && best >= 0 {
		c.raiseBudget(now, best, bestStep)
		changed = true
	}
	if changed {
		c.startWait(now)
	}
}

// restoreStep returns the next increase of the budget of a class, its largest effect on a service, and whether even the
// upper bound of its effect is harmless to all services.
func (c *Controller) restoreStep(n int, active []*service) (step, harm float64, harmless bool) {
	allowed, need := math.Log(c.cfg.Bound), c.classes[n].need
	// Steps are less frequent with a long lag, so they are larger.
	share := min(restoreShare*(1+c.lag.Seconds()/lagPerStep), 0.5)
	step, harmless = share*need, true
	for _, s := range active {
		m := s.model(s.band)
		harm = max(harm, m.mean[n])
		harmless = harmless && (m.mean[n]+m.deviation(n))*need < harmlessShare*allowed
		if m.isSignificant(n) {
			step = min(step, (slackShare*allowed-m.predict(c.currentUsage()))/m.mean[n])
		}
	}
	if harmless {
		step = 2 * share * need
	}
	return step, harm, harmless
}

// isHarmful reports whether a class has a significant effect on a service with traffic.
func (c *Controller) isHarmful(n int, active []*service) bool {
	for _, s := range active {
		if s.model(s.band).isSignificant(n) {
			return true
		}
	}
	return false
}

func (c *Controller) raiseBudget(now time.Time, n int, step float64) {
	next := c.classes[n].budget + step
	if next >= c.classes[n].need {
		next = unlimited
	}
	c.setBudget(now, n, next)
}

// throttleAll limits all tasks to measureShare of their need.
func (c *Controller) throttleAll(now time.Time) []Action {
	var list []Action
	for i := range c.tasks {
		t := &c.tasks[i]
		limit := max(1, int64(measureShare*float64(t.Need)))
		list = c.setLimit(now, list, t, limit, Action{Kind: Measure, Service: c.measuring.name})
	}
	return list
}

// continueMeasuring throttles batch tasks until the baseline is known or the time for the measurement is over. If
// it is known, classes without a limit that may still interfere then get a low budget.
func (c *Controller) continueMeasuring(now time.Time) []Action {
	s := c.measuring
	known := s.baselines[s.band].n >= minBaselineSamples
	if now.Before(c.measureEnds) && (!known || now.Before(c.waitUntil)) {
		return c.throttleAll(now)
	}
	c.measuring = nil
	c.nextMeasure = now.Add(measurePause)
	m := s.model(s.band)
	for i, k := range c.classes {
		if k.tasks > 0 && k.budget < 0 && known && !m.isSignificant(i) &&
			(m.mean[i]+m.deviation(i))*k.need > harmlessShare*math.Log(c.cfg.Bound) {
			c.setBudget(now, i, restoreShare*k.need)
		}
	}
	c.startWait(now)
	return c.applyBudgets(now, Action{Kind: Throttle})
}
