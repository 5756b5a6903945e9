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

// running returns the number of attempts that are currently running.
func (c *cluster) running() int {
	n := 0
	for _, i := range c.intervals() {
		if i.State == worker.Running {
			n++
		}
	}
	return n
}

// await waits until f returns true and returns how long that took.
func (c *cluster) await(limit time.Duration, f func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > limit {
			c.t.Fatalf("condition not met within %v", limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against evictions, lost progress and slow recovery after a store outage of 30 min, twice the owner lease.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000}, 4)
		c.addEntry("e1")
		c.addEntry("e2")
		c.addWorkers(4)
		c.submit(spec("long", 60, "run=50m"))
		c.await(time.Minute, func() bool { return c.running() == 60 })
		c.submit(spec("short", 400, "run=10s"))
		time.Sleep(time.Minute)
		if n := c.running(); n != 64 {
			t.Fatalf("%d tasks running before the outage, want 64", n)
		}
		if err := c.store.Faults().Set(script.Rule{Action: script.Down}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(14 * time.Minute)
		if n := c.running(); n != 60 {
			t.Errorf("%d tasks running within the owner lease, want the 60 long ones", n)
		}
		time.Sleep(16 * time.Minute)
		paused := 60 - c.running()
		c.store.Faults().Clear()
		recovery := c.await(5*time.Minute, func() bool { return c.running() == 64 })
		long := c.finish("long", time.Hour)
		short := c.finish("short", time.Hour)
		t.Logf("store down 30 min: %d evictions, %d of 60 tasks paused in place, full rate after %v", long.Evictions,
			paused, recovery)
		if long.Evictions+short.Evictions != 0 || long.Done != 60 || short.Done != 400 {
			t.Errorf("long %+v, short %+v", long, short)
		}
		if recovery > 30*time.Second {
			t.Errorf("recovered %v after the outage", recovery)
		}
		c.checkIntervals()
		ran := map[ident.Task]ident.Attempt{}
		for _, i := range c.intervals() {
			if n, ok := ran[i.Task]; ok && n != i.Attempt {
				t.Errorf("%s ran as attempts %d and %d", i.Task, n, i.Attempt)
			}
			ran[i.Task] = i.Attempt
		}
	})
}

// Guards against restarting the tasks of a lost worker late, or before their lease has expired.
func TestWorkerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond}, 2)
		c.addEntry("e1")
		c.addWorkers(4)
		c.submit(spec("plan", 32, "run=10m"))
		c.await(time.Minute, func() bool { return c.running() == 32 })
		c.agents["w1"].kill()
		lost := c.running()
		c.workers[1].Close()
		lost -= c.running()
		recovery := c.await(time.Minute, func() bool { return c.running() == 32 })
		t.Logf("worker lost: its %d tasks run again after %v", lost, recovery)
		if recovery > 25*time.Second {
			t.Errorf("tasks run again after %v", recovery)
		}
		c.finish("plan", time.Hour)
		c.checkIntervals()
	})
}

// Guards against partitions left without an owner and interrupted tasks when an entry fails and another takes over.
func TestEntryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond}, 4)
		e1, e2 := c.addEntry("e1"), c.addEntry("e2")
		c.addWorkers(4)
		c.submit(spec("plan", 60, "run=5m"))
		c.await(time.Minute, func() bool { return c.running() == 60 })
		n := len(e1.owner.Partitions())
		e1.kill()
		recovery := c.await(time.Minute, func() bool { return len(e2.owner.Partitions()) == 4 })
		t.Logf("entry lost: its %d partitions are owned again after %v", n, recovery)
		if n == 0 || recovery > 12*time.Second {
			t.Errorf("%d partitions taken over after %v", n, recovery)
		}
		c.finish("plan", time.Hour)
		c.checkUninterrupted(60)
	})
}

// Guards against interrupted tasks and partitions left without an owner when an entry drains.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond}, 4)
		e1, e2 := c.addEntry("e1"), c.addEntry("e2")
		c.addWorkers(4)
		c.submit(spec("plan", 60, "run=5m"))
		c.await(time.Minute, func() bool { return c.running() == 60 })
		c.draining = e1
		start := time.Now()
		if err := e1.owner.Drain(c.ctx); err != nil {
			t.Fatal(err)
		}
		c.await(time.Minute, func() bool { return len(e2.owner.Partitions()) == 4 })
		t.Logf("drain: all partitions owned by the other entry after %v", time.Since(start))
		c.finish("plan", time.Hour)
		c.checkUninterrupted(60)
	})
}

// checkUninterrupted fails the test unless exactly n tasks ran, each without interruption.
func (c *cluster) checkUninterrupted(n int) {
	c.t.Helper()
	c.checkIntervals()
	seen := map[ident.Task]standin.Interval{}
	for _, i := range c.intervals() {
		if o, ok := seen[i.Task]; ok {
			c.t.Errorf("interrupted: %+v, then %+v", o, i)
		}
		seen[i.Task] = i
	}
	if len(seen) != n {
		c.t.Errorf("%d tasks ran, want %d", len(seen), n)
	}
}
