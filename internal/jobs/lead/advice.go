package lead

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	adviceLimit  = 3 * time.Second        // for an answer of the policy service, which serves one question at a time
	adviceRetry  = 150 * time.Millisecond // after a failure
	adviceMargin = 250 * time.Millisecond // of a ticket's life that is not used
	maxAsked     = 30                     // workers named in one question
	maxQuestions = 24                     // in progress; the service refuses more than 32
)

// advice is what is known of the workers that may run a step.
type advice struct {
	tickets map[string]string // by worker
	until   time.Time
	asking  bool
	after   time.Time // not asked before
}

// tickets returns the tickets of a step, and false while they have to be waited for.
func (t *Term) tickets(ctx context.Context, j *job, round, step int, now time.Time) (map[string]string, bool) {
	key := pair{j.spec.ID, round, step}
	a := t.advice[key]
	if a == nil {
		a = &advice{}
		t.advice[key] = a
	}
	if now.Before(a.until) {
		return a.tickets, true
	}
	if a.asking {
		return nil, false
	}
	if now.Before(a.after) {
		t.wakeBy(a.after)
		return nil, false
	}
	t.askAdvice(ctx, key, a, j)
	return nil, false
}

func (t *Term) askAdvice(ctx context.Context, key pair, a *advice, j *job) {
	if t.asking >= maxQuestions {
		return
	}
	names := t.candidates(j, &j.spec.Steps[key.step])
	if len(names) == 0 {
		return
	}
	a.asking = true
	t.asking++
	name := spec.Task{Job: key.job, Round: key.round, Step: key.step}.StepName()
	t.running.Go(func() {
		limited, cancel := context.WithTimeout(ctx, adviceLimit)
		defer cancel()
		tickets, valid, err := t.cfg.Advisor.Advise(limited, name, names)
		t.events.Put(ctx, advised{key: key, tickets: tickets, valid: valid, err: err})
	})
}

// candidates returns the workers to ask about: those that may run the step, the least loaded first.
func (t *Term) candidates(j *job, s *spec.Step) []string {
	var list []*worker
	for _, w := range t.workers {
		if w.takes() && w.state.Service == j.spec.Service && (s.Label == "" || w.hasLabel(s.Label)) {
			list = append(list, w)
		}
	}
	sortByLoad(list)
	names := make([]string, 0, maxAsked)
	for _, w := range list {
		if len(names) == maxAsked {
			break
		}
		names = append(names, w.state.Life.ID)
	}
	return names
}

func (t *Term) takeAdvice(ev advised) {
	t.asking--
	a := t.advice[ev.key]
	if a == nil {
		return
	}
	now := time.Now()
	a.asking = false
	name := spec.Task{Job: ev.key.job, Round: ev.key.round, Step: ev.key.step}.StepName()
	if ev.err != nil {
		a.after = now.Add(adviceRetry)
		event.Log(t.cfg.Log, event.AdviceFailed, zap.String("Step", name), zap.Error(ev.err))
		return
	}
	a.tickets, a.until = ev.tickets, now.Add(ev.valid-adviceMargin)
	if len(ev.tickets) == 0 {
		a.until = now.Add(adviceRetry)
	}
	event.Log(t.cfg.Log, event.AdviceGiven, zap.String("Step", name), zap.Int("Workers", len(ev.tickets)),
		zap.Duration("Valid", ev.valid))
}
