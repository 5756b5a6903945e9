package lead_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// inCluster runs f in virtual time with a cluster, and then stops it.
func inCluster(t *testing.T, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, t, 1)
		f(c)
		c.checkRuns()
		cancel()
		for _, e := range c.entries {
			<-e.done
		}
		c.wg.Wait()
		time.Sleep(time.Minute)
	})
}

// withCluster runs f in virtual time with two entries, of which entry-1 leads, and two workers with four processors
// each.
func withCluster(t *testing.T, f func(c *cluster)) {
	t.Helper()
	inCluster(t, func(c *cluster) {
		c.addEntry("entry-1")
		time.Sleep(500 * time.Millisecond)
		c.addEntry("entry-2")
		c.addHost("host-1", 4000)
		c.addHost("host-2", 4000)
		time.Sleep(3 * time.Second)
		f(c)
	})
}

// runsOf returns the runs of a job on all workers.
func runsOf(c *cluster, id spec.ID) []runs.Record {
	var list []runs.Record
	for task, r := range c.records() {
		if strings.HasPrefix(task, string(id)) {
			list = append(list, r...)
		}
	}
	return list
}

// Guards against a new leader that stops or repeats runs which continued from the previous leader.
func TestTakeoverKeepsRuns(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 6 * time.Second}
		}
		j := job(1, 1, 6)
		c.submit(j)
		time.Sleep(time.Second)
		c.kill("entry-1")
		c.awaitState(j.ID, rows.Done, 20*time.Second)
		if n := len(runsOf(c, j.ID)); n != 6 {
			t.Errorf("%d runs of 6 tasks; want 6", n)
		}
	})
}

// Guards against a failure that the next leader counts again because it was stored but not yet acknowledged to the
// agent.
func TestFailureCountsOnce(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(r wire.Run) runs.Plan {
			if r.Number == 1 {
				return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Second, Fails: true}
			}
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 8 * time.Second}
		}
		j := job(1, 1, 1)
		c.submit(j)
		first := c.awaitEnd(j.ID)
		time.Sleep(3 * linkDelay) // the leader receives the end
		c.set(c.isolated, first.Worker, true)
		c.dropLinks(first.Worker)
		time.Sleep(300 * time.Millisecond) // the leader stores it
		c.kill("entry-1")
		c.set(c.isolated, first.Worker, false)
		c.awaitState(j.ID, rows.Done, 30*time.Second)
	})
}

// awaitEnd waits until a run of a job has ended and returns it.
func (c *cluster) awaitEnd(id spec.ID) runs.Record {
	c.t.Helper()
	for range 5000 {
		for _, r := range runsOf(c, id) {
			if !r.Ended.IsZero() {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
	c.t.Fatalf("no run of job %s has ended", id)
	return runs.Record{}
}

// Guards against a leader that keeps granting leases after it has lost the store. The next leader relies on their
// expiry before it starts the tasks elsewhere.
func TestDeposedLeaderStopsGrantingLeases(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Minute}
		}
		c.set(c.partitioned, "entry-2/host-1", true)
		c.submit(job(1, 1, 4))
		time.Sleep(time.Second)
		c.set(c.storeDown, "entry-1", true)
		time.Sleep(40 * time.Second)
		if n := len(runsOf(c, job(1, 1, 1).ID)); n <= 4 {
			t.Errorf("%d runs; no task of host-1 was started elsewhere", n)
		}
	})
}

// Guards against a paused or isolated leader that reports outdated job states after its successor has taken over.
func TestDeposedLeaderReportsNoStates(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 4 * time.Second}
		}
		j := job(1, 1, 1)
		c.submit(j)
		time.Sleep(time.Second)
		old := c.term()
		c.set(c.storeDown, "entry-1", true)
		time.Sleep(7 * time.Second)
		e := &endpoint{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}
		old.Request(e, &wire.JobAsk{Action: wire.JobState, ID: string(j.ID)})
		select {
		case m := <-e.out:
			if reply, ok := m.(*wire.JobTell); !ok || reply.Verdict != wire.VerdictNotReady {
				t.Errorf("a leader without the store for 7 s replied %+v; want VerdictNotReady", m)
			}
		case <-time.After(time.Second): // no reply, since the term has ended
		}
		c.awaitState(j.ID, rows.Done, 20*time.Second)
	})
}

// Guards against runs of a cancelled job that continue because the leader that started them is gone.
func TestTakeoverStopsCancelledRuns(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{Size: sizes.Resources{Processors: 1000}} }
		j := job(1, 1, 2)
		j.Steps[0].LongRunning = true
		c.submit(j)
		time.Sleep(time.Second)
		c.kill("entry-1")
		if v := c.intake().Cancel(c.ctx, j.ID); v != intake.Accepted {
			t.Fatalf("cancel: %v", v)
		}
		cancelled := time.Now()
		time.Sleep(5 * time.Second)
		for _, r := range runsOf(c, j.ID) {
			if r.Ended.IsZero() || r.Ended.Sub(cancelled) > 5*time.Second {
				t.Errorf("run %v continued for 5 s or more after the cancellation", r.Run)
			}
		}
		c.awaitState(j.ID, rows.Cancelled, 5*time.Second)
	})
}

// Guards against tasks of a lost worker that wait for longer than its lease although the previous leader has certainly
// ended.
func TestHandoverShortensLeaseWait(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Minute}
		}
		j := job(1, 1, 4)
		c.submit(j)
		time.Sleep(time.Second)
		c.set(c.isolated, "host-1", true)
		c.dropLinks("host-1")
		lost := time.Now()
		c.mu.Lock()
		e := c.entries["entry-1"]
		c.mu.Unlock()
		e.cancel() // hands the cell over
		<-e.done
		time.Sleep(lease + 2*time.Second)
		moved := 0
		for _, r := range runsOf(c, j.ID) {
			if r.Began.After(lost) {
				moved++
			}
		}
		if moved == 0 {
			t.Errorf("no task of the lost worker was started within %v", lease+2*time.Second)
		}
	})
}

// Guards against a start elsewhere before the lease of an unreachable worker has certainly expired.
func TestNoRestartBeforeLeaseExpires(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Minute}
		}
		j := job(1, 1, 4)
		c.submit(j)
		time.Sleep(time.Second)
		c.set(c.isolated, "host-1", true)
		c.dropLinks("host-1")
		lost := time.Now()
		time.Sleep(15 * time.Second)
		moved := 0
		for _, r := range runsOf(c, j.ID) {
			if r.Run.Number > 1 {
				moved++
				if r.Worker != "host-2" || r.Began.Sub(lost) < lease-time.Second {
					t.Errorf("run %v started on %s %v after host-1 was lost", r.Run, r.Worker, r.Began.Sub(lost))
				}
			}
		}
		if moved == 0 {
			t.Error("no task of the lost worker was started elsewhere")
		}
	})
}

// Guards against a new leader that repeats runs it does not know. They belong to jobs that only the previous leader was
// notified of, while the new one was taking over.
func TestUnknownRunIsNotStartedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 10}, RunTime: 3 * time.Second}
		}
		c.mu.Lock()
		c.notifyEntry = "entry-1"
		c.mu.Unlock()
		c.set(c.storeDown, "entry-1", true) // entry-1 keeps leading until it notices that it is deposed
		time.Sleep(2200 * time.Millisecond)
		jobs := 0
		submit := func(n int) {
			j := job(n, 1, 1)
			j.Steps[0].Size.Processors = 10
			c.submit(j)
		}
		for c.entries["entry-2"].leader.Term() == nil {
			jobs++
			submit(jobs)
		}
		c.mu.Lock()
		c.notifyEntry = ""
		c.mu.Unlock()
		for n := range min(jobs, 8) { // callers without a reply retry, which notifies the new leader of the jobs
			submit(jobs - n)
		}
		for n := range jobs {
			c.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against commands that are lost with a session: the tasks must still start, and only once.
func TestLostCommandIsRepeated(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for n := range 10 {
			c.submit(job(n+1, 2, 2))
			time.Sleep(20 * time.Millisecond)
			c.dropLinks("host-1")
			c.dropLinks("host-2")
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 10 {
			c.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against a worker loaded beyond its capacity, counting runs that are still being stopped.
func TestCapacityIsNotExceeded(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for n := range 6 {
			c.submit(job(n+1, 1, 8))
		}
		time.Sleep(700 * time.Millisecond)
		for n := range 3 {
			c.intake().Cancel(c.ctx, job(n+1, 1, 1).ID)
		}
		for n := 3; n < 6; n++ {
			c.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against a job reported as done before that state is stored, and a step that starts before the step it depends
// on.
func TestStepsRunInOrder(t *testing.T) {
	withCluster(t, func(c *cluster) {
		j := job(1, 3, 4)
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 20*time.Second)
		var lastOf, firstOf [3]time.Time
		for task, list := range c.records() {
			id, err := spec.ParseTask(task)
			if err != nil {
				t.Fatal(err)
			}
			r := list[len(list)-1]
			if r.Ended.After(lastOf[id.Step]) {
				lastOf[id.Step] = r.Ended
			}
			if first := list[0].Began; firstOf[id.Step].IsZero() || first.Before(firstOf[id.Step]) {
				firstOf[id.Step] = first
			}
		}
		for s := 1; s < 3; s++ {
			if firstOf[s].Before(lastOf[s-1]) {
				t.Errorf("step %d started %v before step %d ended", s, lastOf[s-1].Sub(firstOf[s]), s-1)
			}
		}
	})
}

// Guards against gang members that start with different run numbers or at different times.
func TestGangStartsTogether(t *testing.T) {
	withCluster(t, func(c *cluster) {
		j := job(1, 1, 6)
		j.Steps[0].Gang = true
		c.submit(job(2, 1, 5)) // leaves too little free capacity for all members at first
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 20*time.Second)
		var began time.Time
		for _, r := range runsOf(c, j.ID) {
			if began.IsZero() {
				began = r.Began
			}
			if d := r.Began.Sub(began); d > 100*time.Millisecond || d < -100*time.Millisecond {
				t.Errorf("member %v started %v apart from the first one listed", r.Run, d)
			}
			if r.Run.Number != 1 {
				t.Errorf("member %v; want run number 1", r.Run)
			}
		}
	})
}

// Guards against a worker with more tasks of a step than the per-worker limit, and starts before the due time.
func TestSpreadAndDueTime(t *testing.T) {
	withCluster(t, func(c *cluster) {
		j := job(1, 1, 2)
		j.Steps[0].PerWorker = 1
		due := time.Now().Add(3 * time.Second)
		j.Occurrences, j.StartAt, j.Interval = 2, due.UnixMilli(), 2000
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 20*time.Second)
		seen := make(map[string]bool)
		for _, r := range runsOf(c, j.ID) {
			id, err := spec.ParseTask(r.Run.Task)
			if err != nil {
				t.Fatal(err)
			}
			if at := due.Add(time.Duration(id.Round) * 2 * time.Second); r.Began.Before(at) {
				t.Errorf("%s started %v before it was due", r.Run.Task, at.Sub(r.Began))
			}
			key := r.Worker + string(rune('0'+id.Round))
			if seen[key] {
				t.Errorf("two tasks of round %d on %s", id.Round, r.Worker)
			}
			seen[key] = true
		}
	})
}

// Guards against a job that fails before its attempts are used up, and a task that is retried indefinitely.
func TestAttemptsAreBounded(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 300 * time.Millisecond, Fails: true}
		}
		j := job(1, 1, 1)
		c.submit(j)
		c.awaitState(j.ID, rows.Failed, 20*time.Second)
		time.Sleep(2 * time.Second)
		if n := len(runsOf(c, j.ID)); n != 2 {
			t.Errorf("%d runs; want 2", n)
		}
	})
}

// Guards against a leader that starts a job of its successor, which the successor starts as well.
func TestJobOfLaterEpochIsIgnored(t *testing.T) {
	withCluster(t, func(c *cluster) {
		old := c.term()
		j := job(1, 1, 2)
		j.Epoch = old.Epoch() + 1
		packed, err := wire.Pack(j)
		if err != nil {
			t.Fatal(err)
		}
		e := &endpoint{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}
		old.Request(e, &wire.JobAsk{Action: wire.JobAccepted, ID: string(j.ID), Packed: packed})
		time.Sleep(2 * time.Second)
		if list := runsOf(c, j.ID); len(list) > 0 {
			t.Errorf("a leader of epoch %d started %d runs of a job accepted under epoch %d", old.Epoch(), len(list), j.Epoch)
		}
	})
}

// Guards against a task that runs twice: a deposed leader that has not noticed it yet started the task on a worker that
// registered after its successor had read the agents.
func TestAgentRegisteredDuringTakeover(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 5 * time.Second}
		}
		c.addEntry("entry-1")
		time.Sleep(500 * time.Millisecond)
		c.addEntry("entry-2")
		time.Sleep(time.Second)
		j := job(1, 1, 1)
		c.submit(j)
		c.mu.Lock()
		c.partitioned["entry-2/host-1"], c.partitioned["entry-1/host-2"] = true, true
		c.faults = func(caller string) memory.Fault {
			if caller == "entry-1" {
				return memory.Fault{LoseLate: time.Minute} // of writes; it still reads the rows of agents
			}
			return memory.Fault{}
		}
		second := c.entries["entry-2"].leader
		c.mu.Unlock()
		for second.Term() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		c.addHost("host-1", 1000)
		c.addHost("host-2", 1000)
		c.awaitState(j.ID, rows.Done, 30*time.Second)
		if list := runsOf(c, j.ID); list[0].Worker != "host-1" {
			t.Errorf("the deposed leader has not started the task: %v", list)
		}
	})
}
