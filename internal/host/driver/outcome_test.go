package driver_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// inTurn returns the given faults for the commands of a worker, one each, and none after the last.
func inTurn(list ...runs.Fault) func() runs.Fault {
	var mu sync.Mutex
	return func() runs.Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(list) == 0 {
			return runs.Fault{}
		}
		f := list[0]
		list = list[1:]
		return f
	}
}

// checkResolved reports an error if the last report lists a pending start, or a run was refused and executed.
func checkResolved(t *testing.T, w *countingWorker, l *leader) {
	t.Helper()
	reports := l.reports()
	if last := reports[len(reports)-1]; len(last.Pending) > 0 {
		t.Errorf("pending: %v", last.Pending)
	}
	for _, f := range l.refusals() {
		for _, r := range w.Records() {
			if r.Run == f.Run {
				t.Errorf("%v was reported as refused (%v), but the worker executed it", f.Run, f.Reason)
			}
		}
	}
}

// Guards against two runs of a task: a refusal of one attempt of a start was taken as its outcome, although an earlier
// attempt had no response and was executed later.
func TestRefusalAfterUnansweredStart(t *testing.T) {
	for _, reason := range []wire.Refusal{
		wire.RefusedSick, wire.RefusedRoom, wire.RefusedLate, wire.RefusedTicket, wire.RefusedBad, wire.RefusedOld,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				w.SetFaults(inTurn(runs.Fault{LoseLate: 2 * time.Second}, runs.Fault{Refuse: reason}))
				a.Execute(ctx, l, commands(1, w, run1))
				time.Sleep(8 * time.Second)
				checkResolved(t, w, l)
				if n := len(w.Records()); n != 0 {
					t.Errorf("the run was executed %d times after its start had been given up", n)
				}
			})
		})
	}
}

// Guards against a start that reaches the worker of an evacuated zone late: an agent repeats it, or receives it, after the limit
// of the leader.
func TestNoAttemptAfterLimitOfStart(t *testing.T) {
	for received, want := range map[time.Duration][]time.Duration{ // after the limit was set; the last command is a stop
		0:                      {0, 350 * time.Millisecond, 500 * time.Millisecond},
		600 * time.Millisecond: {600 * time.Millisecond},
	} {
		withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
			for n := len(l.reports()); len(l.reports()) == n; {
				time.Sleep(time.Millisecond)
			}
			m, set := commands(1, w, run1), time.Now()
			m.StartBefore = l.reports()[len(l.reports())-1].AgentClock + 500
			var mu sync.Mutex
			var sent []time.Duration // commands to the worker
			w.SetFaults(func() runs.Fault {
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, time.Since(set).Round(10*time.Millisecond))
				return runs.Fault{LoseLate: time.Hour}
			})
			time.Sleep(received)
			a.Execute(ctx, l, m)
			time.Sleep(time.Second - received)
			w.SetFaults(nil)
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(sent, want) {
				t.Errorf("commands after %v; want %v", sent, want)
			}
			time.Sleep(8 * time.Second)
			checkResolved(t, w, l)
		})
	}
}

// Guards against a task that never starts again: a new leader cancelled its run while the stop of an earlier command was in progress,
// whose confirmation was not reported to the new leader.
func TestCancelDuringStopOfEarlierLeader(t *testing.T) {
	withBusyWorker(t, func(ctx context.Context, a *driver.Agent, w *busyWorker, l *leader) {
		const startsEnd = 3 * 350 * time.Millisecond // then the run is stopped
		w.setCommands(true, 0)
		a.Execute(ctx, l, commands(1, w.countingWorker, run1))
		time.Sleep(startsEnd - 10*time.Millisecond)
		w.setCommands(false, 400*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		cancels := commands(1, w.countingWorker)
		cancels.Cancels = []wire.Run{run1}
		a.Execute(ctx, next, cancels)
		time.Sleep(3 * time.Second)
		if f := next.refusals(); len(f) != 1 || f[0].Run != run1 {
			t.Errorf("refusals %+v reported to the leader that cancelled the run; want one of it", f)
		}
		checkResolved(t, w.countingWorker, next)
	})
}

// Guards against a worker that gets no runs for the time of a report: after the refusal of a start, a report listed its run as one
// that may still begin, which the leader took for a run that it does not expect.
func TestRefusedStartIsNotPending(t *testing.T) {
	withBusyWorker(t, func(ctx context.Context, a *driver.Agent, w *busyWorker, l *leader) {
		w.SetFaults(func() runs.Fault { return runs.Fault{Refuse: wire.RefusedRoom} })
		for n, r := range runsOf(2000) {
			a.Execute(ctx, l, commands(uint64(n+1), w.countingWorker, r))
			time.Sleep(callTime)
		}
		time.Sleep(time.Second)
		refused := make(map[wire.Run]bool)
		for _, m := range l.reports() {
			for _, f := range m.Refused {
				refused[f.Run] = true
			}
			for _, r := range m.Pending {
				if refused[r] {
					t.Errorf("%v is reported as pending after its refusal", r)
				}
			}
		}
		if len(refused) != 2000 {
			t.Errorf("%d of 2000 starts were reported as refused", len(refused))
		}
	})
}

// Guards against a task that never starts again: a stop that the worker refused was given up, and the start without a
// response stayed pending.
func TestStopOfUnansweredStartIsRepeatedAfterRefusal(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		lost, refused := runs.Fault{LoseLate: 3 * time.Second}, runs.Fault{Refuse: wire.RefusedSick}
		w.SetFaults(inTurn(lost, lost, lost, refused, refused))
		a.Execute(ctx, l, commands(1, w, run1))
		time.Sleep(8 * time.Second)
		checkResolved(t, w, l)
	})
}

// Guards against a task that never starts again: the leader changed while a start without a response was being stopped,
// and every later leader took it for pending.
func TestUnansweredStartIsResolvedAfterChangeOfLeader(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration // from the command to the change of leader
	}{
		{"during the start", 500 * time.Millisecond},
		{"during the stop", 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				w.SetFaults(func() runs.Fault { return runs.Fault{LoseLate: 3 * time.Second} })
				a.Execute(ctx, l, commands(1, w, run1))
				time.Sleep(test.after)
				next := &leader{}
				a.Adopt(next, &wire.LeadAdopt{Token: 6})
				time.Sleep(time.Second)
				w.SetFaults(nil)
				time.Sleep(8 * time.Second)
				checkResolved(t, w, next)
				for _, r := range w.Records() {
					if r.Ended.IsZero() {
						t.Errorf("%v runs, although no leader expects it", r.Run)
					}
				}
			})
		})
	}
}

// Guards against two runs of a task: a worker that had restarted under the same ID executed a start for its earlier
// incarnation, which the agent then reported as ended.
func TestRestartUnderSameIDIsNotAnEnd(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 2})
		a.Execute(ctx, l, commands(1, w, run1))
		time.Sleep(2 * time.Second)
		if l.receivedGone() {
			t.Error("the worker was reported as ended before its next incarnation was announced")
		}
		a.Announce(w.State(), 1)
		time.Sleep(200 * time.Millisecond)
		reports := l.reports()
		if last := reports[len(reports)-1]; !last.Complete || last.Incarnation != w.Incarnation() {
			t.Errorf("last report %+v; want a complete one of the next incarnation", last)
		}
	})
}

// Guards against a task that runs again after its success: the number of an end acknowledged for one incarnation of a worker
// made the next one, under the same ID, drop an end that nobody had stored.
func TestEndOfRestartedWorkerIsReported(t *testing.T) {
	for _, test := range []struct {
		name string
		mute bool
	}{
		{"connection is broken", false},
		{"poll has no response", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				setMute := func(mute bool) {
					w.mu.Lock()
					w.mute = mute
					w.mu.Unlock()
				}
				a.Execute(ctx, l, commands(1, w, run1))
				time.Sleep(1200 * time.Millisecond)
				a.Execute(ctx, l, &wire.TaskOrders{Incarnation: w.Incarnation(), Number: 2, DurableEnds: 1})
				time.Sleep(1200 * time.Millisecond)
				setMute(test.mute)
				time.Sleep(2 * time.Second)
				if !test.mute {
					w.Crash()
				}
				w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 2})
				run2 := wire.Run{Task: run1.Task, Number: 2}
				start := driver.Start{Incarnation: w.Incarnation(), Token: 5, Deadline: lease.Milliseconds()}
				start.Command.Run = run2
				if err := w.Start(ctx, start); err != nil {
					t.Fatal(err)
				}
				time.Sleep(1100 * time.Millisecond)
				setMute(false)
				time.Sleep(2 * time.Second)
				a.Announce(w.State(), 1)
				time.Sleep(200 * time.Millisecond)
				reports := l.reports()
				last := reports[len(reports)-1]
				if len(last.Ended) != 1 || last.Ended[0].Run != run2 {
					t.Errorf("ended runs %+v; want that of %v", last.Ended, run2)
				}
			})
		})
	}
}

// Guards against a run that is released or cancelled by a report from before the current session: its number of the last
// commands is that of an earlier session of the same leader.
func TestReportOfEarlierSessionIsDropped(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		a.Execute(ctx, l, commands(7, w))
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		w.delay = 300 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 5})
		time.Sleep(2 * time.Second)
		for _, r := range next.reports() {
			if r.LastOrders != 0 {
				t.Errorf("a report names commands %d, but the session has sent none", r.LastOrders)
			}
		}
	})
}

// Guards against a worker that gets no runs any more: it was heard of again after it had refused connections, but the
// leader was not told.
func TestReturnedWorkerIsReported(t *testing.T) {
	withAgent(t, func(_ context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		w.Crash()
		time.Sleep(time.Second)
		if !l.receivedGone() {
			t.Fatal("the end of the worker was not reported")
		}
		w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 1})
		a.Announce(w.State(), 2)
		time.Sleep(time.Second)
		var last *wire.WorkerState
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, m := range l.messages {
			if s, ok := m.(*wire.WorkerState); ok {
				last = s
			}
		}
		if last.Phase != wire.WorkerReady {
			t.Errorf("the last state reported has the phase %v, want %v", last.Phase, wire.WorkerReady)
		}
	})
}
