package roster_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

func entry(name, zone string) wire.EntryInfo {
	return wire.EntryInfo{Name: ident.Entry(name), Zone: ident.AvailabilityZone(zone), Incarnation: ident.NewIncarnation(), Address: name + ":1"}
}

// testMember is a member that runs in a synctest bubble, with its roster.
type testMember struct {
	*roster.Roster
	member *roster.Member
	stop   context.CancelFunc
	ended  chan error
}

func start(t *testing.T, s *store.Store, self wire.EntryInfo, zones ...ident.AvailabilityZone) testMember {
	ctx, cancel := context.WithCancel(t.Context())
	r := roster.New()
	m := roster.NewMember(roster.MemberConfig{Self: self, Store: s.Client(string(self.Name)), Roster: r,
		Zones: func() []ident.AvailabilityZone { return zones }})
	p := testMember{Roster: r, member: m, stop: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- m.Run(ctx) }()
	return p
}

func (p testMember) names() string {
	var list []string
	for _, e := range p.Snapshot().Entries {
		list = append(list, string(e.Name))
	}
	return fmt.Sprint(list)
}

func (p testMember) expect(t *testing.T, want, when string) {
	t.Helper()
	if got := p.names(); got != want {
		t.Errorf("%s: live entries %s, want %s", when, got, want)
	}
}

func (p testMember) end(t *testing.T) {
	t.Helper()
	p.stop()
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
}

func countRows(t *testing.T, s *store.Store) int {
	t.Helper()
	list, err := s.Range(context.Background(), "entry/", "entry0", 100)
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

func setFaults(t *testing.T, s *store.Store, rules ...script.Rule) {
	t.Helper()
	if err := s.Faults().Set(rules...); err != nil {
		t.Fatal(err)
	}
}

// Guards against an entry that counts as live too long or as dead too early, and against rows that are never deleted.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{Latency: 5 * time.Millisecond})
		a, b, c := start(t, s, entry("a", "agadir")), start(t, s, entry("b", "agadir")), start(t, s, entry("c", "tiznit"))
		time.Sleep(5 * time.Second)
		for _, p := range []testMember{a, b, c} {
			p.expect(t, "[a b c]", "after the start")
		}
		setFaults(t, s, script.Rule{Action: script.Down, Client: "c"})
		time.Sleep(7 * time.Second)
		a.expect(t, "[a b c]", "7 s after the last heartbeat")
		time.Sleep(6 * time.Second)
		a.expect(t, "[a b]", "13 s after the last heartbeat")
		c.expect(t, "[a b c]", "without the store")
		s.Faults().Clear()
		time.Sleep(5 * time.Second)
		a.expect(t, "[a b c]", "after the entry came back")
		b.member.SetDraining()
		time.Sleep(3 * time.Second)
		if e, _ := a.Entry("b"); !e.Draining {
			t.Error("b is not draining")
		}
		b.end(t)
		time.Sleep(3 * time.Second)
		a.expect(t, "[a c]", "after a graceful shutdown")
		setFaults(t, s, script.Rule{Action: script.Down, Client: "c"})
		time.Sleep(4 * time.Minute)
		if n := countRows(t, s); n != 2 {
			t.Errorf("%d rows before the row of the dead entry expires, want 2", n)
		}
		time.Sleep(2 * time.Minute)
		if n := countRows(t, s); n != 1 {
			t.Errorf("%d rows after the row of the dead entry expired, want 1", n)
		}
		s.Faults().Clear()
		time.Sleep(5 * time.Second)
		a.expect(t, "[a c]", "after the row was deleted and written again")
		a.end(t)
		c.end(t)
		if n := countRows(t, s); n != 0 {
			t.Errorf("%d rows remain, want 0", n)
		}
	})
}

// Guards against mass takeovers when the store fails rather than the entries, and against an entry that returns
// ErrReplaced because the response to its own write was lost.
func TestStoreFaultsMarkNoEntryDead(t *testing.T) {
	for name, rule := range map[string]script.Rule{
		"down":           {Action: script.Down},
		"no writes":      {Action: script.Down, Kind: store.KindTransact},
		"no reads":       {Action: script.Down, Kind: store.KindRange},
		"slow":           {Action: script.Slow, Delay: script.Duration(time.Second)},
		"too slow":       {Action: script.Slow, Delay: script.Duration(time.Minute)},
		"responses lost": {Action: script.LoseAfter, Kind: store.KindTransact},
		"requests late":  {Action: script.LoseLate, Kind: store.KindTransact, Delay: script.Duration(3 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Options{})
				a, b := start(t, s, entry("a", "agadir")), start(t, s, entry("b", "agadir"))
				time.Sleep(5 * time.Second)
				setFaults(t, s, rule)
				for range 60 {
					time.Sleep(time.Second)
					a.expect(t, "[a b]", "during the fault")
				}
				s.Faults().Clear()
				for range 30 {
					time.Sleep(time.Second)
					a.expect(t, "[a b]", "after the fault")
				}
				a.end(t)
				b.end(t)
			})
		})
	}
}

// Guards against two processes with one name, and against the stale row of an entry that restarted in another zone.
func TestNewIncarnationReplacesOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		reader := start(t, s, entry("r", "agadir"))
		old := start(t, s, entry("a", "agadir"))
		time.Sleep(5 * time.Second)
		restarted := entry("a", "agadir")
		newer := start(t, s, restarted)
		if err := <-old.ended; !errors.Is(err, roster.ErrReplaced) {
			t.Errorf("old process ended with %v, want ErrReplaced", err)
		}
		time.Sleep(3 * time.Second)
		if e, _ := reader.Entry("a"); e.Incarnation != restarted.Incarnation {
			t.Error("the old incarnation is still listed")
		}
		setFaults(t, s, script.Rule{Action: script.Down, Client: "a"})
		newer.stop()
		if err := <-newer.ended; err == nil {
			t.Error("Run returned no error although the store was down")
		}
		s.Faults().Clear()
		moved := entry("a", "tiznit")
		third := start(t, s, moved)
		time.Sleep(2*roster.Interval + time.Second) // one read may see both rows change
		if e, _ := reader.Entry("a"); e.Zone != "tiznit" || countRows(t, s) != 3 {
			t.Errorf("listed in zone %s with %d rows, want tiznit with 3", e.Zone, countRows(t, s))
		}
		third.end(t)
		reader.end(t)
	})
}

// Guards against reads of all rows by all entries when there are many zones, which would overload the store.
func TestManyZonesReadOnlyNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		var zones []ident.AvailabilityZone
		for i := range 9 {
			zones = append(zones, ident.AvailabilityZone(fmt.Sprintf("z%d", i)))
		}
		var all []testMember
		for _, z := range zones {
			all = append(all, start(t, s, entry("e-"+string(z), string(z)), zones...))
		}
		time.Sleep(5 * time.Second)
		all[0].expect(t, "[e-z0 e-z1]", "first zone")
		all[8].expect(t, "[e-z0 e-z8]", "last zone")
		for i, p := range all {
			all[(i+5)%9].Update("peer", p.Observed())
		}
		all[5].expect(t, "[e-z0 e-z1 e-z5 e-z6]", "with the list of a peer")
		all[5].Forget("peer")
		all[5].expect(t, "[e-z5 e-z6]", "after the peer has left")
		for _, p := range all {
			p.end(t)
		}
	})
}

// Guards against a zone that no entry serves, and against agents that leave a draining entry too early.
func TestGroup(t *testing.T) {
	r := roster.New()
	draining := entry("d", "tiznit")
	draining.Draining = true
	list := []wire.EntryInfo{entry("a", "agadir"), entry("b", "agadir"), draining}
	for i := range 10 {
		list = append(list, entry(fmt.Sprintf("k%d", i), "konya"))
	}
	r.Update("peer", wire.Roster{Version: 2, Entries: list})
	r.Update("peer", wire.Roster{Version: 1})
	if got := r.Group("agadir"); len(got) != 2 {
		t.Errorf("group of a zone with entries: %v", got)
	}
	if got := r.Group("kayseri"); len(got) != 8 || slices.ContainsFunc(got, func(e wire.EntryInfo) bool { return e.Draining }) {
		t.Errorf("group of a zone without entries: %v", got)
	}
	if got := r.Group("tiznit"); len(got) != 9 || got[0].Name != "d" {
		t.Errorf("group of a zone whose only entry is draining: %v", got)
	}
	for i := range uint16(20) {
		if e, ok := r.Owner(ident.Partition{Zone: "tiznit", Number: i}); !ok || e.Draining {
			t.Errorf("owner %v, %v", e, ok)
		}
	}
	r.Forget("peer")
	if len(r.Snapshot().Entries) == 0 {
		t.Error("the only list was dropped")
	}
	r.Update("other", wire.Roster{Version: 1, Entries: list[:1]})
	if got := r.Snapshot().Entries; len(got) != 1 {
		t.Errorf("the list of a disconnected source still counts: %v", got)
	}
	r.Forget("other")
	r.Update("other", wire.Roster{Version: 0, Entries: list[1:3]})
	if got := r.Snapshot().Entries; len(got) != 2 {
		t.Errorf("entries after a source reconnected: %v", got)
	}
}

// Guards against a dead entry that stays listed because two others relay it to each other, or because one that cannot
// reach the store still lists it.
func TestStoreRowsOverridePeerLists(t *testing.T) {
	a, b, c := entry("a", "agadir"), entry("b", "agadir"), entry("c", "agadir")
	ra, rb := roster.New(), roster.New()
	exchange := func() {
		ra.Update("b", rb.Observed())
		rb.Update("a", ra.Observed())
	}
	ra.UpdateStore([]wire.EntryInfo{a, b, c}, nil)
	rb.UpdateStore([]wire.EntryInfo{a, b, c}, nil)
	exchange()
	changed := ra.Changed()
	ra.UpdateStore([]wire.EntryInfo{a, b}, nil)
	if _, ok := ra.Entry("c"); ok {
		t.Error("c is still live because a peer lists it")
	}
	select {
	case <-changed:
	default:
		t.Error("Changed was not closed")
	}
	rb.UsePeerLists()
	exchange()
	if _, ok := rb.Entry("c"); !ok {
		t.Error("b dropped the entries it had read when it lost the store")
	}
	rb.UpdateStore([]wire.EntryInfo{a, b}, nil)
	exchange()
	for _, r := range []*roster.Roster{ra, rb} {
		if n := len(r.Snapshot().Entries); n != 2 {
			t.Errorf("%d live entries, want 2", n)
		}
	}
	peer := roster.New() // an agent, or an entry that does not read the zone
	peer.Update("a", ra.Observed())
	peer.Update("b", wire.Roster{Entries: []wire.EntryInfo{a, b, c}})
	changed = peer.Changed()
	peer.Update("b", rb.Observed())
	if n := len(peer.Snapshot().Entries); n != 2 {
		t.Errorf("%d live entries from peer lists, want 2", n)
	}
	<-changed
}
