package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// refusingWorker refuses each start after the first one.
type refusingWorker struct {
	*standin.Worker
	refusal error
	starts  int
}

func (w *refusingWorker) Start(ctx context.Context, s worker.Start) error {
	if w.starts++; w.starts > 1 {
		return w.refusal
	}
	return w.Worker.Start(ctx, s)
}

// startsLate makes the worker execute the next start after 3 s without a response.
func (f *fixture) startsLate(more ...script.Rule) {
	f.t.Helper()
	late := script.Rule{Action: script.LoseLate, Kind: standin.KindStart, Count: 1, Delay: script.Duration(3 * time.Second)}
	if err := f.worker.Faults().Set(append(more, late)...); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against a task that runs twice: the worker refuses the repetition of an unanswered start and then executes the
// unanswered one.
func TestRefusalAfterUnansweredStart(t *testing.T) {
	noStop := script.Rule{Action: script.Down, Kind: standin.KindStop, For: script.Duration(5 * time.Second)}
	cases := []struct {
		name    string
		refusal error
		rules   []script.Rule
		want    wire.TaskState
	}{
		{"no room", worker.ErrTooLarge, nil, wire.TaskRefused},
		{"earlier attempt", worker.ErrBusy, nil, wire.TaskRefused},
		{"lease", worker.ErrExpired, nil, wire.TaskRefused},
		{"stop refused too", worker.ErrTooLarge, []script.Rule{noStop}, wire.TaskEvicted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := newFixture(t), &owner{}
				f.client = &refusingWorker{Worker: f.worker, refusal: c.refusal}
				f.restart("second")
				f.adopt(o)
				f.startsLate(c.rules...)
				f.startTask(o, "run=60s")
				time.Sleep(4 * time.Second)
				reported, running := len(o.states()) > 0, len(f.worker.History()) > 0
				if reported && running || running != (f.ledger.Reserved() != sizes.Resources{}) {
					t.Errorf("attempt reported as %v, runs %v, %v reserved", o.states(), running, f.ledger.Reserved())
				}
				time.Sleep(4 * time.Second)
				f.wantStates(o, c.want)
				if got := f.ledger.Reserved(); got != (sizes.Resources{}) {
					t.Errorf("%v still reserved", got)
				}
			})
		})
	}
}

// Guards against a task that runs after its stop was confirmed: the agent that confirms has replaced the one that
// started the task, and the worker executes the start late.
func TestStopCoversStartOfEarlierAgent(t *testing.T) {
	for _, reason := range []wire.StopReason{wire.StopCancel, wire.StopEvict} {
		t.Run(reason.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, before, after := newFixture(t), &owner{}, &owner{}
				f.adopt(before)
				f.startsLate()
				f.startTask(before, "run=60s")
				f.restart("second")
				f.adopt(after)
				f.send(after, &wire.StopTask{Partition: partition, Epoch: 1, Task: task1, Attempt: 1, Reason: reason})
				time.Sleep(5 * time.Second)
				if got := after.states(); len(got) != 1 || got[0] != wire.TaskStopped {
					t.Errorf("reported states %v, want Stopped", got)
				}
				if h := f.worker.History(); len(h) != 0 {
					t.Errorf("the worker ran %v", h)
				}
				f.send(after, &wire.TaskReportAck{Task: task1, Attempt: 1})
				if n := f.runner.Unreported(); n != 0 {
					t.Errorf("%d attempts left after the acknowledgement", n)
				}
			})
		})
	}
}

// Guards against an attempt that stays on a worker for good, unaccounted for: the worker executes the start of an agent
// after another one has replaced it.
func TestLateStartOfEarlierAgentIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, before, after := newFixture(t), &owner{}, &owner{}
		f.adopt(before)
		f.startsLate()
		f.startTask(before, "run=60s")
		f.restart("second")
		f.adopt(after)
		time.Sleep(agentLease + 10*time.Second)
		f.wantStates(after, wire.TaskStopped)
		list, err := f.worker.Tasks(t.Context())
		if err != nil || len(list) != 1 || list[0].State != worker.Stopped {
			t.Errorf("the worker has %+v, %v; want one attempt that is Stopped", list, err)
		}
		f.send(after, &wire.TaskReportAck{Task: task1, Attempt: 1})
		time.Sleep(2 * agentLease)
		if list, err = f.worker.Tasks(t.Context()); err != nil || len(list) != 0 || f.runner.Unreported() != 0 {
			t.Errorf("after the acknowledgement the worker has %+v, %v", list, err)
		}
	})
}

// Guards against a throttle of a deposed owner, which would slow a task that another owner has adopted.
func TestThrottleOfDeposedOwnerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, deposed, current := newFixture(t), &owner{}, &owner{}
		f.adopt(deposed)
		f.startTask(deposed, "run=60s")
		f.send(current, &wire.Adopt{Partition: partition, Epoch: 2})
		limit := func() int64 {
			time.Sleep(time.Second)
			list, err := f.worker.Tasks(t.Context())
			if err != nil || len(list) != 1 {
				t.Fatalf("the worker has %+v, %v", list, err)
			}
			return list[0].Limit
		}
		f.send(deposed, &wire.ThrottleTask{Task: task1, Attempt: 1, Processors: 100})
		if got := limit(); got != 0 {
			t.Errorf("the deposed owner limits the task to %d", got)
		}
		f.send(current, &wire.ThrottleTask{Task: task1, Attempt: 1, Processors: 200})
		if got := limit(); got != 200 {
			t.Errorf("the limit is %d, want the 200 of the current owner", got)
		}
	})
}

// Guards against a task that stays reserved for good: its stop fails once, and the repetition is due while the queue of
// the runner is full.
func TestFullQueueDelaysRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newFixture(t), &owner{}
		f.adopt(o)
		f.startTask(o, "run=60s")
		if err := f.worker.Faults().Set(script.Rule{Action: script.Down, Kind: standin.KindStop, Count: 1}); err != nil {
			t.Fatal(err)
		}
		f.send(o, &wire.StopTask{Partition: partition, Epoch: 1, Task: task1, Attempt: 1, Reason: wire.StopCancel})
		f.stop()
		for f.runner.HandleMessage(o, &wire.HeartbeatAck{}) {
		}
		time.Sleep(time.Second)
		f.run()
		time.Sleep(5 * time.Second)
		if got := f.ledger.Reserved(); got != (sizes.Resources{}) {
			t.Errorf("%v still reserved", got)
		}
	})
}
