package model

import (
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Limits of zones, capacity and teams.
const (
	MaxZones        = 100
	MaxPartitions   = 64
	MaxWorkers      = 100_000
	maxProcessors   = 100_000_000_000 // thousandths of a processor
	maxMemory       = 1 << 53         // bytes
	maxAccelerators = 1_000_000
	maxSlots        = 1_000_000
	maxTeams        = 2_000
	maxGroups       = 64
)

// AvailabilityZone holds the partitions, the neighbours and the capacity of a zone.
type AvailabilityZone struct {
	Name       string
	Region     string
	Partitions int64         // partitions of the task space that the zone's entries own
	Neighbours []string      `json:",omitempty"` // zones whose entries take over the partitions, in this order
	Capacity   []WorkerGroup // workers that operators declare for the zone
}

// WorkerGroup is a number of workers of the same size.
type WorkerGroup struct {
	Count int64
	Each  sizes.Resources
}

// Total returns the resources for tasks of all workers of z; it saturates at the largest int64.
func (z AvailabilityZone) Total() TaskSize {
	var t TaskSize
	for _, g := range z.Capacity {
		t = t.plus(TaskSize{
			Processors:   mulSaturating(g.Count, g.Each.Processors),
			Memory:       mulSaturating(g.Count, g.Each.Memory),
			Accelerators: mulSaturating(g.Count, g.Each.Accelerators),
		})
	}
	return t
}

func (z AvailabilityZone) check(c strict.Check, zones map[string]bool) {
	CheckName(c.Field("Name"), z.Name)
	CheckName(c.Field("Region"), z.Region)
	strict.Between(c.Field("Partitions"), z.Partitions, 1, MaxPartitions)
	checkReferences(c.Field("Neighbours"), z.Neighbours, zones, "availability zone")
	for i, n := range z.Neighbours {
		if n == z.Name {
			c.Field("Neighbours").Index(i).Fail(n, "another zone than the zone itself")
		}
	}
	if len(z.Capacity) == 0 || len(z.Capacity) > maxGroups {
		c.Field("Capacity").Fail(z.Capacity, "1 to %d groups of workers", maxGroups)
	}
	for i, g := range z.Capacity {
		g.check(c.Field("Capacity").Index(i))
	}
}

func (g WorkerGroup) check(c strict.Check) {
	strict.Between(c.Field("Count"), g.Count, 1, MaxWorkers)
	e := c.Field("Each")
	strict.Between(e.Field("Processors"), g.Each.Processors, 1, maxWorkerProcessors)
	strict.Between(e.Field("Memory"), g.Each.Memory, 1, maxWorkerMemory)
	strict.Between(e.Field("Accelerators"), g.Each.Accelerators, 0, maxWorkerAccelerators)
	strict.Between(e.Field("Slots"), g.Each.Slots, 0, maxSlots)
	strict.Between(e.Field("Connections"), g.Each.Connections, 0, maxSlots)
}

// Limits of one worker.
const (
	maxWorkerProcessors   = 4_096_000 // thousandths of a processor
	maxWorkerMemory       = 1 << 44   // bytes, 16 TiB
	maxWorkerAccelerators = 64
)
