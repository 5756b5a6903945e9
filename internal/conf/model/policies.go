package model

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Ratios between leases.
const (
	renewalsPerLease = 3 // two renewals in a row may be lost before a lease expires
	agentPerOwner    = 3 // an owner lease spans several agent leases, so that one slow store request pauses no task
)

// Policies are the settings that hold for the whole deployment.
type Policies struct {
	AgentLease      Duration // how long an agent runs tasks without a renewal
	AgentRenewal    Duration // interval of renewals
	OwnerLease      Duration // how long an owner grants leases without the store
	RetryBudget     float64  // retries as a share of first tries, 0 to 1
	QuarantineBound float64  // share of a zone's workers that may be quarantined, 0 to 1
}

func (p Policies) check(c strict.Check) {
	CheckDuration(c.Field("AgentLease"), p.AgentLease, time.Second, 10*time.Minute)
	CheckDuration(c.Field("AgentRenewal"), p.AgentRenewal, 100*time.Millisecond, time.Minute)
	CheckDuration(c.Field("OwnerLease"), p.OwnerLease, 3*time.Second, 24*time.Hour)
	if p.AgentLease > 0 && p.AgentRenewal > p.AgentLease/renewalsPerLease {
		c.Field("AgentRenewal").Fail(p.AgentRenewal, "at most a third of AgentLease, which is %q", p.AgentLease)
	}
	if p.OwnerLease > 0 && p.OwnerLease/agentPerOwner < p.AgentLease {
		c.Field("OwnerLease").Fail(p.OwnerLease, "at least three times AgentLease, which is %q", p.AgentLease)
	}
	strict.Between(c.Field("RetryBudget"), p.RetryBudget, 0, 1)
	strict.Between(c.Field("QuarantineBound"), p.QuarantineBound, 0, 1)
}
