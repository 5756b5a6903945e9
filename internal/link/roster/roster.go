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

// maxFallbackEntries caps the entries of other zones that serve a zone without active entries of its own, and so
// limits the sessions of each agent in that zone.
const maxFallbackEntries = 8

// SourceStore names the source whose entries this process reads from the store itself.
const SourceStore = "store"

// source is the latest list received from one process.
type source struct {
	version      uint64
	seq          uint64 // order of arrival
	entries      []wire.EntryInfo
	disconnected bool // the process is unreachable
}

// SourceOf returns the source name of a peer. It includes the incarnation, because the versions of a peer's lists start
// over when the peer restarts.
func SourceOf(h wire.Hello) string { return h.Name + "/" + string(h.Incarnation) }

// Roster is the set of live entries known to this process: the union of the latest list of each source. An entry is
// removed once no source lists it. For zones whose rows this process reads from the store, lists of peers are ignored:
// a peer that cannot reach the store would keep listing a dead entry and so delay the takeover of its partitions.
type Roster struct {
	mu         sync.Mutex
	sources    map[string]source
	seq        uint64
	version    uint64
	live       []wire.EntryInfo // sorted by name
	observed   []wire.EntryInfo // see Observed, sorted by name
	changed    chan struct{}
	readsStore bool                     // this process reads rows from the store
	readZones  []ident.AvailabilityZone // zones whose rows it reads; nil for all
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{sources: make(map[string]source), changed: make(chan struct{})}
}

// Update replaces the list of a source, unless the new one is older, and reports whether the union changed. After
// Forget, any version is accepted.
func (r *Roster) Update(name string, list wire.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.sources[name]; ok && !old.disconnected && list.Version < old.version {
		return false
	}
	r.seq++
	r.sources[name] = source{version: list.Version, seq: r.seq, entries: slices.Clone(list.Entries)}
	return r.merge()
}

// UpdateStore replaces the entries read from the store; zones are those whose rows were read, nil for all.
func (r *Roster) UpdateStore(entries []wire.EntryInfo, zones []ident.AvailabilityZone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readsStore, r.readZones = true, slices.Clone(zones)
	r.seq++
	r.sources[SourceStore] = source{seq: r.seq, entries: slices.Clone(entries)}
	r.merge()
}

// UsePeerLists accepts the lists of peers for all zones until the next UpdateStore, because the store is unreadable.
func (r *Roster) UsePeerLists() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readsStore = false
	r.merge()
}

// readsZone reports whether this process reads the rows of a zone and so ignores the lists of peers; r.mu is held.
func (r *Roster) readsZone(zone ident.AvailabilityZone) bool {
	return r.readsStore && (r.readZones == nil || slices.Contains(r.readZones, zone))
}

// Forget drops the list of a source, for example when its session has ended. If no other source is connected, the list
// still counts, because a stale list is better than none.
func (r *Roster) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sources[name]; ok {
		s.disconnected = true
		r.sources[name] = s
		r.merge()
	}
}

// dropDisconnected removes disconnected sources if there is a connected one; r.mu is held.
func (r *Roster) dropDisconnected() {
	for _, s := range r.sources {
		if !s.disconnected {
			maps.DeleteFunc(r.sources, func(_ string, s source) bool { return s.disconnected })
			return
		}
	}
}

// merge rebuilds the union and reports whether it changed; where sources differ on an entry, the list that arrived last
// wins. r.mu is held.
func (r *Roster) merge() bool {
	r.dropDisconnected()
	names := slices.SortedFunc(maps.Keys(r.sources), func(a, b string) int { return cmp.Compare(r.sources[a].seq, r.sources[b].seq) })
	union, direct := make(map[ident.Entry]wire.EntryInfo), make(map[ident.Entry]wire.EntryInfo)
	for _, name := range names {
		s := r.sources[name]
		for _, e := range s.entries {
			if name != SourceStore && r.readsZone(e.Zone) {
				continue
			}
			union[e.Name] = e
			isSelf := name == SourceOf(wire.Hello{Name: string(e.Name), Incarnation: e.Incarnation})
			if name == SourceStore || isSelf && !s.disconnected {
				direct[e.Name] = e
			}
		}
	}
	live, observed := byName(union), byName(direct)
	if slices.Equal(live, r.live) && slices.Equal(observed, r.observed) {
		return false
	}
	r.live, r.observed = live, observed
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

func byName(m map[ident.Entry]wire.EntryInfo) []wire.EntryInfo {
	return slices.SortedFunc(maps.Values(m), func(a, b wire.EntryInfo) int { return cmp.Compare(a.Name, b.Name) })
}

// Changed returns a channel that is closed at the next change of Snapshot or Observed.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Snapshot returns all live entries, sorted by name; this is the list sent to agents.
func (r *Roster) Snapshot() wire.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.Roster{Version: r.version, Entries: slices.Clone(r.live)}
}

// AddPeer adds the entry at the other end of a session until its first list arrives or Forget is called.
func (r *Roster) AddPeer(h wire.Hello) {
	r.Update(SourceOf(h), wire.Roster{Entries: []wire.EntryInfo{{Name: ident.Entry(h.Name), Incarnation: h.Incarnation,
		Zone: h.Zone, Address: h.Address}}})
}

// Observed returns the entries that this process read from the store or, in other zones, has a session with; this is
// the list sent to other entries. Entries do not relay lists of peers: two entries that repeat each other's lists would
// keep a dead entry listed.
func (r *Roster) Observed() wire.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.Roster{Version: r.version, Entries: slices.Clone(r.observed)}
}

// Entry returns the live entry with the given name, or false if there is none.
func (r *Roster) Entry(name ident.Entry) (wire.EntryInfo, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := slices.BinarySearchFunc(r.live, name, func(e wire.EntryInfo, n ident.Entry) int { return cmp.Compare(e.Name, n) })
	if !ok {
		return wire.EntryInfo{}, false
	}
	return r.live[i], true
}

// Group returns the entries that serve a zone: the live ones in the zone and, if there are none or all of them are
// draining, up to 8 entries of other zones, chosen by rendezvous hashing.
func (r *Roster) Group(zone ident.AvailabilityZone) []wire.EntryInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, others []wire.EntryInfo
	active := false
	for _, e := range r.live {
		switch {
		case e.Zone == zone:
			own = append(own, e)
			active = active || !e.Draining
		case !e.Draining:
			others = append(others, e)
		}
	}
	if active {
		return own
	}
	slices.SortFunc(others, func(a, b wire.EntryInfo) int {
		return cmp.Compare(score(b.Name, string(zone)), score(a.Name, string(zone)))
	})
	return append(own, others[:min(len(others), maxFallbackEntries)]...)
}

// Owner returns the entry that should own a partition, chosen by rendezvous hashing among the entries of the zone's
// group that are not draining; it returns false if there is none.
func (r *Roster) Owner(p ident.Partition) (wire.EntryInfo, bool) {
	return choose(r.Group(p.Zone), p.String())
}

// choose returns the entry with the highest score for a key, among those that are not draining. When an entry joins or
// leaves, only the keys assigned to it move.
func choose(group []wire.EntryInfo, key string) (best wire.EntryInfo, found bool) {
	var maxScore uint64
	for _, e := range group {
		if v := score(e.Name, key); !e.Draining && (!found || v > maxScore || v == maxScore && e.Name < best.Name) {
			best, maxScore, found = e, v, true
		}
	}
	return best, found
}

func score(name ident.Entry, key string) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + key)
}
