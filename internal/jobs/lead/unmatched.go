package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// unmatchedEndTTL is how long the end of a run is kept while its job is not known.
const unmatchedEndTTL = 10 * time.Second

// unmatchedEnd is the end of a run whose job is not known yet: an earlier leader was notified of the job, this one was
// not.
type unmatchedEnd struct {
	worker      *worker
	incarnation wire.WorkerIncarnation
	end         wire.RunEnd
	at          time.Time
}

// addUnmatchedEnd keeps the end of a run if its job is not known, and drops ends older than unmatchedEndTTL.
func (t *Term) addUnmatchedEnd(w *worker, e wire.RunEnd) {
	id, err := spec.ParseTask(e.Task)
	if err != nil || t.jobs[id.Job] != nil {
		return
	}
	now := time.Now()
	for job, list := range t.unmatchedEnds {
		if now.Sub(list[0].at) > unmatchedEndTTL {
			delete(t.unmatchedEnds, job)
		}
	}
	t.unmatchedEnds[id.Job] = append(t.unmatchedEnds[id.Job], unmatchedEnd{
		worker: w, incarnation: w.state.Incarnation, end: e, at: now,
	})
}

// acknowledgeable returns the number of the last applied end of a worker that may be acknowledged once all earlier effects
// are stored. An unmatched end is held until the rows of jobs have been read after it: its job is then known, or gone.
func (t *Term) acknowledgeable(w *worker) uint64 {
	number := w.appliedEnd
	for _, list := range t.unmatchedEnds {
		for _, e := range list {
			if e.worker == w && e.incarnation == w.state.Incarnation && !e.at.Before(t.jobsReadAt) {
				number = min(number, e.end.Number-1)
			}
		}
	}
	return number
}

// adoptUnmatched applies the runs and ends of a new job that workers reported before the job was known.
func (t *Term) adoptUnmatched(j *job, now time.Time) {
	for _, w := range t.workers {
		for key := range w.unknownRuns {
			id, err := spec.ParseTask(key.Task)
			if err != nil || id.Job != j.spec.ID {
				continue
			}
			if r := t.adopt(w, key, now); r != nil {
				w.confirm(r)
				r.stopping = true // its stop was sent when it was found
				delete(w.unknownRuns, key)
			}
		}
	}
	for _, e := range t.unmatchedEnds[j.spec.ID] {
		if t.workers[e.worker.agent.Name] == e.worker {
			t.applyEnd(e.worker, e.end, true, now)
		}
	}
	delete(t.unmatchedEnds, j.spec.ID)
}
