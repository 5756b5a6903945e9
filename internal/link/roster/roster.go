package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// maxGuests bounds the sessions of an agent whose zone has no entries.
const maxGuests = 8

// SourceStore is the source of what this process reads from the store itself.
const SourceStore = "store"

// source is the latest list from one process.
type source struct {
	version uint64
	turn    uint64 // order of arrival
	entries []wire.EntryInfo
	ended   bool // its process is out of reach
}

// SourceOf returns the name of a peer as a source. It contains the incarnation, since the versions of a peer's lists
// start again when it restarts.
func SourceOf(h wire.Hello) string { return h.Name + "/" + string(h.Incarnation) }

// Roster is the set of live entries as this process sees it: the union of the latest list of each source. An entry
// leaves when no source lists it any more. For zones whose rows this process reads itself, only its own reading counts:
// a peer that has lost the store must not keep a dead entry alive and so delay the takeover of its partitions.
type Roster struct {
	mu      sync.Mutex
	sources map[string]source
	turn    uint64
	version uint64
	live    []wire.EntryInfo // sorted by name
	first   []wire.EntryInfo // see FirstHand, sorted by name
	changed chan struct{}
	reading bool                     // this process reads rows itself
	direct  []ident.AvailabilityZone // of these zones; nil for all
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{sources: make(map[string]source), changed: make(chan struct{})}
}

// Update replaces what the source listed before, unless list is older, and reports whether the union changed. A source
// that was forgotten starts anew.
func (r *Roster) Update(name string, list wire.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.sources[name]; ok && !old.ended && list.Version < old.version {
		return false
	}
	r.turn++
	r.sources[name] = source{version: list.Version, turn: r.turn, entries: slices.Clone(list.Entries)}
	return r.merge()
}

// UpdateStore replaces what this process has read from the store; zones are those it read, nil for all.
func (r *Roster) UpdateStore(entries []wire.EntryInfo, zones []ident.AvailabilityZone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading, r.direct = true, slices.Clone(zones)
	r.turn++
	r.sources[SourceStore] = source{turn: r.turn, entries: slices.Clone(entries)}
	r.merge()
}

// LoseStore lets the lists of peers count for all zones again, because this process can no longer read the store.
func (r *Roster) LoseStore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = false
	r.merge()
}

// covers reports whether only own reading counts for a zone; r.mu is held.
func (r *Roster) covers(zone ident.AvailabilityZone) bool {
	return r.reading && (r.direct == nil || slices.Contains(r.direct, zone))
}

// Forget drops what the source listed, for example when its session has ended. While no other source is left, its list
// still counts, because an old list is better than none.
func (r *Roster) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sources[name]; ok {
		s.ended = true
		r.sources[name] = s
		r.merge()
	}
}

// dropEnded removes ended sources once there is another one; r.mu is held.
func (r *Roster) dropEnded() {
	for _, s := range r.sources {
		if !s.ended {
			maps.DeleteFunc(r.sources, func(_ string, s source) bool { return s.ended })
			return
		}
	}
}

// merge builds the union; where sources differ on an entry, the list that arrived last counts. r.mu is held.
func (r *Roster) merge() bool {
	r.dropEnded()
	names := slices.SortedFunc(maps.Keys(r.sources), func(a, b string) int { return cmp.Compare(r.sources[a].turn, r.sources[b].turn) })
	union, first := make(map[ident.Entry]wire.EntryInfo), make(map[ident.Entry]wire.EntryInfo)
	for _, name := range names {
		s := r.sources[name]
		for _, e := range s.entries {
			if name != SourceStore && r.covers(e.Zone) {
				continue
			}
			union[e.Name] = e
			met := name == SourceOf(wire.Hello{Name: string(e.Name), Incarnation: e.Incarnation})
			if name == SourceStore || met && !s.ended {
				first[e.Name] = e
			}
		}
	}
	live, direct := byName(union), byName(first)
	if slices.Equal(live, r.live) && slices.Equal(direct, r.first) {
		return false
	}
	r.live, r.first = live, direct
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

func byName(m map[ident.Entry]wire.EntryInfo) []wire.EntryInfo {
	return slices.SortedFunc(maps.Values(m), func(a, b wire.EntryInfo) int { return cmp.Compare(a.Name, b.Name) })
}

// Changed returns a channel that is closed at the next change of Snapshot or FirstHand.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Snapshot returns all live entries, sorted by name, for agents.
func (r *Roster) Snapshot() wire.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.Roster{Version: r.version, Entries: slices.Clone(r.live)}
}

// Meet adds the entry at the other end of a session, until its own list arrives or Forget is called.
func (r *Roster) Meet(h wire.Hello) {
	r.Update(SourceOf(h), wire.Roster{Entries: []wire.EntryInfo{{Name: ident.Entry(h.Name), Incarnation: h.Incarnation,
		Zone: h.Zone, Address: h.Address}}})
}

// FirstHand returns the entries that this process read from the store itself or, in other zones, has a session with, for
// other entries. Entries pass on nothing else to each other: two that repeat each other's lists would keep a dead entry
// alive.
func (r *Roster) FirstHand() wire.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.Roster{Version: r.version, Entries: slices.Clone(r.first)}
}

// Entry returns one live entry.
func (r *Roster) Entry(name ident.Entry) (wire.EntryInfo, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := slices.BinarySearchFunc(r.live, name, func(e wire.EntryInfo, n ident.Entry) int { return cmp.Compare(e.Name, n) })
	if !ok {
		return wire.EntryInfo{}, false
	}
	return r.live[i], true
}

// Group returns the entries that serve a zone: the live ones in the zone or, when all of these are draining, also at
// most 8 others by rendezvous hash.
func (r *Roster) Group(zone ident.AvailabilityZone) []wire.EntryInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, others []wire.EntryInfo
	staying := false
	for _, e := range r.live {
		switch {
		case e.Zone == zone:
			own = append(own, e)
			staying = staying || !e.Draining
		case !e.Draining:
			others = append(others, e)
		}
	}
	if staying {
		return own
	}
	slices.SortFunc(others, func(a, b wire.EntryInfo) int {
		return cmp.Compare(score(b.Name, string(zone)), score(a.Name, string(zone)))
	})
	return append(own, others[:min(len(others), maxGuests)]...)
}

// Owner returns the entry that should own a partition: the choice of rendezvous hashing among those of the zone's group
// that are not draining.
func (r *Roster) Owner(p ident.Partition) (wire.EntryInfo, bool) {
	return choose(r.Group(p.Zone), p.String())
}

// choose returns the entry with the highest score for a key. When an entry joins or leaves, only the keys that it gains
// or held move.
func choose(group []wire.EntryInfo, key string) (best wire.EntryInfo, found bool) {
	var top uint64
	for _, e := range group {
		if v := score(e.Name, key); !e.Draining && (!found || v > top || v == top && e.Name < best.Name) {
			best, top, found = e, v, true
		}
	}
	return best, found
}

func score(name ident.Entry, key string) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + key)
}
