package head

import (
	"cmp"
	"slices"
	"sync"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Member is a process that applies a configuration.
type Member struct {
	Role wire.Role
	Name string
	Zone ident.AvailabilityZone
}

// ZoneVersions says which versions are in force in a zone.
type ZoneVersions struct {
	Zone    ident.AvailabilityZone
	Entries int
	Agents  int
	Lowest  uint64 // version that every known process of the zone applies
	Highest uint64
}

// Tracker knows which version each process applies, as far as this entry has been told; it is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	versions map[Member]uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{versions: make(map[Member]uint64)} }

// Applied notes that m applies version; a lower one than before, from a message that was overtaken, is ignored.
func (t *Tracker) Applied(m Member, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.versions[m]; !ok || version > old {
		t.versions[m] = version
	}
}

// Forget removes a process that is gone; call it also before a restarted process is noted again.
func (t *Tracker) Forget(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.versions, m)
}

// Zones returns the versions in force by zone, in order of the zones' names.
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

// Lowest returns the version that every known process of a zone applies, or 0 when none is known. An entry reports this
// for its own zone in its Summary messages.
func (t *Tracker) Lowest(zone ident.AvailabilityZone) uint64 {
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
