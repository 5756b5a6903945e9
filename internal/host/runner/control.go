package runner

import (
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// ownerMessage is a message from an owner.
type ownerMessage struct {
	owner Owner
	m     wire.Message
}

func (in ownerMessage) apply(r *Runner) {
	r.registerSession(in.owner)
	switch m := in.m.(type) {
	case *wire.Adopt:
		r.adopt(in.owner, m)
	case *wire.Reconcile:
		r.reconcile(in.owner, m)
	case *wire.StartTask:
		r.startTask(in.owner, m)
	case *wire.StopTask:
		r.stopTask(in.owner, m)
	case *wire.ThrottleTask:
		r.throttleTask(in.owner, m)
	case *wire.TaskReportAck:
		r.acknowledge(m)
	case *wire.HeartbeatAck:
		r.grant(in.owner, m)
	}
}

// sessionClosed is the end of a session with an owner.
type sessionClosed struct{ owner Owner }

func (in sessionClosed) apply(r *Runner) {
	delete(r.sessions, in.owner)
	for _, p := range r.partitions {
		if p.owner == in.owner {
			p.owner, p.reconciled = nil, false
		}
	}
}

// registerSession numbers a session on its first message.
func (r *Runner) registerSession(o Owner) {
	if _, ok := r.sessions[o]; !ok {
		r.lastSession++
		r.sessions[o] = r.lastSession
	}
}

// isOlder reports whether both sessions are open and the first message of o came first.
func (r *Runner) isOlder(o, than Owner) bool {
	newer, ok := r.sessions[than]
	return ok && r.sessions[o] < newer
}

// adopt makes the sender the owner of a partition. An epoch older than the known one is refused by an inventory that
// carries the newer epoch, from which the sender learns that it has been deposed.
func (r *Runner) adopt(o Owner, m *wire.Adopt) {
	p := r.partition(m.Partition)
	if m.Epoch < p.epoch {
		r.send(o, &wire.Inventory{Partition: m.Partition, Epoch: p.epoch})
		return
	}
	if m.Epoch == p.epoch && r.isOlder(o, p.owner) {
		return // a late message of a session that the owner has replaced
	}
	p.epoch, p.owner, p.reconciled = m.Epoch, o, false
	inventory := &wire.Inventory{Partition: m.Partition, Epoch: m.Epoch, Generation: m.Generation}
	for _, t := range r.tasks {
		if t.partition == m.Partition {
			inventory.Attempts = append(inventory.Attempts, t.inventoryItem())
		}
	}
	r.send(o, inventory)
	for _, t := range r.tasks {
		if t.partition == m.Partition {
			r.sendReport(t)
		}
	}
}

func (r *Runner) partition(name ident.Partition) *partition {
	p, ok := r.partitions[name]
	if !ok {
		p = &partition{}
		r.partitions[name] = p
	}
	return p
}

// reconcile stops the attempts that the owner has moved elsewhere and enables lease renewal for the rest.
func (r *Runner) reconcile(o Owner, m *wire.Reconcile) {
	p := r.partition(m.Partition)
	if p.epoch != m.Epoch || p.owner != o {
		return
	}
	for _, drop := range m.Drop {
		t, ok := r.tasks[drop.Task]
		if !ok || t.ref.Attempt != drop.Attempt {
			continue
		}
		if t.final != nil {
			t.acked = true
			r.advance(t)
			continue
		}
		r.stop(t, wire.StopSuperseded)
	}
	p.reconciled = true
}

// startTask reserves the resources of a task and starts it, or reports a final refusal.
func (r *Runner) startTask(o Owner, m *wire.StartTask) {
	t := &task{
		partition: m.Partition,
		ref:       worker.Ref{Task: m.Task, Attempt: m.Attempt},
		class:     m.Class,
		size:      m.Size,
		phase:     phaseStarting,
	}
	if old, ok := r.tasks[m.Task]; ok && old.ref.Attempt >= m.Attempt {
		return // a duplicate start; the owner learns the state from the reports of the known attempt
	}
	if detail := r.admit(o, m); detail != "" {
		r.send(o, t.report(wire.TaskRefused, detail))
		return
	}
	p := r.partition(m.Partition)
	p.deadline = max(p.deadline, m.Until)
	t.start = worker.Start{
		Ref:        t.ref,
		Command:    m.Command,
		Size:       m.Size,
		Checkpoint: m.Checkpoint,
		Label:      label(m.Partition, m.Class),
	}
	r.tasks[m.Task] = t
	r.runHook(point.StartReserved, m.Task)
	r.advance(t)
}

// admit reserves the resources of a start and returns an empty string, or returns why the start is refused.
func (r *Runner) admit(o Owner, m *wire.StartTask) string {
	p := r.partition(m.Partition)
	switch {
	case m.Epoch != p.epoch || p.owner != o:
		return "partition was not adopted on this session under this epoch"
	case m.Incarnation != r.cfg.Incarnation:
		return "attempt is meant for another incarnation of the agent"
	case m.Until <= r.Now():
		return "lease deadline has passed"
	case r.leaving:
		return "agent is leaving"
	case len(r.tasks) >= maxTasks:
		return "agent holds too many tasks"
	case r.tasks[m.Task] != nil:
		return "an earlier attempt has not ended here"
	case m.Size.Slots != 0 || m.Size.Connections != 0:
		return "a task may not hold slots or connections"
	}
	t := task{ref: worker.Ref{Task: m.Task}}
	if !r.cfg.Ledger.Reserve(t.holder(), m.Size) {
		return "task does not fit beside what the worker runs"
	}
	return ""
}

func (r *Runner) stopTask(o Owner, m *wire.StopTask) {
	p := r.partition(m.Partition)
	if m.Epoch != p.epoch || p.owner != o {
		return
	}
	t, ok := r.tasks[m.Task]
	switch {
	case !ok:
		r.stopUnknown(m.Partition, worker.Ref{Task: m.Task, Attempt: m.Attempt})
	case t.ref.Attempt != m.Attempt:
		// The owner repeats the stop until the other attempt has been forgotten.
	case t.final != nil:
		r.sendReport(t)
	default:
		r.stop(t, m.Reason)
	}
}

// stopUnknown stops an attempt that this agent does not hold. Its predecessor may have sent a start that the worker
// executes later, so the stop is confirmed only by the worker.
func (r *Runner) stopUnknown(p ident.Partition, ref worker.Ref) {
	if len(r.tasks) >= maxTasks {
		return // the owner repeats the stop
	}
	t := &task{partition: p, ref: ref, phase: phaseRunning, startSent: true, stopping: wire.StopSuperseded}
	r.tasks[ref.Task] = t
	r.advance(t)
}

// stop initiates the end of an attempt; cancellation and supersession override eviction, which waits for a checkpoint.
func (r *Runner) stop(t *task, reason wire.StopReason) {
	if t.final != nil {
		return
	}
	if t.stopping == 0 || t.stopping == wire.StopEvict {
		t.stopping = reason
	}
	r.advance(t)
}

// throttleTask limits an attempt. The message has no epoch; a session that has not adopted the partition last is that of
// a deposed owner.
func (r *Runner) throttleTask(o Owner, m *wire.ThrottleTask) {
	t, ok := r.tasks[m.Task]
	if !ok || t.ref.Attempt != m.Attempt || t.final != nil || r.partition(t.partition).owner != o {
		return
	}
	r.calls.TryPut(call{kind: callThrottle, ref: t.ref, processors: m.Processors})
}

// acknowledge forgets an attempt whose final report is durable. That holds whoever says so: a deposed owner acknowledges
// only what its successor has replayed.
func (r *Runner) acknowledge(m *wire.TaskReportAck) {
	t, ok := r.tasks[m.Task]
	if !ok || t.ref.Attempt != m.Attempt || t.final == nil {
		return
	}
	t.acked = true
	r.advance(t)
}

// grant extends the lease deadlines of the granted partitions and renews their tasks at the worker.
func (r *Runner) grant(o Owner, m *wire.HeartbeatAck) {
	for _, g := range m.Granted {
		p, ok := r.partitions[g.Partition]
		if ok && p.owner == o && p.epoch == g.Epoch && p.reconciled {
			p.deadline = max(p.deadline, m.Until)
		}
	}
	r.renew()
}

// send queues a message to an owner. A failure means that the session is ending; the next Adopt starts over.
func (r *Runner) send(o Owner, m wire.Message) {
	if err := o.Send(m); err != nil {
		r.cfg.Log.Debug("cannot queue a message to an owner", zap.Stringer("Kind", m.Kind()), zap.Error(err))
	}
}

// sendReport sends the final report of an attempt unless it has none or it is acknowledged.
func (r *Runner) sendReport(t *task) {
	if t.final == nil || t.acked {
		return
	}
	if p := r.partitions[t.partition]; p != nil && p.owner != nil {
		r.send(p.owner, t.final)
	}
}
