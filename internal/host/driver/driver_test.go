package driver_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// leader records the messages of an agent.
type leader struct {
	mu       sync.Mutex
	messages []wire.Message
	closed   error
	grant    func()
}

func (l *leader) Send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages = append(l.messages, m)
	return nil
}

func (l *leader) Close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = err
}

func (l *leader) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed != nil
}

func (l *leader) reports() []*wire.RunReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*wire.RunReport
	for _, m := range l.messages {
		if r, ok := m.(*wire.RunReport); ok {
			list = append(list, r)
		}
	}
	return list
}

// ends returns how often each ended run was reported.
func (l *leader) ends() map[uint64]int {
	n := make(map[uint64]int)
	for _, r := range l.reports() {
		for _, e := range r.Ended {
			n[e.Number]++
		}
	}
	return n
}

// receivedGone reports whether the end of the worker was reported.
func (l *leader) receivedGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if s, ok := m.(*wire.WorkerState); ok && s.Phase == wire.WorkerGone {
			return true
		}
	}
	return false
}

// countingWorker counts the polls of a worker and may leave them without a response.
type countingWorker struct {
	*runs.Worker
	mu       sync.Mutex
	polls    int
	requests []driver.PollRequest
	mute     bool          // polls get no response
	refuses  bool          // every second poll is refused
	delay    time.Duration // of the responses to polls
	latency  time.Duration // of polls, before they are carried out
}

func (w *countingWorker) Poll(ctx context.Context, request driver.PollRequest) (driver.PollResponse, error) {
	w.mu.Lock()
	w.polls++
	w.requests = append(w.requests, request)
	mute, delay, refuses, latency := w.mute, w.delay, w.refuses && w.polls%2 == 0, w.latency
	w.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return driver.PollResponse{}, ctx.Err()
		}
	}
	if refuses {
		return driver.PollResponse{}, &driver.RefusedError{Reason: wire.RefusedSick}
	}
	defer time.Sleep(delay)
	if mute {
		<-ctx.Done()
		return driver.PollResponse{}, ctx.Err()
	}
	return w.Worker.Poll(ctx, request)
}

func (w *countingWorker) setMute(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
}

// forgetRequests forgets the polls so far.
func (w *countingWorker) forgetRequests() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = nil
}

// polled returns the polls since forgetRequests.
func (w *countingWorker) polled() []driver.PollRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.requests)
}

func (w *countingWorker) pollCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polls
}

const lease = 5 * time.Second

// withAgent runs f in virtual time with an agent that has adopted a leader with token 5.
func withAgent(t *testing.T, f func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader)) {
	t.Helper()
	withWrappedWorker(t, func(w *countingWorker) driver.Worker { return w }, f)
}

// withWrappedWorker is withAgent with calls to the worker that wrap returns.
func withWrappedWorker(
	t *testing.T, wrap func(*countingWorker) driver.Worker,
	f func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &countingWorker{Worker: &runs.Worker{
			Name: "w", Capacity: sizes.Resources{Processors: 4000, Memory: 1}, StopTime: 300 * time.Millisecond, MaxLease: lease,
			Plan: func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Second} },
		}}
		w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 1})
		a := driver.New(driver.Config{Worker: wrap(w), Lease: lease, Log: zap.NewNop()})
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		a.Announce(w.State(), 1)
		l := &leader{}
		a.Adopt(l, &wire.LeadAdopt{Token: 5})
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		l.grant = func() {
			a.Grant(l, &wire.LeaseGrant{Incarnation: w.Incarnation(), Clock: time.Since(began).Milliseconds() + 100})
		}
		wg.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(time.Second) {
				l.grant()
			}
		})
		time.Sleep(time.Millisecond)
		f(ctx, a, w, l)
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
}

func commands(n uint64, w *countingWorker, starts ...wire.Run) *wire.TaskOrders {
	o := &wire.TaskOrders{Incarnation: w.Incarnation(), Number: n}
	for _, r := range starts {
		o.Starts = append(o.Starts, wire.StartCommand{RunProfile: wire.RunProfile{Run: r}})
	}
	return o
}

var run1 = wire.Run{Task: "5c0e7a21d94b36f8.0.0.0", Number: 1}

// Guards against polling without pause while ended runs are not acknowledged, and against an ended run that is not
// reported again to a new leader.
func TestEndsAreReportedUntilAcknowledged(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		a.Execute(ctx, l, commands(1, w, run1))
		time.Sleep(1200 * time.Millisecond)
		if n := l.ends()[1]; n != 1 {
			t.Fatalf("the ended run was reported %d times, want 1", n)
		}
		before := w.pollCount()
		time.Sleep(time.Second)
		if n := w.pollCount() - before; n > 40 {
			t.Errorf("%d polls in a second while an ended run is not acknowledged", n)
		}
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		time.Sleep(200 * time.Millisecond)
		if n := next.ends()[1]; n != 1 {
			t.Errorf("the ended run was reported to the next leader %d times, want 1", n)
		}
		a.Execute(ctx, next, &wire.TaskOrders{Incarnation: w.Incarnation(), Number: 1, DurableEnds: 1})
		time.Sleep(1500 * time.Millisecond)
		if r := w.Records(); r[0].Acknowledged.IsZero() {
			t.Error("the ended run was not acknowledged to the worker")
		}
	})
}

// Guards against polling without pause when the leader disconnects before the first complete report.
func TestPollsPauseWithoutLeader(t *testing.T) {
	withAgent(t, func(_ context.Context, a *driver.Agent, w *countingWorker, _ *leader) {
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		a.LeaderDisconnected(next)
		before := w.pollCount()
		time.Sleep(2 * time.Second)
		if n := w.pollCount() - before; n > 20 {
			t.Errorf("%d polls in two seconds without a leader", n)
		}
	})
}

// Guards against a start without response that stays pending, and one that is executed after its run was stopped.
func TestUnansweredStartIsCancelled(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault runs.Fault
		ran   bool
	}{
		{"response lost", runs.Fault{LoseAfter: true}, true},
		{"executed late", runs.Fault{LoseLate: 2 * time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				w.SetFaults(func() runs.Fault { return test.fault })
				a.Execute(ctx, l, commands(1, w, run1))
				time.Sleep(1100 * time.Millisecond) // all start attempts have timed out
				w.SetFaults(nil)
				time.Sleep(6 * time.Second)
				list := w.Records()
				if (len(list) > 0) != test.ran {
					t.Fatalf("%d runs, want any: %v", len(list), test.ran)
				}
				for _, r := range list {
					if r.Ended.IsZero() {
						t.Error("the run has not ended")
					}
				}
				reports := l.reports()
				if last := reports[len(reports)-1]; len(last.Pending) > 0 {
					t.Errorf("pending: %v", last.Pending)
				}
			})
		})
	}
}

// Guards against an agent that executes the commands of a leader with a lower fencing token.
func TestLowerTokenIsRefused(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		old := &leader{}
		if a.Adopt(old, &wire.LeadAdopt{Token: 4}) {
			t.Error("a leader with a lower token was adopted")
		}
		if m, ok := old.messages[0].(*wire.LeadAdopt); !ok || m.Token != 5 {
			t.Errorf("message to a leader with token 4: %+v; want the token 5 of the leader", old.messages[0])
		}
		a.Execute(ctx, old, commands(1, w, run1))
		time.Sleep(time.Second)
		if n := len(w.Records()); n != 0 {
			t.Errorf("%d runs were started", n)
		}
		next := &leader{}
		if !a.Adopt(next, &wire.LeadAdopt{Token: 6}) || !l.isClosed() {
			t.Error("a leader with a higher token has not replaced the current one")
		}
	})
}

// Guards against waiting for the lease of a worker whose process has ended, and against commands to an ended
// incarnation.
func TestEndOfWorkerIsReported(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		a.Execute(ctx, l, commands(1, w, run1))
		time.Sleep(200 * time.Millisecond)
		old := commands(2, w, wire.Run{Task: run1.Task, Number: 2})
		w.Crash()
		time.Sleep(700 * time.Millisecond)
		if !l.receivedGone() {
			t.Error("the end of the worker was not reported")
		}
		w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 2}) // with the same ID
		a.Announce(w.State(), 1)
		a.Execute(ctx, l, old)
		time.Sleep(time.Second)
		if n := len(w.Records()); n != 1 {
			t.Errorf("%d runs, want 1: a command to an earlier incarnation was executed", n)
		}
	})
}

// Guards against a late announcement of an earlier incarnation that replaces the current one.
func TestOldAnnouncementIsIgnored(t *testing.T) {
	withAgent(t, func(_ context.Context, a *driver.Agent, w *countingWorker, _ *leader) {
		s := w.State()
		s.Incarnation = wire.WorkerIncarnation{ID: "w-0", StartedAt: 0}
		if a.Announce(s, 100) {
			t.Error("an announcement of an earlier incarnation was accepted")
		}
	})
}

// Guards against best-effort tasks that keep running while a serving task stays over its target, whatever the weights.
func TestServingTaskOverTargetHaltsOthers(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		serving := wire.Run{Task: "5c0e7a21d94b36f8.0.0.1", Number: 1}
		var mu sync.Mutex
		tailLatency := 20
		w.Plan = func(r wire.Run) runs.Plan {
			mu.Lock()
			defer mu.Unlock()
			if r == serving {
				return runs.Plan{TailLatency: tailLatency}
			}
			return runs.Plan{RunTime: time.Hour, ProcessorUsage: 100}
		}
		o := commands(1, w)
		o.Starts = []wire.StartCommand{
			{RunProfile: wire.RunProfile{Run: serving, Target: 100, Image: "s"}},
			{RunProfile: wire.RunProfile{Run: run1, BestEffort: true, Size: 400, Image: "f"}},
		}
		o.Interference = []wire.InterferenceWeight{{Serving: "s", BestEffort: "f", Weight: 0}}
		a.Execute(ctx, l, o)
		time.Sleep(2 * time.Second)
		if p := w.Paced(run1); p != 100 {
			t.Fatalf("pace %d while the serving task is within its target, want 100", p)
		}
		mu.Lock()
		tailLatency = 500
		mu.Unlock()
		w.RefreshUsage()
		time.Sleep(2 * time.Second)
		if p := w.Paced(run1); p != 0 {
			t.Errorf("pace %d after the serving task was over its target for 2 s, want 0", p)
		}
	})
}

// Guards against a pace that is executed after a newer one and stays in force, which would stall the task for good.
func TestLatePaceIsCorrected(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		serving := wire.Run{Task: "5c0e7a21d94b36f8.0.0.1", Number: 1}
		var mu sync.Mutex
		tailLatency := 20
		w.Plan = func(r wire.Run) runs.Plan {
			mu.Lock()
			defer mu.Unlock()
			if r == serving {
				return runs.Plan{TailLatency: tailLatency}
			}
			return runs.Plan{RunTime: time.Hour, ProcessorUsage: 100}
		}
		setTailLatency := func(n int) {
			mu.Lock()
			tailLatency = n
			mu.Unlock()
			w.RefreshUsage()
		}
		o := commands(1, w)
		o.Starts = []wire.StartCommand{
			{RunProfile: wire.RunProfile{Run: serving, Target: 100, Image: "s"}},
			{RunProfile: wire.RunProfile{Run: run1, BestEffort: true, Size: 400, Image: "f"}},
		}
		a.Execute(ctx, l, o)
		time.Sleep(time.Second)
		w.SetFaults(func() runs.Fault { return runs.Fault{LoseLate: 6 * time.Second} })
		setTailLatency(500) // the halt of the best-effort task gets no response and is executed late
		time.Sleep(1500 * time.Millisecond)
		w.SetFaults(nil)
		setTailLatency(20)
		time.Sleep(10 * time.Second)
		if p := w.Paced(run1); p != 100 {
			t.Errorf("pace %d long after the serving task is within its target, want 100", p)
		}
	})
}

// refusals returns the refusals reported so far.
func (l *leader) refusals() []wire.RunRefused {
	var list []wire.RunRefused
	for _, r := range l.reports() {
		list = append(list, r.Refused...)
	}
	return list
}

// Guards against an agent that was paused, or whose leader was, and starts a run under a lease that has run out
// meanwhile; the next leader may have started the task elsewhere.
func TestStartAfterLapsedLeaseIsRefused(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, _ *leader) {
		next := &leader{} // grants no lease
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		time.Sleep(2 * lease)
		a.Execute(ctx, next, commands(1, w, run1))
		time.Sleep(time.Second)
		if n := len(w.Records()); n != 0 {
			t.Errorf("%d runs started after the lease had lapsed", n)
		}
		if r := next.refusals(); len(r) != 1 || r[0].Reason != wire.RefusedLate {
			t.Errorf("refusals %+v; want one RefusedLate", r)
		}
	})
}

// Guards against an agent that uses a worker after its own restart although it does not know whether the worker has left
// meanwhile.
func TestRestartedAgentWaitsForAnnouncement(t *testing.T) {
	withAgent(t, func(ctx context.Context, _ *driver.Agent, w *countingWorker, _ *leader) {
		restarted := driver.New(driver.Config{Worker: w, Lease: lease, Log: zap.NewNop()})
		l := &leader{}
		restarted.Adopt(l, &wire.LeadAdopt{Token: 6})
		restarted.Execute(ctx, l, commands(1, w, run1))
		time.Sleep(time.Second)
		if n := len(w.Records()); n != 0 {
			t.Errorf("%d runs started before the worker announced itself", n)
		}
		if r := l.refusals(); len(r) != 1 || r[0].Reason != wire.RefusedLife {
			t.Errorf("refusals %+v; want one RefusedLife", r)
		}
		for _, m := range l.messages {
			if s, ok := m.(*wire.WorkerState); ok {
				t.Errorf("reported a worker before its announcement: %+v", s)
			}
		}
	})
}
