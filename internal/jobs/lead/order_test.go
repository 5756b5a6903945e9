package lead_test

import (
	"context"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// allRules applies every rule for waiting jobs.
var allRules = order.Policy{
	LearnedTimes: true, ValueClasses: true, DelayCost: true, FinishBegun: true, MoveUp: true, LargeShare: true, LimitBegun: true,
	UseSlow: true,
}

// withOrder runs f in virtual time with a cluster of two entries and two workers of four processors each, on which every
// run takes a second, and a policy for waiting jobs.
func withOrder(t *testing.T, policy order.Policy, f func(c *cluster)) {
	t.Helper()
	inCluster(t, func(c *cluster) {
		c.policy = policy
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Second, ProcessorUsage: 1000} }
		c.addEntry("entry-1")
		time.Sleep(500 * time.Millisecond)
		c.addEntry("entry-2")
		c.addHost("host-1", 4000)
		c.addHost("host-2", 4000)
		time.Sleep(3 * time.Second)
		f(c)
	})
}

// heavyJob returns a job of two steps of eight best-effort tasks, each of which occupies the workers of withOrder.
func heavyJob(n int) *spec.Job {
	j := job(n, 2, 8)
	for i := range j.Steps {
		j.Steps[i].BestEffort, j.Steps[i].Image = true, "heavy"
	}
	return j
}

// maxInProgress returns the highest number of jobs that had begun and not ended at the same time.
func maxInProgress(c *cluster, n int) int {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	for i := range n {
		var began, ended time.Time
		for _, r := range runsOf(c, heavyJob(1+i).ID) {
			if began.IsZero() || r.Began.Before(began) {
				began = r.Began
			}
			if r.Ended.After(ended) {
				ended = r.Ended
			}
		}
		changes = append(changes, change{began, 1}, change{ended, -1})
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	most, now := 0, 0
	for _, ch := range changes {
		now += ch.delta
		most = max(most, now)
	}
	return most
}

// serveAt runs a serving task on each worker and waits until the leader knows its tail latency in percent of the target.
func serveAt(c *cluster, tail int) {
	serving := job(100, 1, 2)
	serving.Steps[0] = spec.Step{
		Count: len(c.hosts), PerWorker: 1, Size: sizes.Resources{Processors: 4000}, LongRunning: true, Image: "serving", Target: 100,
	}
	bestEffort := c.plan
	c.plan = func(r wire.Run) runs.Plan {
		if strings.HasPrefix(r.Task, string(serving.ID)) {
			return runs.Plan{Size: serving.Steps[0].Size, TailLatency: tail}
		}
		return bestEffort(r)
	}
	c.submit(serving)
	time.Sleep(5 * time.Second)
}

// Guards against a burst of heavy jobs that are all begun, at any speed, while serving tasks leave no processors to them, and
// that all end late: few may be in progress.
func TestBurstOfHeavyJobs(t *testing.T) {
	const jobs, most = 8, 2
	for name, policy := range map[string]order.Policy{"no rules": {}, "limit": {LimitBegun: true}, "all rules": allRules} {
		t.Run(name, func(t *testing.T) {
			withOrder(t, policy, func(c *cluster) {
				serveAt(c, 85) // of 100 that are reached at a load of 0.84
				for n := range jobs {
					c.submit(heavyJob(1 + n))
				}
				for n := range jobs {
					c.awaitState(heavyJob(1+n).ID, rows.Done, 10*time.Minute)
				}
				n := maxInProgress(c, jobs)
				t.Logf("%d of %d jobs in progress at most", n, jobs)
				if isFew := n <= most; isFew != policy.LimitBegun {
					t.Errorf("%d of %d jobs in progress; want at most %d with the limit, more without", n, jobs, most)
				}
			})
		})
	}
}

// Guards against processors of an evacuated zone that count as present, so that all jobs of a burst begin on the other workers.
func TestBurstDuringEvacuation(t *testing.T) {
	const jobs, most = 8, 2
	inCluster(t, func(c *cluster) {
		c.policy, c.usesEvacuations = order.Policy{LimitBegun: true}, true
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Second, ProcessorUsage: 1000} }
		c.addEntry("entry-1")
		c.addHost("host-1", 4000)
		time.Sleep(3 * time.Second)
		serveAt(c, 85)
		c.addHostIn("evacuated", "host-2", 64_000)
		c.evacuate("evacuated", true)
		time.Sleep(evacBound)
		for n := range jobs {
			c.submit(heavyJob(1 + n))
		}
		for n := range jobs {
			c.awaitState(heavyJob(1+n).ID, rows.Done, 10*time.Minute)
		}
		if n := maxInProgress(c, jobs); n > most {
			t.Errorf("%d of %d jobs in progress; want at most %d", n, jobs, most)
		}
	})
}

// Guards against a new leader that begins the jobs of a burst again from the first, or that leaves begun ones behind.
func TestTakeoverDuringBurst(t *testing.T) {
	const jobs, most = 12, 4 // one more than without a takeover, as a run of each may have just ended
	withOrder(t, allRules, func(c *cluster) {
		for n := range jobs {
			c.submit(heavyJob(1 + n))
		}
		time.Sleep(4 * time.Second)
		c.kill("entry-1")
		c.awaitTerm(10 * time.Second)
		for n := range jobs {
			c.awaitState(heavyJob(1+n).ID, rows.Done, time.Minute)
		}
		if n := maxInProgress(c, jobs); n > most {
			t.Errorf("%d of %d jobs in progress; want at most %d", n, jobs, most)
		}
	})
}

// Guards against a job that no worker can run and that takes the share of the processors for old jobs as long as it waits.
func TestJobWithoutWorkerDoesNotMoveUp(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	large, labelled, late := heavyJob(1), heavyJob(2), heavyJob(3)
	large.Steps[0].Size.Processors, labelled.Steps[0].Label = 6000, "missing"
	inCluster(t, func(c *cluster) {
		c.log, c.policy = zap.New(core), allRules
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Second, ProcessorUsage: 1000} }
		c.addEntry("entry-1")
		c.addHost("host-1", 4000)
		time.Sleep(3 * time.Second)
		c.submit(large)
		c.submit(labelled)
		time.Sleep(order.MaxWait + 2*time.Second)
		if n := logged.FilterMessage("job moved up").Len(); n > 0 {
			t.Errorf("%d jobs moved up that no worker could run", n)
		}
		c.addHost("host-2", 16_000)
		c.submit(late)
		c.awaitState(large.ID, rows.Done, time.Minute)
		c.awaitState(late.ID, rows.Done, time.Minute)
	})
}

// Guards against best-effort runs that count by their elapsed time: runs that got a quarter of their processors took four
// times as long and needed what was declared.
func TestRunTimesCountProcessorTime(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	inCluster(t, func(c *cluster) {
		c.log = zap.New(core)
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{}, RunTime: 4 * time.Second, ProcessorUsage: 250}
		}
		c.addEntry("entry-1")
		c.addHost("host-1", 16_000)
		time.Sleep(3 * time.Second)
		for n := range 3 {
			j := heavyJob(1 + n)
			c.submit(j)
			c.awaitState(j.ID, rows.Done, 30*time.Second)
		}
	})
	ended := logged.FilterMessage("job ended").All()
	if len(ended) == 0 {
		t.Fatalf("no event %d", event.JobEnded)
	}
	ratio, ok := ended[len(ended)-1].ContextMap()["RunTimeRatio"].(float64)
	if !ok || math.Abs(ratio-1) > 0.25 {
		t.Errorf("learned run time is %.2f times the declared one; want about 1", ratio)
	}
}

// Guards against a policy that changes anything while capacity suffices: the same tasks start at the same times.
func TestPolicyWithoutShortage(t *testing.T) {
	const jitter = 50 * time.Millisecond // two runs without rules differ by up to 40 ms, the gap between commits
	starts := func(policy order.Policy) map[string]time.Duration {
		at := make(map[string]time.Duration)
		withOrder(t, policy, func(c *cluster) {
			began := time.Now()
			for n := range 20 {
				j := job(1+n, 2, 1+n%3)
				j.Steps[0].BestEffort = n%2 == 0
				c.submit(j)
				time.Sleep(time.Duration(500+100*(n%4)) * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			for task, list := range c.records() {
				at[task] = list[0].Began.Sub(began)
			}
		})
		return at
	}
	without, with := starts(order.Policy{}), starts(allRules)
	if len(with) != len(without) {
		t.Errorf("%d tasks start with all rules, %d without", len(with), len(without))
	}
	for task, at := range without {
		if (with[task] - at).Abs() > jitter {
			t.Errorf("%s starts at %v with all rules; want %v as without", task, with[task], at)
		}
	}
}

// Guards against a burst that never drains: a job without runs may start one task on workers that would slow it down, so
// that it makes some progress, but not all of its tasks. Guards against processors of such workers that stay idle although
// the policy says that jobs in progress use them.
func TestIdleJobStartsOneSlowTask(t *testing.T) {
	for _, test := range []struct{ tail, starts, startsUseSlow int }{
		{tail: 90, starts: 1, startsUseSlow: 1}, // a load of 0.82 of at most 0.80
		{tail: 70, starts: 1, startsUseSlow: 3}, // a load of 0.77
	} {
		startSlowTasks(t, order.Policy{}, test.tail, test.starts)
		startSlowTasks(t, order.Policy{UseSlow: true}, test.tail, test.startsUseSlow)
	}
}

// startSlowTasks checks how many of 8 tasks of a job start on three workers with serving tasks of a tail latency in percent
// of their target.
func startSlowTasks(t *testing.T, policy order.Policy, tail, want int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		open := make(chan struct{})
		close(open)
		hosts := []string{"host-1", "host-2", "host-3"}
		term, stop := startLeaderWith(ctx, t, storeWithAgents(t, hosts...), gate{open}, policy)
		serving, bestEffort := job(1, 1, len(hosts)), job(2, 1, 8)
		serving.Steps[0].LongRunning, serving.Steps[0].Target, serving.Steps[0].Image = true, 100, "s"
		serving.Steps[0].PerWorker = 1
		bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].Image = true, "f"
		bestEffort.Steps[0].Size.Processors = 400
		links := make([]sent, len(hosts))
		for i, name := range hosts {
			term.Opened(name, &links[i])
			announce(term, name, &links[i], wire.WorkerIncarnation{ID: name, StartedAt: 1})
		}
		accept(t, term, serving)
		time.Sleep(time.Second)
		for i, name := range hosts {
			term.Message(name, &links[i], &wire.RunReport{
				Incarnation: wire.WorkerIncarnation{ID: name, StartedAt: 1}, Complete: true, RequestLease: true, LastOrders: 1,
				Running: []wire.RunState{{Run: links[i].starts()[0], Percent: 100, Measurement: tail}},
			})
		}
		accept(t, term, bestEffort)
		time.Sleep(3 * time.Second)
		n := 0
		for i := range links {
			n += len(links[i].starts()) - 1
		}
		if n != want {
			t.Errorf("%+v: %d of 8 tasks started on workers with a tail latency of %d%%; want %d", policy, n, tail, want)
		}
		cancel()
		stop()
	})
}
