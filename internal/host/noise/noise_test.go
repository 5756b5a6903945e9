package noise_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/noise"
)

const seed = 20261204

// newVirtual returns a world in the virtual time of a synctest bubble whose service was quiet for a minute at the rates
// of a full swing, so that its quiet tail is known; byLoad is by how much the full load alone slows it.
func newVirtual(lag time.Duration, effects profile, byLoad float64) *world {
	w := newWorld(time.Now(), seed, lag, effects)
	w.sleep = func(d time.Duration) {
		time.Sleep(d)
		w.now = time.Now()
	}
	w.control = noise.New(noise.Config{Processors: processors})
	w.byLoad = byLoad
	w.rate = func(since time.Duration) float64 { return 20 + 100*float64(since%time.Minute)/float64(time.Minute) }
	w.run(w.now, 2*time.Minute)
	w.rate = func(time.Duration) float64 { return topRate / 2 }
	return w
}

// quietBut is a profile in which one class is noisy.
func quietBut(noisy string, effect float64) profile {
	return func(class string, _ float64) (byUse, byMemory float64) {
		if class == noisy {
			return effect, 0
		}
		return 0.02, 0
	}
}

// Guards against a controller that blames the classes that run beside a noisy one, or never finds it.
func TestNoisyClassIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newVirtual(time.Second, quietBut("scan", 3), 0.6)
		w.classes = benchClasses
		w.run(w.now, 5*time.Minute)
		found := w.control.Effect("booking", "scan")
		for _, class := range []string{"plan", "index", "report"} {
			if e := w.control.Effect("booking", class); e > 2 || found < 4*e {
				t.Errorf("effect of scan is estimated at %.1f, that of %s at %.1f", found, class, e)
			}
		}
		if n := w.count(noise.Throttle, "scan"); n == 0 {
			t.Error("the noisy class was never throttled")
		}
		for _, a := range w.actions {
			if a.Kind == noise.Evict && a.Class != "scan" {
				t.Errorf("a task of the quiet class %s was evicted", a.Class)
			}
		}
	})
}

// Guards against limits that go up and down while the service is between calm and its bound.
func TestNoFlapping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newVirtual(time.Second, quietBut("scan", 3), 0.6)
		for range 4 {
			w.start("scan")
			w.tasks[len(w.tasks)-1].left = 1e6
		}
		w.run(w.now, 2*time.Minute)
		w.actions = nil
		w.run(w.now, 5*time.Minute)
		turns, last := 0, noise.Kind(0)
		for _, a := range w.actions {
			if last != 0 && a.Kind != last && a.Kind != noise.Evict {
				turns++
			}
			if a.Kind != noise.Evict {
				last = a.Kind
			}
		}
		if turns > 10 {
			t.Errorf("limits changed direction %d times in 5 min", turns)
		}
	})
}

// Guards against a second action that answers to measurements from before the first.
func TestLagIsWaitedOut(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newVirtual(lag, quietBut("scan", 3), 0.6)
			for _, class := range []string{"scan", "scan", "scan", "plan", "plan", "plan"} {
				w.start(class)
				w.tasks[len(w.tasks)-1].left = 1e6
			}
			w.run(w.now, 3*time.Minute)
			if len(w.actions) == 0 {
				t.Fatal("no action")
			}
			var last time.Time
			for i, a := range w.actions {
				if a.Kind != noise.Throttle {
					continue
				}
				if gap := w.actedAt[i].Sub(last); gap > 0 && gap < lag {
					t.Errorf("lag %v: throttled again after %v", lag, gap)
				}
				last = w.actedAt[i]
			}
		})
	}
}

// Guards against a load swing that is taken for interference.
func TestLoadAloneCausesNoAction(t *testing.T) {
	for _, s := range benchSeeds {
		synctest.Test(t, func(t *testing.T) {
			w := newVirtual(time.Second, quietBut("", 0), 1)
			w.rng = rand.New(rand.NewPCG(s, 1))
			w.rate = swings
			w.run(w.now, time.Duration(s%100)*time.Second) // another phase for each seed
			w.classes = benchClasses
			w.run(w.now, 10*time.Minute)
			if len(w.actions) > 0 {
				t.Errorf("seed %d: %d actions, first %+v", s, len(w.actions), w.actions[0])
			}
		})
	}
}

// Guards against batch that is throttled for a service that nobody uses, although the class is known to be noisy.
func TestNoTrafficNoAction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newVirtual(time.Second, quietBut("scan", 3), 0.6)
		w.classes = benchClasses
		w.run(w.now, 2*time.Minute)
		w.rate = func(time.Duration) float64 { return 0.5 }
		w.run(w.now, 20*time.Second) // the traffic before must be out of the window
		w.actions = nil
		w.run(w.now, 10*time.Minute)
		for _, a := range w.actions {
			if a.Service != "" {
				t.Fatalf("action %+v without traffic", a)
			}
		}
		for _, x := range w.running() {
			if limit := x.limit(w.now); limit > 0 {
				t.Errorf("a task of class %s is limited to %d without traffic", x.class, limit)
			}
		}
	})
}

// Guards against processors that stay taken away after the interference is over, or come back all at once.
func TestRecoveryGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		effect := 3.0
		w := newVirtual(time.Second, func(class string, _ float64) (byUse, byMemory float64) { return effect, 0 }, 0.6)
		w.start("scan")
		w.tasks[0].left = 1e6
		w.start("scan")
		w.tasks[1].left = 1e6
		for w.count(noise.Throttle, "") == 0 && w.now.Sub(w.tasks[0].startAt) < time.Minute {
			w.run(w.now, time.Second)
		}
		effect = 0
		w.actions = nil
		w.run(w.now, 5*time.Minute)
		for _, x := range w.running() {
			if got := x.used(w.now); got != need {
				t.Errorf("a task has %d thousandths of a processor after 5 calm minutes, want %d", got, need)
			}
		}
		if len(w.actions) == 0 || w.actions[0].Processors == 0 {
			t.Errorf("actions %+v, want steps", w.actions)
		}
	})
}

// Guards against an eviction that loses more work than another would.
func TestEvictionLosesLeast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newVirtual(time.Second, func(string, float64) (byUse, byMemory float64) { return 1, 4 }, 0.6)
		for i := range 4 {
			w.start("scan")
			w.tasks[i].left = 1e6
		}
		for w.count(noise.Evict, "") == 0 && w.now.Sub(w.tasks[0].startAt) < 3*time.Minute {
			for i, x := range w.tasks {
				x.unsaved = []float64{9, 7, 3, 8}[i]
			}
			w.run(w.now, time.Second)
		}
		i := slices.IndexFunc(w.actions, func(a noise.Action) bool { return a.Kind == noise.Evict })
		if i < 0 || w.actions[i].Ref != w.tasks[2].ref {
			t.Errorf("actions %+v, want the eviction of %v", w.actions, w.tasks[2].ref)
		}
	})
}
