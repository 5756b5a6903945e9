package lead

import (
	"cmp"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	remoteCost   = 0.5  // of a worker away from the data, in units of load
	avoidCost    = 2.0  // of the worker where the last run of the task failed
	mixedCost    = 1.0  // of a serving task beside tasks that fill
	fillingCost  = 0.1  // of each of them
	packShare    = 0.25 // of the load of a worker that counts for a serving task, so that they share workers
	spreadCost   = 0.5  // of a serving task on a worker without serving tasks
	crowdCost    = 0.5  // of a full load of tasks that fill, for a task that takes processors from them
	trustCost    = 0.5  // of each point of distrust
	slowCost     = 1.5  // of a worker that runs tasks slower than others
	coldCost     = 0.3  // of a worker that is still slow after its start
	slowFillCost = 3.0  // of a worker on which a task that fills could not work at all
	besideCost   = 0.4  // of a worker with serving tasks, for a task that fills
	lightCost    = 0.3  // of a worker without serving tasks, for a task that would not disturb any
	lateFillLack = 0.4  // of the processors of a worker that tasks which fill may want beyond those left

	leastFillSpeed = 0.5                     // at which a task that fills is started
	idleJobLimit   = 1200 * time.Millisecond // after which a job that runs nothing starts at any speed
)

// choice is the context in which workers are chosen for the tasks of a step.
type choice struct {
	job     *job
	round   int
	step    int
	tickets map[string]string // nil when any worker may run the step
	now     time.Time
}

func (c *choice) ticket(w *worker) string { return c.tickets[w.state.Life.ID] }

func (c *choice) spec() *spec.Step { return &c.job.spec.Steps[c.step] }

// pick returns the best worker for a task, or nil when none may run it now.
func (t *Term) pick(c choice, task *task) *worker { return t.pickOnRack(c, task, "") }

// pickOnRack returns the best worker of a rack, or of all racks when rack is empty.
func (t *Term) pickOnRack(c choice, task *task, rack string) *worker {
	var best *worker
	var cost float64
	for _, w := range t.workers {
		if rack != "" && w.state.Rack != rack || !t.mayRun(c, w, task) {
			continue
		}
		if v := t.cost(c, w, task); best == nil || v < cost || v == cost && w.agent.Name < best.agent.Name {
			best, cost = w, v
		}
	}
	return best
}

// mayRun reports whether a worker may run one more task of the step.
func (t *Term) mayRun(c choice, w *worker, task *task) bool {
	s := c.spec()
	if !w.takes() || w.state.Service != c.job.spec.Service {
		return false
	}
	if s.Label != "" && !w.hasLabel(s.Label) {
		return false
	}
	if c.tickets != nil {
		if _, ok := c.tickets[w.state.Life.ID]; !ok {
			return false
		}
	}
	if !s.Holds().Fits(w.free()) {
		return false
	}
	if s.Fills && !t.fillsFit(c, w) {
		return false
	}
	if s.PerWorker > 0 && w.countOf(c.job, c.round, c.step) >= s.PerWorker {
		return false
	}
	for _, r := range task.runs {
		if r.worker == w {
			return false
		}
	}
	if w.trust.isDistrusted(c.now) {
		return t.probe(w, task, c.now)
	}
	return true
}

// fillsFit reports whether a task that fills would work at a fair speed on a worker. A job that runs nothing gets a
// place after a while at any speed.
func (t *Term) fillsFit(c choice, w *worker) bool {
	s := c.spec()
	left, wanted := w.leftover()
	if w.isStuck(c.now) || float64(left-wanted-s.Size.Processors) < -lateFillLack*float64(w.state.Capacity.Processors) {
		return false
	}
	if t.fillSpeed(w, s.Image, s.Size.Processors) >= leastFillSpeed {
		return true
	}
	return c.job.running == 0 && c.now.Sub(c.job.idleAt) > idleJobLimit
}

// probe lets a distrusted worker run a single task now and then.
func (t *Term) probe(w *worker, task *task, now time.Time) bool {
	return len(task.failed) == 0 && len(w.runs) == 0 && now.After(w.trust.probeAt)
}

// cost compares workers for a task; a unit is a full load.
func (t *Term) cost(c choice, w *worker, task *task) float64 {
	s := c.spec()
	capacity := max(1, w.state.Capacity.Processors)
	v := float64(w.used.Processors+s.Size.Processors) / float64(capacity)
	if s.Fills {
		v = float64(w.demand+s.Size.Processors) / float64(capacity)
	} else {
		v += crowdCost * float64(w.demand-w.used.Processors) / float64(capacity)
	}
	if m := w.state.Capacity.Memory; m > 0 {
		v = max(v, float64(w.used.Memory+s.Size.Memory)/float64(m))
	}
	if s.DataRack != "" && w.state.Rack != s.DataRack {
		v += remoteCost
	}
	if task.avoid == w {
		v += avoidCost
	}
	switch {
	case s.Fills:
		v += slowFillCost * (1 - t.fillSpeed(w, s.Image, s.Size.Processors))
		if w.serving == 0 {
			v += lightCost / (1 + t.press.Typical(s.Image))
		} else {
			v += besideCost
		}
	case s.Target > 0:
		v *= packShare
		if w.filling > 0 {
			v += mixedCost + fillingCost*float64(w.filling)
		}
		if w.serving == 0 {
			v += spreadCost
		}
	}
	if w.state.Cold > 0 {
		v += coldCost
	}
	v += trustCost * w.trust.value(c.now)
	v += slowCost * max(0, 1/w.trust.pace(c.now)-1)
	return v
}

// startGang starts all tasks of a gang at once, with one number, or none.
func (t *Term) startGang(c choice, ready []int, count int) bool {
	if len(ready) < count {
		return true // members that still run have to end first
	}
	racks := []string{""}
	if c.spec().OneRack {
		racks = t.racks()
	}
	for _, rack := range racks {
		if chosen := t.placeGang(c, ready, rack); chosen != nil {
			t.startMembers(c, ready, chosen)
			return true
		}
	}
	return false
}

// racks returns the racks with the most free processors first, then the empty name for any rack.
func (t *Term) racks() []string {
	free := make(map[string]int64)
	for _, w := range t.workers {
		if w.takes() {
			free[w.state.Rack] += w.free().Processors
		}
	}
	list := make([]string, 0, len(free)+1)
	for r := range free {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b))
	})
	return append(list, "")
}

// placeGang chooses a worker for each member on a rack, or on any when rack is empty; nil when they do not fit.
func (t *Term) placeGang(c choice, ready []int, rack string) []*worker {
	var placed []*run
	defer func() {
		for _, r := range placed {
			r.worker.remove(r)
		}
	}()
	chosen := make([]*worker, 0, len(ready))
	for _, i := range ready {
		w := t.pickOnRack(c, &c.job.tasks[i], rack)
		if w == nil {
			return nil
		}
		r := &run{job: c.job, ordinal: i, step: c.spec(), worker: w}
		r.key.Task, r.key.Number = c.job.name(i).String(), -1
		w.add(r)
		placed = append(placed, r)
		chosen = append(chosen, w)
	}
	return chosen
}

// startMembers starts the members of a gang with the same number and the same checkpoint.
func (t *Term) startMembers(c choice, ready []int, chosen []*worker) {
	number := 0
	saved := ""
	for _, i := range ready {
		task := &c.job.tasks[i]
		number = max(number, t.nextNumber(task))
		if task.saved > saved {
			saved = task.saved
		}
	}
	for n, i := range ready {
		c.job.tasks[i].saved = saved
		t.startNumbered(c.job, i, chosen[n], c.ticket(chosen[n]), number, c.now)
	}
}

// sortByLoad puts the workers with the most free processors first.
func sortByLoad(list []*worker) {
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().Processors, a.free().Processors), cmp.Compare(a.agent.Name, b.agent.Name))
	})
}
