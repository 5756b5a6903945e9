package noise

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// DefaultBound is the tail that a service may have beside batch tasks, as a multiple of its quiet tail.
const DefaultBound = 1.2

const (
	bucketSpan    = time.Second // requests are grouped by the second of their start
	maxServices   = 16          // bounds the memory; a worker has far fewer
	maxClasses    = 8           // learned apart per worker; further ones share the last place
	historySize   = 128         // snapshots; at two a second they cover a minute
	maxRunTime    = 10 * time.Second
	firstLag      = time.Second
	maxLag        = 20 * time.Second
	lagDecay      = 0.995           // per Decide, so that one late measurement does not slow the controller for ever
	confirmTime   = 6 * time.Second // for a limit to be reported by the worker: a call takes up to 5 s
	requestMargin = 500 * time.Millisecond
)

// Config is what a Controller needs.
type Config struct {
	Processors int64   // of the worker, in thousandths
	Bound      float64 // as DefaultBound, which stands for 0; more than 1
}

// Request is a finished request; it may be observed long after its end.
type Request struct {
	Service string
	Started time.Time
	Ended   time.Time
}

// Task is an attempt that runs on the worker.
type Task struct {
	worker.Ref
	Class    string
	Need     int64         // processors that it uses without a limit, in thousandths
	Limit    int64         // as the worker reports it, in thousandths; 0 for none
	Used     int64         // processors as measured at Measured, in thousandths
	Measured time.Time     // zero before the first measurement
	Unsaved  time.Duration // run time since its last checkpoint
	Ending   bool          // it is being stopped or evicted already
}

//go:generate stringer -type Kind -output kind_string.go

// Kind is what an action does.
type Kind int

// Kinds of actions.
const (
	Throttle Kind = iota + 1 // limits the processors of a task, or lowers its limit
	Restore                  // raises the limit of a task or removes it
	Measure                  // holds a task back for seconds, to learn the quiet tail of a service
	Evict                    // writes a checkpoint of a task and stops it
)

// Action is one change to a task.
type Action struct {
	Kind       Kind
	Ref        worker.Ref
	Class      string
	Service    string  // for whose sake; empty for Restore
	Processors int64   // the limit, in thousandths; 0 for none
	Slowdown   float64 // measured or predicted tail of the service as a multiple of its quiet tail; 0 when unknown
}

// Controller decides about the tasks of one worker. It is not safe for concurrent use.
type Controller struct {
	cfg      Config
	lag      time.Duration // largest recent age of a measurement
	services map[string]*service
	classes  [maxClasses]class
	tasks    []Task
	ended    []ended // whose usage is not in the history yet
	given    map[worker.Ref]grant
	history  []usage // oldest first

	heldUntil   time.Time // the last action shows in no measurement before
	changedAt   time.Time // of the last action
	calmSince   time.Time // zero while a service is not calm
	evictedAt   time.Time
	measuring   *service // batch is held back to learn its quiet tail
	measureEnds time.Time
	nextMeasure time.Time
}

// class is a job class with tasks on the worker, now or before.
type class struct {
	name    string // empty while the place is free
	tasks   int
	need    float64 // share of the worker's processors that its tasks use without a limit
	budget  float64 // share of the worker's processors that they may use; below 0 for no limit
	tightAt time.Time
	seenAt  time.Time
}

// grant is the limit of a task and when it was last set.
type grant struct {
	limit int64 // in thousandths; 0 for none
	at    time.Time
}

// ended is a task that is no longer listed. Measurements are older than the list, so they would miss what it used before.
type ended struct {
	at    time.Time
	class string
	used  float64
}

// usage is what each class used at a time, as a share of the worker's processors.
type usage struct {
	at   time.Time
	used vector
}

// New returns a controller that knows nothing of services or classes.
func New(cfg Config) *Controller {
	if cfg.Bound <= 1 {
		cfg.Bound = DefaultBound
	}
	cfg.Processors = max(cfg.Processors, 1)
	c := &Controller{cfg: cfg, lag: firstLag, services: make(map[string]*service), given: make(map[worker.Ref]grant)}
	for i := range c.classes {
		c.classes[i].budget = noBudget
	}
	return c
}

// Observe takes over a finished request that became known at the time now. Requests that ran longer than 10 s are left
// out: their run time says more about the work asked for than about interference.
func (c *Controller) Observe(now time.Time, r Request) {
	run := r.Ended.Sub(r.Started)
	if run <= 0 || run > maxRunTime {
		return
	}
	c.noteLag(now.Sub(r.Ended))
	s, ok := c.services[r.Service]
	if !ok {
		if len(c.services) >= maxServices && !c.forgetService(now) {
			return
		}
		s = newService(r.Service)
		c.services[r.Service] = s
	}
	s.add(now, r.Started, run)
}

func (c *Controller) noteLag(age time.Duration) { c.lag = min(max(c.lag, age), maxLag) }

// forgetService makes room for a new service when one has had no traffic for long.
func (c *Controller) forgetService(now time.Time) bool {
	for name, s := range c.services {
		if now.Sub(s.seenAt) > forgetAfter {
			delete(c.services, name)
			return true
		}
	}
	return false
}

// SetTasks replaces the list of the tasks that run on the worker at the time now.
func (c *Controller) SetTasks(now time.Time, tasks []Task) {
	c.noteEnded(now, tasks)
	c.tasks = append(c.tasks[:0], tasks...)
	for i := range c.classes {
		c.classes[i].tasks, c.classes[i].need = 0, 0
	}
	held := make(map[worker.Ref]grant, len(tasks))
	u := usage{at: now}
	for i := range c.tasks {
		t := &c.tasks[i]
		g, ok := c.given[t.Ref]
		if !ok || now.Sub(g.at) > confirmTime {
			g.limit = t.Limit // the call failed, or an earlier agent set the limit
		}
		held[t.Ref] = g
		n := c.place(now, t.Class)
		k := &c.classes[n]
		k.tasks++
		k.seenAt = now
		k.need += c.share(t.Need)
		if t.Measured.IsZero() {
			continue
		}
		c.noteLag(now.Sub(t.Measured))
		if t.Measured.Before(u.at) {
			u.at = t.Measured
		}
		u.used[n] += c.share(t.Used)
	}
	c.given = held
	left := c.ended[:0]
	for _, e := range c.ended {
		if u.at.Before(e.at) {
			u.used[c.place(now, e.class)] += e.used
			left = append(left, e)
		}
	}
	c.ended = left
	c.note(u)
}

// noteEnded keeps what the tasks used that were listed before and are not listed any more.
func (c *Controller) noteEnded(now time.Time, tasks []Task) {
	listed := make(map[worker.Ref]bool, len(tasks))
	for _, t := range tasks {
		listed[t.Ref] = true
	}
	for _, t := range c.tasks {
		if !listed[t.Ref] && !t.Measured.IsZero() && len(c.ended) < historySize {
			c.ended = append(c.ended, ended{now, t.Class, c.share(t.Used)})
		}
	}
}

func (c *Controller) share(processors int64) float64 {
	return float64(processors) / float64(c.cfg.Processors)
}

// note adds to the history of usage, which stays in order of time.
func (c *Controller) note(u usage) {
	if n := len(c.history); n > 0 && !u.at.After(c.history[n-1].at) {
		return
	}
	if len(c.history) == historySize {
		copy(c.history, c.history[1:])
		c.history = c.history[:historySize-1]
	}
	c.history = append(c.history, u)
}

// usedFrom returns what the classes used on average between two times. It reports false where the history has a gap or
// the usage changed: samples do not say when in between, and the slowdown would be put on the wrong class.
func (c *Controller) usedFrom(from, to time.Time) (vector, bool) {
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
	return sum, n > 0 && change <= steadyUsage
}

// place returns the index of a class. A class without tasks gives its place, and what was learned of it, to a new one.
func (c *Controller) place(now time.Time, name string) int {
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
	c.classes[oldest] = class{name: name, budget: noBudget, seenAt: now}
	for _, s := range c.services {
		s.forgetClass(oldest)
	}
	for i := range c.history {
		c.history[i].used[oldest] = 0
	}
	return oldest
}

// Effect returns by how much a task of a class that uses all processors is expected to slow a service at its present
// load, as a factor; 1 when nothing is known.
func (c *Controller) Effect(service, name string) float64 {
	s := c.services[service]
	for i := range c.classes {
		if s != nil && c.classes[i].name == name && s.model(s.band).sure(i) {
			return exp(s.model(s.band).mean[i])
		}
	}
	return 1
}

// Lag returns the age of measurements that the controller waits out.
func (c *Controller) Lag() time.Duration { return c.lag }
