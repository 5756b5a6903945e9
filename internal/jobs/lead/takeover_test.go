package lead_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// inWorld runs f in virtual time with two entries, of which entry-1 leads, and two workers of four processors.
func inWorld(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, 1)
		w.addEntry("entry-1")
		time.Sleep(500 * time.Millisecond)
		w.addEntry("entry-2")
		w.addHost("host-1", 4000)
		w.addHost("host-2", 4000)
		time.Sleep(3 * time.Second)
		f(w)
		w.checkRuns()
		cancel()
		for _, e := range w.entries {
			<-e.done
		}
		w.wg.Wait()
		time.Sleep(time.Minute)
	})
}

func runsOf(w *world, id spec.ID) []runs.Record {
	var list []runs.Record
	for task, r := range w.records() {
		if strings.HasPrefix(task, string(id)) {
			list = append(list, r...)
		}
	}
	return list
}

// Guards against runs that a new leader stops or starts again although they went on under the leader before.
func TestTakeoverKeepsRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: 6 * time.Second}
		}
		j := job(1, 1, 6)
		w.submit(j)
		time.Sleep(time.Second)
		w.kill("entry-1")
		w.awaitState(j.ID, rows.Done, 20*time.Second)
		if n := len(runsOf(w, j.ID)); n != 6 {
			t.Errorf("%d runs of 6 tasks", n)
		}
	})
}

// Guards against a failure that is counted again by the next leader: the end is stored, but was not noted yet.
func TestFailureCountsOnce(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(r wire.Run) runs.Plan {
			if r.Number == 1 {
				return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: time.Second, Fails: true}
			}
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: 8 * time.Second}
		}
		j := job(1, 1, 1)
		w.submit(j)
		first := w.awaitEnd(j.ID)
		time.Sleep(3 * linkDelay) // the leader has the end
		w.set(w.cut, first.Worker, true)
		w.dropLinks(first.Worker)
		time.Sleep(300 * time.Millisecond) // it is stored
		w.kill("entry-1")
		w.set(w.cut, first.Worker, false)
		w.awaitState(j.ID, rows.Done, 30*time.Second)
	})
}

// awaitEnd waits for the first end of a run of a job.
func (w *world) awaitEnd(id spec.ID) runs.Record {
	w.t.Helper()
	for range 5000 {
		for _, r := range runsOf(w, id) {
			if !r.Ended.IsZero() {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
	w.t.Fatalf("no run of job %s ends", id)
	return runs.Record{}
}

// Guards against a leader that grants leases for ever although the store turns it away: the next leader counts on their
// end and starts the tasks elsewhere.
func TestDeposedLeaderStopsGranting(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: time.Minute}
		}
		w.set(w.apart, "entry-2/host-1", true)
		w.submit(job(1, 1, 4))
		time.Sleep(time.Second)
		w.set(w.deaf, "entry-1", true)
		time.Sleep(40 * time.Second)
		if n := len(runsOf(w, job(1, 1, 1).ID)); n <= 4 {
			t.Errorf("%d runs; no task of host-1 was started elsewhere", n)
		}
	})
}

// Guards against a leader that was paused or cut off and still tells callers what it knew, though its successor went on.
func TestDeposedLeaderTellsNoStates(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: 4 * time.Second}
		}
		j := job(1, 1, 1)
		w.submit(j)
		time.Sleep(time.Second)
		old := w.term()
		w.set(w.deaf, "entry-1", true)
		time.Sleep(7 * time.Second)
		e := &end{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}
		old.Ask(e, &wire.JobAsk{Action: wire.JobState, ID: string(j.ID)})
		select {
		case m := <-e.out:
			if tell, ok := m.(*wire.JobTell); !ok || tell.Verdict != wire.VerdictNotReady {
				t.Errorf("a leader without the store for 7 s tells %+v", m)
			}
		case <-time.After(time.Second): // its term has ended
		}
		w.awaitState(j.ID, rows.Done, 20*time.Second)
	})
}

// Guards against a cancelled job whose runs go on because the leader that knew them is gone.
func TestTakeoverStopsCancelledRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan { return runs.Plan{Size: sizes.Resources{Processors: 1000}} }
		j := job(1, 1, 2)
		j.Steps[0].Lasting = true
		w.submit(j)
		time.Sleep(time.Second)
		w.kill("entry-1")
		if v := w.intake().Cancel(w.ctx, j.ID); v != intake.Accepted {
			t.Fatalf("cancel: %v", v)
		}
		cancelled := time.Now()
		time.Sleep(5 * time.Second)
		for _, r := range runsOf(w, j.ID) {
			if r.Ended.IsZero() || r.Ended.Sub(cancelled) > 5*time.Second {
				t.Errorf("run %v goes on after the cancellation", r.Run)
			}
		}
		w.awaitState(j.ID, rows.Cancelled, 5*time.Second)
	})
}

// Guards against tasks that wait for more than the lease of a lost worker when the leader before has certainly ended.
func TestHandoverShortensTheWait(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: time.Minute}
		}
		j := job(1, 1, 4)
		w.submit(j)
		time.Sleep(time.Second)
		w.set(w.cut, "host-1", true)
		w.dropLinks("host-1")
		lost := time.Now()
		w.mu.Lock()
		e := w.entries["entry-1"]
		w.mu.Unlock()
		e.cancel() // hands the cell over
		<-e.done
		time.Sleep(lease + 2*time.Second)
		moved := 0
		for _, r := range runsOf(w, j.ID) {
			if r.Began.After(lost) {
				moved++
			}
		}
		if moved == 0 {
			t.Errorf("no task of the lost worker was started within %v", lease+2*time.Second)
		}
	})
}

// Guards against a start elsewhere before the lease of a worker that cannot be asked has certainly ended.
func TestUnreachableWorkerIsWaitedFor(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: time.Minute}
		}
		j := job(1, 1, 4)
		w.submit(j)
		time.Sleep(time.Second)
		w.set(w.cut, "host-1", true)
		w.dropLinks("host-1")
		lost := time.Now()
		time.Sleep(15 * time.Second)
		moved := 0
		for _, r := range runsOf(w, j.ID) {
			if r.Run.Number > 1 {
				moved++
				if r.Worker != "host-2" || r.Began.Sub(lost) < lease-time.Second {
					t.Errorf("run %v on %s after %v", r.Run, r.Worker, r.Began.Sub(lost))
				}
			}
		}
		if moved == 0 {
			t.Error("no task of the lost worker was started elsewhere")
		}
	})
}

// Guards against runs that a new leader does not know, since their jobs were told to the leader before it while it took
// the cell over, and that it starts again beside them.
func TestUnknownRunIsNotStartedAgain(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 10}, Takes: 3 * time.Second}
		}
		w.mu.Lock()
		w.tellTo = "entry-1"
		w.mu.Unlock()
		w.set(w.deaf, "entry-1", true) // it leads on until it learns that it does not
		time.Sleep(2200 * time.Millisecond)
		jobs := 0
		submit := func(n int) {
			j := job(n, 1, 1)
			j.Steps[0].Size.Processors = 10
			w.submit(j)
		}
		for w.entries["entry-2"].leader.Term() == nil {
			jobs++
			submit(jobs)
		}
		w.mu.Lock()
		w.tellTo = ""
		w.mu.Unlock()
		for n := range min(jobs, 8) { // callers without an answer ask again, and the new leader hears of the jobs
			submit(jobs - n)
		}
		for n := range jobs {
			w.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against orders that were lost with a session: the tasks must start all the same, and once.
func TestLostOrderIsRepeated(t *testing.T) {
	inWorld(t, func(w *world) {
		for n := range 10 {
			w.submit(job(n+1, 2, 2))
			time.Sleep(20 * time.Millisecond)
			w.dropLinks("host-1")
			w.dropLinks("host-2")
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 10 {
			w.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against a worker that is loaded over its capacity, also by runs that are being stopped.
func TestCapacityHolds(t *testing.T) {
	inWorld(t, func(w *world) {
		for n := range 6 {
			w.submit(job(n+1, 1, 8))
		}
		time.Sleep(700 * time.Millisecond)
		for n := range 3 {
			w.intake().Cancel(w.ctx, job(n+1, 1, 1).ID)
		}
		for n := 3; n < 6; n++ {
			w.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
		}
	})
}

// Guards against a job that is shown as done before that is stored, and a step that starts before the one it follows.
func TestStepsFollowEachOther(t *testing.T) {
	inWorld(t, func(w *world) {
		j := job(1, 3, 4)
		w.submit(j)
		w.awaitState(j.ID, rows.Done, 20*time.Second)
		var lastOf, firstOf [3]time.Time
		for task, list := range w.records() {
			id, err := spec.ParseTask(task)
			if err != nil {
				t.Fatal(err)
			}
			r := list[len(list)-1]
			if r.Ended.After(lastOf[id.Step]) {
				lastOf[id.Step] = r.Ended
			}
			if first := list[0].Began; firstOf[id.Step].IsZero() || first.Before(firstOf[id.Step]) {
				firstOf[id.Step] = first
			}
		}
		for s := 1; s < 3; s++ {
			if firstOf[s].Before(lastOf[s-1]) {
				t.Errorf("step %d began %v before step %d had ended", s, lastOf[s-1].Sub(firstOf[s]), s-1)
			}
		}
	})
}

// Guards against a gang whose members start with different numbers or not together.
func TestGangStartsTogether(t *testing.T) {
	inWorld(t, func(w *world) {
		j := job(1, 1, 6)
		j.Steps[0].Gang = true
		w.submit(job(2, 1, 5)) // leaves no room for all members at first
		w.submit(j)
		w.awaitState(j.ID, rows.Done, 20*time.Second)
		var began time.Time
		for _, r := range runsOf(w, j.ID) {
			if began.IsZero() {
				began = r.Began
			}
			if d := r.Began.Sub(began); d > 100*time.Millisecond || d < -100*time.Millisecond {
				t.Errorf("member %v began %v apart", r.Run, d)
			}
			if r.Run.Number != 1 {
				t.Errorf("member %v; want number 1", r.Run)
			}
		}
	})
}

// Guards against more tasks of a step on a worker than its limit, and starts before the due time.
func TestSpreadAndDueTime(t *testing.T) {
	inWorld(t, func(w *world) {
		j := job(1, 1, 2)
		j.Steps[0].PerWorker = 1
		due := time.Now().Add(3 * time.Second)
		j.Occurrences, j.StartAt, j.Interval = 2, due.UnixMilli(), 2000
		w.submit(j)
		w.awaitState(j.ID, rows.Done, 20*time.Second)
		seen := make(map[string]bool)
		for _, r := range runsOf(w, j.ID) {
			id, err := spec.ParseTask(r.Run.Task)
			if err != nil {
				t.Fatal(err)
			}
			if at := due.Add(time.Duration(id.Round) * 2 * time.Second); r.Began.Before(at) {
				t.Errorf("%s began %v before it was due", r.Run.Task, at.Sub(r.Began))
			}
			key := r.Worker + string(rune('0'+id.Round))
			if seen[key] {
				t.Errorf("two tasks of occurrence %d on %s", id.Round, r.Worker)
			}
			seen[key] = true
		}
	})
}

// Guards against a task that is shown as failed too early or retried without end.
func TestAttemptsAreBounded(t *testing.T) {
	inWorld(t, func(w *world) {
		w.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: 300 * time.Millisecond, Fails: true}
		}
		j := job(1, 1, 1)
		w.submit(j)
		w.awaitState(j.ID, rows.Failed, 20*time.Second)
		time.Sleep(2 * time.Second)
		if n := len(runsOf(w, j.ID)); n != 2 {
			t.Errorf("%d runs; want 2", n)
		}
	})
}

// Guards against a leader that starts a job which was told to its successor, and which that one starts too.
func TestJobOfLaterEpochIsLeft(t *testing.T) {
	inWorld(t, func(w *world) {
		old := w.term()
		j := job(1, 1, 2)
		j.Epoch = old.Epoch() + 1
		packed, err := wire.Pack(j)
		if err != nil {
			t.Fatal(err)
		}
		e := &end{out: make(chan wire.Message, 1), closed: make(chan struct{}), once: &sync.Once{}}
		old.Ask(e, &wire.JobAsk{Action: wire.JobAccepted, ID: string(j.ID), Packed: packed})
		time.Sleep(2 * time.Second)
		if list := runsOf(w, j.ID); len(list) > 0 {
			t.Errorf("a leader of epoch %d started %d runs of a job that epoch %d was told", old.Epoch(), len(list), j.Epoch)
		}
	})
}
