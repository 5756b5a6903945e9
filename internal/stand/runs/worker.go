package runs

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// errLost is returned for a command whose response is lost.
var errLost = errors.New("no response from the worker")

// Plan describes the simulated run of a task.
type Plan struct {
	Size           sizes.Resources
	RunTime        time.Duration // run time; 0 for a long-running task
	Fails          bool          // the run fails at its end
	TailLatency    int           // reported tail latency of a serving task, ms; 0 for other tasks
	ProcessorUsage int           // reported processor usage of other tasks, thousandths; 0 for a serving task
}

// Fault describes how one command fails; the zero value means that it succeeds.
type Fault struct {
	LoseAfter bool          // the command is executed but its response is lost
	LoseLate  time.Duration // if positive, the command is executed after this time and its response is lost
	Refuse    wire.Refusal  // if not 0, the command is refused for this reason
}

// Record is the history of one run on a worker.
type Record struct {
	Worker       string
	Run          wire.Run
	Commanded    time.Time // when the command that started it arrived
	Began        time.Time
	Ended        time.Time     // zero while the run is active
	Cause        wire.EndCause // not set for a run that ended by Crash or Restart
	Acknowledged time.Time     // when the agent acknowledged the end; zero if not before the lease expired
}

// Worker is an in-memory worker with one lease. It is safe for concurrent use.
type Worker struct {
	Name     string
	Zone     string // empty for "agadir"
	Capacity sizes.Resources
	Plan     func(wire.Run) Plan
	StopTime time.Duration // time that a stopped run takes to end
	MaxLease time.Duration // longest lease from now that a command may set

	mu          sync.Mutex
	nextFault   func() Fault // fault of the next command; nil for none
	cut         bool         // calls are lost
	maxEnds     int          // ended runs that Poll returns at a time; 0 for all
	incarnation wire.WorkerIncarnation
	down        bool
	token       uint64    // highest fencing token seen
	deadline    time.Time // end of the lease
	began       time.Time // start of the current incarnation
	active      map[wire.Run]*activeRun
	closed      map[string]int // highest number of a stopped or ended run, by task
	ended       []wire.RunEnd  // ends that are not acknowledged yet
	lastEnd     uint64         // number of the last end of this incarnation
	changed     chan struct{}  // closed when a run ends or the worker crashes
	records     []*Record
	endRecords  map[uint64]*Record // by number of the end
	overcommits []wire.Run         // runs whose start exceeded the capacity
}

type activeRun struct {
	record   *Record
	plan     Plan
	timer    *time.Timer
	stopping bool // Stop was called; the run ends after StopTime
	pace     int  // percent
}

// Restart starts a new incarnation of the worker and ends all runs of the previous one.
func (w *Worker) Restart(incarnation wire.WorkerIncarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAll()
	w.incarnation, w.down, w.token, w.began = incarnation, false, 0, time.Now()
	w.deadline = time.Time{}
	w.active, w.closed, w.ended, w.lastEnd = make(map[wire.Run]*activeRun), make(map[string]int), nil, 0
	w.endRecords = make(map[uint64]*Record)
	w.changed = make(chan struct{})
}

// SetFaults calls nextFault for the fault of each command from now on; nil disables faults.
func (w *Worker) SetFaults(nextFault func() Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextFault = nextFault
}

// SetMaxEnds sets how many ended runs Poll returns at a time from now on; 0 stands for all.
func (w *Worker) SetMaxEnds(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxEnds = n
}

// SetCut sets whether the worker is cut off: calls have no effect and no response, and runs go on.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Crash simulates the end of the worker's process: all runs end and commands return driver.ErrUnreachable until
// Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAll()
	w.down = true
	close(w.changed) // pending Poll calls return, as their connections close with the process
	w.changed = make(chan struct{})
}

func (w *Worker) stopAll() {
	for _, a := range w.active {
		a.timer.Stop()
		a.record.Ended = time.Now()
	}
	clear(w.active)
}

// Incarnation returns the current incarnation.
func (w *Worker) Incarnation() wire.WorkerIncarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// State returns the state that the worker announces.
func (w *Worker) State() wire.WorkerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return wire.WorkerState{
		Incarnation: w.incarnation, Service: "packing", Zone: cmp.Or(w.Zone, "agadir"), Phase: wire.WorkerReady,
		Capacity: w.Capacity, Rack: "r1", Healthy: true,
	}
}

// Records returns the records of all runs, including those of earlier incarnations.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Record, len(w.records))
	for i, r := range w.records {
		list[i] = *r
	}
	return list
}

// Overcommitted returns the runs whose start exceeded the capacity of the worker.
func (w *Worker) Overcommitted() []wire.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]wire.Run(nil), w.overcommits...)
}

// checkReachable returns driver.ErrUnreachable if the worker has crashed and driver.ErrIncarnation if the current
// incarnation has another ID; commands do not name the time of its start.
func (w *Worker) checkReachable(incarnation wire.WorkerIncarnation) error {
	if w.down {
		return driver.ErrUnreachable
	}
	if incarnation.ID != w.incarnation.ID {
		return driver.ErrIncarnation
	}
	return nil
}

// execute runs f, the effect of a command, under the fault of that command.
func (w *Worker) execute(ctx context.Context, incarnation wire.WorkerIncarnation, f func() error) error {
	w.mu.Lock()
	nextFault, received, cut := w.nextFault, w.incarnation, w.cut
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), errLost)
	}
	var fault Fault
	if nextFault != nil {
		fault = nextFault()
	}
	if fault.Refuse != 0 {
		return &driver.RefusedError{Reason: fault.Refuse}
	}
	apply := func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.checkReachable(incarnation); err != nil {
			return err
		}
		if w.incarnation != received {
			return errLost // the process that received the command has ended
		}
		return f()
	}
	if fault.LoseLate > 0 {
		time.AfterFunc(fault.LoseLate, func() { _ = apply() })
	} else if err := apply(); !fault.LoseAfter {
		return err
	}
	<-ctx.Done()
	return errors.Mark(ctx.Err(), errLost)
}

// checkToken rejects a token lower than the highest one seen and remembers the highest.
func (w *Worker) checkToken(token uint64) error {
	if token < w.token {
		return &driver.RefusedError{Reason: wire.RefusedFence}
	}
	w.token = token
	return nil
}

// extendLease moves the end of the lease to deadline, in ms since the incarnation began, but at most MaxLease from now.
// It never shortens the lease.
func (w *Worker) extendLease(deadline int64) {
	if deadline <= 0 {
		return
	}
	d := w.began.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(w.MaxLease); d.After(limit) {
		d = limit
	}
	if d.After(w.deadline) {
		w.deadline = d
		incarnation := w.incarnation
		time.AfterFunc(time.Until(d), func() { w.expireLease(incarnation) })
	}
}

// expireLease ends all runs once the lease has expired. Ends that were listed before and are still unacknowledged never
// get an Acknowledged time.
func (w *Worker) expireLease(incarnation wire.WorkerIncarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if incarnation != w.incarnation || time.Now().Before(w.deadline) {
		return
	}
	for _, e := range w.ended {
		delete(w.endRecords, e.Number)
	}
	for run, a := range w.active {
		a.timer.Stop()
		w.endRun(run, wire.EndLapsed)
	}
}

// Start implements driver.Worker.
func (w *Worker) Start(ctx context.Context, s driver.Start) error {
	commanded := time.Now()
	return w.execute(ctx, s.Incarnation, func() error {
		if err := w.checkToken(s.Token); err != nil {
			return err
		}
		w.extendLease(s.Deadline)
		run := s.Command.Run
		if w.active[run] != nil {
			return nil
		}
		if run.Number <= w.closed[run.Task] {
			return &driver.RefusedError{Reason: wire.RefusedOld}
		}
		if !time.Now().Before(w.deadline) {
			return &driver.RefusedError{Reason: wire.RefusedLate}
		}
		w.startRun(run, commanded)
		return nil
	})
}

func (w *Worker) startRun(run wire.Run, commanded time.Time) {
	p := w.Plan(run)
	used := p.Size
	for _, a := range w.active {
		used = used.Plus(a.plan.Size)
	}
	if !used.Fits(w.Capacity) {
		w.overcommits = append(w.overcommits, run)
	}
	a := &activeRun{plan: p, pace: 100, record: &Record{
		Worker: w.Name, Run: run, Commanded: commanded, Began: time.Now(),
	}}
	w.records = append(w.records, a.record)
	w.active[run] = a
	incarnation := w.incarnation
	duration := p.RunTime
	if duration == 0 {
		duration = 24 * time.Hour
	}
	a.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if incarnation != w.incarnation || w.active[run] != a || a.stopping {
			return
		}
		cause := wire.EndDone
		if p.Fails {
			cause = wire.EndFailed
		}
		w.endRun(run, cause)
	})
}

// endRun ends an active run and adds its end to the list that Poll returns.
func (w *Worker) endRun(run wire.Run, cause wire.EndCause) {
	a := w.active[run]
	delete(w.active, run)
	a.record.Ended, a.record.Cause = time.Now(), cause
	w.closed[run.Task] = max(w.closed[run.Task], run.Number)
	w.lastEnd++
	w.ended = append(w.ended, wire.RunEnd{Number: w.lastEnd, Run: run, Cause: cause})
	w.endRecords[w.lastEnd] = a.record
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stop implements driver.Worker.
func (w *Worker) Stop(ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run) error {
	return w.execute(ctx, incarnation, func() error {
		if err := w.checkToken(token); err != nil {
			return err
		}
		w.closed[r.Task] = max(w.closed[r.Task], r.Number)
		a := w.active[r]
		if a == nil || a.stopping {
			return nil
		}
		a.stopping = true
		a.timer.Stop()
		current := w.incarnation
		time.AfterFunc(w.StopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if current == w.incarnation && w.active[r] == a {
				w.endRun(r, wire.EndStopped)
			}
		})
		return nil
	})
}

// Pace implements driver.Worker.
func (w *Worker) Pace(
	ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run, percent int,
) error {
	return w.execute(ctx, incarnation, func() error {
		if err := w.checkToken(token); err != nil {
			return err
		}
		if a := w.active[r]; a != nil {
			a.pace = percent
		}
		return nil
	})
}

// Paced returns the pace of a run in percent, or -1 if the run is not active.
func (w *Worker) Paced(r wire.Run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.active[r]; a != nil {
		return a.pace
	}
	return -1
}

// RefreshUsage updates the reported measurements of all active runs from Plan.
func (w *Worker) RefreshUsage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for run, a := range w.active {
		p := w.Plan(run)
		a.plan.TailLatency, a.plan.ProcessorUsage = p.TailLatency, p.ProcessorUsage
	}
}

// Poll implements driver.Worker.
func (w *Worker) Poll(ctx context.Context, req driver.PollRequest) (driver.PollResponse, error) {
	w.mu.Lock()
	if w.cut {
		w.mu.Unlock()
		<-ctx.Done()
		return driver.PollResponse{}, errors.Mark(ctx.Err(), errLost)
	}
	err := w.checkReachable(req.Incarnation)
	if err == nil {
		err = w.checkToken(req.Token)
	}
	if err != nil {
		w.mu.Unlock()
		return driver.PollResponse{}, err
	}
	w.extendLease(req.Deadline)
	for len(w.ended) > 0 && w.ended[0].Number <= req.DurableEnds {
		if r := w.endRecords[w.ended[0].Number]; r != nil && r.Acknowledged.IsZero() {
			r.Acknowledged = time.Now()
		}
		w.ended = w.ended[1:]
	}
	changed, waits := w.changed, len(w.ended) == 0 && req.Wait > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(req.Wait) * time.Millisecond):
		case <-ctx.Done():
			return driver.PollResponse{}, errors.Mark(ctx.Err(), errLost)
		}
	}
	return w.snapshot(req.Incarnation)
}

func (w *Worker) snapshot(incarnation wire.WorkerIncarnation) (driver.PollResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkReachable(incarnation); err != nil {
		return driver.PollResponse{}, err
	}
	if incarnation != w.incarnation {
		return driver.PollResponse{}, driver.ErrRestarted
	}
	s := driver.PollResponse{Clock: time.Since(w.began).Milliseconds(), Ended: append([]wire.RunEnd(nil), w.ended...)}
	if w.maxEnds > 0 && len(s.Ended) > w.maxEnds {
		s.Ended = s.Ended[:w.maxEnds]
	}
	for run, a := range w.active {
		percent := 100
		if a.plan.RunTime > 0 {
			percent = int(100 * time.Since(a.record.Began) / a.plan.RunTime)
		}
		s.Running = append(s.Running, wire.RunState{
			Run: run, Percent: percent, Measurement: a.plan.TailLatency + a.plan.ProcessorUsage,
		})
	}
	return s, nil
}
