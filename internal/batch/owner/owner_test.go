package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/stand/store"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// checkIntervals fails the test if a task ran in two places or a worker held more than it has.
func (w *world) checkIntervals() {
	w.t.Helper()
	if err := standin.Overlap(w.intervals()); err != nil {
		w.t.Error(err)
	}
	for _, s := range w.workers {
		if !s.Peak().Fits(means) {
			w.t.Errorf("a worker held %+v, it has %+v", s.Peak(), means)
		}
	}
}

// Guards against jobs that are lost, doubled or stuck when a worker is lost and an entry is replaced on the way.
func TestJobOfThousandTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, store.Options{Latency: 5 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000}, 4)
		e := w.addEntry("e1")
		w.addEntry("e2")
		w.addWorkers(12)
		w.submit(spec("plan", 1000, "run=10s"))
		time.Sleep(15 * time.Second)
		w.agents["w3"].kill()
		w.workers[3].Close()
		time.Sleep(30 * time.Second) // past the agent lease of the lost worker
		e.kill()
		start := time.Now()
		st := w.finish("plan", 5*time.Minute)
		t.Logf("finished %v after the entry was lost", time.Since(start))
		if st.Done != 1000 || st.Failed+st.Cancelled+st.Running+st.Queued != 0 {
			t.Errorf("final status %+v", st)
		}
		w.checkIntervals()
	})
}

// Guards against interruption of running tasks by an entry that is paused, deposed and resumed, or by an agent that is
// restarted.
func TestPausedEntryAndRestartedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, store.Options{Latency: 5 * time.Millisecond}, 2)
		e := w.addEntry("e1")
		w.addEntry("e2")
		w.addWorkers(2)
		w.submit(spec("plan", 20, "run=2m"))
		time.Sleep(5 * time.Second)
		e.gate.pause(40 * time.Second)
		a := w.agents["w1"]
		a.kill()
		a.restart()
		start := time.Now()
		w.finish("plan", 10*time.Minute)
		if d := time.Since(start); d > 130*time.Second {
			t.Errorf("finished after %v, want no interruption of the 2 min", d)
		}
		w.checkIntervals()
		for _, i := range w.intervals() {
			if i.Attempt != 1 || i.Start != 0 {
				t.Errorf("%+v: the task was interrupted", i)
			}
		}
	})
}
