package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Link is a session to an agent or an entry.
type Link interface {
	Send(m wire.Message) error
	Close(err error)
}

// worker is the leader's view of one agent and its worker.
type worker struct {
	agent    rows.Agent
	rowVer   uint64
	link     Link // nil while disconnected
	state    wire.WorkerState
	seenAt   time.Time // when the state was told
	complete bool      // this session has brought a complete report of this life
	heard    bool      // a complete report was heard under this leader, or the lease of earlier runs has ended
	grantAt  time.Time // of the last lease granted
	lostAt   time.Time // of the loss of the session
	runs     map[wire.Run]*run
	used     sizes.Resources       // capacity held by runs
	demand   int64                 // processors that runs could use, thousandths, with tasks that fill
	serving  int                   // runs of serving tasks
	filling  int                   // runs of tasks that fill
	strays   map[wire.Run]struct{} // runs of jobs that are not known, of unknown size, in the last complete report
	orders   uint64                // number of the last orders sent
	out      *wire.TaskOrders
	seenEnd  uint64 // highest end taken
	safeEnd  uint64 // highest end whose effects are durable
	noted    uint64 // highest end that the agent was told to forget
	trust    trust
	stuckAt  time.Time              // since when serving tasks do not answer; zero while they do
	pressed  map[press.Pair]float64 // weights by image that the agent was told
}

func newWorker(a rows.Agent, version uint64) *worker {
	return &worker{agent: a, rowVer: version, runs: make(map[wire.Run]*run)}
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.state.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// takes reports whether new runs may be ordered.
func (w *worker) takes() bool {
	return w.link != nil && w.complete && len(w.strays) == 0 && w.state.Phase == wire.WorkerReady && w.state.Healthy
}

func (w *worker) add(r *run) {
	w.runs[r.key] = r
	w.used = w.used.Plus(r.step.Holds())
	w.demand += r.step.Size.Processors
	if r.step.Target > 0 {
		w.serving++
	}
	if r.step.Fills {
		w.filling++
	}
}

func (w *worker) remove(r *run) {
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	w.used = w.used.Minus(r.step.Holds())
	w.demand -= r.step.Size.Processors
	if r.step.Target > 0 {
		w.serving--
	}
	if r.step.Fills {
		w.filling--
	}
}

// free returns the capacity that no run holds.
func (w *worker) free() sizes.Resources { return w.state.Capacity.Minus(w.used) }

// countOf returns how many runs of a step in a round are on the worker.
func (w *worker) countOf(j *job, round, step int) int {
	n := 0
	first, end := j.span(round, step)
	for _, r := range w.runs {
		if r.job == j && r.ordinal >= first && r.ordinal < end {
			n++
		}
	}
	return n
}

// outgoing returns the orders that the next flush sends.
func (w *worker) outgoing() *wire.TaskOrders {
	if w.out == nil {
		w.out = &wire.TaskOrders{Life: w.state.Life}
	}
	return w.out
}

func traitOf(r *run) wire.RunTrait {
	return wire.RunTrait{Run: r.key, Size: r.step.Size.Processors, Target: r.step.Target, Fills: r.step.Fills, Image: r.step.Image}
}

// pair identifies a step of a round.
type pair struct {
	job   spec.ID
	round int
	step  int
}
