package lead

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	adviceTimeout     = 3 * time.Second        // of a request to the policy service, which handles one at a time
	adviceRetryDelay  = 150 * time.Millisecond // before a new request after a failed or empty reply
	ticketMargin      = 250 * time.Millisecond // before a ticket expires, during which it is not used
	maxAdviceWorkers  = 30                     // workers per request
	adviceSample      = 8 * maxAdviceWorkers   // workers that are compared before the rest of the fleet
	maxAdviceRequests = 24                     // in flight; the service refuses more than 32
)

// advice caches the reply of the policy service for a step: the workers that may run it, with their tickets.
type advice struct {
	tickets    map[string]string // by worker ID
	validUntil time.Time
	inFlight   bool
	retryAt    time.Time // earliest time of the next request
}

// tickets returns the tickets of a step by worker ID. It returns false, and requests advice if needed, while none is
// valid.
func (t *Term) tickets(ctx context.Context, j *job, round, step int, now time.Time) (map[string]string, bool) {
	key := stepKey{j.spec.ID, round, step}
	a := t.advice[key]
	if a == nil {
		a = &advice{}
		t.advice[key] = a
	}
	if now.Before(a.validUntil) {
		return a.tickets, true
	}
	if a.inFlight {
		return nil, false
	}
	if now.Before(a.retryAt) {
		t.wakeBy(a.retryAt)
		return nil, false
	}
	t.requestAdvice(ctx, key, a, j)
	return nil, false
}

// requestAdvice requests advice on a step in the background; the reply arrives as an advised event.
func (t *Term) requestAdvice(ctx context.Context, key stepKey, a *advice, j *job) {
	if t.adviceInFlight >= maxAdviceRequests {
		return
	}
	names := t.candidates(j, &j.spec.Steps[key.step])
	if len(names) == 0 {
		return
	}
	a.inFlight = true
	t.adviceInFlight++
	name := spec.Task{Job: key.job, Round: key.round, Step: key.step}.StepName()
	t.wg.Go(func() {
		limited, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		tickets, valid, err := t.cfg.Advisor.Advise(limited, name, names)
		t.events.Put(ctx, advised{key: key, tickets: tickets, valid: valid, err: err})
	})
}

// candidates returns the IDs of up to maxAdviceWorkers workers that may run the step, those with the most free
// processors first.
func (t *Term) candidates(j *job, s *spec.Step) []string {
	var list []*worker
	add := func(workers []*worker) {
		for _, w := range workers {
			if w.acceptsRuns() && w.state.Service == j.spec.Service && (s.Label == "" || w.hasLabel(s.Label)) {
				list = append(list, w)
			}
		}
	}
	add(t.fleet.sample(adviceSample))
	if len(list) < maxAdviceWorkers {
		add(t.fleet.others(adviceSample))
	}
	sortByLoad(list)
	names := make([]string, 0, maxAdviceWorkers)
	for _, w := range list {
		if len(names) == maxAdviceWorkers {
			break
		}
		names = append(names, w.state.Incarnation.ID)
	}
	return names
}

// applyAdvice caches the reply of the policy service; failed and empty replies are requested again after a delay.
func (t *Term) applyAdvice(ev advised) {
	t.adviceInFlight--
	a := t.advice[ev.key]
	if a == nil {
		return
	}
	now := time.Now()
	a.inFlight = false
	name := spec.Task{Job: ev.key.job, Round: ev.key.round, Step: ev.key.step}.StepName()
	if ev.err != nil {
		a.retryAt = now.Add(adviceRetryDelay)
		event.Log(t.cfg.Log, event.AdviceFailed, zap.String("Step", name), zap.Error(ev.err))
		return
	}
	a.tickets, a.validUntil = ev.tickets, now.Add(ev.valid-ticketMargin)
	if len(ev.tickets) == 0 {
		a.validUntil = now.Add(adviceRetryDelay)
	}
	event.Log(t.cfg.Log, event.AdviceGiven, zap.String("Step", name), zap.Int("Workers", len(ev.tickets)),
		zap.Duration("Valid", ev.valid))
}

// sortByLoad sorts workers by free processors, the most first.
func sortByLoad(list []*worker) {
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().Processors, a.free().Processors), cmp.Compare(a.agent.Name, b.agent.Name))
	})
}
