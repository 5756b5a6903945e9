package owner

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// halt is a request to stop an attempt; it is repeated until the attempt has ended.
type halt struct {
	attempt ident.Attempt
	reason  wire.StopReason
	sent    time.Time
}

// stop asks for the end of the current attempt of a task. An attempt that was never sent ends at once.
func (p *partition) stop(id ident.Task, reason wire.StopReason) {
	t, ok := p.state.Task(id)
	if !ok || t.State != part.Starting {
		return
	}
	if st := p.starting[id]; st != nil && st.sent.IsZero() && p.end(t, &part.Event{Kind: part.TaskReleased}, nil) == nil {
		return
	}
	if h := p.stopping[id]; h != nil && h.attempt == t.Attempt && h.reason >= reason {
		return // a cancellation replaces an eviction, not the other way round
	}
	p.stopping[id] = &halt{attempt: t.Attempt, reason: reason}
	p.sendStop(id, p.stopping[id])
}

func (p *partition) sendStop(id ident.Task, h *halt) {
	s := p.book.sessionOf(p.holder(id))
	step := point.CancelSent
	if h.reason == wire.StopEvict {
		step = point.EvictRequested
	}
	if s == nil || p.o.cfg.Hook.At(step, id.String()) != nil {
		return
	}
	h.sent = time.Now()
	p.o.sendAgent(s, &wire.StopTask{Partition: p.id, Epoch: p.epoch, Task: id, Attempt: h.attempt, Reason: h.reason})
}

// repeatStops sends StopTask again for attempts that have not ended.
func (p *partition) repeatStops() {
	for id, h := range p.stopping {
		t, ok := p.state.Task(id)
		if !ok || t.State != part.Starting || t.Attempt != h.attempt {
			delete(p.stopping, id)
		} else if time.Since(h.sent) >= repeatAfter {
			p.sendStop(id, h)
		}
	}
}

// cancelled runs when the cancellation of a job is durable: it stops the tasks of the share held here.
func (p *partition) cancelled(job ident.Job) {
	sh := p.state.Share(job)
	if sh == nil || p.o.cfg.Hook.At(point.CancelCommitted, string(job)) != nil {
		return
	}
	for t := range p.state.Held() {
		if t.ID.Job == job {
			p.stop(t.ID, wire.StopCancel)
		}
	}
}
