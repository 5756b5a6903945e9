package head

import (
	"context"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
)

// Leases holds the durations of the leases of an earlier version, which may be in use until a given time. A new owner
// of a partition must wait for the leases that the previous owner granted, perhaps under a version with longer ones:
// if it waited only for those of the version in force, it could start a task that still runs elsewhere.
type Leases struct {
	Agent model.Duration // duration of agent leases
	Owner model.Duration // duration of owner leases
	Until time.Time      // after this, no such lease is in use
}

// clockSlack covers the clock skew between entries and the time until a version is in force.
const clockSlack = time.Minute

// LongestLeases returns the longest agent lease and the longest owner lease that may be in use anywhere at now. The
// wait before a task is restarted uses these; grants use the policies of the document.
func (c *Current) LongestLeases(now time.Time) (agent, owner time.Duration) {
	agent, owner = c.Document.Policies.AgentLease.Std(), c.Document.Policies.OwnerLease.Std()
	for _, l := range c.Leases {
		if now.Before(l.Until) {
			agent, owner = max(agent, l.Agent.Std()), max(owner, l.Owner.Std())
		}
	}
	return agent, owner
}

// earlierLeases returns the leases that may still be in use after the version old is replaced now.
func (h *Holder) earlierLeases(ctx context.Context, local *Current, old Revision) ([]Leases, error) {
	if old.Version == 0 {
		return nil, nil
	}
	if local == nil || local.Version != old.Version {
		var err error
		if local, err = Load(ctx, h.store, old.Version); err != nil {
			return nil, err
		}
	}
	now := h.now().UTC()
	p := local.Document.Policies
	next := Leases{Agent: p.AgentLease, Owner: p.OwnerLease, Until: now.Add(p.AgentLease.Std() + p.OwnerLease.Std() + clockSlack)}
	// Leases that next covers are dropped, so that the list stays short however often the document changes.
	retained := slices.DeleteFunc(slices.Clone(local.Leases), func(l Leases) bool {
		return !now.Before(l.Until) || (l.Agent <= next.Agent && l.Owner <= next.Owner && !l.Until.After(next.Until))
	})
	return append(retained, next), nil
}
