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

// start is an attempt of this owner that the agent has not confirmed.
type start struct {
	attempt ident.Attempt
	sent    time.Time // zero before the first StartTask
}

// place starts tasks while workers have room. The attempts become durable before the agents learn of them.
func (p *partition) place() {
	if p.closing || !p.lease.IsValid(time.Now()) {
		return
	}
	var noRoom []sizes.Resources // sizes for which no worker had room in this round
	p.order.Offer(p.o.policy, func(job ident.Job) place.Outcome {
		if p.journal.Mark()-p.journal.Durable() > maxUncommitted {
			return place.Stop
		}
		t, ok := p.state.NextQueued(job)
		if !ok {
			return place.Drained
		}
		sh := p.state.Share(job)
		size := p.size(sh)
		for _, s := range noRoom {
			if s.Fits(size) {
				return place.Blocked
			}
		}
		if !p.order.Take(sh.Spec.Team, p.o.policy(sh.Spec.Team), sh.Spec.Size) {
			return place.Blocked
		}
		w, ok := p.o.board.Pick(place.Request{
			Task: t.ID, Attempt: t.Attempt + 1, Zone: p.id.Zone, Size: size, IsReady: p.book.isReady,
		})
		if !ok {
			p.order.Ended(sh.Spec.Team, sh.Spec.Size)
			noRoom = append(noRoom, size)
			p.reportFit(job, size)
			return place.Blocked
		}
		delete(p.waiting, job)
		outcome := p.start(t, sh, w)
		if outcome != place.Placed {
			p.order.Ended(sh.Spec.Team, sh.Spec.Size)
		}
		return outcome
	})
}

// size returns the declared size of a task, raised to what tasks of the job were seen to use.
func (p *partition) size(sh *part.Share) sizes.Resources {
	learned, ok := p.learned[sh.Spec.Job]
	if !ok {
		return sh.Spec.Size
	}
	return sh.Spec.Size.Max(sizes.Resources{Processors: learned.Processors, Memory: learned.Memory})
}

// reportFit notes a job that not even an empty worker could hold; it waits and blocks nothing.
func (p *partition) reportFit(job ident.Job, size sizes.Resources) {
	if p.waiting[job] != "" || p.o.board.FitsSomewhere(p.id.Zone, size) {
		return
	}
	p.waiting[job] = "no worker of zone " + string(p.id.Zone) + " is large enough for a task"
	p.o.log(event.JobFitsNowhere, zap.String("Job", string(job)), zap.String("AvailabilityZone", string(p.id.Zone)),
		zap.Any("Size", size))
}

// start records the next attempt of a task for a worker on which the board holds a reservation.
func (p *partition) start(t part.Task, sh *part.Share, w ident.Worker) place.Outcome {
	n := t.Attempt + 1
	s := p.book.sessionOf(w)
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
	p.starting[t.ID] = &start{attempt: n}
	return place.Placed
}

// started runs when the attempt is durable.
func (p *partition) started(id ident.Task, n ident.Attempt) {
	p.o.cfg.Observer.TaskStarted()
	if p.o.cfg.Hook.At(point.StartCommitted, id.String()) == nil {
		p.sendStart(id, n)
	}
}

// sendStart sends StartTask for an attempt that is durable. Point 5 of the argument: if this owner was paused before
// this, the message is refused, since it carries the epoch, the incarnation for which the attempt was made, and the
// absolute deadline of a grant that is noted before it is sent.
func (p *partition) sendStart(id ident.Task, n ident.Attempt) {
	st := p.starting[id]
	t, ok := p.state.Task(id)
	if !ok || st == nil || st.attempt != n || t.State != part.Starting || t.Attempt != n || p.closing ||
		p.stopping[id] != nil {
		return
	}
	s, until, ok := p.book.grantStart(t.Worker, t.Agent)
	if !ok {
		return // repeatStarts sees to it
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

// repeatStarts sees to unconfirmed starts. An attempt that was never sent and whose agent is out of reach is released at
// once: no other process can send it. A StartTask that has no answer is not repeated, since the agent might have refused
// the first one, and would then run the second one while the refusal moves the task elsewhere. The inventory tells whether
// the agent holds the attempt.
func (p *partition) repeatStarts() {
	for id, st := range p.starting {
		t, ok := p.state.Task(id)
		switch {
		case !ok || t.State != part.Starting || t.Attempt != st.attempt:
			delete(p.starting, id)
		case !st.sent.IsZero():
			if time.Since(st.sent) >= repeatAfter {
				p.book.suspect(t.Worker)
			}
		case p.journal.Mark() > p.journal.Durable(): // perhaps not durable yet
		case p.book.isReady(t.Worker):
			p.sendStart(id, st.attempt)
		default:
			p.letGo(t)
		}
	}
}

func (p *partition) holder(id ident.Task) ident.Worker {
	t, _ := p.state.Task(id)
	return t.Worker
}
