package head

import (
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// AgentConfig returns the part of c that an agent needs, given the capacity of its worker and the services that its
// targets announced. It omits announced services that the document does not declare.
func (c *Current) AgentConfig(capacity sizes.Resources, services []string) *wire.AgentConfig {
	p := c.Document.Policies
	cfg := &wire.AgentConfig{
		Version:      c.Version,
		AgentLease:   int64(p.AgentLease),
		AgentRenewal: int64(p.AgentRenewal),
	}
	for _, s := range c.Document.Services {
		if !slices.Contains(services, s.Name) {
			continue
		}
		cfg.Services = append(cfg.Services, wire.AgentService{
			Name:           s.Name,
			LongSlots:      longSlots(capacity.Slots, s.LongSlotShare),
			MaxBody:        s.MaxBody,
			MaxRun:         int64(s.MaxDeadline),
			StreamGrace:    int64(s.StreamGrace),
			MaxConnections: s.MaxConnections,
		})
	}
	for _, j := range c.Document.JobClasses {
		cfg.Classes = append(cfg.Classes, wire.AgentClass{
			Name:            j.Name,
			MaxRunTime:      int64(j.MaxRunTime),
			CheckpointGrace: int64(j.CheckpointGrace),
		})
	}
	return cfg
}

// longSlots returns the number of slots that long requests may occupy. It rounds down, so that short requests have
// their full share, but to no less than one slot: otherwise long requests could never run on a worker with few slots.
// It returns 0 only if slots or share is 0.
func longSlots(slots int64, share float64) int64 {
	if share == 0 || slots == 0 {
		return 0
	}
	return max(1, int64(float64(slots)*share))
}
