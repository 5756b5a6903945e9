package lead

import (
	"cmp"
	"container/heap"
)

const (
	// baseCandidates and candidatesPerTask bound the workers that are considered for a step before the rest of the fleet.
	baseCandidates    = 32
	candidatesPerTask = 4
)

// candidate is a worker that may run a task of a step.
type candidate struct {
	worker  *worker
	cost    float64
	isSlow  bool // a best-effort task would be slower than minStartSpeed
	isProbe bool // the worker is unreliable and gets only tasks that have not failed
}

// placement chooses workers for the tasks of one step. It keeps the candidates in a heap by cost, and updates the cost
// of a worker after each task that is placed on it.
type placement struct {
	term       *Term
	step       stepContext
	candidates candidateHeap
	sampled    int // size of the sample; 0 if the rest of the fleet is not to be considered
	skipped    []candidate
}

// newPlacement returns a placement of n tasks that considers a sample of the fleet first.
func (t *Term) newPlacement(c stepContext, n int) *placement {
	p := &placement{term: t, step: c}
	if c.tickets != nil {
		p.consider(t.fleet.ticketed(c.tickets))
		return p
	}
	p.sampled = baseCandidates + candidatesPerTask*n
	p.consider(t.fleet.sample(p.sampled))
	return p
}

// consider adds the workers that may run a task of the step to the candidates.
func (p *placement) consider(workers []*worker) {
	for _, w := range workers {
		if c, ok := p.evaluate(w); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	heap.Init(&p.candidates)
}

func (p *placement) evaluate(w *worker) (candidate, bool) {
	speed, ok := p.term.mayRun(p.step, w)
	if !ok {
		return candidate{}, false
	}
	isProbe := w.reliability.isUnreliable(p.step.now)
	if isProbe && !w.mayProbe(p.step.now) {
		return candidate{}, false
	}
	return candidate{worker: w, cost: p.term.cost(p.step, w, speed), isSlow: speed < minStartSpeed, isProbe: isProbe}, true
}

// pick returns the worker with the lowest cost for a task, or nil if no worker may run it.
func (p *placement) pick(task *task) *worker {
	w := p.pickKnown(task)
	if w == nil && p.sampled > 0 {
		p.consider(p.term.fleet.others(p.sampled))
		p.sampled = 0
		w = p.pickKnown(task)
	}
	return w
}

// pickKnown returns the candidate with the lowest cost for a task. Workers on which a run of the task exists are left
// out, and the worker that the task avoids is taken only if the others cost much more.
func (p *placement) pickKnown(task *task) *worker {
	p.skipped = p.skipped[:0]
	defer func() {
		for _, c := range p.skipped {
			heap.Push(&p.candidates, c)
		}
	}()
	var avoided *candidate
	for p.candidates.Len() > 0 {
		top := p.candidates[0]
		if avoided != nil && avoided.cost+avoidCost < top.cost {
			break
		}
		if top.isSlow && p.step.admission != admitSlow && !p.step.job.isIdle(p.step.now) {
			heap.Pop(&p.candidates) // the job has got a run since the evaluation
			continue
		}
		switch {
		case top.isProbe && task.failures() > 0 || task.runsOn(top.worker) || p.mayEndJob(task, top.worker):
		case top.worker == task.avoid:
			avoided = &top
		default:
			return top.worker
		}
		p.skipped = append(p.skipped, heap.Pop(&p.candidates).(candidate))
	}
	if avoided != nil {
		return avoided.worker
	}
	return nil
}

// mayEndJob reports whether a run on the worker where a task has just failed could use up the attempts of its job.
func (p *placement) mayEndJob(task *task, w *worker) bool {
	isLast := task.failures() > 0 && task.failures() >= p.step.job.spec.MaxAttempts-1
	return isLast && w == task.avoid && p.step.now.Before(task.avoidUntil)
}

// update evaluates a worker again after a task was placed on it.
func (p *placement) update(w *worker) {
	for i := range p.candidates {
		if p.candidates[i].worker != w {
			continue
		}
		if c, ok := p.evaluate(w); ok {
			p.candidates[i] = c
			heap.Fix(&p.candidates, i)
		} else {
			heap.Remove(&p.candidates, i)
		}
		return
	}
}

// candidateHeap implements heap.Interface, the lowest cost first.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(h[i].cost, h[k].cost), cmp.Compare(h[i].worker.agent.Name, h[k].worker.agent.Name)) < 0
}

func (h candidateHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(v any) { *h = append(*h, v.(candidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
