package ledger_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
)

// A fixed seed gives the same verdict in every run.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var means = sizes.Resources{Processors: 4000, Memory: 1000, Accelerators: 2, Slots: 8, Connections: 16}

func anyResources(t *rapid.T, label string) sizes.Resources {
	kind := func(name string, limit int64) int64 { return rapid.Int64Range(0, limit).Draw(t, label+name) }
	return sizes.Resources{
		Processors: kind("Processors", 5000), Memory: kind("Memory", 1200), Accelerators: kind("Accelerators", 3),
		Slots: kind("Slots", 3), Connections: kind("Connections", 5),
	}
}

// Guards against overfilling: over any order of starts, finishes, late usage reports and agent restarts, what is given
// to tasks never passes the means of the worker, and admission leaves out what wrongly declared tasks really use.
func TestGivenNeverExceedsMeans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New(means)
		if l.Reserve("early", sizes.Resources{Memory: 1}) {
			t.Fatal("a ledger that was not rebuilt admitted a task")
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
					if !before.Plus(need).Fits(means.Max(before)) {
						t.Fatalf("step %d: admitted %v beside %v", i, need, before)
					}
					running[h] = need
				}
			case 1:
				if _, ok := running[h]; ok != l.Release(h) {
					t.Fatalf("step %d: release of %s disagrees with what runs", i, h)
				}
				delete(running, h)
				delete(used, h)
			case 2:
				if _, ok := running[h]; ok {
					u := anyResources(t, "Used")
					used[h] = used[h].Max(u)
					l.Observe(h, u)
				}
			case 3: // restart of the agent
				l = ledger.New(means)
				l.Rebuild(running)
				clear(used)
			}
			if !l.Given().Fits(means) {
				t.Fatalf("step %d: %v is given, the worker has %v", i, l.Given(), means)
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

// Guards against a kind that is overused blocking tasks that need none of it.
func TestOverusedKindBlocksOnlyItself(t *testing.T) {
	l := ledger.New(means)
	l.Rebuild(nil)
	if !l.Reserve("task/a", sizes.Resources{Memory: 100}) {
		t.Fatal("first task was refused")
	}
	l.Observe("task/a", sizes.Resources{Memory: 2000})
	if l.Reserve("task/b", sizes.Resources{Memory: 1}) {
		t.Error("memory was given although the worker has none left")
	}
	if !l.Reserve("request/c", sizes.Resources{Slots: 1}) {
		t.Error("a request that needs no memory was refused")
	}
	if got := l.Overused().Memory; got != 1000 {
		t.Errorf("overused memory = %d, want 1000", got)
	}
}
