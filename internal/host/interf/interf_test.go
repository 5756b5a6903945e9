package interf_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/interf"
)

const seed = 20261204

// newVirtualFixture returns a fixture in the virtual time of a synctest bubble. Its service has run without batch tasks
// over the range of rates for two minutes, so that its baseline is known; loadSlowdown is as in fixture.
func newVirtualFixture(lag time.Duration, effects profile, loadSlowdown float64) *fixture {
	f := newFixture(time.Now(), seed, lag, effects)
	f.sleep = func(d time.Duration) {
		time.Sleep(d)
		f.now = time.Now()
	}
	f.controller = interf.New(interf.Config{Processors: processors})
	f.loadSlowdown = loadSlowdown
	f.rate = func(since time.Duration) float64 { return 20 + 100*float64(since%time.Minute)/float64(time.Minute) }
	f.run(f.now, 2*time.Minute)
	f.rate = func(time.Duration) float64 { return topRate / 2 }
	return f
}

// oneInterfering returns a profile in which only one class interferes.
func oneInterfering(name string, effect float64) profile {
	return func(class string, _ float64) (byUse, byMemory float64) {
		if class == name {
			return effect, 0
		}
		return 0.02, 0
	}
}

// Guards against attributing interference to other classes that run at the same time, or not finding its cause.
func TestInterferingClassIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFixture(time.Second, oneInterfering("scan", 3), 0.6)
		f.classes = benchClasses
		f.run(f.now, 5*time.Minute)
		found := f.controller.ExpectedSlowdown("booking", "scan")
		for _, class := range []string{"plan", "index", "report"} {
			if e := f.controller.ExpectedSlowdown("booking", class); e > 2 || found < 4*e {
				t.Errorf("estimated effect of scan %.1f, of %s %.1f", found, class, e)
			}
		}
		if n := f.count(interf.Throttle, "scan"); n == 0 {
			t.Error("the interfering class was never throttled")
		}
		for _, a := range f.actions {
			if a.Kind == interf.Evict && a.Class != "scan" {
				t.Errorf("a task of the harmless class %s was evicted", a.Class)
			}
		}
	})
}

// Guards against limits that oscillate while the tail latency is between the slack threshold and the bound.
func TestNoFlapping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFixture(time.Second, oneInterfering("scan", 3), 0.6)
		for range 4 {
			f.start("scan")
			f.tasks[len(f.tasks)-1].remaining = 1e6
		}
		f.run(f.now, 2*time.Minute)
		f.actions = nil
		f.run(f.now, 5*time.Minute)
		turns, last := 0, interf.Kind(0)
		for _, a := range f.actions {
			if last != 0 && a.Kind != last && a.Kind != interf.Evict {
				turns++
			}
			if a.Kind != interf.Evict {
				last = a.Kind
			}
		}
		if turns > 10 {
			t.Errorf("limits changed direction %d times in 5 min", turns)
		}
	})
}

// Guards against a second action that is based on measurements from before the first.
func TestLagIsWaitedOut(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newVirtualFixture(lag, oneInterfering("scan", 3), 0.6)
			for _, class := range []string{"scan", "scan", "scan", "plan", "plan", "plan"} {
				f.start(class)
				f.tasks[len(f.tasks)-1].remaining = 1e6
			}
			f.run(f.now, 3*time.Minute)
			if len(f.actions) == 0 {
				t.Fatal("no action")
			}
			var last time.Time
			for i, a := range f.actions {
				if a.Kind != interf.Throttle {
					continue
				}
				if gap := f.actedAt[i].Sub(last); gap > 0 && gap < lag {
					t.Errorf("lag %v: throttled again after %v", lag, gap)
				}
				last = f.actedAt[i]
			}
		})
	}
}

// Guards against mistaking a change of load for interference.
func TestLoadAloneCausesNoAction(t *testing.T) {
	for _, s := range benchSeeds {
		synctest.Test(t, func(t *testing.T) {
			f := newVirtualFixture(time.Second, oneInterfering("", 0), 1)
			f.rng = rand.New(rand.NewPCG(s, 1))
			f.rate = swingingRate
			f.run(f.now, time.Duration(s%100)*time.Second) // a different phase for each seed
			f.classes = benchClasses
			f.run(f.now, 10*time.Minute)
			if len(f.actions) > 0 {
				t.Errorf("seed %d: %d actions, first %+v", s, len(f.actions), f.actions[0])
			}
		})
	}
}

// Guards against throttling a class that is known to interfere while the service has no traffic.
func TestNoTrafficNoAction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFixture(time.Second, oneInterfering("scan", 3), 0.6)
		f.classes = benchClasses
		f.run(f.now, 2*time.Minute)
		f.rate = func(time.Duration) float64 { return 0.5 }
		f.run(f.now, 20*time.Second) // until the earlier traffic is outside the window
		f.actions = nil
		f.run(f.now, 10*time.Minute)
		for _, a := range f.actions {
			if a.Service != "" {
				t.Fatalf("action %+v without traffic", a)
			}
		}
		for _, x := range f.running() {
			if limit := x.limit(f.now); limit > 0 {
				t.Errorf("a task of class %s is limited to %d without traffic", x.class, limit)
			}
		}
	})
}

// Guards against limits that stay in force after the interference has ended, or are removed in a single step.
func TestRecoveryRestoresLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		effect := 3.0
		f := newVirtualFixture(time.Second, func(class string, _ float64) (byUse, byMemory float64) { return effect, 0 }, 0.6)
		f.start("scan")
		f.tasks[0].remaining = 1e6
		f.start("scan")
		f.tasks[1].remaining = 1e6
		for f.count(interf.Throttle, "") == 0 && f.now.Sub(f.tasks[0].startAt) < time.Minute {
			f.run(f.now, time.Second)
		}
		effect = 0
		f.actions = nil
		f.run(f.now, 5*time.Minute)
		for _, x := range f.running() {
			if got := x.used(f.now); got != need {
				t.Errorf("a task uses %d thousandths of a processor 5 min after the interference ended, want %d", got, need)
			}
		}
		if len(f.actions) == 0 || f.actions[0].Processors == 0 {
			t.Errorf("actions %+v, want steps", f.actions)
		}
	})
}

// Guards against evicting a task other than the one with the least unsaved work.
func TestEvictionLosesLeast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFixture(time.Second, func(string, float64) (byUse, byMemory float64) { return 1, 4 }, 0.6)
		for i := range 4 {
			f.start("scan")
			f.tasks[i].remaining = 1e6
		}
		for f.count(interf.Evict, "") == 0 && f.now.Sub(f.tasks[0].startAt) < 3*time.Minute {
			for i, x := range f.tasks {
				x.unsaved = []float64{9, 7, 3, 8}[i]
			}
			f.run(f.now, time.Second)
		}
		i := slices.IndexFunc(f.actions, func(a interf.Action) bool { return a.Kind == interf.Evict })
		if i < 0 || f.actions[i].Ref != f.tasks[2].ref {
			t.Errorf("actions %+v, want the eviction of %v", f.actions, f.tasks[2].ref)
		}
	})
}
