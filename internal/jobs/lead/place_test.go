package lead_test

import (
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// Guards against best-effort tasks that stay, throttled, on a worker whose serving tasks are stalled.
func TestBestEffortTasksLeaveStalledWorker(t *testing.T) {
	withCluster(t, func(c *cluster) {
		serving, bestEffort := job(1, 1, 1), job(2, 1, 1)
		serving.Steps[0] = spec.Step{
			Count: 1, Size: sizes.Resources{Processors: 3000, Memory: 1 << 20}, LongRunning: true, Image: "s", Target: 20,
		}
		bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].Image, bestEffort.Steps[0].Estimate = true, "f", 6000
		tailLatency := 5
		c.plan = func(r wire.Run) runs.Plan {
			if strings.HasPrefix(r.Task, string(serving.ID)) {
				return runs.Plan{Size: serving.Steps[0].Size, TailLatency: tailLatency}
			}
			return runs.Plan{RunTime: 6 * time.Second, ProcessorUsage: 1000}
		}
		c.set(c.isolated, "host-2", true)
		c.dropLinks("host-2")
		time.Sleep(3 * time.Second)
		c.submit(serving)
		time.Sleep(2 * time.Second)
		c.submit(bestEffort)
		time.Sleep(time.Second)
		c.set(c.isolated, "host-2", false)
		time.Sleep(3 * time.Second)
		tailLatency = 18_000
		c.hosts["host-1"].worker.RefreshUsage()
		time.Sleep(5 * time.Second)
		var last runs.Record
		for _, r := range runsOf(c, bestEffort.ID) {
			if r.Began.After(last.Began) {
				last = r
			}
		}
		if last.Worker != "host-2" {
			t.Errorf("best-effort task ran last on %s, 5 s after the serving task stalled; want host-2", last.Worker)
		}
		c.awaitState(bestEffort.ID, rows.Done, 15*time.Second)
	})
}

// Guards against a lost long-running task that waits behind all finite work because its own deadline has passed.
func TestLostLongRunningTaskRestartsFirst(t *testing.T) {
	withCluster(t, func(c *cluster) {
		longRunning, batch := job(1, 1, 1), job(2, 1, 40)
		longRunning.Steps[0].LongRunning = true
		batch.Objective = 120_000
		c.plan = func(r wire.Run) runs.Plan {
			p := runs.Plan{Size: sizes.Resources{Processors: 1000}}
			if !strings.HasPrefix(r.Task, string(longRunning.ID)) {
				p.RunTime = time.Second
			}
			return p
		}
		c.submit(longRunning)
		time.Sleep(10 * time.Second)
		lost := c.hosts[runsOf(c, longRunning.ID)[0].Worker]
		c.submit(batch)
		time.Sleep(time.Second)
		c.startWorker(lost)
		time.Sleep(4 * time.Second)
		for _, r := range runsOf(c, longRunning.ID) {
			if r.Ended.IsZero() {
				return
			}
		}
		t.Error("the long-running task has no run 4 s after its worker restarted")
	})
}

// Guards against a worker that fails all its runs and gets another task as soon as it is idle, at the cost of an attempt
// of each.
func TestFailingWorkerGetsFewProbes(t *testing.T) {
	withCluster(t, func(c *cluster) {
		failing := c.hosts["host-1"]
		failing.worker.Plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 50 * time.Millisecond, Fails: true}
		}
		const jobs = 12
		for n := range jobs {
			c.submit(job(n+1, 1, 4))
		}
		time.Sleep(10 * time.Second)
		// The first four together, one after the first failure (a worker is unreliable after two), then one every 2 s.
		const limit = 4 + 1 + 5
		if n := len(failing.worker.Records()); n > limit {
			t.Errorf("%d runs on a worker that fails all, in 10 s; want at most %d", n, limit)
		}
		for n := range jobs {
			c.awaitState(job(n+1, 1, 4).ID, rows.Done, 20*time.Second)
		}
	})
}
