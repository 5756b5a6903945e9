package owner

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/batch/place"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// pendingStart is an attempt of this owner that the agent has not confirmed.
type pendingStart struct {
	attempt ident.Attempt
	sent    time.Time // zero before the first StartTask
}

// place starts tasks while workers have free capacity. StartTask is sent once the attempt is durable.
func (p *partition) place() {
	if p.closing || !p.lease.IsValid(time.Now()) {
		return
	}
	var noFit []sizes.Resources // sizes that fit on no worker in this round
	p.order.ForEachJob(p.o.policy, func(job ident.Job) place.Outcome {
		if p.journal.Mark()-p.journal.Durable() > maxUncommitted {
			return place.Stop
		}
		t, ok := p.state.NextQueued(job)
		if !ok {
			return place.Drained
		}
		sh := p.state.Share(job)
		size := p.size(sh)
		for _, s := range noFit {
			if s.Fits(size) {
				return place.Blocked
			}
		}
		if !p.order.Reserve(sh.Spec.Team, p.o.policy(sh.Spec.Team), sh.Spec.Size) {
			return place.Blocked
		}
		w, ok := p.o.board.Pick(place.Request{
			Task: t.ID, Attempt: t.Attempt + 1, Zone: p.id.Zone, Size: size, IsReady: p.leases.isReady,
		})
		if !ok {
			p.order.Ended(sh.Spec.Team, sh.Spec.Size)
			noFit = append(noFit, size)
			p.reportUnplaceable(job, size)
			return place.Blocked
		}
		delete(p.unplaceable, job)
		outcome := p.start(t, sh, w)
		if outcome != place.Placed {
			p.order.Ended(sh.Spec.Team, sh.Spec.Size)
		}
		return outcome
	})
}

// size returns the declared size of a task, with processors and memory raised to the peak usage of the job's tasks.
func (p *partition) size(sh *part.Share) sizes.Resources {
	peak, ok := p.peakUsage[sh.Spec.Job]
	if !ok {
		return sh.Spec.Size
	}
	return sh.Spec.Size.Max(sizes.Resources{Processors: peak.Processors, Memory: peak.Memory})
}

// reportUnplaceable logs and records a job whose tasks would not fit on any worker even if it were empty. The job stays
// queued and does not block others.
func (p *partition) reportUnplaceable(job ident.Job, size sizes.Resources) {
	if p.unplaceable[job] != "" || p.o.board.FitsSomewhere(p.id.Zone, size) {
		return
	}
	p.unplaceable[job] = "no worker of zone " + string(p.id.Zone) + " is large enough for a task"
	p.o.log(event.JobUnplaceable, zap.String("Job", string(job)), zap.String("AvailabilityZone", string(p.id.Zone)),
		zap.Any("Size", size))
}

// start records the next attempt of a task on a worker for which the board has made a reservation.
func (p *partition) start(t part.Task, sh *part.Share, w ident.Worker) place.Outcome {
	n := t.Attempt + 1
	s := p.leases.sessionOf(w)
	if s == nil {
		p.o.board.Ended(w, t.ID, n, false)
		return place.Blocked
	}
	err := p.record(sh.Spec.Urgent, func() { p.started(t.ID, n) }, &part.Event{
		Kind: part.TaskStarted, Job: t.ID.Job, Index: t.ID.Index, Attempt: n, Worker: w, Incarnation: s.info.Incarnation,
	})
	if err != nil {
		p.o.board.Ended(w, t.ID, n, false)
		return place.Stop
	}
	p.starting[t.ID] = &pendingStart{attempt: n}
	return place.Placed
}

// started notifies the observer of an attempt and sends it to its agent, once the attempt is durable.
func (p *partition) started(id ident.Task, n ident.Attempt) {
	p.o.cfg.Observer.TaskStarted()
	if p.o.cfg.Hook.At(point.StartCommitted, id.String()) == nil {
		p.sendStart(id, n)
	}
}

// sendStart sends StartTask for an attempt that is durable. This is point 5 of the argument in doc.go: if this
// process was paused before sending, the message is rejected, since it contains the epoch, the agent incarnation for
// which the attempt was recorded, and the absolute deadline of a grant that was recorded before.
func (p *partition) sendStart(id ident.Task, n ident.Attempt) {
	st := p.starting[id]
	t, ok := p.state.Task(id)
	if !ok || st == nil || st.attempt != n || t.State != part.Starting || t.Attempt != n || p.closing ||
		p.stopping[id] != nil {
		return
	}
	s, until, ok := p.leases.grantStart(t.Worker, t.Agent)
	if !ok {
		return // repeatStarts handles it
	}
	st.sent = time.Now()
	if p.o.cfg.Hook.At(point.StartSent, id.String()) != nil {
		return
	}
	spec := p.state.Share(id.Job).Spec
	p.o.sendAgent(s, &wire.StartTask{
		Partition: p.id, Epoch: p.epoch, Task: id, Attempt: n, Incarnation: t.Agent, Team: spec.Team, Class: spec.Class,
		Command: spec.Command, Size: p.size(p.state.Share(id.Job)), Checkpoint: t.Checkpoint, Urgent: spec.Urgent,
		Until: until,
	})
}

// repeatStarts handles unconfirmed starts. An attempt that was never sent and whose agent is not ready is released
// immediately, because no other process can send it. An unanswered StartTask is not repeated: the agent might have
// refused the first one and would then run the second one while the refusal moves the task to another worker.
// Instead, a new inventory shows whether the agent has the attempt.
func (p *partition) repeatStarts() {
	for id, st := range p.starting {
		t, ok := p.state.Task(id)
		switch {
		case !ok || t.State != part.Starting || t.Attempt != st.attempt:
			delete(p.starting, id)
		case !st.sent.IsZero():
			if time.Since(st.sent) >= repeatAfter {
				p.leases.requestInventory(t.Worker)
			}
		case p.journal.Mark() > p.journal.Durable(): // the attempt may not be durable yet
		case p.leases.isReady(t.Worker):
			p.sendStart(id, st.attempt)
		default:
			p.requeue(t)
		}
	}
}

// workerOf returns the worker of the current attempt of a task.
func (p *partition) workerOf(id ident.Task) ident.Worker {
	t, _ := p.state.Task(id)
	return t.Worker
}
