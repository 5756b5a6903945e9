package head

import (
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// AgentConfig returns the part of c that an agent needs whose worker has the given means and whose targets announced the
// given services. An announced service that is not declared is left out.
func (c *Current) AgentConfig(means sizes.Resources, services []string) *wire.AgentConfig {
	p := c.Document.Policies
	part := &wire.AgentConfig{
		Version:      c.Version,
		AgentLease:   int64(p.AgentLease),
		AgentRenewal: int64(p.AgentRenewal),
	}
	for _, s := range c.Document.Services {
		if !slices.Contains(services, s.Name) {
			continue
		}
		part.Services = append(part.Services, wire.AgentService{
			Name:           s.Name,
			LongSlots:      longSlots(means.Slots, s.LongSlotShare),
			MaxBody:        s.MaxBody,
			MaxRun:         int64(s.MaxDeadline),
			StreamGrace:    int64(s.StreamGrace),
			MaxConnections: s.MaxConnections,
		})
	}
	for _, j := range c.Document.JobClasses {
		part.Classes = append(part.Classes, wire.AgentClass{
			Name:            j.Name,
			MaxRunTime:      int64(j.MaxRunTime),
			CheckpointGrace: int64(j.CheckpointGrace),
		})
	}
	return part
}

// longSlots rounds down, so that short work keeps its share, but leaves long work one slot unless its share is 0:
// otherwise it could never run on a worker with few slots.
func longSlots(slots int64, share float64) int64 {
	if share == 0 || slots == 0 {
		return 0
	}
	return max(1, int64(float64(slots)*share))
}
