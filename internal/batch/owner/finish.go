package owner

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// report handles a TaskReport from an agent.
func (p *partition) report(s *session, r *wire.TaskReport) {
	t, ok := p.state.Task(r.Task)
	if !ok || r.Attempt > t.Attempt {
		// The attempt is not in the journal, so another owner may have deposed this one and started the attempt. That
		// owner handles the report; the store confirms whether this one was deposed.
		p.afterConfirmation(func(confirmed bool) { p.acknowledgeClosed(s, r, confirmed) })
		return
	}
	if t.State != part.Starting || t.Attempt != r.Attempt {
		if r.State > wire.TaskPaused {
			p.acknowledge(s, r) // the end of the attempt is already recorded
		}
		return
	}
	if t.Worker != s.info.Worker {
		return
	}
	p.recordUsage(r)
	if st := p.starting[r.Task]; st != nil && st.attempt == r.Attempt {
		delete(p.starting, r.Task)
		p.o.board.Acknowledged(s.info.Worker, r.Task, r.Attempt)
	}
	e := p.outcome(s, t, r)
	if e == nil {
		return
	}
	if p.o.cfg.Hook.At(point.FinishReported, r.Task.String()) != nil {
		return
	}
	ack := func() { p.ended(s, r) }
	err := p.end(t, e, ack)
	if errors.Is(err, part.ErrCancelled) {
		err = p.end(t, &part.Event{Kind: part.TaskReleased}, ack)
	}
	if err != nil && !errors.Is(err, errBusy) { // after errBusy, the agent repeats the report
		p.o.log(event.PartitionEventRefused, zap.Stringer("Partition", p.id), zap.Stringer("Task", r.Task), zap.Error(err))
	}
}

// outcome returns the event that a final report leads to, or nil if the report is not final.
func (p *partition) outcome(s *session, t part.Task, r *wire.TaskReport) *part.Event {
	switch r.State {
	case wire.TaskFinished:
		p.o.board.Succeeded(s.info.Worker)
		return &part.Event{Kind: part.TaskFinished, Object: r.Result}
	case wire.TaskFailed:
		v := p.o.board.Failed(s.info.Worker, r.Task.Job)
		p.logVerdict(s, r, v.JobIsBad, v.NewlyBad)
		if v.WorkerIsBad {
			return &part.Event{Kind: part.TaskReleased}
		}
		return &part.Event{Kind: part.TaskFailed, Detail: r.Detail, Final: v.JobIsBad || t.Failures+1 >= maxFailures}
	case wire.TaskEvicted:
		return &part.Event{Kind: part.TaskEvicted, Object: r.Checkpoint}
	case wire.TaskRefused, wire.TaskStopped:
		return &part.Event{Kind: part.TaskReleased}
	default:
		return nil
	}
}

// logVerdict logs that the job, or otherwise the worker, has newly been found to cause failures.
func (p *partition) logVerdict(s *session, r *wire.TaskReport, jobIsBad, isNew bool) {
	if !isNew {
		return
	}
	n := event.WorkerQuarantined
	if jobIsBad {
		n = event.JobIsBad
	}
	p.o.log(n, zap.String("Worker", string(s.info.Worker)), zap.String("Job", string(r.Task.Job)),
		zap.String("Detail", r.Detail))
}

// recordUsage updates the peak usage of a job's tasks.
func (p *partition) recordUsage(r *wire.TaskReport) {
	if r.Used != (sizes.Resources{}) {
		p.peakUsage[r.Task.Job] = p.peakUsage[r.Task.Job].Max(r.Used)
	}
}

// end records the event that ends the current attempt of t; then runs once it is durable.
func (p *partition) end(t part.Task, e *part.Event, then func()) error {
	sh := p.state.Share(t.ID.Job)
	e.Job, e.Index, e.Attempt = t.ID.Job, t.ID.Index, t.Attempt
	if err := p.record(sh.Spec.Urgent, then, e); err != nil {
		return err
	}
	p.order.Ended(sh.Spec.Team, sh.Spec.Size)
	p.o.board.Ended(t.Worker, t.ID, t.Attempt, e.Kind == part.TaskReleased)
	delete(p.starting, t.ID)
	delete(p.stopping, t.ID)
	delete(p.missing, t.ID)
	if sh.Counts.Queued > 0 {
		p.order.Add(sh.Spec.Team, t.ID.Job, sh.Spec.Urgent)
	}
	p.noteFinished(t.ID.Job, sh)
	return nil
}

// ended notifies the observer of the end of an attempt and acknowledges the final report, once the end is durable.
func (p *partition) ended(s *session, r *wire.TaskReport) {
	p.o.cfg.Observer.TaskEnded(r.State)
	step := point.FinishCommitted
	if r.State == wire.TaskEvicted {
		step = point.EvictCommitted
	}
	if p.o.cfg.Hook.At(step, r.Task.String()) == nil {
		p.o.sendAgent(s, &wire.TaskReportAck{Task: r.Task, Attempt: r.Attempt})
	}
}

// acknowledgeClosed acknowledges a final report on a task whose share is closed, which no owner needs any more.
func (p *partition) acknowledgeClosed(s *session, r *wire.TaskReport, confirmed bool) {
	if _, ok := p.state.Task(r.Task); confirmed && !ok && r.State > wire.TaskPaused {
		p.acknowledge(s, r)
	}
}

// acknowledge acknowledges a report on an attempt whose end is recorded, once the record is durable.
func (p *partition) acknowledge(s *session, r *wire.TaskReport) {
	p.afterDurable(func() { p.o.sendAgent(s, &wire.TaskReportAck{Task: r.Task, Attempt: r.Attempt}) })
}
