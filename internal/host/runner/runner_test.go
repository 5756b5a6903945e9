package runner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/host/runner"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const agentLease = 20 * time.Second

var (
	capacity  = sizes.Resources{Processors: 4000, Memory: 1000}
	partition = ident.Partition{Zone: "agadir", Number: 1}
	task1     = ident.Task{Job: "plan", Index: 1}
)

// owner records the messages that it receives.
type owner struct {
	mu       sync.Mutex
	messages []wire.Message
}

func (o *owner) Send(m wire.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = append(o.messages, m)
	return nil
}

func (o *owner) states() []wire.TaskState {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []wire.TaskState
	for _, m := range o.messages {
		if r, ok := m.(*wire.TaskReport); ok && (len(list) == 0 || list[len(list)-1] != r.State) {
			list = append(list, r.State)
		}
	}
	return list
}

func (o *owner) inventory() *wire.Inventory {
	o.mu.Lock()
	defer o.mu.Unlock()
	var last *wire.Inventory
	for _, m := range o.messages {
		if i, ok := m.(*wire.Inventory); ok {
			last = i
		}
	}
	return last
}

// fixture is a worker with a runner; restart replaces only the runner and its ledger, as a restart of the agent does.
type fixture struct {
	t      *testing.T
	worker *standin.Worker
	client worker.Platform // of the agents that are started from now on
	ledger *ledger.Ledger
	runner *runner.Runner
	self   ident.Incarnation
	stop   func()
}

func newFixture(t *testing.T) *fixture {
	objects := store.New(store.Options{})
	f := &fixture{t: t, worker: standin.New(standin.Options{Worker: "w1", Total: capacity, Objects: objects})}
	f.client = f.worker
	t.Cleanup(f.worker.Close)
	f.restart("first")
	t.Cleanup(func() { f.stop() })
	return f
}

func (f *fixture) restart(self ident.Incarnation) {
	if f.stop != nil {
		f.stop()
	}
	f.self = self
	f.ledger = ledger.New(capacity)
	f.runner = runner.New(runner.Config{Incarnation: self, Worker: f.client, Ledger: f.ledger, Log: zap.NewNop()})
	if err := f.runner.Restore(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.run()
}

func (f *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.runner.Run(ctx)
		close(done)
	}()
	f.stop = func() {
		cancel()
		<-done
	}
}

func (f *fixture) send(o *owner, m wire.Message) {
	if !f.runner.HandleMessage(o, m) {
		f.t.Fatal("the input queue of the runner is full")
	}
	synctest.Wait()
}

// adopt makes o the owner of the partition in epoch 1, with no attempts to drop.
func (f *fixture) adopt(o *owner) {
	f.send(o, &wire.Adopt{Partition: partition, Epoch: 1})
	f.send(o, &wire.Reconcile{Partition: partition, Epoch: 1})
}

// startTask starts the first attempt of the task in epoch 1.
func (f *fixture) startTask(o *owner, command string) {
	f.send(o, &wire.StartTask{
		Partition: partition, Epoch: 1, Task: task1, Attempt: 1, Incarnation: f.self, Command: command,
		Size: sizes.Resources{Processors: 1000, Memory: 400}, Until: f.runner.Now() + int64(agentLease),
	})
}

func (f *fixture) grant(o *owner, epoch ident.Epoch) {
	f.send(o, &wire.HeartbeatAck{
		Until:   f.runner.Now() + int64(agentLease),
		Granted: []wire.PartitionEpoch{{Partition: partition, Epoch: epoch}},
	})
}

// renewFor grants the lease every 5 s for d.
func (f *fixture) renewFor(o *owner, epoch ident.Epoch, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.grant(o, epoch)
		time.Sleep(5 * time.Second)
	}
}

func (f *fixture) wantStates(o *owner, want ...wire.TaskState) {
	f.t.Helper()
	synctest.Wait()
	got := o.states()
	if len(got) != len(want) {
		f.t.Fatalf("reported states %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			f.t.Fatalf("reported states %v, want %v", got, want)
		}
	}
}

// Guards against a task whose start or end is not reported, or whose resources stay reserved after its end.
func TestTaskRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newFixture(t), &owner{}
		f.adopt(o)
		f.startTask(o, "run=60s")
		if got := f.ledger.Reserved().Memory; got != 400 {
			t.Errorf("%d bytes reserved, want 400", got)
		}
		f.renewFor(o, 1, 70*time.Second)
		f.wantStates(o, wire.TaskRunning, wire.TaskFinished)
		f.send(o, &wire.TaskReportAck{Task: task1, Attempt: 1})
		time.Sleep(time.Second)
		if n := f.runner.Unreported(); n != 0 {
			t.Errorf("%d attempts left after the acknowledgement", n)
		}
		if got := f.ledger.Reserved(); got != (sizes.Resources{}) {
			t.Errorf("%v still reserved", got)
		}
	})
}

// Guards against a start that is stale, does not fit or reaches a leaving agent: the runner must refuse it without
// calling the worker.
func TestStartIsRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture, m *wire.StartTask)
	}{
		{"older epoch", func(_ *fixture, m *wire.StartTask) { m.Epoch = 1 }},
		{"incarnation before a restart", func(_ *fixture, m *wire.StartTask) { m.Incarnation = "before" }},
		{"expired lease", func(f *fixture, m *wire.StartTask) { m.Until = f.runner.Now() }},
		{"partition not adopted", func(_ *fixture, m *wire.StartTask) { m.Partition.Number = 9 }},
		{"too large", func(_ *fixture, m *wire.StartTask) { m.Size.Memory = 1001 }},
		{"leaving", func(f *fixture, _ *wire.StartTask) { f.runner.SetLeaving() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := newFixture(t), &owner{}
				f.send(o, &wire.Adopt{Partition: partition, Epoch: 2})
				m := &wire.StartTask{Partition: partition, Epoch: 2, Task: task1, Attempt: 1, Incarnation: f.self,
					Command: "run=1s", Until: f.runner.Now() + int64(agentLease)}
				c.change(f, m)
				f.send(o, m)
				f.wantStates(o, wire.TaskRefused)
				if h := f.worker.History(); len(h) != 0 {
					t.Errorf("the worker ran %v", h)
				}
			})
		})
	}
}

// Guards against progress lost to an expired lease: without renewal the task pauses in place, and it resumes after an
// owner has reconciled the inventory.
func TestExpiredLeasePausesAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newFixture(t), &owner{}
		f.adopt(o)
		f.startTask(o, "run=30s")
		time.Sleep(60 * time.Second)
		f.wantStates(o, wire.TaskRunning)
		f.send(o, &wire.Adopt{Partition: partition, Epoch: 2})
		if i := o.inventory(); len(i.Attempts) != 1 || i.Attempts[0].State != wire.TaskPaused {
			t.Fatalf("inventory %+v, want one paused attempt", i)
		}
		f.grant(o, 2)
		time.Sleep(20 * time.Second)
		f.wantStates(o, wire.TaskRunning) // a grant before Reconcile renews nothing
		f.send(o, &wire.Reconcile{Partition: partition, Epoch: 2})
		f.renewFor(o, 2, 20*time.Second)
		f.wantStates(o, wire.TaskRunning, wire.TaskFinished)
	})
}

// Guards against a restarted agent that loses the tasks of its worker or obeys a deposed owner.
func TestRestartedAgentKeepsTasksAndFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, before, after := newFixture(t), &owner{}, &owner{}
		f.adopt(before)
		f.startTask(before, "run=10s")
		f.restart("second")
		if got := f.ledger.Reserved().Memory; got != 400 {
			t.Errorf("%d bytes reserved after the restart, want 400", got)
		}
		f.send(after, &wire.Adopt{Partition: partition, Epoch: 2})
		if i := after.inventory(); i == nil || len(i.Attempts) != 1 {
			t.Fatalf("inventory %+v, want the running attempt", i)
		}
		f.send(before, &wire.StopTask{Partition: partition, Epoch: 1, Task: task1, Attempt: 1, Reason: wire.StopCancel})
		f.send(before, &wire.Adopt{Partition: partition, Epoch: 1})
		if i := before.inventory(); i == nil || i.Epoch != 2 {
			t.Errorf("the deposed owner received inventory %+v, want one of epoch 2", i)
		}
		f.send(after, &wire.Reconcile{Partition: partition, Epoch: 2})
		f.renewFor(after, 2, 15*time.Second)
		f.wantStates(after, wire.TaskFinished)
	})
}

// Guards against an eviction that loses progress or leaves the attempt running.
func TestEvictionLeavesCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newFixture(t), &owner{}
		f.adopt(o)
		f.startTask(o, "run=60s")
		time.Sleep(5 * time.Second)
		f.send(o, &wire.StopTask{Partition: partition, Epoch: 1, Task: task1, Attempt: 1, Reason: wire.StopEvict})
		f.wantStates(o, wire.TaskRunning, wire.TaskEvicted)
		last, ok := o.messages[len(o.messages)-1].(*wire.TaskReport)
		if !ok || last.Checkpoint == "" {
			t.Fatalf("last message %+v, want a report with a checkpoint", o.messages[len(o.messages)-1])
		}
		f.send(o, &wire.TaskReportAck{Task: task1, Attempt: 1})
		f.send(o, &wire.StartTask{Partition: partition, Epoch: 1, Task: task1, Attempt: 2, Incarnation: f.self,
			Command: "run=60s", Checkpoint: last.Checkpoint, Until: f.runner.Now() + int64(agentLease)})
		f.renewFor(o, 1, 60*time.Second)
		f.wantStates(o, wire.TaskRunning, wire.TaskEvicted, wire.TaskRunning, wire.TaskFinished)
	})
}

// Guards against a superseded attempt that keeps running after Reconcile.
func TestReconcileStopsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newFixture(t), &owner{}
		f.adopt(o)
		f.startTask(o, "run=60s")
		f.send(o, &wire.Adopt{Partition: partition, Epoch: 2})
		f.send(o, &wire.Reconcile{Partition: partition, Epoch: 2, Drop: o.inventory().Attempts})
		f.renewFor(o, 2, 10*time.Second)
		list, err := f.worker.Tasks(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range list {
			if s.State != worker.Stopped {
				t.Errorf("attempt %v is %v, want Stopped", s.Ref, s.State)
			}
		}
		if f.ledger.Reserved() != (sizes.Resources{}) {
			t.Errorf("%v still reserved", f.ledger.Reserved())
		}
	})
}

// Guards against a throttle or an eviction that does not reach the worker, and against a restarted agent that does not
// know the class of a task.
func TestLimitsReachTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := newFixture(t), &owner{}
		f.adopt(o)
		f.send(o, &wire.StartTask{Partition: partition, Epoch: 1, Task: task1, Attempt: 1, Incarnation: f.self, Class: "scan",
			Command: "run=60s", Size: sizes.Resources{Processors: 1000}, Until: f.runner.Now() + int64(agentLease)})
		f.restart("second")
		ref := worker.Ref{Task: task1, Attempt: 1}
		if !f.runner.Throttle(ref, 250) {
			t.Fatal("the throttle was refused")
		}
		time.Sleep(2 * time.Second)
		list := f.runner.Snapshot()
		if len(list) != 1 || list[0].Class != "scan" || list[0].Status.Limit != 250 {
			t.Fatalf("snapshot %+v, want one task of class scan with a limit of 250", list)
		}
		if !f.runner.Evict(ref) || f.runner.Evict(worker.Ref{Task: task1, Attempt: 2}) {
			t.Error("Evict must affect exactly the attempt that the runner has")
		}
		f.send(o, &wire.Adopt{Partition: partition, Epoch: 2})
		f.send(o, &wire.Reconcile{Partition: partition, Epoch: 2})
		f.wantStates(o, wire.TaskRunning, wire.TaskEvicted)
	})
}

// Guards against late messages of a replaced session, which must not make it the owner of the partition again.
func TestReplacedSessionChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, old, current := newFixture(t), &owner{}, &owner{}
		f.adopt(old)
		f.adopt(current)
		f.send(old, &wire.Adopt{Partition: partition, Epoch: 1})
		f.startTask(old, "run=10s")
		f.wantStates(old, wire.TaskRefused)
		f.startTask(current, "run=10s")
		f.renewFor(current, 1, 15*time.Second)
		f.wantStates(current, wire.TaskRunning, wire.TaskFinished)
	})
}
