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
	"trefoilramp.org/trefoilramp/internal/demo/whole"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	plainRequests = 400
	keys          = 20
	burstRequests = 400 // at once, against 88 slots
	jobName       = "packing-plan"
	jobTasks      = 1000
	jobCommand    = "run=1500ms straggler=8/10" // a tenth of the tasks run for 12 s, longer than a lost lease
	leaveLimit    = 2 * time.Second             // promise 7
	inForceLimit  = 5 * time.Second             // promise 9
	jobLimit      = 2 * time.Minute
	pollEvery     = 100 * time.Millisecond
	leaveLoad     = time.Second
	drainLimit    = 20 * time.Second
	beforeLoss    = 2 * time.Second // so that the lost agent is in the middle of the job
)

// scenario is the state of one run.
type scenario struct {
	system *whole.System
	api    *admin.Client
	caller *caller
	report *Report
	lost   string // name of the worker that was lost
}

// Run runs the scenario and returns its report; the error says why it could not be carried out.
func Run(ctx context.Context, s *whole.System) (*Report, error) {
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
	c.checkAnswers()
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

// checkAtMostOnce sends each keyed request through both entries at once and once more afterwards.
func (c *scenario) checkAtMostOnce(ctx context.Context) {
	answered := 0
	for k := range keys {
		path := fmt.Sprintf("/dispatch/van-%d", k)
		var wg sync.WaitGroup
		for _, base := range c.caller.bases {
			wg.Go(func() { _, _, _ = c.caller.send(ctx, base, path, path[1:], nil) })
		}
		wg.Wait()
		outcome, _, err := c.caller.send(ctx, c.caller.bases[0], path, path[1:], nil)
		if err == nil && outcome == "Complete" {
			answered++
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
	if ran != keys || answered != keys {
		err = errors.CombineErrors(err, errors.Newf("%d of %d requests ran and %d were answered", ran, keys, answered))
	}
	c.report.note("AtMostOnce", err, "%d keyed requests, each sent three times through two entries, ran once", keys)
}

// runs returns how often each path with a prefix ran on all targets together.
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

// loseWorker ends the agent, the target and the interface of a worker that runs tasks of the job.
func (c *scenario) loseWorker(ctx context.Context) {
	pause.For(ctx, beforeLoss)
	w := c.system.Workers[len(c.system.Workers)-1]
	c.lost = w.Name
	w.Lose()
}

// checkConfiguration changes the configuration and waits until every agent that is left applies it.
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
	behind := "no status yet"
	for behind != "" && time.Since(start) < inForceLimit {
		behind = c.behind(ctx, accepted.Version)
		pause.For(ctx, pollEvery/10)
	}
	c.report.InForceIn = time.Since(start).Round(time.Millisecond).String()
	if behind != "" {
		err = errors.Newf("after %s %s", c.report.InForceIn, behind)
	}
	c.report.note("Configuration", err, "version %d was in force in all agents after %s", accepted.Version,
		c.report.InForceIn)
	return nil
}

// behind tells which process does not apply a version yet, or nothing.
func (c *scenario) behind(ctx context.Context, version uint64) string {
	inForce := make(map[string]uint64)
	for _, e := range c.system.Entries {
		st := e.Role.Status(ctx)
		if st.InForce < version {
			return e.Name + " applies an older version"
		}
		for _, w := range st.Workers {
			inForce[w.Name] = max(inForce[w.Name], w.InForce)
		}
	}
	for _, w := range c.system.Workers {
		if w.Name != c.lost && inForce[w.Name] < version {
			return "agent " + w.Name + " applies an older version"
		}
	}
	return ""
}

// checkLeaving makes a target leave and counts what it gets after the limit.
func (c *scenario) checkLeaving(ctx context.Context) {
	t := c.system.Workers[0].Target
	if !c.system.IgnoresLeave() {
		t.Leave()
	}
	pause.For(ctx, leaveLimit)
	before := t.Counts().Runs
	load, cancel := context.WithTimeout(ctx, leaveLoad)
	defer cancel()
	c.caller.run(load, 0, 2)
	var err error
	if n := t.Counts().Runs - before; n > 0 {
		err = errors.Newf("the target got %d requests more than %s after it left", n, leaveLimit)
	}
	c.report.note("Leaving", err, "a leaving target got no request after %s under load", leaveLimit)
}

// checkDrain drains a worker under load; no request may break off.
func (c *scenario) checkDrain(ctx context.Context) {
	before := c.caller.unclear()
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.caller.run(load, 0, 3) })
	drain, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	start := time.Now()
	err := c.system.Workers[1].Drain(drain)
	took := time.Since(start)
	stop()
	wg.Wait()
	if cut := c.caller.unclear()[len(before):]; len(cut) > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d requests had no clear outcome, first %s", len(cut), cut[0]))
	}
	c.report.note("GracefulShutdown", err, "an agent drained under load in %s; no request was cut off",
		took.Round(time.Millisecond))
}

func (c *scenario) checkAnswers() {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	c.report.Requests = c.caller.counts
	var err error
	if c.caller.counts.Wrong > 0 || c.caller.counts.Complete == 0 {
		err = errors.Newf("%d of %d whole answers were wrong: %v", c.caller.counts.Wrong,
			c.caller.counts.Wrong+c.caller.counts.Complete, c.caller.faults)
	}
	c.report.note("WholeAnswers", err, "%d answers were compared byte for byte", c.caller.counts.Complete)
}

func (c *scenario) checkNotRun() {
	runs := c.runs("/")
	var err error
	for _, path := range c.caller.notRun {
		if runs[path] > 0 {
			err = errors.Newf("%s was refused with NotRun and ran", path)
		}
	}
	c.report.note("NotRunIsTrue", err, "%d refused requests never reached a target", len(c.caller.notRun))
}

// checkJob waits for the end of the job and looks at when its tasks ran.
func (c *scenario) checkJob(ctx context.Context, start time.Time) error {
	job, err := c.waitJob(ctx)
	if err != nil {
		return err
	}
	c.report.Job = JobFigures{
		Tasks: job.Tasks, Done: job.Done, Failed: job.Failed, Evictions: job.Evictions,
		Took: time.Since(start).Round(time.Millisecond).String(),
	}
	if !job.Finished || int64(job.Done) != job.Tasks {
		err = errors.Newf("job is at %d of %d tasks, %d failed, finished: %v", job.Done, job.Tasks, job.Failed, job.Finished)
	}
	c.report.note("ExactlyOnce", err, "%d tasks are done, each once, after the loss of %s", job.Done, c.lost)
	var history []standworker.Interval
	for _, w := range c.system.Workers {
		history = append(history, w.Stand.History()...)
	}
	c.report.note("OnePlace", standworker.Overlap(history), "%d runs of tasks, none in two places at once", len(history))
	return nil
}

func (c *scenario) waitJob(ctx context.Context) (admin.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
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
		pause.For(ctx, pollEvery)
	}
	return last, nil
}

func (c *scenario) checkCapacity() {
	var err error
	for _, w := range c.system.Workers {
		if peak := w.Stand.Peak(); !peak.Fits(whole.Means()) {
			err = errors.Newf("worker %s was given %+v", w.Name, peak)
		}
		if n := w.Target.Counts().PeakInFlight; n > whole.Means().Slots {
			err = errors.Newf("the target of %s had %d requests in its %d slots", w.Name, n, whole.Means().Slots)
		}
	}
	c.report.note("Capacity", err, "%d workers stayed within processors, memory and slots", len(c.system.Workers))
}
