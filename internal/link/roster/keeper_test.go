package roster_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

var _ roster.Session = (*sess.Session)(nil)

// fake is a session with the entry that listens at an address.
type fake struct {
	net  *network
	name string
	once sync.Once
	done chan struct{}
}

func (f *fake) Peer() wire.Hello      { return wire.Hello{Name: f.name} }
func (f *fake) Done() <-chan struct{} { return f.done }

func (f *fake) Close(error) {
	f.once.Do(func() {
		close(f.done)
		f.net.mu.Lock()
		defer f.net.mu.Unlock()
		f.net.open = slices.DeleteFunc(f.net.open, func(o *fake) bool { return o == f })
	})
}

// network maps addresses to names; an address without a name cannot be reached.
type network struct {
	mu    sync.Mutex
	names map[string]string
	open  []*fake
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
	f := &fake{net: n, name: name, done: make(chan struct{})}
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

// Guards against an agent without a session, with two sessions to one entry, or with sessions to entries that left, and
// against redials in a tight loop.
func TestAgentKeepsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &network{names: map[string]string{"balancer:1": "c", "a:1": "a", "b:1": "b", "c:1": "c"}}
		r := roster.New()
		k := roster.NewKeeper(roster.KeeperConfig{Roster: r, Wanted: roster.GroupOf(r, "agadir"), Balancer: "balancer:1", Dial: n.dial})
		var running sync.WaitGroup
		running.Go(func() { k.Run(ctx) })
		expect := func(when string, want ...string) {
			t.Helper()
			if got := n.connected(); !slices.Equal(got, want) || k.Open() != len(want) {
				t.Errorf("%s: sessions %v and %d open, want %v", when, got, k.Open(), want)
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
		cut, dials := n.open[0], len(n.dials)
		n.names = map[string]string{"a:1": "another"}
		n.mu.Unlock()
		cut.Close(nil)
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
		running.Wait()
		expect("after the end")
	})
}

// Guards against two sessions between a pair of entries, or none.
func TestLowerNameDials(t *testing.T) {
	r := roster.New()
	r.Update("test", wire.Roster{Entries: []wire.EntryInfo{entry("a", "x"), entry("b", "y"), entry("c", "z")}})
	for self, want := range map[string]int{"a": 2, "b": 1, "c": 0} {
		if got := roster.PeersOf(r, entry(self, "").Name)(); len(got) != want {
			t.Errorf("%s dials %v, want %d", self, got, want)
		}
	}
}
