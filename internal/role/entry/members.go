package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// members provides the owner of batch work with the partitions that exist and the entries that should own them; it
// implements owner.Members.
type members struct {
	self      ident.Entry
	zone      ident.AvailabilityZone
	roster    liveEntries
	holder    *head.Holder
	directory *directory
	owns      func(p ident.Partition) bool
}

// liveEntries is the part of the roster that members, jobs and partitionPeers use.
type liveEntries interface {
	// OwnerOf returns the live entry that should own a partition.
	OwnerOf(p ident.Partition) (ident.Entry, bool)
	// IsAlive reports whether an entry is alive with the given incarnation.
	IsAlive(name ident.Entry, inc ident.Incarnation) bool
}

// Partitions implements owner.Members.
func (m *members) Partitions() []ident.Partition {
	c := m.holder.Current()
	if c == nil {
		return nil
	}
	var list []ident.Partition
	for _, z := range c.Document.AvailabilityZones {
		for n := range z.Partitions {
			list = append(list, ident.Partition{Zone: ident.AvailabilityZone(z.Name), Number: uint16(n)})
		}
	}
	slices.SortFunc(list, func(a, b ident.Partition) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
	})
	return list
}

// Candidates implements owner.Members. It omits partitions of other zones, unless this entry owns them or should own
// them, because every candidate costs reads from the store.
func (m *members) Candidates() []ident.Partition {
	return slices.DeleteFunc(m.Partitions(), func(p ident.Partition) bool {
		return p.Zone != m.zone && !m.owns(p) && !m.ShouldOwn(p)
	})
}

// ShouldOwn implements owner.Members.
func (m *members) ShouldOwn(p ident.Partition) bool {
	name, ok := m.roster.OwnerOf(p)
	return ok && name == m.self
}

// IsAlive implements owner.Members.
func (m *members) IsAlive(name ident.Entry, inc ident.Incarnation) bool {
	return m.roster.IsAlive(name, inc)
}

// Free implements owner.Members.
func (m *members) Free(zone ident.AvailabilityZone) sizes.Resources { return m.directory.freeIn(zone) }

// Policy implements owner.Members.
func (m *members) Policy(team ident.Team) (weight float64, quota sizes.Resources) {
	c := m.holder.Current()
	if c == nil {
		return 1, sizes.Resources{}
	}
	t, ok := c.Document.Team(string(team))
	if !ok {
		return 1, sizes.Resources{}
	}
	return float64(t.Weight), t.Quota.Resources()
}

// homePartition returns the home partition of a job, which is the same on all entries with the same configuration; it
// reports false if no configuration with partitions is in force.
func (m *members) homePartition(job ident.Job) (ident.Partition, bool) {
	list := m.Partitions()
	if len(list) == 0 {
		return ident.Partition{}, false
	}
	return list[xxhash.Sum64String(string(job))%uint64(len(list))], true
}
