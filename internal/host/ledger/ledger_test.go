package ledger_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
)

// The seed is fixed so that every run tests the same sequences.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var capacity = sizes.Resources{Processors: 4000, Memory: 1000, Accelerators: 2, Slots: 8, Connections: 16}

func anyResources(t *rapid.T, label string) sizes.Resources {
	amount := func(name string, limit int64) int64 { return rapid.Int64Range(0, limit).Draw(t, label+name) }
	return sizes.Resources{
		Processors: amount("Processors", 5000), Memory: amount("Memory", 1200), Accelerators: amount("Accelerators", 3),
		Slots: amount("Slots", 3), Connections: amount("Connections", 5),
	}
}

// Guards against overcommitment: in any order of starts, ends, late usage reports and agent restarts, the reservations
// never exceed the capacity of the worker, and admission accounts for usage above what tasks declared.
func TestReservationsNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New(capacity)
		if l.Reserve("early", sizes.Resources{Memory: 1}) {
			t.Fatal("the ledger admitted a task before Rebuild")
		}
		l.Rebuild(nil)
		running := map[ledger.Holder]sizes.Resources{}
		used := map[ledger.Holder]sizes.Resources{}
		for i := range rapid.IntRange(1, 60).Draw(t, "Steps") {
			h := ledger.Holder(fmt.Sprint("task/", rapid.IntRange(0, 9).Draw(t, "Holder")))
			switch rapid.IntRange(0, 3).Draw(t, "Action") {
			case 0:
				need := anyResources(t, "Need")
				before := total(running, used)
				if l.Reserve(h, need) {
					if !before.Plus(need).Fits(capacity.Max(before)) {
						t.Fatalf("step %d: admitted %v beside %v", i, need, before)
					}
					running[h] = need
				}
			case 1:
				if _, ok := running[h]; ok != l.Release(h) {
					t.Fatalf("step %d: Release(%s) does not match the running tasks", i, h)
				}
				delete(running, h)
				delete(used, h)
			case 2:
				if _, ok := running[h]; ok {
					u := anyResources(t, "Used")
					used[h] = used[h].Max(u)
					l.Observe(h, u)
				}
			case 3: // the agent restarts
				l = ledger.New(capacity)
				l.Rebuild(running)
				clear(used)
			}
			if !l.Reserved().Fits(capacity) {
				t.Fatalf("step %d: %v reserved, the worker has a capacity of %v", i, l.Reserved(), capacity)
			}
		}
	})
}

func total(running, used map[ledger.Holder]sizes.Resources) sizes.Resources {
	var sum sizes.Resources
	for h, r := range running {
		sum = sum.Plus(r.Max(used[h]))
	}
	return sum
}

// Guards against an overused resource that blocks tasks which need none of it.
func TestOverusedResourceBlocksOnlyItself(t *testing.T) {
	l := ledger.New(capacity)
	l.Rebuild(nil)
	if !l.Reserve("task/a", sizes.Resources{Memory: 100}) {
		t.Fatal("the first task was refused")
	}
	l.Observe("task/a", sizes.Resources{Memory: 2000})
	if l.Reserve("task/b", sizes.Resources{Memory: 1}) {
		t.Error("memory was reserved although the worker has none left")
	}
	if !l.Reserve("request/c", sizes.Resources{Slots: 1}) {
		t.Error("a request that needs no memory was refused")
	}
	if got := l.Overused().Memory; got != 1000 {
		t.Errorf("overused memory = %d, want 1000", got)
	}
}
