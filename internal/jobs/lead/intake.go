package lead

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// addJob adds an accepted job; a job that is already known is left unchanged.
func (t *Term) addJob(s *spec.Job) {
	if t.jobs[s.ID] != nil {
		return
	}
	if s.Epoch > t.epoch {
		return // belongs to a later leader, which does not expect runs started by this one
	}
	t.outlook.returns.Forget(s.ID)
	j := newJob(s, time.Now())
	j.inherited = s.Epoch < t.epoch // an earlier leader may have started it
	t.jobs[s.ID] = j
	t.active = append(t.active, j)
	if t.cfg.Order.LargeShare {
		t.jobSizes.Add(s.Queue, t.demandOf(j).total)
		j.demand.isKnown = false // whether it is large is known only now
	}
	if j.inherited {
		t.adoptUnmatched(j, j.addedAt)
	}
	if _, ok := t.cancelledEarly[s.ID]; ok {
		delete(t.cancelledEarly, s.ID)
		t.finish(j, rows.Cancelled, time.Now())
	}
}

// cancel cancels a job; the cancellation of an unknown job is remembered until the job is added.
func (t *Term) cancel(id spec.ID) {
	j := t.jobs[id]
	if j == nil {
		if _, ok := t.cancelledEarly[id]; !ok {
			t.cancelledEarly[id] = time.Now()
		}
		return
	}
	t.finish(j, rows.Cancelled, time.Now())
}

// handleRequest applies a request of an entry, and replies to queries.
func (t *Term) handleRequest(ev requested) {
	reply := wire.JobTell{Number: ev.m.Number, Verdict: wire.VerdictKnown}
	switch ev.m.Action {
	case wire.JobAccepted:
		var s spec.Job
		err := wire.Unpack(ev.m.Packed, &s)
		if err == nil {
			err = s.Check()
		}
		if err != nil {
			event.Log(t.cfg.Log, event.InputRefused, zap.String("Job", ev.m.ID), zap.Error(err))
			return
		}
		t.addJob(&s)
		return
	case wire.JobCancelled:
		t.cancel(spec.ID(ev.m.ID))
		return
	case wire.JobRejected:
		t.recordRejection(ev.m, time.Now())
		return
	case wire.JobState:
		reply.State, reply.Verdict = t.queryState(spec.ID(ev.m.ID), time.Now())
		if reply.Verdict == wire.VerdictUnknown {
			reply.State = t.outlook.returns.Count(spec.ID(ev.m.ID))
		}
	case wire.QueueLength:
		t.sendForecast(ev, time.Now())
		for _, j := range t.active {
			if j.spec.Queue == ev.m.Queue && !j.begun && !j.state.IsFinal() && j.spec.Occurrences == 0 {
				reply.Waiting++
			}
		}
	case wire.JobExplain:
		reply.Verdict = t.explain(ev, time.Now())
	default: // the intake of the entry stores jobs and cancellations
		reply.Verdict = wire.VerdictNotDone
	}
	if err := ev.link.Send(&reply); err != nil {
		ev.link.Close(err)
	}
}

// queryState returns the state of a job, or VerdictNotReady if another leader may have changed it since the last
// confirmed write.
func (t *Term) queryState(id spec.ID, now time.Time) (uint8, wire.JobVerdict) {
	j := t.jobs[id]
	switch {
	case j == nil && t.mayGrant(now):
		return 0, wire.VerdictUnknown
	case j != nil && (j.stored.IsFinal() || t.mayGrant(now)):
		return uint8(j.visibleState()), wire.VerdictKnown
	default:
		return 0, wire.VerdictNotReady
	}
}

// visibleState returns the state that callers may see; a final state becomes visible once it is stored.
func (j *job) visibleState() rows.State {
	switch {
	case j.stored.IsFinal():
		return j.stored
	case j.begun:
		return rows.Running
	default:
		return rows.Queued
	}
}

// pollChanges polls the store for rows that entries and agents wrote, which makes up for lost messages.
func (t *Term) pollChanges(ctx context.Context) {
	jobs, cancels, agents := t.jobsVersion, t.cancelsVersion, t.agentsVersion
	for pause.For(ctx, pollEvery) {
		var f polled
		if began := time.Now(); t.readChanges(ctx, rows.Jobs, &jobs, &f.jobs) {
			f.jobsReadAt = began
		}
		t.readChanges(ctx, rows.Cancels, &cancels, &f.cancels)
		t.readChanges(ctx, rows.Agents, &agents, &f.agents)
		t.events.Put(ctx, f)
	}
}

// readChanges reads the rows of a table that changed after a version, from the whole table if the store no longer has that
// history. It reports whether the read succeeded.
func (t *Term) readChanges(ctx context.Context, table string, after *uint64, page *rows.Page) bool {
	limited, cancel := stall.WithTimeout(ctx, readTimeout, readTimeout)
	defer cancel()
	p, err := t.cfg.Store.Changes(limited, table, *after, 0)
	if errors.Is(err, rows.ErrHistoryTruncated) {
		parts := []string{t.cfg.Cell}
		if table != rows.Agents {
			parts = rows.IntakeParts(t.cfg.Cell)
		}
		p, err = rows.ReadParts(limited, t.cfg.Store, table, parts)
		// Rows that were received before may be those of jobs and agents which are being deleted.
		p.Rows = slices.DeleteFunc(p.Rows, func(r rows.Row) bool { return r.Version <= *after })
	}
	if err != nil {
		return false // retried at the next poll; the store client logs the error
	}
	*after = max(*after, p.Version)
	*page = p
	return true
}

// applyChanges applies polled rows of agents, jobs and cancellations.
func (t *Term) applyChanges(f polled) {
	for _, r := range f.agents.Rows {
		t.applyAgentRow(r)
	}
	for _, r := range f.jobs.Rows {
		if r.Removed || !t.isOwn(r) || t.jobs[spec.ID(r.Key)] != nil {
			continue
		}
		if s := t.decodeJob(r); s != nil {
			t.addJob(s)
		}
	}
	for _, r := range f.cancels.Rows {
		if !r.Removed && t.isOwn(r) {
			t.cancel(spec.ID(r.Key))
		}
	}
	if !f.jobsReadAt.IsZero() {
		t.jobsReadAt = f.jobsReadAt
	}
}

// isOwn reports whether the row of a job or cancellation belongs to this cell.
func (t *Term) isOwn(r rows.Row) bool {
	return r.Ref == rows.JobRef(t.cfg.Cell, spec.ID(r.Key)) ||
		r.Ref == rows.CancelRef(t.cfg.Cell, spec.ID(r.Key))
}

// decodeJob decodes and validates the row of a job; it logs an invalid row and returns nil.
func (t *Term) decodeJob(r rows.Row) *spec.Job {
	var s spec.Job
	err := rows.Decode(r, &s)
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Job", r.Key), zap.Error(err))
		return nil
	}
	return &s
}

// applyAgentRow connects to an agent that has registered or changed its address.
func (t *Term) applyAgentRow(r rows.Row) {
	if r.Removed || r.Part != t.cfg.Cell {
		return
	}
	var a rows.Agent
	if err := rows.Decode(r, &a); err != nil {
		event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Agent", r.Key), zap.Error(err))
		return
	}
	w := t.workers[r.Key]
	switch {
	case w == nil:
		now := time.Now()
		w = newWorker(a, r.Version)
		w.lostAt = now
		// A deposed leader that has not noticed it yet may have read the row as well and started runs on the worker.
		if w.reconciled = !now.Before(t.leaseEnd(t.prevGrantsEnd)); !w.reconciled {
			t.unreconciled++
		}
		t.workers[r.Key] = w
		t.fleet.add(w)
	case w.rowVersion >= r.Version || w.agent == a:
		return
	default:
		w.agent, w.rowVersion = a, r.Version
		if w.link != nil {
			w.link.Close(errors.New("agent has registered again"))
		}
		t.cfg.Network.Disconnect(r.Key)
	}
	t.cfg.Network.Connect(t, a)
}
