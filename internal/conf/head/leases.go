package head

import (
	"context"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
)

// Leases are those of an earlier version, which may still be in use until a time. A new owner of a partition must wait
// for leases that the owner before granted, perhaps under a version with longer ones; with the leases of the version in
// force it could start a task that still runs elsewhere.
type Leases struct {
	Agent model.Duration
	Owner model.Duration
	Until time.Time
}

// clockSlack covers the differences between the clocks of entries and the time in which a version comes into force.
const clockSlack = time.Minute

// Longest returns the agent lease and the owner lease that may be in use anywhere at now. Waits before a task is started
// again use these; grants use the policies of the document.
func (c *Current) Longest(now time.Time) (agent, owner time.Duration) {
	agent, owner = c.Document.Policies.AgentLease.Std(), c.Document.Policies.OwnerLease.Std()
	for _, l := range c.Leases {
		if now.Before(l.Until) {
			agent, owner = max(agent, l.Agent.Std()), max(owner, l.Owner.Std())
		}
	}
	return agent, owner
}

// earlierLeases returns the leases that remain in use when the version old is replaced now.
func (h *Holder) earlierLeases(ctx context.Context, mine *Current, old Revision) ([]Leases, error) {
	if old.Version == 0 {
		return nil, nil
	}
	if mine == nil || mine.Version != old.Version {
		var err error
		if mine, err = Load(ctx, h.store, old.Version); err != nil {
			return nil, err
		}
	}
	now := h.now().UTC()
	p := mine.Document.Policies
	next := Leases{Agent: p.AgentLease, Owner: p.OwnerLease, Until: now.Add(p.AgentLease.Std() + p.OwnerLease.Std() + clockSlack)}
	// Only what next does not cover is kept, so that the list stays short however often the document changes.
	kept := slices.DeleteFunc(slices.Clone(mine.Leases), func(l Leases) bool {
		return !now.Before(l.Until) || (l.Agent <= next.Agent && l.Owner <= next.Owner && !l.Until.After(next.Until))
	})
	return append(kept, next), nil
}
