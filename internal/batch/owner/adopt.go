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

// missingAttempt is an attempt that the agent of its worker no longer lists.
type missingAttempt struct {
	attempt ident.Attempt
	due     time.Time // when the attempt can no longer be running
}

// adopt sends Adopt to the agents that have not answered it on their current session.
func (p *partition) adopt() {
	if p.closing {
		return
	}
	for s, generation := range p.leases.toAdopt() {
		p.o.sendAgent(s, &wire.Adopt{Partition: p.id, Epoch: p.epoch, Generation: generation})
	}
}

// inventory compares the attempts that an agent lists with the state and answers with Reconcile.
func (p *partition) inventory(s *session, m *wire.Inventory) {
	if m.Epoch > p.epoch {
		p.journal.Confirm() // the agent knows a later owner; the store confirms whether this one was deposed
		return
	}
	generation, ok := p.leases.expectedInventory(s)
	if m.Generation != 0 && m.Generation != generation {
		return // it was sent before the starts that the current Adopt asks about
	}
	if !ok || m.Epoch != p.epoch || p.closing || p.o.cfg.Hook.At(point.TakeoverAdopted, string(s.info.Worker)) != nil {
		return
	}
	listed := map[ident.Task]bool{}
	var drop []wire.AttemptState
	for _, h := range m.Attempts {
		t, ok := p.state.Task(h.Task)
		switch {
		case ok && h.Attempt > t.Attempt:
			p.journal.Confirm() // a later owner started it
			return
		case ok && t.State == part.Starting && t.Attempt == h.Attempt && t.Worker == s.info.Worker:
			listed[h.Task] = true
			p.confirmAttempt(t)
		case ok && h.State > wire.TaskPaused:
			// The end of this attempt may not be durable yet. The agent retains its report until it is acknowledged, in
			// case another owner has to process it.
		default:
			drop = append(drop, h)
		}
	}
	p.reconcile(s, listed)
	if p.o.cfg.Hook.At(point.TakeoverReconciled, string(s.info.Worker)) == nil && p.leases.markReady(s, generation) {
		p.o.sendAgent(s, &wire.Reconcile{Partition: p.id, Epoch: p.epoch, Drop: drop})
		signal(p.capacityFreed)
	}
}

// confirmAttempt records that the agent of its worker lists the current attempt of t.
func (p *partition) confirmAttempt(t part.Task) {
	delete(p.starting, t.ID)
	delete(p.missing, t.ID)
	p.o.board.Adopted(t.Worker, t.ID, t.Attempt, p.state.Share(t.ID.Job).Spec.Size)
}

// reconcile handles the attempts that the state assigns to a worker and its agent does not list. This is point 4 of
// the argument in doc.go: the same incarnation of the agent cannot start them later, since it accepts StartTask only
// on the session of the latest Adopt, which makes its Inventory final. If the agent was restarted, a start that its
// predecessor sent may reach the worker late, but the worker rejects it after the deadline of the last grant.
func (p *partition) reconcile(s *session, listed map[ident.Task]bool) {
	for _, t := range p.state.ActiveOn(s.info.Worker) {
		st := p.starting[t.ID]
		switch {
		case listed[t.ID]:
		case st != nil && st.sent.IsZero(): // not sent yet, perhaps not durable
		case t.Agent == s.info.Incarnation:
			p.requeue(t)
		case p.missing[t.ID] == nil:
			delete(p.starting, t.ID)
			p.missing[t.ID] = &missingAttempt{t.Attempt, p.leaseExpiry(t)}
		}
	}
}

// leaseExpiry returns when an attempt whose worker gets no further grant can no longer be running: after the last
// grant of this owner has expired and, for an attempt of an earlier owner, after that owner's leases have. The second
// condition applies even if this owner has adopted the agent since, because an agent that restarts loses the epoch
// and the deposed owner may reach it first.
func (p *partition) leaseExpiry(t part.Task) time.Time {
	var due time.Time
	if g := p.leases.lastGrant(t.Worker); !g.IsZero() {
		due = p.o.cfg.Terms.MaxTerms().AfterGrant(g)
	}
	if u := p.inheritedUntil(); t.Inherited && u.After(due) {
		due = u
	}
	return due
}

// requeue queues the task of an attempt that can no longer be running; if the journal is full, the next tick tries
// again.
func (p *partition) requeue(t part.Task) {
	if p.end(t, &part.Event{Kind: part.TaskReleased}, nil) != nil {
		p.missing[t.ID] = &missingAttempt{attempt: t.Attempt}
	}
}

// release queues the tasks of unreachable workers, and those that agents no longer list, once their attempts can no
// longer be running; this is point 4 of the argument in doc.go. It calls expire first, which prevents concurrent
// grants to the worker.
func (p *partition) release() {
	now := time.Now()
	for id, m := range p.missing {
		t, ok := p.state.Task(id)
		if !ok || t.State != part.Starting || t.Attempt != m.attempt {
			delete(p.missing, id)
		} else if !now.Before(m.due) {
			p.requeue(t)
		}
	}
	workers := slices.Sorted(p.state.ActiveWorkers())
	for _, w := range slices.Compact(workers) {
		lastGrant, unreachable := p.leases.expire(w)
		if !unreachable || (!lastGrant.IsZero() && now.Before(p.o.cfg.Terms.MaxTerms().AfterGrant(lastGrant))) {
			continue
		}
		n := 0
		for _, t := range p.state.ActiveOn(w) {
			if !now.Before(p.leaseExpiry(t)) && p.end(t, &part.Event{Kind: part.TaskReleased}, nil) == nil {
				n++
			}
		}
		if n > 0 {
			p.o.log(event.TasksReleased, zap.String("Worker", string(w)), zap.Stringer("Partition", p.id),
				zap.Int("Tasks", n))
		}
	}
}
