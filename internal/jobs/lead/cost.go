package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

// Costs of a worker for a task, in units of a full load unless noted.
const (
	remoteCost         = 0.5  // worker is not on the rack of the data
	avoidCost          = 2.0  // last run of the task failed, stalled or was too slow on the worker
	mixedCost          = 1.0  // serving task on a worker with best-effort tasks
	bestEffortCost     = 0.1  // serving task, for each best-effort task on the worker
	packFactor         = 0.25 // factor on the load for a serving task, so that serving tasks share workers
	spreadCost         = 0.5  // serving task on a worker without serving tasks
	displaceCost       = 0.5  // task that displaces a full load of best-effort tasks; less in proportion
	unreliableCost     = 0.5  // per point of the penalty score of the worker
	slowCost           = 1.5  // multiplied by the slowdown of the worker relative to others
	coldCost           = 0.3  // worker is still slow after its start
	slowBestEffortCost = 3.0  // best-effort task on a worker where it would make no progress
	colocationCost     = 0.4  // best-effort task on a worker with serving tasks
	isolationCost      = 0.3  // best-effort task without interference on a worker without serving tasks
	maxOvercommit      = 0.4  // share of the processors by which best-effort tasks may exceed the leftover

	minStartSpeed = 0.5                     // share of full speed from which a best-effort task is started
	minSlowSpeed  = 0.2                     // the same for jobs in progress under order.Policy.UseSlow
	maxJobIdle    = 1200 * time.Millisecond // after which a job without runs is started at any speed
)

// stepContext holds what the choice of workers for the tasks of a step depends on.
type stepContext struct {
	job     *job
	round   int
	step    int
	tickets map[string]string // by worker ID; nil if any worker may run the step
	rack    string            // to which the choice is restricted; empty for all racks
	now     time.Time
	// admission determines at which speed, and beside how many others, a best-effort task may start.
	admission admission
}

func (c *stepContext) ticket(w *worker) string { return c.tickets[w.state.Incarnation.ID] }

func (c *stepContext) spec() *spec.Step { return &c.job.spec.Steps[c.step] }

// mayRun reports whether a worker may run a task of the step in addition to its current runs, and the share of full speed
// at which a best-effort task would run there. Unreliable workers are not left out.
func (t *Term) mayRun(c stepContext, w *worker) (speed float64, ok bool) {
	speed, e := t.exclusionOf(c, w)
	if e == excludeEvacuated {
		t.evacuation.isWithheld = true
	}
	return speed, e == 0
}

// exclusion is the reason why a worker may not run a task.
type exclusion uint8

const (
	excludeDisconnected exclusion = iota + 1 // no session, draining or not accepting runs
	excludeService
	excludeRack
	excludeLabel
	excludeTicket // the policy service has issued no ticket
	excludeProcessors
	excludeMemory
	excludeAccelerators
	excludePerWorker
	excludeEvacuated   // the zone is evacuated, or evacuations are not known
	excludeLoad        // a best-effort task would be too slow beside the other tasks
	excludeUnreliable  // no probe is due; see placement.evaluate
	excludeUnconfirmed // many starts on the worker are not confirmed
	endOfExclusions    = iota + 1
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type exclusion -trimprefix exclude -output exclusion_string.go

// exclusionOf returns why a worker may not run a task of the step, or 0, and the speed that mayRun returns. It changes
// nothing but caches.
func (t *Term) exclusionOf(c stepContext, w *worker) (speed float64, e exclusion) {
	s := c.spec()
	switch {
	case !w.acceptsRuns():
		return 0, excludeDisconnected
	case w.state.Service != c.job.spec.Service:
		return 0, excludeService
	case c.rack != "" && w.state.Rack != c.rack:
		return 0, excludeRack
	case s.Label != "" && !w.hasLabel(s.Label):
		return 0, excludeLabel
	}
	if c.tickets != nil {
		if _, ok := c.tickets[w.state.Incarnation.ID]; !ok {
			return 0, excludeTicket
		}
	}
	need, free := s.Reserved(), w.free()
	switch {
	case need.Processors > free.Processors:
		return 0, excludeProcessors
	case need.Memory > free.Memory:
		return 0, excludeMemory
	case !need.Fits(free): // steps request no other resources
		return 0, excludeAccelerators
	case s.PerWorker > 0 && w.countRuns(c.job, c.round, c.step) >= s.PerWorker:
		return 0, excludePerWorker
	case !s.Gang && w.unconfirmed >= maxUnconfirmed:
		return 0, excludeUnconfirmed
	case !t.allowsStart(w, c.now): // last, since mayRun marks a worker that could run the task otherwise
		return 0, excludeEvacuated
	case !s.BestEffort:
		return 1, 0
	}
	speed, ok := t.fitsBestEffort(c, w)
	if !ok {
		e = excludeLoad
	}
	return speed, e
}

// fitsBestEffort returns the speed of a best-effort task on a worker, and whether that is fast enough. Any speed is once
// the job has been without runs for maxJobIdle.
func (t *Term) fitsBestEffort(c stepContext, w *worker) (speed float64, ok bool) {
	s := c.spec()
	p := t.pressureOn(w)
	if w.isStalled(c.now) || float64(p.left-p.wanted-s.Size.Processors) < -maxOvercommit*float64(w.state.Capacity.Processors) {
		return 0, false
	}
	speed = t.bestEffortSpeed(w, s.Image, s.Size.Processors)
	switch c.admission {
	case admitUnused:
		return speed, speed >= minStartSpeed && float64(p.left-p.wanted) >= minStartSpeed*float64(s.Size.Processors)
	case admitSlow:
		return speed, speed >= minSlowSpeed && p.left > p.wanted
	default:
		return speed, speed >= minStartSpeed || c.job.isIdle(c.now)
	}
}

// isIdle reports whether the job has been without runs for maxJobIdle.
func (j *job) isIdle(now time.Time) bool { return j.running == 0 && now.Sub(j.idleSince) > maxJobIdle }

// mayProbe reports whether an unreliable worker may run a task as a probe.
func (w *worker) mayProbe(now time.Time) bool {
	return len(w.runs) == 0 && now.After(w.reliability.probeAt)
}

// cost returns the cost of placing a task of the step on a worker, where it would run at a share of full speed; 1
// corresponds to a full load.
func (t *Term) cost(c stepContext, w *worker, speed float64) float64 {
	s := c.spec()
	capacity := max(1, w.state.Capacity.Processors)
	v := float64(w.used.Processors+s.Size.Processors) / float64(capacity)
	if s.BestEffort {
		v = float64(w.demand+s.Size.Processors) / float64(capacity)
	} else {
		v += displaceCost * float64(w.demand-w.used.Processors) / float64(capacity)
	}
	if m := w.state.Capacity.Memory; m > 0 {
		v = max(v, float64(w.used.Memory+s.Size.Memory)/float64(m))
	}
	if s.DataRack != "" && w.state.Rack != s.DataRack {
		v += remoteCost
	}
	switch {
	case s.BestEffort:
		v += slowBestEffortCost * (1 - speed)
		if w.serving == 0 {
			v += isolationCost / (1 + t.interference.Typical(s.Image))
		} else {
			v += colocationCost
		}
	case s.Target > 0:
		v *= packFactor
		if w.bestEffort > 0 {
			v += mixedCost + bestEffortCost*float64(w.bestEffort)
		}
		if w.serving == 0 {
			v += spreadCost
		}
	}
	if w.state.WarmupRemaining > 0 {
		v += coldCost
	}
	v += unreliableCost * w.reliability.currentScore(c.now)
	v += slowCost * max(0, 1/w.reliability.relativeSpeed(c.now)-1)
	return v
}
