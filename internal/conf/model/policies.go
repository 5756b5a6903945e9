package model

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Minimum ratios between renewal intervals and leases.
const (
	renewalsPerLease         = 3 // a lease outlasts the loss of two renewals in a row
	agentLeasesPerOwnerLease = 3 // with fewer, one slow store request could pause tasks
)

// Policies holds the settings that apply to the whole deployment.
type Policies struct {
	AgentLease      Duration // how long an agent runs tasks after its last renewal
	AgentRenewal    Duration // interval at which agents renew their leases
	OwnerLease      Duration // how long the owner of a partition grants agent leases without reaching the store
	RetryBudget     float64  // retries as a share of first attempts, 0 to 1
	QuarantineBound float64  // share of a zone's workers that may be quarantined, 0 to 1
}

func (p Policies) check(c strict.Check) {
	CheckDuration(c.Field("AgentLease"), p.AgentLease, time.Second, 10*time.Minute)
	CheckDuration(c.Field("AgentRenewal"), p.AgentRenewal, 100*time.Millisecond, time.Minute)
	CheckDuration(c.Field("OwnerLease"), p.OwnerLease, 3*time.Second, 24*time.Hour)
	if p.AgentLease > 0 && p.AgentRenewal > p.AgentLease/renewalsPerLease {
		c.Field("AgentRenewal").Fail(p.AgentRenewal, "at most a third of AgentLease, which is %q", p.AgentLease)
	}
	if p.OwnerLease > 0 && p.OwnerLease/agentLeasesPerOwnerLease < p.AgentLease {
		c.Field("OwnerLease").Fail(p.OwnerLease, "at least three times AgentLease, which is %q", p.AgentLease)
	}
	strict.Between(c.Field("RetryBudget"), p.RetryBudget, 0, 1)
	strict.Between(c.Field("QuarantineBound"), p.QuarantineBound, 0, 1)
}
