package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// orphanTTL is how long the end of a run is kept while its job is not known.
const orphanTTL = 10 * time.Second

// orphan is the end of a run whose job is not known yet: an earlier leader was notified of the job, this one was not.
type orphan struct {
	worker *worker
	end    wire.RunEnd
	at     time.Time
}

// addOrphan keeps the end of a run if its job is not known, and drops ends older than orphanTTL.
func (t *Term) addOrphan(w *worker, e wire.RunEnd) {
	id, err := spec.ParseTask(e.Task)
	if err != nil || t.jobs[id.Job] != nil {
		return
	}
	now := time.Now()
	for job, list := range t.orphans {
		if now.Sub(list[0].at) > orphanTTL {
			delete(t.orphans, job)
		}
	}
	t.orphans[id.Job] = append(t.orphans[id.Job], orphan{worker: w, end: e, at: now})
}

// adoptOrphans applies the runs and ends of a new job that workers reported before the job was known.
func (t *Term) adoptOrphans(j *job, now time.Time) {
	for _, w := range t.workers {
		for key := range w.unknownRuns {
			id, err := spec.ParseTask(key.Task)
			if err != nil || id.Job != j.spec.ID {
				continue
			}
			if r := t.adopt(w, key, now); r != nil {
				r.listed, r.stopping = true, true // its stop was sent when it was found
				delete(w.unknownRuns, key)
			}
		}
	}
	for _, o := range t.orphans[j.spec.ID] {
		if t.workers[o.worker.agent.Name] == o.worker {
			t.applyEnd(o.worker, o.end, true, now)
		}
	}
	delete(t.orphans, j.spec.ID)
}
