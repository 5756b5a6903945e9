package lead

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	adviceTimeout     = 3 * time.Second        // of a request to the policy service, which handles one at a time
	adviceRetryDelay  = 150 * time.Millisecond // before a new request after a failed reply, or one whose tickets have expired
	adviceRestart     = 3 * time.Second        // before workers are named again after all of them have been refused
	ticketMargin      = 250 * time.Millisecond // before a ticket expires, during which it is not used
	maxAdviceWorkers  = 30                     // workers per request
	adviceSample      = 8 * maxAdviceWorkers   // workers that are compared before the rest of the fleet
	maxAdviceRequests = 24                     // in flight; the service refuses more than 32
)

// ticket is the permission of the policy service to run a step on a worker.
type ticket struct {
	text       string
	validUntil time.Time
}

// advice holds the replies of the policy service about a step. The workers that may run a step do not change, so that each
// request names workers that have not been named before.
type advice struct {
	tickets  map[string]ticket                   // of the workers that may run the step, by worker ID; some may have expired
	refused  map[wire.WorkerIncarnation]struct{} // workers that may not run the step
	inFlight bool
	retryAt  time.Time // earliest time of the next request
}

// valid returns the tickets that have not expired, by worker ID.
func (a *advice) valid(now time.Time) map[string]string {
	valid := make(map[string]string, len(a.tickets))
	for id, k := range a.tickets {
		if now.Before(k.validUntil) {
			valid[id] = k.text
		}
	}
	return valid
}

// tickets returns the valid tickets of a step by worker ID. It returns false, and requests advice, if there are none.
func (t *Term) tickets(ctx context.Context, key stepKey, j *job, now time.Time) (map[string]string, bool) {
	a := t.advice[key]
	if a == nil {
		a = &advice{tickets: make(map[string]ticket), refused: make(map[wire.WorkerIncarnation]struct{})}
		t.advice[key] = a
	}
	valid := a.valid(now)
	if len(valid) == 0 {
		t.requestAdvice(ctx, key, j, now)
	}
	return valid, len(valid) > 0
}

// requestAdvice requests advice on a step in the background, unless a request is in flight or there are no candidates; the reply
// arrives as an advised event.
func (t *Term) requestAdvice(ctx context.Context, key stepKey, j *job, now time.Time) {
	a := t.advice[key]
	if a.inFlight || t.adviceInFlight >= maxAdviceRequests {
		return
	}
	if now.Before(a.retryAt) {
		t.wakeBy(a.retryAt)
		return
	}
	hasTickets := len(a.valid(now)) > 0
	list := t.candidates(a, j, &j.spec.Steps[key.step], hasTickets, now)
	if len(list) == 0 {
		if !hasTickets && len(a.refused) > 0 {
			clear(a.refused)
			a.retryAt = now.Add(adviceRestart)
			t.wakeBy(a.retryAt)
		}
		return
	}
	a.inFlight = true
	t.adviceInFlight++
	name := spec.Task{Job: key.job, Round: key.round, Step: key.step}.StepName()
	ids := make([]string, len(list))
	for i, w := range list {
		ids[i] = w.ID
	}
	t.wg.Go(func() {
		limited, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		tickets, valid, err := t.cfg.Advisor.Advise(limited, name, ids)
		t.events.Put(ctx, advised{key: key, workers: list, tickets: tickets, valid: valid, err: err})
	})
}

// candidates returns up to maxAdviceWorkers workers for a request on a step: those that may run it, but whose tickets have
// expired, and then those that have not been named yet, each with the most free processors first. With onlyFree, it returns
// only workers that have a place for a task.
func (t *Term) candidates(a *advice, j *job, s *spec.Step, onlyFree bool, now time.Time) []wire.WorkerIncarnation {
	var known, others []*worker
	add := func(workers []*worker) {
		for _, w := range workers {
			if !w.acceptsRuns() || w.state.Service != j.spec.Service || s.Label != "" && !w.hasLabel(s.Label) {
				continue
			}
			if onlyFree && !s.Reserved().Fits(w.free()) || !t.allowsStart(w, now) {
				continue
			}
			if _, isRefused := a.refused[w.state.Incarnation]; isRefused {
				continue
			}
			if k, ok := a.tickets[w.state.Incarnation.ID]; !ok {
				others = append(others, w)
			} else if !now.Before(k.validUntil) {
				known = append(known, w)
			}
		}
	}
	add(t.fleet.sample(adviceSample))
	if len(known)+len(others) < maxAdviceWorkers {
		add(t.fleet.others(adviceSample))
	}
	sortByLoad(known)
	sortByLoad(others)
	list := make([]wire.WorkerIncarnation, 0, maxAdviceWorkers)
	for _, w := range append(known, others...) {
		if len(list) == maxAdviceWorkers {
			break
		}
		list = append(list, w.state.Incarnation)
	}
	return list
}

// applyAdvice records a reply of the policy service and lets the step be scheduled again.
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
	for _, w := range ev.workers {
		if text, ok := ev.tickets[w.ID]; ok {
			a.tickets[w.ID] = ticket{text: text, validUntil: now.Add(ev.valid - ticketMargin)}
		} else {
			delete(a.tickets, w.ID)
			a.refused[w] = struct{}{}
		}
	}
	if len(ev.tickets) > 0 && ev.valid <= ticketMargin {
		a.retryAt = now.Add(adviceRetryDelay)
	}
	if j := t.jobs[ev.key.job]; j != nil {
		j.clearBlocks(ev.key.round, ev.key.step)
	}
	event.Log(t.cfg.Log, event.AdviceGiven, zap.String("Step", name), zap.Int("Named", len(ev.workers)),
		zap.Int("Workers", len(ev.tickets)), zap.Int("Refused", len(a.refused)), zap.Duration("Valid", ev.valid))
}

// sortByLoad sorts workers by free processors, the most first.
func sortByLoad(list []*worker) {
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().Processors, a.free().Processors), cmp.Compare(a.agent.Name, b.agent.Name))
	})
}
