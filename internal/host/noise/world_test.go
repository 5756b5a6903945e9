package noise_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/host/noise"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

const (
	processors = 16000
	need       = 2000 // of each task
	taskSlots  = 8
	tick       = 100 * time.Millisecond
	callTime   = 200 * time.Millisecond // until a limit takes effect
	evictTime  = time.Second
	saveEvery  = 20 * time.Second
	topRate    = 120.0 // requests/s
)

// profile is by how much a class slows the service: the log slowdown by tasks that use all processors, and the part of
// it that comes with their memory, which a throttle does not change. Both depend on the load (0 to 1).
type profile func(class string, load float64) (byUse, byMemory float64)

// world is a worker with one service and batch tasks, as the controller sees it.
type world struct {
	rng      *rand.Rand
	now      time.Time
	sleep    func(time.Duration)
	control  *noise.Controller // nil for none
	lag      time.Duration
	rate     func(since time.Duration) float64
	effects  profile
	classes  []string // of new tasks, chosen at random; empty for no batch
	byLoad   float64  // by how much the full load alone slows the service
	limit    int64    // fixed, of every task; 0 for none
	tasks    []*task
	started  uint32
	requests []noise.Request // in order of their end
	runs     []float64       // run times of all requests, in s
	progress float64         // processor seconds of batch, less what evictions lost
	actions  []noise.Action
	actedAt  []time.Time
}

type task struct {
	ref                worker.Ref
	class              string
	left               float64 // s of work at full speed
	unsaved            float64
	limits             []change
	startAt, endAt     time.Time
	finished, evicting bool
}

type change struct {
	at    time.Time
	limit int64
}

func newWorld(now time.Time, seed uint64, lag time.Duration, effects profile) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: now, lag: lag, effects: effects, byLoad: 0.6}
	w.sleep = func(d time.Duration) { w.now = w.now.Add(d) }
	w.rate = func(time.Duration) float64 { return topRate / 2 }
	return w
}

// used returns the processors that a task used at a time.
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

func (w *world) running() []*task {
	return slices.DeleteFunc(slices.Clone(w.tasks), func(t *task) bool { return t.finished })
}

func (w *world) start(class string) {
	t := &task{class: class, startAt: w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)}
	t.ref = worker.Ref{Task: ident.Task{Job: ident.Job(class), Index: w.started}, Attempt: 1}
	t.left = 30 + 60*w.rng.Float64()
	if w.rng.IntN(20) == 0 {
		t.left *= 10 // a straggler
	}
	if w.limit > 0 {
		t.limits = []change{{w.now, w.limit}}
	}
	w.started++
	w.tasks = append(w.tasks, t)
}

// run lets time pass; begin is the time from which the rate counts.
func (w *world) run(begin time.Time, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.sleep(tick)
		load := w.rate(w.now.Sub(begin)) / topRate
		w.work()
		w.serve(load)
		if w.control != nil && w.now.Sub(begin)%time.Second == 0 {
			w.decide()
		}
	}
}

// work lets the tasks make progress, ends those that are through, and starts others in their place.
func (w *world) work() {
	for _, t := range w.running() {
		step := tick.Seconds() * float64(t.used(w.now)) / need
		if t.evicting && !w.now.Before(t.endAt) {
			t.finished = true
			w.progress -= t.unsaved * need / 1000
			continue
		}
		t.left -= step
		w.progress += step * need / 1000
		if t.unsaved += step; t.unsaved > saveEvery.Seconds() {
			t.unsaved = 0
		}
		if t.left <= 0 {
			t.finished, t.endAt = true, w.now
		}
	}
	w.tasks = slices.DeleteFunc(w.tasks, func(t *task) bool { return t.finished && w.now.Sub(t.endAt) > 30*time.Second })
	for n := len(w.running()); n < taskSlots && len(w.classes) > 0; n++ {
		w.start(w.classes[w.rng.IntN(len(w.classes))])
	}
}

// serve runs the requests of one tick. The draws do not depend on batch, so that runs with one seed compare.
func (w *world) serve(load float64) {
	slow := 0.0
	for _, t := range w.running() {
		byUse, byMemory := w.effects(t.class, load)
		slow += byUse * float64(t.used(w.now)) / processors
		if t.used(w.now) > 0 {
			slow += byMemory * need / processors
		}
	}
	draw := rand.New(rand.NewPCG(uint64(w.now.UnixNano()), 7))
	for wait := draw.ExpFloat64(); ; wait += draw.ExpFloat64() {
		offset := wait / (load * topRate)
		if offset > tick.Seconds() {
			break
		}
		run := 0.02 * math.Exp(0.35*draw.NormFloat64()+slow) * (1 + w.byLoad*load*load)
		begin := w.now.Add(time.Duration(offset * float64(time.Second)))
		w.requests = append(w.requests, noise.Request{Service: "booking", Started: begin,
			Ended: begin.Add(time.Duration(run * float64(time.Second)))})
		w.runs = append(w.runs, run)
	}
}

// decide shows the controller what has become known and carries out its actions.
func (w *world) decide() {
	for len(w.requests) > 0 && !w.requests[0].Ended.Add(w.lag).After(w.now) {
		w.control.Observe(w.now, w.requests[0])
		w.requests = w.requests[1:]
	}
	var list []noise.Task
	for _, t := range w.running() {
		list = append(list, noise.Task{Ref: t.ref, Class: t.class, Need: need, Limit: t.limit(w.now),
			Used:     t.used(w.now.Add(-w.lag)),
			Measured: w.now.Add(-w.lag), Unsaved: time.Duration(t.unsaved * float64(time.Second)), Ending: t.evicting})
	}
	w.control.SetTasks(w.now, list)
	for _, a := range w.control.Decide(w.now) {
		w.actions, w.actedAt = append(w.actions, a), append(w.actedAt, w.now)
		for _, t := range w.running() {
			switch {
			case t.ref != a.Ref:
			case a.Kind == noise.Evict:
				t.evicting, t.endAt = true, w.now.Add(evictTime)
			default:
				t.limits = append(t.limits, change{w.now.Add(callTime), a.Processors})
			}
		}
	}
}

// count returns the number of actions of a kind on a class; an empty class stands for all.
func (w *world) count(k noise.Kind, class string) int {
	n := 0
	for _, a := range w.actions {
		if a.Kind == k && (class == "" || a.Class == class) {
			n++
		}
	}
	return n
}
