package lead

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// write starts a commit when progress or a renewal is due and none is in flight. Ends without a durable effect are safe
// as soon as all effects before them are stored.
func (t *Term) write(ctx context.Context, now time.Time) {
	if t.commit != nil {
		return
	}
	if len(t.dirty) == 0 {
		t.noteEnds()
	}
	due := t.commitAt.Add(renewEvery)
	if len(t.dirty) > 0 || len(t.dropped) > 0 {
		due = t.commitAt.Add(commitGap)
		if t.urgent {
			due = now
		}
	}
	if now.Before(due) {
		t.wakeBy(due)
		return
	}
	t.begin(ctx, now)
}

// noteEnds makes all ends that were taken safe, which is true while nothing waits to be stored.
func (t *Term) noteEnds() {
	for _, w := range t.workers {
		if w.safeEnd < w.seenEnd {
			w.safeEnd = w.seenEnd
			t.wakeBy(time.Now())
		}
	}
}

func (t *Term) begin(ctx context.Context, now time.Time) {
	c := &commit{ends: make(map[*worker]uint64)}
	var puts []rows.Row
	for j := range t.dirty {
		if len(puts) == maxBatch {
			break
		}
		value, err := rows.Encode(j.advance())
		if err != nil {
			event.Log(t.cfg.Log, event.CommitFailed, zap.String("Job", string(j.spec.ID)), zap.Error(err))
			continue
		}
		puts = append(puts, rows.Row{Ref: rows.ProgressRef(t.cfg.Cell, j.spec.ID), Value: value})
		c.jobs, c.state = append(c.jobs, j), append(c.state, j.state)
		j.dirty = false
		delete(t.dirty, j)
	}
	if len(t.dirty) == 0 {
		for _, w := range t.workers {
			c.ends[w] = w.seenEnd
		}
		t.urgent = false
	}
	deletes := t.dropped
	t.dropped = nil
	t.commit, t.commitAt = c, now
	t.running.Go(func() {
		began, err := t.writer.write(ctx, puts, deletes)
		if ctx.Err() == nil {
			t.events.Put(ctx, committed{began: began, err: err})
		}
	})
}

func (t *Term) committed(ev committed) error {
	c := t.commit
	t.commit = nil
	if ev.err != nil {
		return ev.err
	}
	t.confirmed = ev.began
	for i, j := range c.jobs {
		j.stored = c.state[i]
	}
	for w, end := range c.ends {
		if end <= w.seenEnd {
			w.safeEnd = max(w.safeEnd, end)
		}
	}
	return nil
}

// sweep removes jobs in a final state from the list of active ones.
func (t *Term) sweep() {
	kept := t.active[:0]
	for _, j := range t.active {
		if !j.state.IsFinal() {
			kept = append(kept, j)
		}
	}
	clear(t.active[len(kept):])
	t.active = kept
}
