package owner_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// step is a protocol step under test: the fault is injected when an entry reaches one of its points.
type step struct {
	name   string
	points []point.Step
	kinds  []wire.Kind // messages that message faults affect
}

var steps = []step{
	{"start", []point.Step{point.StartCommitted, point.StartSent}, []wire.Kind{wire.KindStartTask, wire.KindTaskReport}},
	{"renew", []point.Step{point.RenewGranted}, []wire.Kind{wire.KindHeartbeat, wire.KindHeartbeatAck}},
	{"evict", []point.Step{point.EvictRequested, point.EvictCommitted},
		[]wire.Kind{wire.KindStopTask, wire.KindTaskReport}},
	{"finish", []point.Step{point.FinishReported, point.FinishCommitted},
		[]wire.Kind{wire.KindTaskReport, wire.KindTaskReportAck}},
	{"cancel", []point.Step{point.CancelCommitted, point.CancelSent}, []wire.Kind{wire.KindStopTask, wire.KindTaskReport}},
	{"takeover", []point.Step{point.TakeoverSwapped, point.TakeoverReplayed, point.TakeoverAdopted,
		point.TakeoverReconciled},
		[]wire.Kind{wire.KindAdopt, wire.KindInventory, wire.KindReconcile}},
}

// cell is a test run of one combination of step, fault and seed.
type cell struct {
	*cluster
	step      step
	seed      int
	remaining atomic.Int64 // number of messages still to be affected
	delivery  delivery
}

// fault is a kind of failure that start injects into an entry, an agent or the store.
type fault struct {
	name  string
	start func(c *cell, e *entry, a *agent)
}

// storeFault returns a fault of the store that affects only the entry that reached the point.
func storeFault(name string, r script.Rule) fault {
	return fault{name, func(c *cell, e *entry, _ *agent) {
		rule := r // cells run in parallel
		rule.Client = string(e.self.Name)
		if err := c.store.Faults().Set(rule); err != nil {
			c.t.Error(err)
		}
	}}
}

// workerFault returns a fault of the worker's calls.
func workerFault(name string, rules ...script.Rule) fault {
	return fault{name, func(c *cell, _ *entry, a *agent) {
		if err := a.worker.Faults().Set(rules...); err != nil {
			c.t.Error(err)
		}
	}}
}

// lateStartFault returns a fault with which starts from the previous agent reach the worker after the agent was replaced;
// it affects starts for the time d.
func lateStartFault(name string, delay, d time.Duration) fault {
	slow := workerFault(name, script.Rule{Action: script.Slow, Kind: standin.KindStart, Delay: script.Duration(delay),
		For: script.Duration(d)})
	return fault{name, func(c *cell, e *entry, a *agent) {
		slow.start(c, e, a)
		time.AfterFunc(time.Second, func() {
			a.kill()
			a.restart()
		})
	}}
}

// messageFault returns a fault that affects the next messages of the step.
func messageFault(name string, v delivery) fault {
	return fault{name, func(c *cell, _ *entry, _ *agent) {
		c.delivery = v
		c.remaining.Store(int64(1 + c.seed))
	}}
}

var faults = []fault{
	storeFault("store down", script.Rule{Action: script.Down, For: script.Duration(40 * time.Second)}),
	storeFault("store slow", script.Rule{Action: script.Slow, Delay: script.Duration(4 * time.Second), Count: 12}),
	storeFault("lost before", script.Rule{Action: script.LoseBefore, Count: 3}),
	storeFault("lost after", script.Rule{Action: script.LoseAfter, Count: 3}),
	storeFault("lost, late effect", script.Rule{Action: script.LoseLate, Delay: script.Duration(20 * time.Second),
		Count: 2}),
	messageFault("message lost", delivery{lost: true}),
	messageFault("message delayed", delivery{delay: 12 * time.Second}),
	messageFault("message twice", delivery{duplicated: true}),
	{"owner killed", func(c *cell, e *entry, _ *agent) {
		e.kill()
		time.AfterFunc(20*time.Second, func() { c.addEntry(e.self.Name) })
	}},
	{"owner paused", func(c *cell, e *entry, _ *agent) {
		e.gate.pause([]time.Duration{5 * time.Second, time.Minute, 20 * time.Minute}[c.seed%3])
	}},
	{"agent killed", func(c *cell, _ *entry, a *agent) {
		a.kill()
		time.AfterFunc(10*time.Second, a.restart)
	}},
	{"agent paused", func(c *cell, _ *entry, a *agent) {
		a.gate.pause([]time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute}[c.seed%3])
	}},
	{"worker lost", func(_ *cell, _ *entry, a *agent) {
		a.kill()
		go a.worker.Close()
	}},
	workerFault("start late, repetition and stop refused",
		script.Rule{Action: script.LoseLate, Kind: standin.KindStart, For: script.Duration(400 * time.Millisecond),
			Delay: script.Duration(6 * time.Second)},
		script.Rule{Action: script.Reject, Kind: standin.KindStart, For: script.Duration(10 * time.Second)},
		script.Rule{Action: script.Down, Kind: standin.KindStop, For: script.Duration(10 * time.Second)}),
	lateStartFault("start late", 10*time.Second, 20*time.Second),
	lateStartFault("start late, after the stop", 16*time.Second, time.Second),
	{storeCut, func(c *cell, e *entry, a *agent) {
		// The owner cannot reach the store and is deposed, but is connected to an agent that its successor cannot reach.
		err := c.store.Faults().Set(script.Rule{Action: script.Down, Client: string(e.self.Name),
			For: script.Duration(40 * time.Minute)})
		if err != nil {
			c.t.Error(err)
		}
		e.gate.hide(40 * time.Minute)
		for _, o := range c.live() {
			if o != e {
				a.disconnect(o, 50*time.Minute)
			}
		}
	}},
	{"cut", func(_ *cell, e *entry, a *agent) {
		for _, o := range a.cluster.allAgents() {
			if o == a || a.info.Worker < "w2" { // one session, or all sessions of the entry
				o.disconnect(e, 30*time.Second)
			}
		}
	}},
}

const (
	seeds    = 6
	storeCut = "owner cut from store"
)

// Guards against a task that runs on two workers at once, completes twice or never, or loses progress, and against lost
// jobs, for each fault at each protocol step.
func TestFaultMatrix(t *testing.T) {
	var cells, fired atomic.Int64
	t.Cleanup(func() { fmt.Printf("fault matrix: %d cells, fault started in %d\n", cells.Load(), fired.Load()) })
	for _, s := range steps {
		for _, f := range faults {
			for seed := range seeds {
				if f.name == storeCut && seed > 0 {
					continue // hours of virtual time
				}
				t.Run(fmt.Sprintf("%s/%s/%d", s.name, f.name, seed), func(t *testing.T) {
					t.Parallel()
					cells.Add(1)
					synctest.Test(t, func(t *testing.T) {
						if runCell(t, s, f, seed) {
							fired.Add(1)
						}
					})
				})
			}
		}
	}
}

// runCell runs the jobs of drive with the fault, checks the invariants, and reports whether the fault was injected.
func runCell(t *testing.T, s step, f fault, seed int) bool {
	c := &cell{cluster: newCluster(t, store.Options{Latency: 5 * time.Millisecond}, 2), step: s, seed: seed}
	var reached atomic.Int64
	c.hook = func(e *entry, at point.Step, _ string) error {
		if slices.Contains(s.points, at) && reached.Add(1) == int64(1+4*seed) {
			c.mu.Lock()
			a := c.agents[ident.Worker(fmt.Sprintf("w%d", seed%4))]
			c.mu.Unlock()
			f.start(c, e, a)
		}
		return nil
	}
	c.deliveryOf = func(m wire.Message) delivery {
		if slices.Contains(s.kinds, m.Kind()) && c.remaining.Add(-1) >= 0 {
			return c.delivery
		}
		return delivery{}
	}
	c.addEntry("e1")
	c.addEntry("e2")
	c.addWorkers(4)
	run := 45 * time.Second
	if f.name == storeCut {
		run = 25 * time.Minute // longer than the owner lease
	}
	log := c.drive("run=" + run.String())
	if t.Failed() {
		return true
	}
	c.checkIntervals()
	c.checkAttempts()
	c.checkJournal()
	c.checkLeftovers()
	checkLifecycle(t, c.intervals(), log)
	return reached.Load() >= int64(1+4*seed)
}

// drive runs three jobs with evictions, a cancellation and, for the takeover step, a killed entry. It returns a
// client's reads of the job with one task.
func (c *cell) drive(command string) []read {
	c.submit(spec("plan", 8, command))
	c.submit(spec("gone", 8, command))
	c.submit(spec("one", 1, command))
	time.Sleep(10 * time.Second)
	for i := range uint32(3) {
		for _, p := range c.parts {
			for _, e := range c.live() {
				e.owner.Evict(p, ident.Task{Job: "plan", Index: 2 * i})
			}
		}
	}
	time.Sleep(5 * time.Second)
	c.cancel("gone")
	time.Sleep(5 * time.Second)
	if c.step.name == "takeover" {
		for _, e := range c.live() {
			if e.owner.Owns(c.parts[c.seed%len(c.parts)]) {
				e.kill()
				time.AfterFunc(30*time.Second, func() { c.addEntry(e.self.Name) })
				break
			}
		}
	}
	var log []read
	for done := false; !done; time.Sleep(5 * time.Second) {
		called := time.Now()
		done = c.status("one").Done == 1
		log = append(log, read{called, time.Now(), done})
		if len(log) > 1500 {
			c.t.Error("job one is not finished")
			return nil
		}
	}
	if st := c.finish("plan", 2*time.Hour); st.Done != 8 {
		c.t.Errorf("plan: %+v", st)
	}
	if st := c.finish("gone", 2*time.Hour); st.Done+st.Cancelled != 8 {
		c.t.Errorf("gone: %+v", st)
	}
	return log
}

// checkLeftovers fails the test if a worker still has an attempt that has not ended, or an agent one whose end is not
// acknowledged, although all jobs are finished.
func (c *cell) checkLeftovers() {
	time.Sleep(3 * time.Minute) // an agent may be paused for 2 min, and then stops what was moved elsewhere
	for _, s := range c.workers {
		list, err := s.Tasks(c.ctx)
		if err != nil {
			continue // the worker was lost
		}
		for _, a := range list {
			if !a.State.HasEnded() {
				c.t.Errorf("attempt %d of %s is left in state %v", a.Attempt, a.Task, a.State)
			}
		}
	}
	for _, a := range c.allAgents() {
		if n := a.runner.Unreported(); n > 0 && a.gate.silentFor() == 0 {
			c.t.Errorf("%d attempts are left on the agent of %s", n, a.info.Worker)
		}
	}
}

// checkAttempts fails the test if an attempt ran on two workers or resumed from progress that no attempt had reached.
func (c *cell) checkAttempts() {
	type key struct {
		ident.Task
		n ident.Attempt
	}
	workers := map[key]ident.Worker{}
	reached := map[ident.Task]time.Duration{}
	list := c.intervals()
	for _, i := range list {
		reached[i.Task] = max(reached[i.Task], i.End)
	}
	for _, i := range list {
		k := key{i.Task, i.Attempt}
		if w, ok := workers[k]; ok && w != i.Worker {
			c.t.Errorf("attempt %d of %s ran on %s and %s", i.Attempt, i.Task, w, i.Worker)
		}
		workers[k] = i.Worker
		if i.Start > 0 && i.Start > reached[i.Task] {
			c.t.Errorf("attempt %d of %s resumed at %v", i.Attempt, i.Task, i.Start)
		}
	}
}

// checkJournal fails the test if the rows of a partition cannot be replayed. The replay rejects a second TaskFinished
// for a task and a second attempt after the same eviction.
func (c *cell) checkJournal() {
	heads, err := commit.ReadHeads(c.ctx, c.store, zone)
	if err != nil {
		c.t.Fatal(err)
	}
	for p, head := range heads {
		takeover, err := commit.TakeOver(c.ctx, c.store, p, commit.Self{Name: "checker"}, head)
		if err != nil {
			continue // the owner has written a snapshot in the meantime
		}
		if _, _, err := commit.Load(c.ctx, c.store, takeover); err != nil {
			c.t.Error(err)
		}
	}
}
