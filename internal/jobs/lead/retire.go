package lead

import (
	"context"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	retireEvery = time.Second
	retireBatch = 400 // jobs deleted per pass
	partBatch   = 48  // jobs deleted per change, with up to two rows each; the store takes 100 entries in one change
)

// retired lists the jobs whose job and cancellation rows are deleted; their progress rows may be deleted next. It also lists
// the unknown jobs whose cancellation rows are deleted.
type retired struct {
	jobs    []spec.ID
	unknown []spec.ID
}

// retire deletes the rows of jobs whose retention has expired. The job and cancellation rows are in another part of the
// store and are deleted first; a later commit deletes the progress row, without which a leader would run the job again.
// Cancellations of jobs that have not become known for that time are deleted too.
func (t *Term) retire(ctx context.Context, now time.Time) {
	if t.retiring || now.Sub(t.retireAt) < retireEvery {
		return
	}
	t.retireAt = now
	expired := now.Add(-t.cfg.Retention - retentionMargin)
	var jobs, unknown []spec.ID
	for id, j := range t.jobs {
		if len(jobs) == retireBatch {
			break
		}
		if j.stored.IsFinal() && j.endedAt.Before(expired) {
			jobs = append(jobs, id)
		}
	}
	for id, at := range t.cancelledEarly {
		if len(jobs)+len(unknown) == retireBatch {
			break
		}
		if at.Before(expired) {
			unknown = append(unknown, id)
		}
	}
	if len(jobs)+len(unknown) == 0 {
		return
	}
	t.retiring = true
	t.wg.Go(func() {
		t.events.Put(ctx, retired{
			jobs:    t.deleteRows(ctx, jobs, rows.JobRef, rows.CancelRef),
			unknown: t.deleteRows(ctx, unknown, rows.CancelRef),
		})
	})
}

// deleteRows deletes rows of jobs in a part of the intake, those of a part together, and returns the jobs whose rows are
// deleted.
func (t *Term) deleteRows(ctx context.Context, list []spec.ID, refs ...func(cell string, id spec.ID) rows.Ref) []spec.ID {
	parts := make(map[string][]spec.ID)
	for _, id := range list {
		part := rows.JobRef(t.cfg.Cell, id).Part
		parts[part] = append(parts[part], id)
	}
	var deleted []spec.ID
	for _, ids := range parts {
		for batch := range slices.Chunk(ids, partBatch) {
			var c rows.Change
			for _, id := range batch {
				for _, ref := range refs {
					c.Deletes = append(c.Deletes, ref(t.cfg.Cell, id))
				}
			}
			limited, cancel := context.WithTimeout(ctx, readTimeout)
			_, err := t.cfg.Store.Change(limited, c)
			cancel()
			if err == nil {
				deleted = append(deleted, batch...)
			}
		}
	}
	return deleted
}

// applyRetired removes deleted jobs and cancellations, and schedules the deletion of progress rows.
func (t *Term) applyRetired(ev retired) {
	t.retiring = false
	for _, id := range ev.unknown {
		delete(t.cancelledEarly, id)
	}
	for _, id := range ev.jobs {
		for number := range t.jobs[id].pageCount() {
			t.pendingDeletes = append(t.pendingDeletes, rows.ProgressPageRef(t.cfg.Cell, id, number))
		}
		delete(t.jobs, id)
	}
}
