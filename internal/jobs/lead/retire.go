package lead

import (
	"context"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	retireEvery = time.Second
	retireBatch = 16 // jobs whose rows are deleted together
)

// retired tells which jobs have no row any more that a later leader would take for a new job.
type retired struct {
	jobs []spec.ID
}

// retire deletes the rows of jobs whose retention has passed: first the job's own, which are in another part, and with
// a later commit its progress, without which a leader would run the job again.
func (t *Term) retire(ctx context.Context, now time.Time) {
	if t.retiring || now.Sub(t.retireAt) < retireEvery {
		return
	}
	t.retireAt = now
	var list []spec.ID
	for id, j := range t.jobs {
		if len(list) == retireBatch {
			break
		}
		if j.stored.IsFinal() && now.Sub(j.endedAt) > t.cfg.Retention+retention {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return
	}
	t.retiring = true
	t.running.Go(func() {
		var gone []spec.ID
		for _, id := range list {
			limited, cancel := context.WithTimeout(ctx, readLimit)
			_, err := t.cfg.Store.Change(limited, rows.Change{
				Deletes: []rows.Ref{rows.JobRef(t.cfg.Cell, id), rows.CancelRef(t.cfg.Cell, id)},
			})
			cancel()
			if err == nil {
				gone = append(gone, id)
			}
		}
		t.events.Put(ctx, retired{gone})
	})
}

func (t *Term) takeRetired(ev retired) {
	t.retiring = false
	for _, id := range ev.jobs {
		delete(t.jobs, id)
		t.dropped = append(t.dropped, rows.ProgressRef(t.cfg.Cell, id))
	}
}
