package head

import (
	"cmp"
	"slices"
	"sync"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Member identifies a process that applies the configuration.
type Member struct {
	Role wire.Role
	Name string
	Zone ident.AvailabilityZone
}

// ZoneVersions summarizes the versions that the known processes of a zone apply.
type ZoneVersions struct {
	Zone    ident.AvailabilityZone
	Entries int    // known entries
	Agents  int    // known agents
	Lowest  uint64 // lowest version in the zone; every known process applies at least this
	Highest uint64 // highest version in the zone
}

// Tracker records the version that each known process last reported as applied; it is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	versions map[Member]uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{versions: make(map[Member]uint64)} }

// SetVersion records that m applies version. It ignores a lower version than recorded, which is from a delayed message.
func (t *Tracker) SetVersion(m Member, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.versions[m]; !ok || version > old {
		t.versions[m] = version
	}
}

// Remove removes a process that has left; call it also before SetVersion for a restarted process, as its version may be
// lower.
func (t *Tracker) Remove(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.versions, m)
}

// Zones returns the versions in each zone, sorted by the name of the zone.
func (t *Tracker) Zones() []ZoneVersions {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := make(map[ident.AvailabilityZone]*ZoneVersions)
	for m, v := range t.versions {
		z, ok := zones[m.Zone]
		if !ok {
			z = &ZoneVersions{Zone: m.Zone, Lowest: v}
			zones[m.Zone] = z
		}
		if m.Role == wire.RoleEntry {
			z.Entries++
		} else {
			z.Agents++
		}
		z.Lowest, z.Highest = min(z.Lowest, v), max(z.Highest, v)
	}
	list := make([]ZoneVersions, 0, len(zones))
	for _, z := range zones {
		list = append(list, *z)
	}
	slices.SortFunc(list, func(a, b ZoneVersions) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// LowestVersion returns the lowest version that the known processes of a zone apply, or 0 when none is known. An entry
// reports it for its own zone in its Summary messages.
func (t *Tracker) LowestVersion(zone ident.AvailabilityZone) uint64 {
	for _, z := range t.Zones() {
		if z.Zone == zone {
			return z.Lowest
		}
	}
	return 0
}

// IsInForce reports whether every known process applies at least version.
func (t *Tracker) IsInForce(version uint64) bool {
	return !slices.ContainsFunc(t.Zones(), func(z ZoneVersions) bool { return z.Lowest < version })
}
