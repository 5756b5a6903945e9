package model

import (
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// MaxWeight is the largest weight of a team.
const MaxWeight = 10_000

// Team holds the share and quota of a customer of the platform.
type Team struct {
	Name       string
	Weight     int64    // share of free capacity relative to the other teams
	Quota      TaskSize // limit of the resources of all running tasks of the team
	JobClasses []string `json:",omitempty"` // job classes that the team may use; empty for all
}

func (t Team) check(c strict.Check, classes map[string]bool) {
	CheckName(c.Field("Name"), t.Name)
	strict.Between(c.Field("Weight"), t.Weight, 1, MaxWeight)
	t.Quota.check(c.Field("Quota"))
	checkReferences(c.Field("JobClasses"), t.JobClasses, classes, "job class")
}

// checkQuotas records a fault for each resource whose quotas exceed the declared capacity in total: a team could then
// not use its quota while the others use theirs.
func checkQuotas(c strict.Check, teams []Team, capacity TaskSize) {
	var total TaskSize
	for _, t := range teams {
		total = total.plus(t.Quota)
	}
	checkQuotaSum(c, "Processors", total.Processors, capacity.Processors)
	checkQuotaSum(c, "Memory", total.Memory, capacity.Memory)
	checkQuotaSum(c, "Accelerators", total.Accelerators, capacity.Accelerators)
}

func checkQuotaSum(c strict.Check, kind string, total, capacity int64) {
	if total > capacity {
		c.Fail(total, "quotas for %s that add up to at most the declared capacity of %d", kind, capacity)
	}
}
