package lead

import (
	"container/list"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// maxUnconfirmed is the largest number of runs on a worker whose start no report has confirmed yet, without those of gangs, which
// start together. An agent queues its starts, so that later ones, which may be more urgent, would wait behind all of them.
const maxUnconfirmed = 256

// Link is a session with an agent or an entry.
type Link interface {
	// Send queues a message; it returns an error if the session is closed or its queue is full.
	Send(m wire.Message) error
	// Close closes the session; err is the reason.
	Close(err error)
}

// worker is the leader's view of an agent and its worker.
type worker struct {
	agent          rows.Agent
	rowVersion     uint64 // of the agent's row
	link           Link   // nil while disconnected
	state          wire.WorkerState
	stateAt        time.Time          // when state was reported
	reportedAt     time.Time          // when the last complete report arrived
	synced         bool               // a complete report for this worker incarnation has arrived in this session
	agentClock     int64              // reading of the agent's clock in its last report in this session, ms; 0 before
	agentClockAt   time.Time          // when that report arrived
	parts          []*wire.ReportPart // of a report whose last message has not arrived
	reconciled     bool               // no unknown run of an earlier leader can be left on the worker
	leaseEnd       time.Time          // when the lease has certainly expired; zero if this leader has granted none
	former         formerLease
	lostAt         time.Time // when the last session was lost
	runs           map[wire.Run]*run
	used           sizes.Resources       // capacity reserved by runs
	demand         int64                 // processors requested by all runs including best-effort ones, in thousandths
	serving        int                   // number of serving runs
	bestEffort     int                   // number of best-effort runs
	unconfirmed    int                   // number of runs that no complete report has listed
	unknownRuns    map[wire.Run]struct{} // unexpected runs in the last complete report, whose size may not be known
	suspectRuns    map[wire.Run]bool     // released for an expired lease while their start was unconfirmed; true if a cancel was sent
	withheldAt     time.Time             // since when reports of this session show that the worker may get no runs; zero if it may
	withheldLogged bool                  // WorkerWithheld was logged since
	commandSeq     uint64                // number of the last command message
	out            *wire.TaskOrders      // commands for the next flush
	appliedEnd     uint64                // number of the last end applied
	durableEnd     uint64                // number of the last end whose effects are durable
	ackedEnd       uint64                // number of the last end acknowledged to the agent as durable
	reliability    reliability
	stalledSince   time.Time               // since when the serving tasks are stalled; zero if they are not
	sentWeights    map[impact.Pair]float64 // interference weights last sent to the agent
	fleet          *fleet
	index          int           // in fleet.shuffled
	element        *list.Element // in fleet.recent
	change         uint64        // number of the last change in the fleet
	isQueued       bool          // in fleet.outbox
	pressure       *pressure     // nil after a change
}

func newWorker(a rows.Agent, version uint64) *worker {
	return &worker{agent: a, rowVersion: version, runs: make(map[wire.Run]*run)}
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.state.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// acceptsRuns reports whether new runs may be started on the worker.
func (w *worker) acceptsRuns() bool {
	return w.link != nil && w.synced && w.state.Phase == wire.WorkerReady && w.state.Healthy &&
		len(w.unknownRuns) == 0 && len(w.suspectRuns) == 0
}

// hasOnlyUnknownRuns reports whether all runs that are, or may start, on the worker are unexpected. Without a lease, the
// worker starts none of them and ends those that it has.
func (w *worker) hasOnlyUnknownRuns() bool {
	return len(w.runs) == 0 && len(w.unknownRuns)+len(w.suspectRuns) > 0
}

// add adds a run and reserves its capacity.
func (w *worker) add(r *run) {
	w.runs[r.key] = r
	w.pressure = nil
	w.used = w.used.Plus(r.step.Reserved())
	w.demand += r.step.Size.Processors
	if r.step.Target > 0 {
		w.serving++
	}
	if r.step.BestEffort {
		w.bestEffort++
	}
	if !r.listed {
		w.unconfirmed++
	}
}

// confirm records that a complete report has listed a run.
func (w *worker) confirm(r *run) {
	if !r.listed {
		r.listed = true
		w.unconfirmed--
	}
}

// remove removes a run and releases its capacity; a run that is not on the worker is ignored.
func (w *worker) remove(r *run) {
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	w.pressure = nil
	w.fleet.touch(w)
	w.used = w.used.Minus(r.step.Reserved())
	w.demand -= r.step.Size.Processors
	if r.step.Target > 0 {
		w.serving--
	}
	if r.step.BestEffort {
		w.bestEffort--
	}
	if !r.listed {
		w.unconfirmed--
	}
}

// recheckRuns makes the next complete report decide about the runs of a worker that has restarted under the same ID. Its
// new incarnation has executed the starts that were on their way during the restart; the others are cancelled there.
func (w *worker) recheckRuns(now time.Time) {
	for _, r := range w.runs {
		r.commandSeq, r.listed, r.cancelling, r.startBlocked = 0, false, false, false
		r.percent, r.startedAt, r.progressedAt = 0, now, now
	}
	w.unconfirmed = len(w.runs)
}

// recordSuspects remembers the runs whose start the worker has not confirmed, before they are released for an expired lease.
// The worker executes no start without a lease, so that they must be cancelled before it gets one again.
func (w *worker) recordSuspects() {
	for key, r := range w.runs {
		if !r.listed {
			if w.suspectRuns == nil {
				w.suspectRuns = make(map[wire.Run]bool)
			}
			w.suspectRuns[key] = false
		}
	}
}

// clearSuspect records that the worker does not start a released run any more.
func (w *worker) clearSuspect(key wire.Run) {
	if _, ok := w.suspectRuns[key]; ok {
		delete(w.suspectRuns, key)
		w.fleet.touch(w)
	}
}

// resetSuspects makes the next complete report send the cancels of suspect runs again, since earlier ones may be lost.
func (w *worker) resetSuspects() {
	for key := range w.suspectRuns {
		w.suspectRuns[key] = false
	}
}

// cancelSuspects sends the cancels of suspect runs that were not sent in this session to this incarnation.
func (w *worker) cancelSuspects() {
	for key, isSent := range w.suspectRuns {
		if !isSent {
			w.outgoing().Cancels = append(w.outgoing().Cancels, key)
			w.suspectRuns[key] = true
		}
	}
}

// free returns the capacity that no run has reserved.
func (w *worker) free() sizes.Resources { return w.state.Capacity.Minus(w.used) }

// countRuns returns the number of runs on the worker that belong to a step in a round.
func (w *worker) countRuns(j *job, round, step int) int {
	n := 0
	first, end := j.span(round, step)
	for _, r := range w.runs {
		if r.job == j && r.ordinal >= first && r.ordinal < end {
			n++
		}
	}
	return n
}

// outgoing returns the commands that the next flush sends.
func (w *worker) outgoing() *wire.TaskOrders {
	if w.out == nil {
		w.out = &wire.TaskOrders{Incarnation: w.state.Incarnation}
	}
	w.queue()
	return w.out
}

// queue includes the worker in the next flush.
func (w *worker) queue() {
	if !w.isQueued {
		w.isQueued = true
		w.fleet.outbox = append(w.fleet.outbox, w)
	}
}

// profileOf returns the properties of a run that an agent needs to limit interference.
func profileOf(r *run) wire.RunProfile {
	return wire.RunProfile{
		Run: r.key, Size: r.step.Size.Processors, Target: r.step.Target, BestEffort: r.step.BestEffort, Image: r.step.Image,
	}
}

// stepKey identifies a step in a round of a job; a round is one occurrence of a scheduled job.
type stepKey struct {
	job   spec.ID
	round int
	step  int
}
