package lead_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// Guards against a cell without a leader: the reads of a takeover had to end within the leadership lease, began anew when
// they did not, and another entry took the cell over in the meantime.
func TestTakeoverOverSlowLink(t *testing.T) {
	const (
		jobs    = 100
		payload = 4000             // bytes
		rate    = 50_000           // bytes per second, so that the rows of the jobs take 8 s
		target  = 12 * time.Second // from the end of the leader until the cell is led again
	)
	withCluster(t, func(c *cluster) {
		c.addEntry("entry-3")
		var list []*spec.Job
		for n := range jobs {
			j := job(n+1, 1, 1)
			j.Payload = strings.Repeat("x", payload)
			c.submit(j)
			list = append(list, j)
		}
		c.store.SetRate(rate)
		c.kill("entry-1")
		killedAt := time.Now()
		c.awaitTerm(target)
		t.Logf("led again after %v, epoch %d", time.Since(killedAt), c.term().Epoch())
		for _, j := range list {
			c.awaitState(j.ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against a cell without a leader while the store refuses a part of the reads: a takeover reads many pages, and one
// that was refused discarded all of them.
func TestTakeoverWithRefusedReads(t *testing.T) {
	withCluster(t, func(c *cluster) {
		j := job(1, 1, 1)
		c.submit(j)
		requests := 0
		entry := c.entries["entry-2"]
		c.setFaults(func(caller string) memory.Fault {
			if caller != entry.name || !entry.leader.IsLeading() || entry.leader.Term() != nil {
				return memory.Fault{}
			}
			requests++
			return memory.Fault{Refuse: requests%4 == 0}
		})
		c.kill("entry-1")
		c.awaitTerm(12 * time.Second)
		c.awaitState(j.ID, rows.Done, 10*time.Second)
	})
}

// Guards against a session that closes again and again because the commands to one worker exceed a frame.
func TestManyStartsOnOneWorker(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.addHost("host-3", 64_000)
		time.Sleep(3 * time.Second)
		j := job(1, 1, 60)
		j.Payload = strings.Repeat("x", spec.MaxPayload)
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 3*time.Second) // twice its run time and its objective
	})
}

// imageJob returns a job with a task of each of many images on each of two workers.
func imageJob(n, images int, step spec.Step) *spec.Job {
	j := job(n, images, 1)
	for i := range j.Steps {
		j.Steps[i] = step
		j.Steps[i].Count, j.Steps[i].PerWorker, j.Steps[i].Image = 2, 1, fmt.Sprintf("sha256:%064d", 1000*n+i)
	}
	return j
}

// withServingTasks runs f in virtual time with a cluster whose workers run serving tasks of five images each. Best-effort tasks
// of f run for runTime.
func withServingTasks(t *testing.T, runTime time.Duration, f func(c *cluster)) {
	t.Helper()
	withCluster(t, func(c *cluster) {
		size := sizes.Resources{Processors: 100}
		serving := imageJob(1, 5, spec.Step{LongRunning: true, Target: 150, Size: size})
		c.plan = func(r wire.Run) runs.Plan {
			if strings.HasPrefix(r.Task, string(serving.ID)) {
				return runs.Plan{Size: size, TailLatency: 20}
			}
			return runs.Plan{RunTime: runTime, ProcessorUsage: 1}
		}
		c.submit(serving)
		time.Sleep(2 * time.Second)
		f(c)
	})
}

var bestEffortStep = spec.Step{BestEffort: true, Size: sizes.Resources{Processors: 1}, Estimate: 1000}

// Guards against commands that never reach an agent, since they exceed a frame with the interference weights of the many
// images on its worker.
func TestManyImagesOnOneWorker(t *testing.T) {
	withServingTasks(t, time.Hour, func(c *cluster) {
		for n := range 2 {
			c.submit(imageJob(2+n, spec.MaxSteps, bestEffortStep))
		}
		time.Sleep(5 * time.Second)
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Second} }
		j := job(10, 1, 2)
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 5*time.Second)
	})
}

// Guards against a new leader to which no agent can report: the interference weights of all images that an agent had met
// exceeded a frame.
func TestTakeoverAfterManyImages(t *testing.T) {
	withServingTasks(t, time.Second, func(c *cluster) {
		for n := range 12 {
			j := imageJob(2+n, 10, bestEffortStep)
			c.submit(j)
			c.awaitState(j.ID, rows.Done, 5*time.Second)
		}
		c.kill("entry-1")
		j := job(100, 1, 2)
		c.submitUntil(j)
		c.awaitState(j.ID, rows.Done, 20*time.Second)
	})
}

// Guards against a run that is released because it is listed in a part of a report, and against a part of an earlier session
// that counts for a later report.
func TestReportInParts(t *testing.T) {
	withRun(t, func(term *lead.Term, _ *sent, r wire.Run) {
		part := &wire.ReportPart{Running: []wire.RunState{{Run: r, Percent: 10}}}
		l := &sent{}
		term.Opened("host", l)
		term.Message("host", l, part)
		announce(term, "host", l, incarnation1)
		time.Sleep(time.Second)
		if o := l.orders(); slices.ContainsFunc(o, func(m *wire.TaskOrders) bool { return len(m.Cancels)+len(m.Starts) > 0 }) {
			t.Errorf("commands %+v although the report lists the run", o)
		}
		term.Message("host", l, part)
		next := &sent{}
		term.Opened("host", next)
		announce(term, "host", next, incarnation1)
		time.Sleep(time.Second)
		if n := len(next.starts()); n != 1 {
			t.Errorf("%d starts after a report without the run, want 1", n)
		}
	})
}

// Guards against a leader that repeats a change that the store never accepts: the progress of many jobs together exceeded
// the largest change.
func TestProgressOfManyJobsIsStored(t *testing.T) {
	const (
		jobs   = 80
		tasks  = 1500             // of each job, with a checkpoint each: 36 KB of progress
		target = 10 * time.Second // for tasks of 1 s
	)
	inCluster(t, func(c *cluster) {
		for n := range jobs {
			j := job(n+1, 1, tasks)
			j.Steps[0].Checkpoints, j.Steps[0].PerWorker = true, 1 // so that a task of each job runs at the same time
			c.submit(j)
			c.putProgress(j)
		}
		c.addEntry("entry-1")
		c.addHost("host-1", jobs*1000)
		for n := range jobs {
			c.awaitProgress(job(n+1, 1, 1).ID, target)
		}
		if t := c.term(); t == nil || t.Epoch() != 1 {
			c.t.Error("the leader has lost the cell")
		}
	})
}

// Guards against a leader that repeats a change that the store never accepts: the progress of one job exceeded the largest
// row.
func TestProgressOfLargeJobIsStored(t *testing.T) {
	const target = 10 * time.Second // for tasks of 1 s
	inCluster(t, func(c *cluster) {
		ran := make(map[string]bool)
		c.plan = func(r wire.Run) runs.Plan {
			isFirst := !ran[r.Task]
			ran[r.Task] = true
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Second, Fails: isFirst}
		}
		tasks := 1
		for len(encodeCheckpoints(c.t, tasks+1)) <= memory.MaxRowBytes {
			tasks++
		}
		j := job(1, 1, tasks) // failed runs make its progress larger than a row
		j.Steps[0].Checkpoints = true
		c.submit(j)
		c.putProgress(j)
		c.addEntry("entry-1")
		c.addHost("host-1", 100_000)
		c.awaitProgress(j.ID, target)
		if t := c.term(); t == nil || t.Epoch() != 1 {
			c.t.Error("the leader has lost the cell")
		}
	})
}

// Guards against a job that runs again after its rows were deleted: the leader had read the whole table before, since the
// store had lost its history, and took the row for that of a new job.
func TestRetiredJobIsNotAddedAgain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		const jobs = 8
		for n := range jobs {
			c.submit(job(n+1, 1, 1))
			time.Sleep(1300 * time.Millisecond)
		}
		c.mu.Lock()
		c.faults = func(string) memory.Fault {
			return memory.Fault{HistoryLost: true, Slow: 300 * time.Millisecond}
		}
		c.mu.Unlock()
		time.Sleep(3 * time.Minute) // their retention expires
		for n := range jobs {
			if list := runsOf(c, job(n+1, 1, 1).ID); len(list) != 1 {
				t.Errorf("%d runs of a job that has one task", len(list))
			}
		}
	})
}

// Guards against a cell that stores nothing any more: the numbers of the failed runs of a large job exceeded a row, and each
// leader repeated the change without end. The failures count for the next leader too.
func TestFailuresOfLargeJobAreStored(t *testing.T) {
	const (
		tasks  = 10_000 // that fail once each need more than a row
		small  = 3
		target = 10 * time.Second // for tasks of 1 s
	)
	inCluster(t, func(c *cluster) {
		large := job(1, 1, tasks)
		large.Steps[0].Size, large.Steps[0].Estimate = sizes.Resources{Processors: 1}, 0
		c.plan = func(r wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1}, RunTime: time.Second, Fails: strings.HasPrefix(r.Task, string(large.ID))}
		}
		c.addEntry("entry-1")
		c.awaitTerm(target)
		c.kill("entry-1")
		c.restart("entry-1") // numbers of runs are longer from the second epoch on
		c.awaitTerm(target)
		c.addHost("host-1", 10*tasks)
		c.addHost("host-2", 10*tasks)
		time.Sleep(2 * time.Second)
		large.MaxAttempts = 3
		c.submit(large)
		time.Sleep(3 * time.Second)
		for n := range small {
			j := job(n+2, 2, 2)
			c.submit(j)
			c.awaitState(j.ID, rows.Done, target)
		}
		c.addEntry("entry-2")
		c.kill("entry-1")
		c.awaitState(large.ID, rows.Failed, 6*target)
		for task, list := range c.records() {
			if strings.HasPrefix(task, string(large.ID)) && len(list) > large.MaxAttempts {
				t.Fatalf("%s has %d runs; want at most %d", task, len(list), large.MaxAttempts)
			}
		}
	})
}
