package interf_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/host/interf"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

const (
	processors = 16000
	need       = 2000 // processors of each task
	taskSlots  = 8
	tick       = 100 * time.Millisecond
	callTime   = 200 * time.Millisecond // until a limit takes effect
	evictTime  = time.Second
	saveEvery  = 20 * time.Second
	topRate    = 120.0 // requests/s
)

// profile returns the interference of a class with the service as the log slowdown by tasks that use all processors,
// and the additional part by their memory, which a throttle does not change. Both depend on the load (0 to 1).
type profile func(class string, load float64) (byUse, byMemory float64)

// fixture simulates a worker with one service and batch tasks for a controller.
type fixture struct {
	rng          *rand.Rand
	now          time.Time
	sleep        func(time.Duration)
	controller   *interf.Controller // nil for none
	lag          time.Duration
	rate         func(since time.Duration) float64
	effects      profile
	classes      []string // of new tasks, chosen at random; empty for no batch tasks
	loadSlowdown float64  // relative slowdown of the service by the full load alone
	limit        int64    // of every task, constant; 0 for none
	tasks        []*task
	started      uint32
	requests     []interf.Request // sorted by end
	runs         []float64        // run times of all requests, in s
	progress     float64          // processor seconds of batch tasks, without those lost by evictions
	actions      []interf.Action
	actedAt      []time.Time
}

type task struct {
	ref                worker.Ref
	class              string
	remaining          float64 // s of work at full speed
	unsaved            float64
	limits             []change
	startAt, endAt     time.Time
	finished, evicting bool
}

type change struct {
	at    time.Time
	limit int64
}

func newFixture(now time.Time, seed uint64, lag time.Duration, effects profile) *fixture {
	f := &fixture{rng: rand.New(rand.NewPCG(seed, 1)), now: now, lag: lag, effects: effects, loadSlowdown: 0.6}
	f.sleep = func(d time.Duration) { f.now = f.now.Add(d) }
	f.rate = func(time.Duration) float64 { return topRate / 2 }
	return f
}

// used returns the processors that a task uses at a time.
func (t *task) used(at time.Time) int64 {
	if at.Before(t.startAt) || !t.endAt.IsZero() && !at.Before(t.endAt) {
		return 0
	}
	if limit := t.limit(at); limit > 0 {
		return min(need, limit)
	}
	return need
}

// limit returns the limit in force at a time.
func (t *task) limit(at time.Time) (limit int64) {
	for _, c := range t.limits {
		if !c.at.After(at) {
			limit = c.limit
		}
	}
	return limit
}

func (f *fixture) running() []*task {
	return slices.DeleteFunc(slices.Clone(f.tasks), func(t *task) bool { return t.finished })
}

func (f *fixture) start(class string) {
	t := &task{class: class, startAt: f.now.Add(time.Duration(f.rng.IntN(2000)) * time.Millisecond)}
	t.ref = worker.Ref{Task: ident.Task{Job: ident.Job(class), Index: f.started}, Attempt: 1}
	t.remaining = 30 + 60*f.rng.Float64()
	if f.rng.IntN(20) == 0 {
		t.remaining *= 10 // a straggler
	}
	if f.limit > 0 {
		t.limits = []change{{f.now, f.limit}}
	}
	f.started++
	f.tasks = append(f.tasks, t)
}

// run advances the simulation by d; the rate is evaluated relative to begin.
func (f *fixture) run(begin time.Time, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.sleep(tick)
		load := f.rate(f.now.Sub(begin)) / topRate
		f.runTasks()
		f.runRequests(load)
		if f.controller != nil && f.now.Sub(begin)%time.Second == 0 {
			f.decide()
		}
	}
}

// runTasks advances the tasks by one tick, ends finished ones, and starts others to replace them.
func (f *fixture) runTasks() {
	for _, t := range f.running() {
		step := tick.Seconds() * float64(t.used(f.now)) / need
		if t.evicting && !f.now.Before(t.endAt) {
			t.finished = true
			f.progress -= t.unsaved * need / 1000
			continue
		}
		t.remaining -= step
		f.progress += step * need / 1000
		if t.unsaved += step; t.unsaved > saveEvery.Seconds() {
			t.unsaved = 0
		}
		if t.remaining <= 0 {
			t.finished, t.endAt = true, f.now
		}
	}
	f.tasks = slices.DeleteFunc(f.tasks, func(t *task) bool { return t.finished && f.now.Sub(t.endAt) > 30*time.Second })
	for n := len(f.running()); n < taskSlots && len(f.classes) > 0; n++ {
		f.start(f.classes[f.rng.IntN(len(f.classes))])
	}
}

// runRequests simulates the requests of one tick. Random draws do not depend on batch tasks, so that runs with the same
// seed are comparable.
func (f *fixture) runRequests(load float64) {
	slow := 0.0
	for _, t := range f.running() {
		byUse, byMemory := f.effects(t.class, load)
		slow += byUse * float64(t.used(f.now)) / processors
		if t.used(f.now) > 0 {
			slow += byMemory * need / processors
		}
	}
	draw := rand.New(rand.NewPCG(uint64(f.now.UnixNano()), 7))
	for wait := draw.ExpFloat64(); ; wait += draw.ExpFloat64() {
		offset := wait / (load * topRate)
		if offset > tick.Seconds() {
			break
		}
		run := 0.02 * math.Exp(0.35*draw.NormFloat64()+slow) * (1 + f.loadSlowdown*load*load)
		begin := f.now.Add(time.Duration(offset * float64(time.Second)))
		f.requests = append(f.requests, interf.Request{Service: "booking", Started: begin,
			Ended: begin.Add(time.Duration(run * float64(time.Second)))})
		f.runs = append(f.runs, run)
	}
}

// decide passes the measurements up to the lag to the controller and applies its actions.
func (f *fixture) decide() {
	for len(f.requests) > 0 && !f.requests[0].Ended.Add(f.lag).After(f.now) {
		f.controller.Observe(f.now, f.requests[0])
		f.requests = f.requests[1:]
	}
	var list []interf.Task
	for _, t := range f.running() {
		list = append(list, interf.Task{Ref: t.ref, Class: t.class, Need: need, Limit: t.limit(f.now),
			Used:     t.used(f.now.Add(-f.lag)),
			Measured: f.now.Add(-f.lag), Unsaved: time.Duration(t.unsaved * float64(time.Second)), Ending: t.evicting})
	}
	f.controller.SetTasks(f.now, list)
	for _, a := range f.controller.Decide(f.now) {
		f.actions, f.actedAt = append(f.actions, a), append(f.actedAt, f.now)
		for _, t := range f.running() {
			switch {
			case t.ref != a.Ref:
			case a.Kind == interf.Evict:
				t.evicting, t.endAt = true, f.now.Add(evictTime)
			default:
				t.limits = append(t.limits, change{f.now.Add(callTime), a.Processors})
			}
		}
	}
}

// count returns the number of actions of a kind on a class; an empty class counts all.
func (f *fixture) count(k interf.Kind, class string) int {
	n := 0
	for _, a := range f.actions {
		if a.Kind == k && (class == "" || a.Class == class) {
			n++
		}
	}
	return n
}
