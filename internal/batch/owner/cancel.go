package owner

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// stopRequest is a request to stop an attempt; it is repeated until the attempt has ended.
type stopRequest struct {
	attempt ident.Attempt
	reason  wire.StopReason
	sent    time.Time
}

// stop requests the agent to stop the current attempt of a task. An attempt that was never sent is released
// immediately.
func (p *partition) stop(id ident.Task, reason wire.StopReason) {
	t, ok := p.state.Task(id)
	if !ok || t.State != part.Starting {
		return
	}
	if st := p.starting[id]; st != nil && st.sent.IsZero() && p.end(t, &part.Event{Kind: part.TaskReleased}, nil) == nil {
		return
	}
	if r := p.stopping[id]; r != nil && r.attempt == t.Attempt && r.reason >= reason {
		return // a cancellation replaces an eviction, but not vice versa
	}
	p.stopping[id] = &stopRequest{attempt: t.Attempt, reason: reason}
	p.sendStop(id, p.stopping[id])
}

func (p *partition) sendStop(id ident.Task, r *stopRequest) {
	s := p.leases.sessionOf(p.workerOf(id))
	step := point.CancelSent
	if r.reason == wire.StopEvict {
		step = point.EvictRequested
	}
	if s == nil || p.o.cfg.Hook.At(step, id.String()) != nil {
		return
	}
	r.sent = time.Now()
	p.o.sendAgent(s, &wire.StopTask{Partition: p.id, Epoch: p.epoch, Task: id, Attempt: r.attempt, Reason: r.reason})
}

// repeatStops sends StopTask again for attempts that have not ended.
func (p *partition) repeatStops() {
	for id, r := range p.stopping {
		t, ok := p.state.Task(id)
		if !ok || t.State != part.Starting || t.Attempt != r.attempt {
			delete(p.stopping, id)
		} else if time.Since(r.sent) >= repeatAfter {
			p.sendStop(id, r)
		}
	}
}

// cancelled stops the tasks of the local share of a job, once the cancellation is durable.
func (p *partition) cancelled(job ident.Job) {
	sh := p.state.Share(job)
	if sh == nil || p.o.cfg.Hook.At(point.CancelCommitted, string(job)) != nil {
		return
	}
	for t := range p.state.Active() {
		if t.ID.Job == job {
			p.stop(t.ID, wire.StopCancel)
		}
	}
}
