package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	callTime     = time.Millisecond // of the processor of a busyWorker
	maxOpen      = 24               // commands that an agent may have open
	maxPerSecond = 70               // commands a second without any response: maxOpen in each time limit of a start
)

// busyWorker has one processor, which carries out calls one after the other, also those whose caller has given up.
type busyWorker struct {
	*countingWorker
	processor chan struct{}

	mu       sync.Mutex
	mute     bool          // commands get no response and have no effect
	delay    time.Duration // of the responses to commands
	open     int
	maxOpen  int
	commands int
}

func newBusyWorker(w *countingWorker) *busyWorker {
	w.Capacity = sizes.Resources{Processors: 1 << 30, Memory: 1 << 40}
	w.Plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Hour} }
	return &busyWorker{countingWorker: w, processor: make(chan struct{}, 1)}
}

// process waits for the processor, or until the caller gives up.
func (w *busyWorker) process(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.processor <- struct{}{}
		time.Sleep(callTime)
		<-w.processor
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *busyWorker) Poll(ctx context.Context, request driver.PollRequest) (driver.PollResponse, error) {
	if err := w.process(ctx); err != nil {
		return driver.PollResponse{}, err
	}
	return w.countingWorker.Poll(ctx, request)
}

func (w *busyWorker) command(ctx context.Context, f func() error) error {
	w.mu.Lock()
	w.commands++
	w.open++
	w.maxOpen = max(w.maxOpen, w.open)
	mute, delay := w.mute, w.delay
	w.mu.Unlock()
	defer time.Sleep(delay)
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.open--
	}()
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := w.process(ctx); err != nil {
		return err
	}
	return f()
}

func (w *busyWorker) Start(ctx context.Context, s driver.Start) error {
	return w.command(ctx, func() error { return w.Worker.Start(ctx, s) })
}

func (w *busyWorker) Stop(ctx context.Context, incarnation wire.WorkerIncarnation, token uint64, r wire.Run) error {
	return w.command(ctx, func() error { return w.Worker.Stop(ctx, incarnation, token, r) })
}

func (w *busyWorker) setCommands(mute bool, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute, w.delay = mute, delay
}

func (w *busyWorker) commandCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.commands
}

// withBusyWorker is withAgent with a busyWorker.
func withBusyWorker(t *testing.T, f func(ctx context.Context, a *driver.Agent, w *busyWorker, l *leader)) {
	t.Helper()
	var busy *busyWorker
	wrap := func(w *countingWorker) driver.Worker {
		busy = newBusyWorker(w)
		return busy
	}
	withWrappedWorker(t, wrap, func(ctx context.Context, a *driver.Agent, _ *countingWorker, l *leader) { f(ctx, a, busy, l) })
}

// runsOf returns n runs of different tasks.
func runsOf(n int) []wire.Run {
	var list []wire.Run
	for i := range n {
		list = append(list, wire.Run{Task: fmt.Sprintf("5c0e7a21d94b36f8.0.0.%d", i), Number: 1})
	}
	return list
}

// Guards against leases that expire beside a large job on a busy machine: calls without a limit missed their deadlines, all of
// them were repeated, and the poll that extends the lease missed its own for as long as that went on.
func TestLeaseBesideManyCommands(t *testing.T) {
	withBusyWorker(t, func(ctx context.Context, a *driver.Agent, w *busyWorker, l *leader) {
		const n = 2000
		list := runsOf(n)
		check := func(when string, atWork, commands int) {
			t.Helper()
			time.Sleep(2*lease + n*callTime)
			got := 0
			for _, r := range w.Records() {
				if r.Ended.IsZero() {
					got++
				}
			}
			if got != atWork || w.commandCount() != commands {
				t.Errorf("%s: %d runs at work after %d commands; want %d after %d", when, got, w.commandCount(), atWork, commands)
			}
		}
		a.Execute(ctx, l, commands(1, w.countingWorker, list...))
		check("starts", n, n)
		stops := commands(2, w.countingWorker)
		stops.Stops = list[1:]
		a.Execute(ctx, l, stops)
		check("stops", 1, 2*n-1)
	})
}

// Guards against the same beside changes of paces, which all tasks of a worker need at once when a serving task is slow.
func TestLeaseBesideManyPaces(t *testing.T) {
	withBusyWorker(t, func(ctx context.Context, a *driver.Agent, w *busyWorker, l *leader) {
		const n = 2000
		serving := wire.Run{Task: "5c0e7a21d94b36f8.0.1.0", Number: 1}
		w.Plan = func(r wire.Run) runs.Plan {
			if r == serving {
				return runs.Plan{TailLatency: 500}
			}
			return runs.Plan{RunTime: time.Hour, ProcessorUsage: 1}
		}
		o := commands(1, w.countingWorker, runsOf(n)...)
		for i := range o.Starts {
			o.Starts[i].BestEffort, o.Starts[i].Size, o.Starts[i].Image = true, 1, "f"
		}
		o.Starts = append(o.Starts, wire.StartCommand{RunProfile: wire.RunProfile{Run: serving, Target: 100, Image: "s"}})
		a.Execute(ctx, l, o)
		time.Sleep(2*lease + 2*n*callTime)
		halted := 0
		for _, r := range w.Records() {
			if !r.Ended.IsZero() {
				t.Errorf("%v has ended (%v)", r.Run, r.Cause)
				return
			}
			if w.Paced(r.Run) < 100 {
				halted++
			}
		}
		if halted == 0 || w.maxOpen > maxOpen {
			t.Errorf("%d runs halted, %d commands open at a time; want some and at most %d", halted, w.maxOpen, maxOpen)
		}
	})
}

// Guards against commands whose number a second grows with the runs, and never falls, while a worker does not answer them, and
// against runs that stay pending when it answers again.
func TestUnansweredCommandsHaveBound(t *testing.T) {
	for _, n := range []int{100, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withBusyWorker(t, func(ctx context.Context, a *driver.Agent, w *busyWorker, l *leader) {
				w.setCommands(true, 0)
				a.Execute(ctx, l, commands(1, w.countingWorker, runsOf(n)...))
				const seconds = 60
				time.Sleep(seconds * time.Second)
				if got := w.commandCount(); got > seconds*maxPerSecond || w.maxOpen > maxOpen {
					t.Errorf("%d commands in %d s, %d of them open at a time; want at most %d a second and %d", got, seconds, w.maxOpen,
						maxPerSecond, maxOpen)
				}
				w.setCommands(false, 0)
				time.Sleep(lease + 3*callTime*time.Duration(n))
				checkResolved(t, w.countingWorker, l)
			})
		})
	}
}

// Guards against a lease that expires although the worker responds: it takes longer to list its runs than a poll may take.
func TestLeaseBesideSlowList(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		w.Plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Hour} }
		a.Execute(ctx, l, commands(1, w, run1))
		time.Sleep(time.Second)
		w.mu.Lock()
		w.latency = 600 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(4 * lease)
		if r := w.Records(); !r[0].Ended.IsZero() {
			t.Errorf("the run has ended (%v)", r[0].Cause)
		}
	})
}

// Guards against polls that take all of a busy machine's processor beside a large job: a worker that takes long to list its runs was
// asked again at once, while ends wait for their acknowledgement, or after the same 400 ms.
func TestPollsTakeBoundedShare(t *testing.T) {
	const listTime, seconds, share = 200 * time.Millisecond, 20, 4 // one in share seconds at most
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("ends wait %v", ends), func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				w.Plan = func(r wire.Run) runs.Plan {
					if ends && r == run1 {
						return runs.Plan{RunTime: time.Second}
					}
					return runs.Plan{RunTime: time.Hour}
				}
				a.Execute(ctx, l, commands(1, w, run1, wire.Run{Task: run1.Task + "0", Number: 1}))
				w.mu.Lock()
				w.latency = listTime
				w.mu.Unlock()
				time.Sleep(5 * time.Second)
				before := w.pollCount()
				time.Sleep(seconds * time.Second)
				if took := time.Duration(w.pollCount()-before) * listTime; took > seconds*time.Second/share+listTime {
					t.Errorf("polls took %v of %d s; want at most one part in %d", took, seconds, share)
				}
				for _, r := range w.Records() {
					if !r.Ended.IsZero() && r.Cause != wire.EndDone {
						t.Errorf("%v has ended (%v)", r.Run, r.Cause)
					}
				}
			})
		})
	}
}
