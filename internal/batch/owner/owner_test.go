package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/stand/store"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// checkIntervals fails the test if a task ran on two workers at once or a worker exceeded its capacity.
func (c *cluster) checkIntervals() {
	c.t.Helper()
	if err := standin.Overlap(c.intervals()); err != nil {
		c.t.Error(err)
	}
	for _, s := range c.workers {
		if !s.Peak().Fits(workerCapacity) {
			c.t.Errorf("tasks used %+v of a worker, which has a capacity of %+v", s.Peak(), workerCapacity)
		}
	}
}

// Guards against lost, duplicated or stalled tasks when a worker fails and an entry is killed while a job runs.
func TestJobOfThousandTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000}, 4)
		e := c.addEntry("e1")
		c.addEntry("e2")
		c.addWorkers(12)
		c.submit(spec("plan", 1000, "run=10s"))
		time.Sleep(15 * time.Second)
		c.agents["w3"].kill()
		c.workers[3].Close()
		time.Sleep(30 * time.Second) // until the agent lease of the lost worker has expired
		e.kill()
		start := time.Now()
		st := c.finish("plan", 5*time.Minute)
		t.Logf("finished %v after the entry was lost", time.Since(start))
		if st.Done != 1000 || st.Failed+st.Cancelled+st.Running+st.Queued != 0 {
			t.Errorf("final status %+v", st)
		}
		c.checkIntervals()
	})
}

// Guards against the interruption of running tasks when an entry is paused, deposed and resumed, or an agent restarts.
func TestPausedEntryAndRestartedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond}, 2)
		e := c.addEntry("e1")
		c.addEntry("e2")
		c.addWorkers(2)
		c.submit(spec("plan", 20, "run=2m"))
		time.Sleep(5 * time.Second)
		e.gate.pause(40 * time.Second)
		a := c.agents["w1"]
		a.kill()
		a.restart()
		start := time.Now()
		c.finish("plan", 10*time.Minute)
		if d := time.Since(start); d > 130*time.Second {
			t.Errorf("finished after %v, want no interruption of the 2 min", d)
		}
		c.checkIntervals()
		for _, i := range c.intervals() {
			if i.Attempt != 1 || i.Start != 0 {
				t.Errorf("%+v: the task was interrupted", i)
			}
		}
	})
}
