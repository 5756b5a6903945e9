package main_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

const (
	faultRounds    = 50
	roundTime      = 850 * time.Millisecond
	settleTime     = 3 * time.Second // for which an entry may report the previous process of an agent
	jobTasks       = 40
	jobInterval    = 5 // rounds
	configInterval = 7 // rounds
	recoverTimeout = time.Minute
)

var faultSeed = flag.Uint64("fault.seed", 20261204, "seed of TestFaultRounds")

// shortLeases returns a configuration whose leases are short enough to expire during the test.
func shortLeases() model.Document {
	d := model.Default()
	d.Services[0].Name = "booking"
	d.AvailabilityZones[0].Name = processZone
	d.JobClasses[0].MaxAttempts = model.MaxAttempts // a release counts as an attempt
	d.JobClasses[0].CheckpointGrace = model.Duration(time.Second)
	d.Policies.AgentLease = model.Duration(3 * time.Second)
	d.Policies.AgentRenewal = model.Duration(time.Second)
	d.Policies.OwnerLease = model.Duration(9 * time.Second)
	return d
}

// watchVersions records the configuration versions that entries report for themselves and for agents until ctx ends. It
// skips samples during which the process that they belong to changed.
func (f *cluster) watchVersions(ctx context.Context, processes func() map[string]string) []versionSample {
	var list []versionSample
	for ctx.Err() == nil {
		for i, api := range f.api {
			before := processes()
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			st, err := api.Status(callCtx)
			cancel()
			after := processes()
			entry := after[fmt.Sprintf("entry-%d", i+1)]
			if err != nil || entry == "" || before[fmt.Sprintf("entry-%d", i+1)] != entry {
				continue
			}
			list = append(list, versionSample{entry, st.InForce})
			for _, w := range st.Workers {
				agent := after["agent-"+w.Name]
				if agent != "" && before["agent-"+w.Name] == agent && w.InForce > 0 {
					list = append(list, versionSample{entry + "/" + agent, w.InForce})
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return list
}

// processNames maps the name of a member to the name of its process. Agents are left out for settleTime after a start.
type processNames struct {
	mu      sync.Mutex
	current map[string]string
}

func (n *processNames) update(f *cluster) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current = make(map[string]string)
	for _, m := range f.entries {
		n.current[m.name] = fmt.Sprintf("%s.%d", m.name, m.generation)
	}
	for _, m := range f.agents {
		if time.Since(m.started) > settleTime {
			n.current[m.name] = fmt.Sprintf("%s.%d", m.name, m.generation)
		}
	}
}

func (n *processNames) get() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// submit submits a job in the background, with retries until it is accepted.
func (f *cluster) submit(ctx context.Context, wg *sync.WaitGroup, job string) {
	body := fmt.Appendf(nil, `{"Job":%q,"Team":"team-1","Class":"standard","Command":"run=300ms straggler=6/8",
		"Tasks":%d,"Size":{"Processors":%d,"Memory":1000000}}`, job, jobTasks, taskProcessors)
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			if _, err := f.api[i%len(f.api)].Submit(ctx, body); err == nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// changeConfig changes the configuration in the background. It ignores errors, since the store may be down.
func (f *cluster) changeConfig(ctx context.Context, wg *sync.WaitGroup, entry int, deadline time.Duration) {
	wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		d, version, err := f.api[entry].Config(ctx, 0)
		if err != nil {
			return
		}
		d.Services[0].DefaultDeadline = model.Duration(deadline)
		if b, err := d.Encode(); err == nil {
			_, _ = f.api[entry].Apply(ctx, version, b)
		}
	})
}

// Guards against violations of the guarantees in section 2 of the design that are visible from outside, under faults of
// all components.
func TestFaultRounds(t *testing.T) {
	t.Parallel() // in sequence, the tests that start processes take almost 120 s
	f := newCluster(t, 4, shortLeases())
	s := &injector{cluster: f, outages: newOutages(t), rng: rand.New(rand.NewPCG(*faultSeed, 0))}
	callers := make([]string, len(f.entries))
	for i, m := range f.entries {
		callers[i] = "http://" + m.line.Callers
	}
	traffic := newTraffic(callers)
	loadCtx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { traffic.run(loadCtx, *faultSeed) })
	var versions []versionSample
	wg.Go(func() { versions = f.watchVersions(loadCtx, f.processes.get) })
	var jobs []string
	for i := range faultRounds {
		end := time.Now().Add(roundTime)
		if i%jobInterval == 0 {
			jobs = append(jobs, fmt.Sprintf("plan-%d", i))
			f.submit(loadCtx, &wg, jobs[len(jobs)-1])
		}
		if i%configInterval == 0 {
			f.changeConfig(loadCtx, &wg, i%2, 2*time.Second+time.Duration(i)*time.Millisecond)
		}
		s.round()
		s.healUntil(end)
		f.processes.update(f)
	}
	s.heal(time.Now().Add(time.Hour))
	recovered := time.Now()
	f.awaitTargets(recoverTimeout)
	f.awaitJobs(jobs, recovered.Add(recoverTimeout))
	took := time.Since(recovered)
	stop()
	wg.Wait()
	t.Logf("faults: %s", s.summary())
	t.Logf("attempts: %s", outcomes(traffic.history()))
	t.Logf("recovered after %s; %d version samples", took.Round(time.Millisecond), len(versions))
	f.awaitComplete(callers, recovered.Add(recoverTimeout))
	r := &record{
		attempts: traffic.history(), runs: f.readRuns(), workers: f.histories(), versions: versions,
		capacity: sizes.Resources{Processors: workerProcessors, Memory: workerMemory, Slots: targetSlots, Connections: 64},
	}
	r.verify(t, jobs)
	f.checkLogs()
}

// verify runs all checks.
func (r *record) verify(t *testing.T, jobs []string) {
	t.Helper()
	for name, check := range checks {
		if name == "EveryTaskRan" {
			continue // checks one job; see below
		}
		if err := check(r); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, job := range jobs {
		if err := checkEveryTaskRan(r, ident.Job(job), jobTasks); err != nil {
			t.Error(err)
		}
	}
	if len(r.runs) == 0 || len(r.versions) == 0 || len(r.workers[0].Intervals) == 0 {
		t.Errorf("the record has %d runs and %d versions, or no intervals of the first worker", len(r.runs), len(r.versions))
	}
}

// awaitJobs waits until every task of every job is Done.
func (f *cluster) awaitJobs(jobs []string, end time.Time) {
	f.t.Helper()
	for _, id := range jobs {
		var j admin.Job
		var err error
		for i := 0; ; i++ {
			callCtx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
			j, err = f.api[i%len(f.api)].Job(callCtx, id)
			cancel()
			if err == nil && j.Finished {
				break
			}
			if time.Now().After(end) {
				f.t.Errorf("job %s is not finished in time: %+v, %v", id, j, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if j.Done != jobTasks || j.Failed != 0 {
			f.t.Errorf("job %s has %d of %d tasks done, %d failed: %s", id, j.Done, jobTasks, j.Failed, j.Detail)
		}
	}
}

// awaitComplete waits until 100 requests in a row, each through a random entry, are Complete.
func (f *cluster) awaitComplete(callers []string, end time.Time) {
	f.t.Helper()
	c := newTraffic(callers)
	rng := rand.New(rand.NewPCG(*faultSeed, 1))
	for consecutive, i := 0, 0; consecutive < 100; i++ {
		a := c.echo(rng, fmt.Sprintf("/echo/after-%d", i))
		consecutive++
		if a.Outcome != "Complete" {
			consecutive = 0
		}
		if time.Now().After(end) {
			f.t.Fatalf("requests are not Complete in time, last: %+v", a)
		}
	}
}

// checkLogs fails the test for each log that contains a panic, a stack trace or a data race.
func (f *cluster) checkLogs() {
	f.t.Helper()
	for _, group := range [][]*member{f.entries, f.agents, f.targets} {
		for _, m := range group {
			for _, name := range m.logs {
				f.checkLog(name)
			}
		}
	}
}

func (f *cluster) checkLog(name string) {
	f.t.Helper()
	b := f.readLog(name)
	for _, marker := range []string{"panic:", "goroutine 1 [", "DATA RACE"} {
		if i := bytes.Index(b, []byte(marker)); i >= 0 {
			f.t.Errorf("%s: %s", name, strings.TrimSpace(string(b[i:min(len(b), i+2000)])))
		}
	}
}
