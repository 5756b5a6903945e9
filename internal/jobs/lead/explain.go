package lead

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	maxExplainedSteps   = 10
	maxCandidates       = 5    // workers that are named for a step
	maxExplainedWorkers = 1000 // that are evaluated; 10 best-effort steps took 7.5 ms for them
	// explainEvery is the least time between answers, since any number of clients may ask without a token.
	explainEvery = 50 * time.Millisecond
)

// Explanation tells where the tasks of a job would be started if it had just been accepted.
type Explanation struct {
	Entry       string            // that was asked, which sets this and the next field
	Admission   *AdmissionPreview // nil if the entry accepts all jobs
	Leader      string            // name of the leading entry
	Workers     int               // in the cell
	Considered  int               // workers that were evaluated
	Higher      int               // waiting jobs of higher priorities
	Before      int               // waiting jobs of the same priority that come first by feasibility and deadline
	DueIn       int64             // ms until the job may start; 0 for now
	NeedsTicket bool              // the policy service must allow each worker, which is asked only for accepted jobs
	LaterSteps  int               // steps that are not in Steps, since they depend on others or are too many
	Steps       []ExplainedStep
}

// AdmissionPreview is the decision of an entry's admission control about a job that is submitted for the first time.
type AdmissionPreview struct {
	Admit  bool
	Reason string // of fcast.Decision
	Wait   int64  // forecast time until the work before the job is done, ms; 0 if there is no forecast of it
}

// ExplainedStep tells where the tasks of a step would be started.
type ExplainedStep struct {
	Step       int // index in the job
	Tasks      int
	Suitable   int         // workers that may run a task
	Candidates []Candidate // the suitable workers with the lowest cost, the lowest first
	Excluded   []Exclusion // the other workers by their first reason
}

// Candidate is a worker that may run a task of a step in addition to its current runs.
type Candidate struct {
	Worker, Zone string
	Cost         float64 // 1 is a full load
	Speed        float64 // expected share of full speed
}

// Exclusion is the number of workers that may not run a task for a reason.
type Exclusion struct {
	Reason  string
	Workers int
}

// explain sends the explanation of a job and returns the verdict of the reply that follows it. It changes nothing that a
// later decision depends on.
func (t *Term) explain(ev requested, now time.Time) wire.JobVerdict {
	var s spec.Job
	if wire.Unpack(ev.m.Packed, &s) != nil || s.Check() != nil {
		return wire.VerdictUnknown
	}
	if !t.mayGrant(now) {
		return wire.VerdictNotReady
	}
	if !t.explainedAt.IsZero() && now.Sub(t.explainedAt) < explainEvery {
		return wire.VerdictNotDone
	}
	t.explainedAt = now
	packed, err := json.Marshal(t.explanation(&s, now))
	if err != nil || ev.link.Send(&wire.JobExplained{Number: ev.m.Number, Packed: packed}) != nil {
		return wire.VerdictNotDone
	}
	return wire.VerdictKnown
}

func (t *Term) explanation(s *spec.Job, now time.Time) *Explanation {
	j := newJobWithoutTasks(s, now)
	workers := t.fleet.shuffled[:min(len(t.fleet.shuffled), maxExplainedWorkers)]
	e := &Explanation{
		Leader: t.cfg.Name, Workers: len(t.fleet.shuffled), Considered: len(workers), NeedsTicket: t.isAdvised(j),
	}
	if due, ok := s.Due(0); ok {
		e.DueIn = max(0, time.Until(due).Milliseconds())
	}
	e.Higher, e.Before = t.countBefore(j, now)
	for i := range s.Steps {
		if len(s.Steps[i].After) > 0 || len(e.Steps) == maxExplainedSteps {
			e.LaterSteps++
			continue
		}
		e.Steps = append(e.Steps, ExplainedStep{Step: i, Tasks: s.Steps[i].Count})
	}
	excluded := make([][endOfExclusions]int, len(e.Steps))
	for _, w := range workers {
		isCached := w.pressure != nil
		for i := range e.Steps {
			c := stepContext{job: j, step: e.Steps[i].Step, now: now}
			speed, reason := t.exclusionOf(c, w)
			if reason == 0 && w.reliability.isUnreliable(now) && !w.mayProbe(now) {
				reason = excludeUnreliable
			}
			if excluded[i][reason]++; reason == 0 {
				e.Steps[i].Candidates = append(e.Steps[i].Candidates, Candidate{w.agent.Name, w.state.Zone, t.cost(c, w, speed), speed})
			}
		}
		if !isCached {
			w.pressure = nil // it depends on the time at which it is computed
		}
	}
	for i := range e.Steps {
		e.Steps[i].finish(&excluded[i])
	}
	return e
}

func (s *ExplainedStep) finish(excluded *[endOfExclusions]int) {
	slices.SortFunc(s.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Worker, b.Worker))
	})
	s.Suitable = len(s.Candidates)
	s.Candidates = s.Candidates[:min(len(s.Candidates), maxCandidates)]
	for reason, n := range excluded {
		if n > 0 && reason > 0 {
			s.Excluded = append(s.Excluded, Exclusion{exclusion(reason).String(), n})
		}
	}
}

// countBefore returns the numbers of jobs with waiting tasks that come before a job which is accepted now.
func (t *Term) countBefore(j *job, now time.Time) (higher, same int) {
	u := j.urgencyAt(now)
	for _, o := range t.active {
		if o.waiting == 0 || o.state.IsFinal() {
			continue
		}
		if other := o.urgencyAt(now); other.priority < u.priority {
			higher++
		} else if other.compare(&u) <= 0 {
			same++
		}
	}
	return higher, same
}
