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
	faultRounds  = 50
	roundTime    = 850 * time.Millisecond
	settleAfter  = 3 * time.Second // an entry may report an agent's predecessor for so long
	jobTasks     = 40
	jobEvery     = 5 // rounds
	configEvery  = 7 // rounds
	recoverLimit = time.Minute
)

var faultSeed = flag.Uint64("fault.seed", 20261204, "seed of TestFaultRounds")

// shortLeases returns a configuration whose leases end within the test.
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

// watchVersions records the versions that entries report of themselves and of agents until ctx ends.
func (f *field) watchVersions(ctx context.Context, processes func() map[string]string) []versionSample {
	var list []versionSample
	for ctx.Err() == nil {
		for i, api := range f.api {
			before := processes()
			call, cancel := context.WithTimeout(ctx, time.Second)
			st, err := api.Status(call)
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

// names tells the processes that run for some time, by the name of the part.
type names struct {
	mu      sync.Mutex
	current map[string]string
}

func (n *names) update(f *field) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current = make(map[string]string)
	for _, m := range f.entries {
		n.current[m.name] = fmt.Sprintf("%s.%d", m.name, m.generation)
	}
	for _, m := range f.agents {
		if time.Since(m.started) > settleAfter {
			n.current[m.name] = fmt.Sprintf("%s.%d", m.name, m.generation)
		}
	}
}

func (n *names) get() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// submit submits a job in the background and repeats that until it is accepted.
func (f *field) submit(ctx context.Context, wg *sync.WaitGroup, job string) {
	body := fmt.Appendf(nil, `{"Job":%q,"Team":"team-1","Class":"standard","Command":"run=300ms straggler=6/8",
		"Tasks":%d,"Size":{"Processors":%d,"Memory":1000000}}`, job, jobTasks, taskMilli)
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			if _, err := f.api[i%len(f.api)].Submit(ctx, body); err == nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// change changes the configuration in the background; a failure is no fault, since the store may be down.
func (f *field) change(ctx context.Context, wg *sync.WaitGroup, entry int, deadline time.Duration) {
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

// Guards against every broken promise of section 2 of the design that shows from outside under faults of all parts.
func TestFaultRounds(t *testing.T) {
	t.Parallel() // with the other tests of processes: one after the other they come close to 120 s
	f := newField(t, 4, shortLeases())
	s := &storm{field: f, outages: newOutages(t), rng: rand.New(rand.NewPCG(*faultSeed, 0))}
	callers := make([]string, len(f.entries))
	for i, m := range f.entries {
		callers[i] = "http://" + m.line.Callers
	}
	traffic := newTraffic(callers)
	load, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { traffic.run(load, *faultSeed) })
	var versions []versionSample
	wg.Go(func() { versions = f.watchVersions(load, f.processes.get) })
	var jobs []string
	for i := range faultRounds {
		end := time.Now().Add(roundTime)
		if i%jobEvery == 0 {
			jobs = append(jobs, fmt.Sprintf("plan-%d", i))
			f.submit(load, &wg, jobs[len(jobs)-1])
		}
		if i%configEvery == 0 {
			f.change(load, &wg, i%2, 2*time.Second+time.Duration(i)*time.Millisecond)
		}
		s.round()
		s.healUntil(end)
		f.processes.update(f)
	}
	s.heal(time.Now().Add(time.Hour))
	recovered := time.Now()
	f.awaitTargets(recoverLimit)
	f.awaitJobs(jobs, recovered.Add(recoverLimit))
	took := time.Since(recovered)
	stop()
	wg.Wait()
	t.Logf("faults: %s", s.summary())
	t.Logf("attempts: %s", outcomes(traffic.history()))
	t.Logf("recovered after %s; %d samples of versions", took.Round(time.Millisecond), len(versions))
	f.awaitComplete(callers, recovered.Add(recoverLimit))
	r := &record{
		attempts: traffic.history(), runs: f.readRuns(), workers: f.histories(), versions: versions,
		means: sizes.Resources{Processors: workerMilli, Memory: processMemory, Slots: targetSlots, Connections: 64},
	}
	r.verify(t, jobs)
	f.checkLogs()
}

// verify applies all checks.
func (r *record) verify(t *testing.T, jobs []string) {
	t.Helper()
	for name, check := range checks {
		if name == "EveryTaskRan" {
			continue // for a job of its own, see below
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
		t.Errorf("the record has %d runs and %d versions", len(r.runs), len(r.versions))
	}
}

// awaitJobs waits until every task of every job is Done.
func (f *field) awaitJobs(jobs []string, limit time.Time) {
	f.t.Helper()
	for _, id := range jobs {
		var j admin.Job
		var err error
		for i := 0; ; i++ {
			call, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
			j, err = f.api[i%len(f.api)].Job(call, id)
			cancel()
			if err == nil && j.Finished {
				break
			}
			if time.Now().After(limit) {
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

// awaitComplete waits until a hundred requests in a row are Complete through every entry.
func (f *field) awaitComplete(callers []string, limit time.Time) {
	f.t.Helper()
	c := newTraffic(callers)
	rng := rand.New(rand.NewPCG(*faultSeed, 1))
	for row, i := 0, 0; row < 100; i++ {
		a := c.echo(rng, fmt.Sprintf("/echo/after-%d", i))
		row++
		if a.Outcome != "Complete" {
			row = 0
		}
		if time.Now().After(limit) {
			f.t.Fatalf("requests are not Complete in time, last: %+v", a)
		}
	}
}

// checkLogs fails for a process that wrote a stack trace.
func (f *field) checkLogs() {
	f.t.Helper()
	for _, group := range [][]*member{f.entries, f.agents, f.targets} {
		for _, m := range group {
			for _, name := range m.logs {
				f.checkLog(name)
			}
		}
	}
}

func (f *field) checkLog(name string) {
	f.t.Helper()
	b := f.readLog(name)
	for _, sign := range []string{"panic:", "goroutine 1 [", "DATA RACE"} {
		if i := bytes.Index(b, []byte(sign)); i >= 0 {
			f.t.Errorf("%s: %s", name, strings.TrimSpace(string(b[i:min(len(b), i+2000)])))
		}
	}
}
