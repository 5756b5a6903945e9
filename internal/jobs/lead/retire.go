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
	partBatch   = 48  // jobs deleted per change, with two rows each; the store takes 100 entries in one change
)

// retired lists the jobs whose job and cancellation rows are deleted; their progress rows may be deleted next.
type retired struct {
	jobs []spec.ID
}

// retire deletes the rows of jobs whose retention has expired. The job and cancellation rows are in another part of the
// store and are deleted first; a later commit deletes the progress row, without which a leader would run the job again.
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
		if j.stored.IsFinal() && now.Sub(j.endedAt) > t.cfg.Retention+retentionMargin {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return
	}
	t.retiring = true
	t.wg.Go(func() { t.events.Put(ctx, retired{t.deleteRows(ctx, list)}) })
}

// deleteRows deletes the job and cancellation rows of jobs, those of a part together, and returns the jobs whose rows
// are deleted.
func (t *Term) deleteRows(ctx context.Context, list []spec.ID) []spec.ID {
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
				c.Deletes = append(c.Deletes, rows.JobRef(t.cfg.Cell, id), rows.CancelRef(t.cfg.Cell, id))
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

// applyRetired removes deleted jobs and schedules the deletion of their progress rows.
func (t *Term) applyRetired(ev retired) {
	t.retiring = false
	for _, id := range ev.jobs {
		for number := range t.jobs[id].pageCount() {
			t.pendingDeletes = append(t.pendingDeletes, rows.ProgressPageRef(t.cfg.Cell, id, number))
		}
		delete(t.jobs, id)
	}
}
