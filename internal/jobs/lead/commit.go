package lead

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// commitIfDue starts a commit if progress or a renewal of the head row is due and no commit is in flight. Ends without
// a durable effect count as durable once all earlier effects are stored.
func (t *Term) commitIfDue(ctx context.Context, now time.Time) {
	if t.commit != nil {
		return
	}
	if len(t.dirty) == 0 {
		t.markEndsDurable()
	}
	due := t.commitAt.Add(renewEvery)
	if len(t.dirty) > 0 || len(t.pendingDeletes) > 0 || len(t.restarted) > 0 {
		due = t.commitAt.Add(commitGap)
		if t.commitNow {
			due = now
		}
	}
	if now.Before(due) {
		t.wakeBy(due)
		return
	}
	t.startCommit(ctx, now)
}

// markEndsDurable marks the acknowledgeable ends as durable; no progress may be waiting for a commit.
func (t *Term) markEndsDurable() {
	for w := range t.undurable {
		if t.advanceDurable(w, t.acknowledgeable(w)) {
			t.wakeBy(time.Now())
		}
	}
}

// advanceDurable marks the ends of a worker up to a number as durable and reports whether any was not yet.
func (t *Term) advanceDurable(w *worker, number uint64) bool {
	advanced := number > w.durableEnd
	if advanced {
		w.durableEnd = number
		w.queue()
	}
	if w.durableEnd >= w.appliedEnd {
		delete(t.undurable, w)
	}
	return advanced
}

// startCommit writes up to maxBatch pages of progress and maxBatchBytes, and deletes up to maxDeletes rows, in the
// background; the result arrives as a committed event.
func (t *Term) startCommit(ctx context.Context, now time.Time) {
	c := &commit{}
	puts := t.putRestarts(maxBatch)
	size := 0
	for p := range t.dirty {
		if len(puts) == maxBatch {
			break
		}
		if p.number > 0 && p.job.state.IsFinal() {
			delete(t.dirty, p) // nothing but the final state is kept
			continue
		}
		value, err := p.encode()
		if err != nil {
			event.Log(t.cfg.Log, event.CommitFailed, zap.String("Job", string(p.job.spec.ID)), zap.Error(err))
			continue
		}
		if size += len(value); size > maxBatchBytes && len(puts) > 0 {
			break
		}
		puts = append(puts, rows.Row{Ref: rows.ProgressPageRef(t.cfg.Cell, p.job.spec.ID, p.number), Value: value})
		if p.number == 0 {
			c.jobs, c.states = append(c.jobs, p.job), append(c.states, p.job.state)
		}
		delete(t.dirty, p)
	}
	if len(t.dirty) == 0 {
		for w := range t.undurable {
			c.ends = append(c.ends, appliedEnds{worker: w, incarnation: w.state.Incarnation, number: t.acknowledgeable(w)})
		}
		t.commitNow = false
	}
	n := min(len(t.pendingDeletes), maxDeletes)
	deletes := slices.Clone(t.pendingDeletes[:n])
	t.pendingDeletes = slices.Delete(t.pendingDeletes, 0, n)
	t.commit, t.commitAt = c, now
	t.wg.Go(func() {
		began, err := t.writer.write(ctx, puts, deletes)
		if ctx.Err() == nil {
			t.events.Put(ctx, committed{began: began, err: err})
		}
	})
}

// applyCommit records what the finished commit made durable; it returns the error of a failed commit.
func (t *Term) applyCommit(ev committed) error {
	c := t.commit
	t.commit = nil
	if ev.err != nil {
		return ev.err
	}
	t.confirmedAt = ev.began
	for i, j := range c.jobs {
		j.stored = c.states[i]
	}
	for _, e := range c.ends {
		t.markDurable(e)
	}
	return nil
}

// markDurable marks ends as durable unless the worker has been restarted since.
func (t *Term) markDurable(e appliedEnds) {
	w := e.worker
	if w.state.Incarnation != e.incarnation {
		return
	}
	t.advanceDurable(w, e.number)
}

// removeFinished removes jobs in a final state from the active list.
func (t *Term) removeFinished() {
	active := t.active[:0]
	for _, j := range t.active {
		if !j.state.IsFinal() {
			active = append(active, j)
		}
	}
	clear(t.active[len(active):])
	t.active = active
}
