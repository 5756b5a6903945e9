package check

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/demo/inproc"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	plainRequests = 400
	keyedRequests = 20
	burstRequests = 400 // concurrent, for 88 slots
	jobName       = "packing-plan"
	jobTasks      = 1000
	jobCommand    = "run=1500ms straggler=8/10" // a tenth of the tasks run for 12 s, longer than the lease of a lost agent
	leaveLimit    = 2 * time.Second             // after which a leaving target gets no request: promise 7
	inForceLimit  = 5 * time.Second             // for a change of configuration to reach all agents: promise 9
	jobTimeout    = 2 * time.Minute
	pollInterval  = 100 * time.Millisecond
	leaveLoadTime = time.Second
	drainTimeout  = 20 * time.Second
	lossDelay     = 2 * time.Second // so that the worker is lost in the middle of the job
)

// scenario is the state of one run.
type scenario struct {
	system     *inproc.System
	api        *admin.Client
	caller     *caller
	report     *Report
	lostWorker string // name of the worker that loseWorker stopped
}

// Run runs the scenario and returns its report; the error states why the scenario could not be run.
func Run(ctx context.Context, s *inproc.System) (*Report, error) {
	c := &scenario{system: s, api: s.API(), caller: newCaller(s), report: &Report{}}
	start := time.Now()
	if err := c.submitJob(ctx); err != nil {
		return nil, err
	}
	c.caller.run(ctx, plainRequests, 1)
	c.checkAtMostOnce(ctx)
	c.caller.burst(ctx, burstRequests)
	c.loseWorker(ctx)
	if err := c.checkConfiguration(ctx); err != nil {
		return nil, err
	}
	c.checkLeaving(ctx)
	c.checkDrain(ctx)
	c.checkResponses()
	c.checkNotRun()
	if err := c.checkJob(ctx, start); err != nil {
		return nil, err
	}
	c.checkCapacity()
	c.report.finish(time.Since(start))
	return c.report, nil
}

func (c *scenario) submitJob(ctx context.Context) error {
	b, err := json.Marshal(admin.JobRequest{
		Job: jobName, Team: "okulset", Class: "packing", Command: jobCommand, Tasks: jobTasks,
		Size: model.TaskSize{Processors: 1000, Memory: 1e9}, RunTime: model.Duration(2 * time.Second),
	})
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	if _, err := c.api.Submit(ctx, b); err != nil {
		return fmt.Errorf("submit job: %w", err)
	}
	return nil
}

// checkAtMostOnce sends each keyed request through both entries concurrently, and once more afterwards.
func (c *scenario) checkAtMostOnce(ctx context.Context) {
	completed := 0
	for k := range keyedRequests {
		path := fmt.Sprintf("/dispatch/van-%d", k)
		var wg sync.WaitGroup
		for _, base := range c.caller.bases {
			wg.Go(func() { _, _, _ = c.caller.send(ctx, base, path, path[1:], nil) })
		}
		wg.Wait()
		outcome, _, err := c.caller.send(ctx, c.caller.bases[0], path, path[1:], nil)
		if err == nil && outcome == "Complete" {
			completed++
		}
	}
	var err error
	ran := 0
	for path, n := range c.runs("/dispatch/") {
		ran++
		if n > 1 {
			err = errors.Newf("%s ran %d times", path, n)
		}
	}
	if ran != keyedRequests || completed != keyedRequests {
		err = errors.CombineErrors(err, errors.Newf("%d of %d requests ran and %d were completed", ran,
			keyedRequests, completed))
	}
	c.report.add("AtMostOnce", err, "%d keyed requests, each sent three times through two entries, ran once",
		keyedRequests)
}

// runs returns how often each path with the given prefix ran, summed over all targets.
func (c *scenario) runs(prefix string) map[string]int {
	runs := make(map[string]int)
	for _, w := range c.system.Workers {
		for _, r := range w.Target.Records() {
			if strings.HasPrefix(r.Path, prefix) {
				runs[r.Path] += r.Runs
			}
		}
	}
	return runs
}

// loseWorker stops the agent, the target and the interface of a worker that runs tasks of the job.
func (c *scenario) loseWorker(ctx context.Context) {
	pause.For(ctx, lossDelay)
	w := c.system.Workers[len(c.system.Workers)-1]
	c.lostWorker = w.Name
	w.Kill()
}

// checkConfiguration changes the configuration and waits until every remaining agent applies it.
func (c *scenario) checkConfiguration(ctx context.Context) error {
	d, version, err := c.api.Config(ctx, 0)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	d.Services[0].DefaultDeadline = model.Duration(3 * time.Second)
	b, err := d.Encode()
	if err != nil {
		return err
	}
	start := time.Now()
	accepted, err := c.api.Apply(ctx, version, b)
	if err != nil {
		return fmt.Errorf("change configuration: %w", err)
	}
	outdated := "no status yet"
	for outdated != "" && time.Since(start) < inForceLimit {
		outdated = c.outdatedProcess(ctx, accepted.Version)
		pause.For(ctx, pollInterval/10)
	}
	c.report.InForceIn = time.Since(start).Round(time.Millisecond).String()
	if outdated != "" {
		err = errors.Newf("after %s %s", c.report.InForceIn, outdated)
	}
	c.report.add("Configuration", err, "version %d was in force on all agents after %s", accepted.Version,
		c.report.InForceIn)
	return nil
}

// outdatedProcess describes a process that does not apply the given version yet; it returns an empty string if there is
// none.
func (c *scenario) outdatedProcess(ctx context.Context, version uint64) string {
	inForce := make(map[string]uint64)
	for _, e := range c.system.Entries {
		st := e.Process.Status(ctx)
		if st.InForce < version {
			return e.Name + " applies an older version"
		}
		for _, w := range st.Workers {
			inForce[w.Name] = max(inForce[w.Name], w.InForce)
		}
	}
	for _, w := range c.system.Workers {
		if w.Name != c.lostWorker && inForce[w.Name] < version {
			return "agent " + w.Name + " applies an older version"
		}
	}
	return ""
}

// checkLeaving makes a target leave and counts the requests that it gets after the limit.
func (c *scenario) checkLeaving(ctx context.Context) {
	t := c.system.Workers[0].Target
	if !c.system.IgnoresLeave() {
		t.Leave()
	}
	pause.For(ctx, leaveLimit)
	before := t.Counts().Runs
	loadCtx, cancel := context.WithTimeout(ctx, leaveLoadTime)
	defer cancel()
	c.caller.run(loadCtx, 0, 2)
	var err error
	if n := t.Counts().Runs - before; n > 0 {
		err = errors.Newf("the target got %d requests more than %s after it left", n, leaveLimit)
	}
	c.report.add("Leaving", err, "a leaving target got no request after %s under load", leaveLimit)
}

// checkDrain drains a worker under load and checks that no request is cut off.
func (c *scenario) checkDrain(ctx context.Context) {
	before := c.caller.failedRequests()
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.caller.run(loadCtx, 0, 3) })
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	start := time.Now()
	err := c.system.Workers[1].Drain(drainCtx)
	took := time.Since(start)
	stop()
	wg.Wait()
	if failed := c.caller.failedRequests()[len(before):]; len(failed) > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d requests had no clear outcome, first %s", len(failed), failed[0]))
	}
	c.report.add("GracefulShutdown", err, "an agent drained under load in %s; no request was cut off",
		took.Round(time.Millisecond))
}

func (c *scenario) checkResponses() {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	c.report.Requests = c.caller.counts
	var err error
	if c.caller.counts.Wrong > 0 || c.caller.counts.Complete == 0 {
		err = errors.Newf("%d of %d complete responses were wrong: %v", c.caller.counts.Wrong,
			c.caller.counts.Wrong+c.caller.counts.Complete, c.caller.failures)
	}
	c.report.add("WholeAnswers", err, "%d responses were compared byte for byte", c.caller.counts.Complete)
}

func (c *scenario) checkNotRun() {
	runs := c.runs("/")
	var err error
	for _, path := range c.caller.notRun {
		if runs[path] > 0 {
			err = errors.Newf("%s was refused with NotRun and ran", path)
		}
	}
	c.report.add("NotRunIsTrue", err, "%d refused requests never reached a target", len(c.caller.notRun))
}

// checkJob waits until the job has ended and checks that every task finished and that no runs of a task overlapped.
func (c *scenario) checkJob(ctx context.Context, start time.Time) error {
	job, err := c.waitJob(ctx)
	if err != nil {
		return err
	}
	c.report.Job = JobResult{
		Tasks: job.Tasks, Done: job.Done, Failed: job.Failed, Evictions: job.Evictions,
		Took: time.Since(start).Round(time.Millisecond).String(),
	}
	if !job.Finished || int64(job.Done) != job.Tasks {
		err = errors.Newf("job is at %d of %d tasks, %d failed, finished: %v", job.Done, job.Tasks, job.Failed, job.Finished)
	}
	c.report.add("ExactlyOnce", err, "%d tasks are done, each once, after the loss of %s", job.Done, c.lostWorker)
	var history []standworker.Interval
	for _, w := range c.system.Workers {
		history = append(history, w.StandIn.History()...)
	}
	c.report.add("OnePlace", standworker.Overlap(history), "%d runs of tasks, no task on two workers at once",
		len(history))
	return nil
}

// waitJob returns the job when it has ended, or its last known state after jobTimeout.
func (c *scenario) waitJob(ctx context.Context) (admin.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	var last admin.Job
	for ctx.Err() == nil {
		job, err := c.api.Job(ctx, jobName)
		if err == nil {
			last = job
		}
		if err == nil && job.Finished {
			return job, nil
		}
		pause.For(ctx, pollInterval)
	}
	return last, nil
}

func (c *scenario) checkCapacity() {
	var err error
	for _, w := range c.system.Workers {
		if peak := w.StandIn.Peak(); !peak.Fits(inproc.WorkerResources()) {
			err = errors.Newf("worker %s was assigned %+v, more than its resources", w.Name, peak)
		}
		if n := w.Target.Counts().PeakInFlight; n > inproc.WorkerResources().Slots {
			err = errors.Newf("the target of %s had %d requests in its %d slots", w.Name, n, inproc.WorkerResources().Slots)
		}
	}
	c.report.add("Capacity", err, "%d workers stayed within processors, memory and slots", len(c.system.Workers))
}
