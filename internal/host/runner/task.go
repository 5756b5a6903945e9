package runner

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

type phase int

const (
	phaseStarting phase = iota + 1 // the worker has not confirmed the start yet
	phaseRunning                   // the worker has confirmed the start; the task may be paused
)

// task is an attempt on this worker, from its start until its final report is acknowledged.
type task struct {
	partition    ident.Partition
	ref          worker.Ref
	class        string // of the job
	size         sizes.Resources
	start        worker.Start
	phase        phase
	startSent    bool            // a start was sent, so the worker may have the attempt
	unanswered   bool            // a start got no response, so the worker may execute it later
	calling      bool            // a call to the worker is in progress
	stopping     wire.StopReason // 0 unless the attempt is being stopped
	fence        bool            // the attempt may be lost; Stop makes the worker refuse a late start
	startedAt    time.Time       // when the worker confirmed the start
	status       worker.Status   // as of the last poll
	savedRunTime time.Duration   // run time at the last reported checkpoint
	final        *wire.TaskReport
	acked        bool
}

func (t *task) holder() ledger.Holder { return ledger.Holder("task/" + t.ref.Task.String()) }

// end records the final report of the attempt.
func (t *task) end(m *wire.TaskReport) { t.final = m }

// inventoryItem describes the attempt for an inventory.
func (t *task) inventoryItem() wire.AttemptState {
	item := wire.AttemptState{Task: t.ref.Task, Attempt: t.ref.Attempt, State: wire.TaskRunning, Size: t.size}
	switch {
	case t.final != nil:
		item.State = t.final.State
	case t.status.State == worker.Paused:
		item.State = wire.TaskPaused
	}
	return item
}

// report returns a report of the attempt in the given state.
func (t *task) report(s wire.TaskState, detail string) *wire.TaskReport {
	return &wire.TaskReport{
		Partition: t.partition,
		Task:      t.ref.Task,
		Attempt:   t.ref.Attempt,
		State:     s,
		Detail:    detail,
		Used:      t.status.Peak,
		RunTime:   int64(t.status.RunTime),
	}
}

// finalReport converts the status of an ended attempt into its final report.
func finalReport(t *task, s worker.Status) *wire.TaskReport {
	t.status = s
	switch s.State {
	case worker.Done:
		m := t.report(wire.TaskFinished, "")
		m.Result = s.Result
		return m
	case worker.Failed:
		return t.report(wire.TaskFailed, s.Detail)
	default:
		if t.stopping == wire.StopCancel || t.stopping == wire.StopSuperseded {
			return t.report(wire.TaskStopped, s.Detail)
		}
		m := t.report(wire.TaskEvicted, s.Detail)
		m.Checkpoint = s.Checkpoint
		return m
	}
}

// stopsWithoutCheckpoint reports whether the attempt is being stopped without a checkpoint; an evicted attempt
// continues, and its lease is renewed, until its checkpoint is written.
func (t *task) stopsWithoutCheckpoint() bool { return t.stopping != 0 && t.stopping != wire.StopEvict }
