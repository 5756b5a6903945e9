package interf

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// DefaultBound limits the tail latency of a service next to batch tasks, as a multiple of its tail latency without them
// (its baseline).
const DefaultBound = 1.2

const (
	bucketSpan    = time.Second // requests are grouped by the second of their start
	maxServices   = 16          // limits the memory; a worker has far fewer
	maxClasses    = 8           // tracked separately per worker; others share the last index
	historySize   = 128         // snapshots; at two a second they cover a minute
	maxRunTime    = 10 * time.Second
	minLag        = time.Second
	maxLag        = 20 * time.Second
	lagDecay      = 0.995                  // per Decide, so that one late measurement has no lasting effect
	confirmTime   = 6 * time.Second        // until the worker reports a limit: a call takes up to 5 s
	requestMargin = 500 * time.Millisecond // allowance for requests that end after a period
)

// Config holds the settings of a Controller.
type Config struct {
	Processors int64   // of the worker, in thousandths
	Bound      float64 // as DefaultBound, which replaces values up to 1
}

// Request is a finished request.
type Request struct {
	Service string
	Started time.Time
	Ended   time.Time
}

// Task is an attempt that is running on the worker.
type Task struct {
	worker.Ref
	Class    string
	Need     int64         // processors used without a limit, in thousandths
	Limit    int64         // as the worker reports it, in thousandths; 0 for none
	Used     int64         // processors in use at the time Measured, in thousandths
	Measured time.Time     // zero before the first measurement
	Unsaved  time.Duration // run time since its last checkpoint
	Ending   bool          // true while it is being stopped or evicted
}

//go:generate stringer -type Kind -output kind_string.go

// Kind is the kind of an action.
type Kind int

// Kinds of actions.
const (
	Throttle Kind = iota + 1 // limits the processors of a task, or lowers its limit
	Restore                  // raises the limit of a task or removes it
	Measure                  // throttles a task for some seconds to measure the baseline of a service
	Evict                    // checkpoints and stops a task
)

// Action is one change to a task.
type Action struct {
	Kind       Kind
	Ref        worker.Ref
	Class      string
	Service    string  // that the action protects; empty for Restore
	Processors int64   // the limit, in thousandths; 0 for none
	Slowdown   float64 // measured or predicted tail latency of the service relative to its baseline; 0 if unknown
}

// Controller controls the tasks of one worker; it is not safe for concurrent use.
type Controller struct {
	cfg        Config
	lag        time.Duration // largest recent age of a measurement
	services   map[string]*service
	classes    [maxClasses]class
	tasks      []Task
	endedTasks []endedTask // whose usage is not in the history yet
	limits     map[worker.Ref]appliedLimit
	history    []usage // oldest first

	waitUntil   time.Time // measurements until then do not show the last action
	changedAt   time.Time // of the last action
	slackSince  time.Time // zero while a service has no slack
	evictedAt   time.Time
	measuring   *service // whose baseline is being measured while batch tasks are throttled; nil if none
	measureEnds time.Time
	nextMeasure time.Time
}

// class is a job class that has or had tasks on the worker.
type class struct {
	name       string // empty if the index is unused
	tasks      int
	need       float64 // share of the worker's processors that its tasks use without a limit
	budget     float64 // share of the worker's processors that its tasks may use; below 0 for no limit
	tightSince time.Time
	seenAt     time.Time
}

// appliedLimit is the limit of a task and the time when it was last set.
type appliedLimit struct {
	limit int64 // in thousandths; 0 for none
	at    time.Time
}

// endedTask is a task that is no longer listed. Measurements are older than the list of tasks, so without it the usage
// history would miss the task.
type endedTask struct {
	at    time.Time
	class string
	used  float64
}

// usage is the usage of each class at a time, as a share of the worker's processors.
type usage struct {
	at   time.Time
	used vector
}

// New returns a controller without measurements.
func New(cfg Config) *Controller {
	if cfg.Bound <= 1 {
		cfg.Bound = DefaultBound
	}
	cfg.Processors = max(cfg.Processors, 1)
	c := &Controller{cfg: cfg, lag: minLag, services: make(map[string]*service), limits: make(map[worker.Ref]appliedLimit)}
	for i := range c.classes {
		c.classes[i].budget = unlimited
	}
	return c
}

// Observe records a finished request that became known at the time now, which may be long after its end. It ignores
// requests that ran longer than 10 s: their run time depends more on the requested work than on interference.
func (c *Controller) Observe(now time.Time, r Request) {
	run := r.Ended.Sub(r.Started)
	if run <= 0 || run > maxRunTime {
		return
	}
	c.recordLag(now.Sub(r.Ended))
	s, ok := c.services[r.Service]
	if !ok {
		if len(c.services) >= maxServices && !c.dropIdleService(now) {
			return
		}
		s = newService(r.Service)
		c.services[r.Service] = s
	}
	s.add(now, r.Started, run)
}

func (c *Controller) recordLag(age time.Duration) { c.lag = min(max(c.lag, age), maxLag) }

// dropIdleService removes a service that has had no traffic for dropAfter, and reports whether there was one.
func (c *Controller) dropIdleService(now time.Time) bool {
	for name, s := range c.services {
		if now.Sub(s.seenAt) > dropAfter {
			delete(c.services, name)
			return true
		}
	}
	return false
}

// SetTasks replaces the list of tasks that are running on the worker at the time now.
func (c *Controller) SetTasks(now time.Time, tasks []Task) {
	c.recordEnded(now, tasks)
	c.tasks = append(c.tasks[:0], tasks...)
	for i := range c.classes {
		c.classes[i].tasks, c.classes[i].need = 0, 0
	}
	limits := make(map[worker.Ref]appliedLimit, len(tasks))
	u := usage{at: now}
	for i := range c.tasks {
		t := &c.tasks[i]
		applied, ok := c.limits[t.Ref]
		if !ok || now.Sub(applied.at) > confirmTime {
			applied.limit = t.Limit // the call failed, or the agent was restarted after setting the limit
		}
		limits[t.Ref] = applied
		n := c.classIndex(now, t.Class)
		k := &c.classes[n]
		k.tasks++
		k.seenAt = now
		k.need += c.share(t.Need)
		if t.Measured.IsZero() {
			continue
		}
		c.recordLag(now.Sub(t.Measured))
		if t.Measured.Before(u.at) {
			u.at = t.Measured
		}
		u.used[n] += c.share(t.Used)
	}
	c.limits = limits
	remaining := c.endedTasks[:0]
	for _, e := range c.endedTasks {
		if u.at.Before(e.at) {
			u.used[c.classIndex(now, e.class)] += e.used
			remaining = append(remaining, e)
		}
	}
	c.endedTasks = remaining
	c.addUsage(u)
}

// recordEnded saves the usage of tasks that are no longer listed.
func (c *Controller) recordEnded(now time.Time, tasks []Task) {
	listed := make(map[worker.Ref]bool, len(tasks))
	for _, t := range tasks {
		listed[t.Ref] = true
	}
	for _, t := range c.tasks {
		if !listed[t.Ref] && !t.Measured.IsZero() && len(c.endedTasks) < historySize {
			c.endedTasks = append(c.endedTasks, endedTask{now, t.Class, c.share(t.Used)})
		}
	}
}

func (c *Controller) share(processors int64) float64 {
	return float64(processors) / float64(c.cfg.Processors)
}

// addUsage appends to the usage history, which is sorted by time.
func (c *Controller) addUsage(u usage) {
	if n := len(c.history); n > 0 && !u.at.After(c.history[n-1].at) {
		return
	}
	if len(c.history) == historySize {
		copy(c.history, c.history[1:])
		c.history = c.history[:historySize-1]
	}
	c.history = append(c.history, u)
}

// averageUsage returns the average usage of the classes between two times. It reports false if the history has a gap or
// the usage changed: the time of a change between two samples is unknown, so the slowdown could be attributed to the
// wrong class.
func (c *Controller) averageUsage(from, to time.Time) (vector, bool) {
	var sum, low, high vector
	n, near := 0, 0
	for _, u := range c.history {
		if u.at.Before(from.Add(-bucketSpan)) || u.at.After(to.Add(requestMargin)) {
			continue
		}
		for i, x := range u.used {
			if near == 0 {
				low[i], high[i] = x, x
			}
			low[i], high[i] = min(low[i], x), max(high[i], x)
		}
		near++
		if !u.at.Before(from) && u.at.Before(to) {
			n++
			for i, x := range u.used {
				sum[i] += x
			}
		}
	}
	change := 0.0
	for i := range sum {
		sum[i] /= float64(max(n, 1))
		change += high[i] - low[i]
	}
	return sum, n > 0 && change <= maxUsageChange
}

// classIndex returns the index of a class. A new class replaces one that has had no tasks for maxLag, whose estimates
// are reset, or shares the last index if there is none.
func (c *Controller) classIndex(now time.Time, name string) int {
	oldest := -1
	for i := range c.classes {
		k := &c.classes[i]
		if k.name == name && !k.seenAt.IsZero() {
			return i
		}
		if !k.seenAt.Equal(now) && (oldest < 0 || k.seenAt.Before(c.classes[oldest].seenAt)) {
			oldest = i
		}
	}
	if oldest < 0 || now.Sub(c.classes[oldest].seenAt) < maxLag {
		return maxClasses - 1
	}
	c.classes[oldest] = class{name: name, budget: unlimited, seenAt: now}
	for _, s := range c.services {
		s.resetClass(oldest)
	}
	for i := range c.history {
		c.history[i].used[oldest] = 0
	}
	return oldest
}

// ExpectedSlowdown returns the factor by which a class that uses all processors is expected to slow a service at its
// current load; 1 if nothing is known.
func (c *Controller) ExpectedSlowdown(service, name string) float64 {
	s := c.services[service]
	for i := range c.classes {
		if s != nil && c.classes[i].name == name && s.model(s.band).isSignificant(i) {
			return exp(s.model(s.band).mean[i])
		}
	}
	return 1
}

// Lag returns the delay of measurements that the controller assumes.
func (c *Controller) Lag() time.Duration { return c.lag }
