package model

import (
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// MaxWeight is the largest weight of a team.
const MaxWeight = 10_000

// Team is a customer that shares the platform.
type Team struct {
	Name       string
	Weight     int64    // share of free capacity relative to the other teams
	Quota      TaskSize // the most that running tasks of the team hold together
	JobClasses []string `json:",omitempty"` // classes that the team may use; empty for all
}

func (t Team) check(c strict.Check, classes map[string]bool) {
	CheckName(c.Field("Name"), t.Name)
	strict.Between(c.Field("Weight"), t.Weight, 1, MaxWeight)
	t.Quota.check(c.Field("Quota"))
	checkReferences(c.Field("JobClasses"), t.JobClasses, classes, "job class")
}

// checkQuotas fails when the quotas together exceed the declared capacity: a team could then not get its quota while
// the others use theirs.
func checkQuotas(c strict.Check, teams []Team, capacity TaskSize) {
	var sum TaskSize
	for _, t := range teams {
		sum = sum.plus(t.Quota)
	}
	checkSum(c, "Processors", sum.Processors, capacity.Processors)
	checkSum(c, "Memory", sum.Memory, capacity.Memory)
	checkSum(c, "Accelerators", sum.Accelerators, capacity.Accelerators)
}

func checkSum(c strict.Check, kind string, sum, capacity int64) {
	if sum > capacity {
		c.Fail(sum, "quotas for %s that add up to at most the declared capacity of %d", kind, capacity)
	}
}
