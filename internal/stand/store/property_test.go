package store_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// A fixed seed makes the tests deterministic.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func drawRules(t *rapid.T) []script.Rule {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) script.Rule {
		return script.Rule{
			Action: script.Action(rapid.IntRange(int(script.Down), int(script.Reject)).Draw(t, "action")),
			Kind:   rapid.SampledFrom([]string{"", store.KindTransact}).Draw(t, "kind"),
			Client: rapid.SampledFrom([]string{"", "0", "1", "2"}).Draw(t, "client"),
			First:  int64(rapid.IntRange(1, 60).Draw(t, "first")),
			Count:  int64(rapid.IntRange(1, 8).Draw(t, "count")),
			Delay:  script.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * script.Duration(time.Millisecond),
		}
	}), 0, 8).Draw(t, "rules")
}

// incrementAll increments the counter perClient times from each of three clients and returns the number of reported
// commits.
func incrementAll(t *testing.T, s *store.Store, perClient int) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	committed := 0
	for w := range 3 {
		wg.Go(func() {
			for i := range perClient {
				ok, err := increment(t.Context(), s.Client(fmt.Sprint(w)), fmt.Sprintf("own/%d/%d", w, i))
				if err != nil && !errors.IsAny(err, table.ErrUnavailable, table.ErrRateLimited) {
					t.Errorf("increment: %v", err)
				}
				mu.Lock()
				if ok {
					committed++
				}
				mu.Unlock()
				time.Sleep(time.Duration(w+1) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return committed
}

// Guards against a Resolve that, under some fault script and write limit, reports a commit that did not happen or omits
// one that did.
func TestResolveMatchesCommitsUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rules := drawRules(rt)
		writes := rapid.SampledFrom([]int{0, 50}).Draw(rt, "writes per second")
		var committed int
		var c counter
		synctest.Test(t, func(t *testing.T) {
			s := store.New(store.Options{WritesPerSecond: writes})
			if err := s.Faults().Set(rules...); err != nil {
				t.Fatal(err)
			}
			committed = incrementAll(t, s, 20)
			time.Sleep(2 * time.Second) // until the effects of LoseLate have happened
			s.Faults().Clear()
			row, err := table.Get(t.Context(), s, "counter")
			if errors.Is(err, table.ErrNotFound) {
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(row.Value, &c); err != nil {
				t.Fatal(err)
			}
		})
		if c.N != committed {
			rt.Fatalf("counter is %d after %d reported commits", c.N, committed)
		}
	})
}
