package runs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/orders"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// errLost says that an order got no answer.
var errLost = errors.New("no answer from the worker")

// Plan says how a run of a task goes.
type Plan struct {
	Size    sizes.Resources
	Takes   time.Duration // of work; 0 for a task that lasts
	Fails   bool
	Serving int // figure that a serving task shows, ms
	Figure  int // figure that any other task shows, thousandths of a processor
}

// Fault decides what happens to an order.
type Fault struct {
	Lose bool          // it is carried out, and the answer is lost
	Late time.Duration // it is carried out after this, and the answer is lost
}

// Record is a run as the worker saw it.
type Record struct {
	Worker string
	Run    wire.Run
	Began  time.Time
	Ended  time.Time // zero while it goes on
	Cause  wire.EndCause
	Noted  time.Time // when the end was taken note of; zero if never, or if the lease lapsed before
}

// Worker is a worker with one lease. It is safe for concurrent use.
type Worker struct {
	Name     string
	Capacity sizes.Resources
	Plan     func(wire.Run) Plan
	StopTime time.Duration
	MaxLease time.Duration

	mu       sync.Mutex
	decide   func() Fault // fault of the next order; nil for none
	life     wire.Life
	down     bool
	token    uint64
	deadline time.Time
	began    time.Time
	active   map[wire.Run]*active
	closed   map[string]int // highest run stopped or ended, by task
	ended    []wire.RunEnd
	ends     uint64
	changed  chan struct{}
	records  []*Record
	notes    map[uint64]*Record
	over     []wire.Run // starts that exceeded the capacity
}

type active struct {
	record *Record
	plan   Plan
	timer  *time.Timer
	ending bool
	pace   int // percent
}

// Begin starts a life of the worker; everything of the life before ends.
func (w *Worker) Begin(life wire.Life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAll()
	w.life, w.down, w.token, w.began = life, false, 0, time.Now()
	w.deadline = time.Time{}
	w.active, w.closed, w.ended, w.ends = make(map[wire.Run]*active), make(map[string]int), nil, 0
	w.notes = make(map[uint64]*Record)
	w.changed = make(chan struct{})
}

// SetFaults makes decide choose the fault of each order; nil ends the faults.
func (w *Worker) SetFaults(decide func() Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decide = decide
}

// Crash ends the process of the worker.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAll()
	w.down = true
	close(w.changed) // connections break
	w.changed = make(chan struct{})
}

func (w *Worker) stopAll() {
	for _, a := range w.active {
		a.timer.Stop()
		a.record.Ended = time.Now()
	}
	clear(w.active)
}

// Life returns the current life.
func (w *Worker) Life() wire.Life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

// State returns what the worker announces.
func (w *Worker) State() wire.WorkerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return wire.WorkerState{
		Life: w.life, Service: "packing", Zone: "agadir", Phase: wire.WorkerReady, Capacity: w.Capacity, Rack: "r1", Healthy: true,
	}
}

// Records returns all runs so far.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Record, len(w.records))
	for i, r := range w.records {
		list[i] = *r
	}
	return list
}

// Over returns the starts that exceeded the capacity.
func (w *Worker) Over() []wire.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]wire.Run(nil), w.over...)
}

// reach returns an error when the worker does not answer, or another life does.
func (w *Worker) reach(life wire.Life) error {
	if w.down {
		return orders.ErrDown
	}
	if life != w.life {
		return orders.ErrLife
	}
	return nil
}

// order carries out f with the fault that Decide chooses.
func (w *Worker) order(ctx context.Context, life wire.Life, f func() error) error {
	w.mu.Lock()
	decide := w.decide
	w.mu.Unlock()
	var fault Fault
	if decide != nil {
		fault = decide()
	}
	apply := func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.reach(life); err != nil {
			return err
		}
		return f()
	}
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { _ = apply() })
	} else if err := apply(); !fault.Lose {
		return err
	}
	<-ctx.Done()
	return errLost
}

// fence refuses a token lower than the highest seen.
func (w *Worker) fence(token uint64) error {
	if token < w.token {
		return &orders.RefusedError{Reason: wire.RefusedFence}
	}
	w.token = token
	return nil
}

// extend moves the lease; it never shortens.
func (w *Worker) extend(deadline int64) {
	if deadline <= 0 {
		return
	}
	d := w.began.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(w.MaxLease); d.After(limit) {
		d = limit
	}
	if d.After(w.deadline) {
		w.deadline = d
		life := w.life
		time.AfterFunc(time.Until(d), func() { w.lapse(life) })
	}
}

// lapse ends everything when the lease has expired.
func (w *Worker) lapse(life wire.Life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if life != w.life || time.Now().Before(w.deadline) {
		return
	}
	for _, e := range w.ended {
		delete(w.notes, e.Number)
	}
	for run, a := range w.active {
		a.timer.Stop()
		w.end(run, wire.EndLapsed)
	}
}

// Start implements orders.Worker.
func (w *Worker) Start(ctx context.Context, s orders.Start) error {
	return w.order(ctx, s.Life, func() error {
		if err := w.fence(s.Token); err != nil {
			return err
		}
		w.extend(s.Deadline)
		run := s.Order.Run
		if w.active[run] != nil {
			return nil
		}
		if run.Number <= w.closed[run.Task] {
			return &orders.RefusedError{Reason: wire.RefusedOld}
		}
		if !time.Now().Before(w.deadline) {
			return &orders.RefusedError{Reason: wire.RefusedLate}
		}
		w.begin(run)
		return nil
	})
}

func (w *Worker) begin(run wire.Run) {
	p := w.Plan(run)
	used := p.Size
	for _, a := range w.active {
		used = used.Plus(a.plan.Size)
	}
	if !used.Fits(w.Capacity) {
		w.over = append(w.over, run)
	}
	a := &active{plan: p, pace: 100, record: &Record{Worker: w.Name, Run: run, Began: time.Now()}}
	w.records = append(w.records, a.record)
	w.active[run] = a
	life := w.life
	takes := p.Takes
	if takes == 0 {
		takes = 24 * time.Hour
	}
	a.timer = time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if life != w.life || w.active[run] != a || a.ending {
			return
		}
		cause := wire.EndDone
		if p.Fails {
			cause = wire.EndFailed
		}
		w.end(run, cause)
	})
}

// end lists the end of a run.
func (w *Worker) end(run wire.Run, cause wire.EndCause) {
	a := w.active[run]
	delete(w.active, run)
	a.record.Ended, a.record.Cause = time.Now(), cause
	w.closed[run.Task] = max(w.closed[run.Task], run.Number)
	w.ends++
	w.ended = append(w.ended, wire.RunEnd{Number: w.ends, Run: run, Cause: cause})
	w.notes[w.ends] = a.record
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stop implements orders.Worker.
func (w *Worker) Stop(ctx context.Context, life wire.Life, token uint64, r wire.Run) error {
	return w.order(ctx, life, func() error {
		if err := w.fence(token); err != nil {
			return err
		}
		w.closed[r.Task] = max(w.closed[r.Task], r.Number)
		a := w.active[r]
		if a == nil || a.ending {
			return nil
		}
		a.ending = true
		a.timer.Stop()
		current := w.life
		time.AfterFunc(w.StopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if current == w.life && w.active[r] == a {
				w.end(r, wire.EndStopped)
			}
		})
		return nil
	})
}

// Pace implements orders.Worker.
func (w *Worker) Pace(ctx context.Context, life wire.Life, token uint64, r wire.Run, percent int) error {
	return w.order(ctx, life, func() error {
		if err := w.fence(token); err != nil {
			return err
		}
		if a := w.active[r]; a != nil {
			a.pace = percent
		}
		return nil
	})
}

// Paced returns the pace of a run in percent, or -1 when it is not there.
func (w *Worker) Paced(r wire.Run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.active[r]; a != nil {
		return a.pace
	}
	return -1
}

// Refresh asks Plan again for the figures of all runs.
func (w *Worker) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for run, a := range w.active {
		p := w.Plan(run)
		a.plan.Serving, a.plan.Figure = p.Serving, p.Figure
	}
}

// Look implements orders.Worker.
func (w *Worker) Look(ctx context.Context, l orders.Look) (orders.Sight, error) {
	w.mu.Lock()
	err := w.reach(l.Life)
	if err == nil {
		err = w.fence(l.Token)
	}
	if err != nil {
		w.mu.Unlock()
		return orders.Sight{}, err
	}
	w.extend(l.Deadline)
	for len(w.ended) > 0 && w.ended[0].Number <= l.Noted {
		if r := w.notes[w.ended[0].Number]; r != nil && r.Noted.IsZero() {
			r.Noted = time.Now()
		}
		w.ended = w.ended[1:]
	}
	changed, waits := w.changed, len(w.ended) == 0 && l.Wait > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(l.Wait) * time.Millisecond):
		case <-ctx.Done():
			return orders.Sight{}, errLost
		}
	}
	return w.sight(l.Life)
}

func (w *Worker) sight(life wire.Life) (orders.Sight, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reach(life); err != nil {
		return orders.Sight{}, err
	}
	s := orders.Sight{Clock: time.Since(w.began).Milliseconds(), Ended: append([]wire.RunEnd(nil), w.ended...)}
	for run, a := range w.active {
		percent := 100
		if a.plan.Takes > 0 {
			percent = int(100 * time.Since(a.record.Began) / a.plan.Takes)
		}
		s.Running = append(s.Running, wire.RunState{Run: run, Percent: percent, Figure: a.plan.Serving + a.plan.Figure})
	}
	return s, nil
}
