package drive

import (
	"slices"
	"strings"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/stand/target"
)

// Limits of the system of an experiment, which runs on a single machine.
const (
	maxZones         = 8
	maxZoneEntries   = 4
	maxZoneWorkers   = 16
	maxSystemTargets = 64 // workers times services
)

// System configures the system that load --demo starts for an experiment.
type System struct {
	Region     string
	Zones      []SystemZone
	Worker     sizes.Resources // resources of each worker
	LinkDelay  model.Duration  // one-way delay between zones
	Services   []TargetService
	Teams      []model.Team
	JobClasses []string
	Faults     []Fault
}

// SystemZone configures an availability zone of a System.
type SystemZone struct {
	Name    string
	Workers int
	Entries int
}

// TargetService configures the service times of the targets of a service.
type TargetService struct {
	Name       string
	Run        model.Duration // service time
	Long       model.Duration // service time of the path /long
	Jitter     float64        // maximum deviation from the service time as a fraction of it, 0 to 1
	TailShare  float64        // fraction of requests whose service time is multiplied by TailFactor
	TailFactor float64
	Paths      []TargetPath // the first match overrides Run
}

// TargetPath sets the service time of all paths with a prefix.
type TargetPath struct {
	Prefix string
	Run    model.Duration
}

// Values of Fault.Kind.
const (
	EntriesLost = "EntriesLost" // ends all entries of the zone at once
	WorkersLost = "WorkersLost" // ends all workers of the zone at once, with their agents and targets
)

// Fault ends processes of a zone during a run.
type Fault struct {
	At   model.Duration // since the start of the run
	Kind string
	Zone string
}

// Times returns the service times as options of a target stand-in.
func (t TargetService) Times() target.Times {
	out := target.Times{
		Service: t.Run.Std(), Long: t.Long.Std(), Jitter: t.Jitter, TailShare: t.TailShare, TailFactor: t.TailFactor,
	}
	for _, p := range t.Paths {
		out.Paths = append(out.Paths, target.PathTime{Prefix: p.Prefix, Service: p.Run.Std()})
	}
	return out
}

func (s *System) check(c strict.Check) {
	model.CheckName(c.Field("Region"), s.Region)
	strict.Between(c.Field("Zones"), len(s.Zones), 1, maxZones)
	names := make([]string, 0, len(s.Zones))
	workers, entries := 0, 0
	for i, z := range s.Zones {
		at := c.Field("Zones").Index(i)
		model.CheckName(at.Field("Name"), z.Name)
		strict.Between(at.Field("Workers"), z.Workers, 0, maxZoneWorkers)
		strict.Between(at.Field("Entries"), z.Entries, 0, maxZoneEntries)
		names = append(names, z.Name)
		workers += z.Workers
		entries += z.Entries
	}
	strict.Between(c.Field("Zones").Field("Workers"), workers, 1, maxSystemTargets)
	strict.Between(c.Field("Zones").Field("Entries"), entries, 1, maxZones*maxZoneEntries)
	strict.Between(c.Field("Services"), len(s.Services), 1, maxSystemTargets/max(1, workers))
	checkTime(c.Field("LinkDelay"), s.LinkDelay)
	for i, v := range s.Services {
		at := c.Field("Services").Index(i)
		model.CheckName(at.Field("Name"), v.Name)
		checkTime(at.Field("Run"), v.Run)
		checkTime(at.Field("Long"), v.Long)
		strict.Between(at.Field("Jitter"), v.Jitter, 0, 1)
		strict.Between(at.Field("TailShare"), v.TailShare, 0, 1)
		strict.Between(at.Field("TailFactor"), v.TailFactor, 0, maxSlowdown)
		for j, p := range v.Paths {
			checkTime(at.Field("Paths").Index(j).Field("Run"), p.Run)
		}
	}
	kinds := []string{EntriesLost, WorkersLost}
	for i, f := range s.Faults {
		at := c.Field("Faults").Index(i)
		checkTime(at.Field("At"), f.At)
		if !slices.Contains(kinds, f.Kind) {
			at.Field("Kind").Fail(f.Kind, "one of %s", strings.Join(kinds, ", "))
		}
		if !slices.Contains(names, f.Zone) {
			at.Field("Zone").Fail(f.Zone, "one of %s", strings.Join(names, ", "))
		}
	}
}
