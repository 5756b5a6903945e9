package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// running returns the number of attempts that run now.
func (w *world) running() int {
	n := 0
	for _, i := range w.intervals() {
		if i.State == worker.Running {
			n++
		}
	}
	return n
}

// await waits until f holds and returns how long that took.
func (w *world) await(limit time.Duration, f func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > limit {
			w.t.Fatalf("not reached within %v", limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against evictions and lost progress by a store outage of 30 min, twice the owner lease, and against a slow
// return to the full rate.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, store.Options{Latency: 5 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000}, 4)
		w.addEntry("e1")
		w.addEntry("e2")
		w.addWorkers(4)
		w.submit(spec("long", 60, "run=50m"))
		w.await(time.Minute, func() bool { return w.running() == 60 })
		w.submit(spec("short", 400, "run=10s"))
		time.Sleep(time.Minute)
		if n := w.running(); n != 64 {
			t.Fatalf("%d tasks run before the outage, want 64", n)
		}
		if err := w.store.Faults().Set(script.Rule{Action: script.Down}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(14 * time.Minute)
		if n := w.running(); n != 60 {
			t.Errorf("%d tasks run within the owner lease, want the 60 long ones", n)
		}
		time.Sleep(16 * time.Minute)
		paused := 60 - w.running()
		w.store.Faults().Clear()
		back := w.await(5*time.Minute, func() bool { return w.running() == 64 })
		long := w.finish("long", time.Hour)
		short := w.finish("short", time.Hour)
		t.Logf("store down 30 min: %d evictions, %d of 60 tasks paused in place, full rate after %v", long.Evictions,
			paused, back)
		if long.Evictions+short.Evictions != 0 || long.Done != 60 || short.Done != 400 {
			t.Errorf("long %+v, short %+v", long, short)
		}
		if back > 30*time.Second {
			t.Errorf("full rate %v after the outage", back)
		}
		w.checkIntervals()
		ran := map[ident.Task]ident.Attempt{}
		for _, i := range w.intervals() {
			if n, ok := ran[i.Task]; ok && n != i.Attempt {
				t.Errorf("%s ran as attempts %d and %d", i.Task, n, i.Attempt)
			}
			ran[i.Task] = i.Attempt
		}
	})
}

// Guards against tasks of a lost worker that start again late, or before their lease has certainly ended.
func TestWorkerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, store.Options{Latency: 5 * time.Millisecond}, 2)
		w.addEntry("e1")
		w.addWorkers(4)
		w.submit(spec("plan", 32, "run=10m"))
		w.await(time.Minute, func() bool { return w.running() == 32 })
		w.agents["w1"].kill()
		lost := w.running()
		w.workers[1].Close()
		lost -= w.running()
		back := w.await(time.Minute, func() bool { return w.running() == 32 })
		t.Logf("worker lost: its %d tasks run again after %v", lost, back)
		if back > 25*time.Second {
			t.Errorf("tasks run again after %v", back)
		}
		w.finish("plan", time.Hour)
		w.checkIntervals()
	})
}

// Guards against partitions that stay without an owner, and against a takeover that interrupts a running task.
func TestEntryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, store.Options{Latency: 5 * time.Millisecond}, 4)
		e1, e2 := w.addEntry("e1"), w.addEntry("e2")
		w.addWorkers(4)
		w.submit(spec("plan", 60, "run=5m"))
		w.await(time.Minute, func() bool { return w.running() == 60 })
		n := len(e1.owner.Partitions())
		e1.kill()
		back := w.await(time.Minute, func() bool { return len(e2.owner.Partitions()) == 4 })
		t.Logf("entry lost: its %d partitions are owned again after %v", n, back)
		if n == 0 || back > 12*time.Second {
			t.Errorf("%d partitions owned again after %v", n, back)
		}
		w.finish("plan", time.Hour)
		w.checkWhole(60)
	})
}

// Guards against a handover that interrupts running tasks or leaves a partition without an owner.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, store.Options{Latency: 5 * time.Millisecond}, 4)
		e1, e2 := w.addEntry("e1"), w.addEntry("e2")
		w.addWorkers(4)
		w.submit(spec("plan", 60, "run=5m"))
		w.await(time.Minute, func() bool { return w.running() == 60 })
		w.draining = e1
		start := time.Now()
		if err := e1.owner.Drain(w.ctx); err != nil {
			t.Fatal(err)
		}
		w.await(time.Minute, func() bool { return len(e2.owner.Partitions()) == 4 })
		t.Logf("drain: all partitions owned by the other entry after %v", time.Since(start))
		w.finish("plan", time.Hour)
		w.checkWhole(60)
	})
}

// checkWhole fails the test unless each of n tasks ran without interruption.
func (w *world) checkWhole(n int) {
	w.t.Helper()
	w.checkIntervals()
	seen := map[ident.Task]standin.Interval{}
	for _, i := range w.intervals() {
		if o, ok := seen[i.Task]; ok {
			w.t.Errorf("interrupted: %+v, then %+v", o, i)
		}
		seen[i.Task] = i
	}
	if len(seen) != n {
		w.t.Errorf("%d tasks ran, want %d", len(seen), n)
	}
}
