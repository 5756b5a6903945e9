package owner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// missed is an attempt that the agent of its worker no longer lists.
type missed struct {
	attempt ident.Attempt
	due     time.Time // when it can no longer run
}

// adopt sends Adopt to the agents that have not answered it on their present session.
func (p *partition) adopt() {
	if p.closing {
		return
	}
	for _, s := range p.book.toAdopt() {
		p.o.sendAgent(s, &wire.Adopt{Partition: p.id, Epoch: p.epoch})
	}
}

// inventory compares what an agent holds with the state and answers with Reconcile.
func (p *partition) inventory(s *session, m *wire.Inventory) {
	if m.Epoch > p.epoch {
		p.journal.Confirm() // the agent knows a later owner; the store tells this one that it was deposed
		return
	}
	round, ok := p.book.inventory(s)
	if !ok || m.Epoch != p.epoch || p.closing || p.o.cfg.Hook.At(point.TakeoverAdopted, string(s.info.Worker)) != nil {
		return
	}
	held := map[ident.Task]bool{}
	var drop []wire.Held
	for _, h := range m.Held {
		t, ok := p.state.Task(h.Task)
		switch {
		case ok && h.Attempt > t.Attempt:
			p.journal.Confirm() // a later owner started it
			return
		case ok && t.State == part.Starting && t.Attempt == h.Attempt && t.Worker == s.info.Worker:
			held[h.Task] = true
			p.keep(t)
		case ok && h.State > wire.TaskPaused:
			// The end of this attempt may not be durable yet. The agent keeps its report until it is acknowledged, for
			// the owner that might follow.
		default:
			drop = append(drop, h)
		}
	}
	p.reconcile(s, held)
	if p.o.cfg.Hook.At(point.TakeoverReconciled, string(s.info.Worker)) == nil && p.book.reconciled(s, round) {
		p.o.sendAgent(s, &wire.Reconcile{Partition: p.id, Epoch: p.epoch, Drop: drop})
		signal(p.room)
	}
}

// keep notes that the agent holds the current attempt of t.
func (p *partition) keep(t part.Task) {
	delete(p.starting, t.ID)
	delete(p.missing, t.ID)
	p.o.board.Adopted(t.Worker, t.ID, t.Attempt, p.state.Share(t.ID.Job).Spec.Size)
}

// reconcile handles the attempts that an agent should hold and does not. Point 4 of the argument: the same incarnation
// will not start them any more, since it accepts StartTask only on the session of the latest Adopt, so that its Inventory
// is a final report; a restarted agent's predecessor may have passed a start to the worker that arrives late, which the
// worker refuses after the deadline of the last grant.
func (p *partition) reconcile(s *session, held map[ident.Task]bool) {
	for _, t := range p.state.HeldBy(s.info.Worker) {
		st := p.starting[t.ID]
		switch {
		case held[t.ID]:
		case st != nil && st.sent.IsZero(): // not sent yet, perhaps not durable
		case t.Agent == s.info.Incarnation:
			p.letGo(t)
		case p.missing[t.ID] == nil:
			delete(p.starting, t.ID)
			p.missing[t.ID] = &missed{t.Attempt, p.endOf(t)}
		}
	}
}

// endOf returns when an attempt whose worker gets no further grant can no longer run: after the last grant of this owner
// and, for an attempt of an earlier owner, after that owner's leases. The second wait holds even if this owner has
// adopted the agent since: an agent that restarts forgets the epoch, and the deposed owner may reach it first.
func (p *partition) endOf(t part.Task) time.Time {
	var due time.Time
	if g := p.book.grantedAt(t.Worker); !g.IsZero() {
		due = p.o.cfg.Terms.Waits().AfterGrant(g)
	}
	if u := p.inheritedUntil(); t.Inherited && u.After(due) {
		due = u
	}
	return due
}

// letGo queues the task of an attempt that can no longer run; if the journal has no room, the next tick tries again.
func (p *partition) letGo(t part.Task) {
	if p.end(t, &part.Event{Kind: part.TaskReleased}, nil) != nil {
		p.missing[t.ID] = &missed{attempt: t.Attempt}
	}
}

// release queues the tasks of unreachable workers, and those that agents no longer hold, once their attempts can no
// longer run: point 4 of the argument. lapse ends all grants to the worker first, so that none is made meanwhile.
func (p *partition) release() {
	now := time.Now()
	for id, m := range p.missing {
		t, ok := p.state.Task(id)
		if !ok || t.State != part.Starting || t.Attempt != m.attempt {
			delete(p.missing, id)
		} else if !now.Before(m.due) {
			p.letGo(t)
		}
	}
	workers := slices.Sorted(p.state.Holders())
	for _, w := range slices.Compact(workers) {
		granted, unreachable := p.book.lapse(w)
		if !unreachable || (!granted.IsZero() && now.Before(p.o.cfg.Terms.Waits().AfterGrant(granted))) {
			continue
		}
		n := 0
		for _, t := range p.state.HeldBy(w) {
			if !now.Before(p.endOf(t)) && p.end(t, &part.Event{Kind: part.TaskReleased}, nil) == nil {
				n++
			}
		}
		if n > 0 {
			p.o.log(event.TasksReleased, zap.String("Worker", string(w)), zap.Stringer("Partition", p.id),
				zap.Int("Tasks", n))
		}
	}
}
