package roster_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

var _ roster.Session = (*sess.Session)(nil)

// fakeSession is a session on a network.
type fakeSession struct {
	net  *network
	name string
	once sync.Once
	done chan struct{}
}

func (f *fakeSession) Peer() wire.Hello      { return wire.Hello{Name: f.name} }
func (f *fakeSession) Done() <-chan struct{} { return f.done }

func (f *fakeSession) Close(error) {
	f.once.Do(func() {
		close(f.done)
		f.net.mu.Lock()
		defer f.net.mu.Unlock()
		f.net.open = slices.DeleteFunc(f.net.open, func(o *fakeSession) bool { return o == f })
	})
}

// network is a fake network that maps addresses to process names; dialing any other address fails.
type network struct {
	mu    sync.Mutex
	names map[string]string
	open  []*fakeSession
	dials []time.Time
}

func (n *network) dial(_ context.Context, address string) (roster.Session, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials = append(n.dials, time.Now())
	name, ok := n.names[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	f := &fakeSession{net: n, name: name, done: make(chan struct{})}
	n.open = append(n.open, f)
	return f, nil
}

func (n *network) connected() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []string
	for _, f := range n.open {
		list = append(list, f.name)
	}
	slices.Sort(list)
	return list
}

// Guards against an agent without a session, with two sessions to one entry or with sessions to entries that left, and
// against redialing in a tight loop.
func TestConnectorConnectsToGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &network{names: map[string]string{"balancer:1": "c", "a:1": "a", "b:1": "b", "c:1": "c"}}
		r := roster.New()
		conn := roster.NewConnector(roster.ConnectorConfig{Roster: r, Peers: roster.GroupOf(r, "agadir"), Balancer: "balancer:1", Dial: n.dial})
		var wg sync.WaitGroup
		wg.Go(func() { conn.Run(ctx) })
		expect := func(when string, want ...string) {
			t.Helper()
			if got := n.connected(); !slices.Equal(got, want) || conn.SessionCount() != len(want) {
				t.Errorf("%s: sessions %v and %d open, want %v", when, got, conn.SessionCount(), want)
			}
		}
		time.Sleep(time.Second)
		expect("through the balancer", "c")
		a, b, c := entry("a", "agadir"), entry("b", "agadir"), entry("c", "tiznit")
		r.Update("c", wire.Roster{Version: 1, Entries: []wire.EntryInfo{a, b, c}})
		time.Sleep(3 * time.Second)
		expect("with the group", "a", "b")
		r.Update("c", wire.Roster{Version: 2, Entries: []wire.EntryInfo{a, c}})
		time.Sleep(time.Second)
		expect("after b left", "a")
		n.mu.Lock()
		dropped, dials := n.open[0], len(n.dials)
		n.names = map[string]string{"a:1": "another"}
		n.mu.Unlock()
		dropped.Close(nil)
		time.Sleep(time.Minute)
		expect("without entries")
		if got := len(n.dials) - dials; got < 20 || got > 100 {
			t.Errorf("%d dials in a minute without entries", got)
		}
		n.mu.Lock()
		n.names = map[string]string{"balancer:1": "a", "a:1": "a"}
		n.mu.Unlock()
		time.Sleep(20 * time.Second)
		expect("after the entry came back", "a")
		cancel()
		wg.Wait()
		expect("after Run returned")
	})
}

// Guards against two sessions between a pair of entries, or none. Each of the 12 entries initially knows only its own
// zone and the next one. Names are in reverse order of the zones, so that (except between the last zone and the first)
// the entry that knows the other has the higher name.
func TestEntriesFormFullMesh(t *testing.T) {
	var zones []ident.AvailabilityZone
	var all []wire.EntryInfo
	var rosters []*roster.Roster
	for i := range 12 {
		zones = append(zones, ident.AvailabilityZone(fmt.Sprintf("z%02d", i)))
		all = append(all, entry(fmt.Sprintf("e%02d", 50-i), string(zones[i])))
		rosters = append(rosters, roster.New())
	}
	for i, r := range rosters {
		r.UpdateStore([]wire.EntryInfo{all[i], all[(i+1)%12]}, []ident.AvailabilityZone{zones[i], zones[(i+1)%12]})
	}
	sessions := make(map[[2]int]bool)
	hello := func(i int) wire.Hello {
		return wire.Hello{Name: string(all[i].Name), Incarnation: all[i].Incarnation, Zone: all[i].Zone, Address: all[i].Address}
	}
	for range 12 {
		for i, r := range rosters {
			for _, e := range roster.MeshOf(r, all[i], func() []ident.AvailabilityZone { return zones })() {
				k := slices.IndexFunc(all, func(o wire.EntryInfo) bool { return o.Name == e.Name })
				if sessions[[2]int{k, i}] {
					t.Fatalf("entries %d and %d dial each other", i, k)
				}
				sessions[[2]int{i, k}] = true
				r.AddPeer(hello(k))
				rosters[k].AddPeer(hello(i))
			}
		}
		for s := range sessions {
			rosters[s[0]].Update(roster.SourceOf(hello(s[1])), rosters[s[1]].Observed())
			rosters[s[1]].Update(roster.SourceOf(hello(s[0])), rosters[s[0]].Observed())
		}
	}
	if len(sessions) != 12*11/2 {
		t.Errorf("%d sessions between 12 entries, want one for each pair", len(sessions))
	}
	for i, r := range rosters { // entry 0 dies
		r.Forget(roster.SourceOf(hello(0)))
		if i > 0 {
			r.UpdateStore([]wire.EntryInfo{all[i], all[max((i+1)%12, 1)]}, []ident.AvailabilityZone{zones[i], zones[(i+1)%12]})
		}
	}
	for s := range sessions {
		if s[0] != 0 && s[1] != 0 {
			rosters[s[0]].Update(roster.SourceOf(hello(s[1])), rosters[s[1]].Observed())
			rosters[s[1]].Update(roster.SourceOf(hello(s[0])), rosters[s[0]].Observed())
		}
	}
	for i, r := range rosters[1:] {
		if n := len(r.Snapshot().Entries); n != 11 {
			t.Errorf("entry %d sees %d live entries after entry 0 died, want 11", i+1, n)
		}
	}
}
