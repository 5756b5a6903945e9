package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// orphanLife is how long the end of a run is kept whose job is not known yet.
const orphanLife = 10 * time.Second

// orphan is the end of a run whose job is not known yet: an earlier leader was told of the job, this one was not.
type orphan struct {
	worker *worker
	end    wire.RunEnd
	at     time.Time
}

func (t *Term) keepOrphan(w *worker, e wire.RunEnd) {
	id, err := spec.ParseTask(e.Task)
	if err != nil || t.jobs[id.Job] != nil {
		return
	}
	now := time.Now()
	for job, list := range t.orphans {
		if now.Sub(list[0].at) > orphanLife {
			delete(t.orphans, job)
		}
	}
	t.orphans[id.Job] = append(t.orphans[id.Job], orphan{worker: w, end: e, at: now})
}

// claimOrphans gives a new job the runs and ends that workers listed before the job was known.
func (t *Term) claimOrphans(j *job, now time.Time) {
	for _, w := range t.workers {
		for key := range w.strays {
			id, err := spec.ParseTask(key.Task)
			if err != nil || id.Job != j.spec.ID {
				continue
			}
			if r := t.adopt(w, key, now); r != nil {
				r.listed, r.stopping = true, true // its stop was ordered when it was found
				delete(w.strays, key)
			}
		}
	}
	for _, o := range t.orphans[j.spec.ID] {
		if t.workers[o.worker.agent.Name] == o.worker {
			t.takeEnd(o.worker, o.end, true, now)
		}
	}
	delete(t.orphans, j.spec.ID)
}
