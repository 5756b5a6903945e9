package orders_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/orders"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// leader keeps what an agent sends.
type leader struct {
	mu     sync.Mutex
	list   []wire.Message
	closed error
	grant  func()
}

func (l *leader) Send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, m)
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
	for _, m := range l.list {
		if r, ok := m.(*wire.RunReport); ok {
			list = append(list, r)
		}
	}
	return list
}

// ends returns how often each end was reported.
func (l *leader) ends() map[uint64]int {
	n := make(map[uint64]int)
	for _, r := range l.reports() {
		for _, e := range r.Ended {
			n[e.Number]++
		}
	}
	return n
}

func (l *leader) gone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.list {
		if s, ok := m.(*wire.WorkerState); ok && s.Phase == wire.WorkerGone {
			return true
		}
	}
	return false
}

// looking counts the looks at a worker.
type looking struct {
	*runs.Worker
	mu    sync.Mutex
	looks int
}

func (w *looking) Look(ctx context.Context, l orders.Look) (orders.Sight, error) {
	w.mu.Lock()
	w.looks++
	w.mu.Unlock()
	return w.Worker.Look(ctx, l)
}

func (w *looking) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.looks
}

const lease = 5 * time.Second

// inAgent runs f in virtual time with an agent that follows a leader with token 5.
func inAgent(t *testing.T, f func(ctx context.Context, a *orders.Agent, w *looking, l *leader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &looking{Worker: &runs.Worker{
			Name: "w", Capacity: sizes.Resources{Processors: 4000, Memory: 1}, StopTime: 300 * time.Millisecond, MaxLease: lease,
			Plan: func(wire.Run) runs.Plan { return runs.Plan{Takes: time.Second} },
		}}
		w.Begin(wire.Life{ID: "w-1", Born: 1})
		a := orders.New(orders.Config{Worker: w, Lease: lease, Log: zap.NewNop()})
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		a.Announce(w.State(), 1)
		l := &leader{}
		a.Adopt(l, &wire.LeadAdopt{Token: 5})
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		l.grant = func() {
			a.Grant(l, &wire.LeaseGrant{Life: w.Life(), Clock: time.Since(began).Milliseconds() + 100})
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

func order(n uint64, w *looking, starts ...wire.Run) *wire.TaskOrders {
	o := &wire.TaskOrders{Life: w.Life(), Number: n}
	for _, r := range starts {
		o.Starts = append(o.Starts, wire.StartOrder{RunTrait: wire.RunTrait{Run: r}})
	}
	return o
}

var first = wire.Run{Task: "5c0e7a21d94b36f8.0.0.0", Number: 1}

// Guards against an agent that looks without pause while ends wait to be durable, and one that reports an end only once
// although the leader has changed.
func TestEndsAreReportedUntilNoted(t *testing.T) {
	inAgent(t, func(ctx context.Context, a *orders.Agent, w *looking, l *leader) {
		a.Order(ctx, l, order(1, w, first))
		time.Sleep(1200 * time.Millisecond)
		if n := l.ends()[1]; n != 1 {
			t.Fatalf("the end was reported %d times", n)
		}
		before := w.count()
		time.Sleep(time.Second)
		if n := w.count() - before; n > 40 {
			t.Errorf("%d looks in a second while an end waits", n)
		}
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		time.Sleep(200 * time.Millisecond)
		if n := next.ends()[1]; n != 1 {
			t.Errorf("the next leader heard the end %d times", n)
		}
		a.Order(ctx, next, &wire.TaskOrders{Life: w.Life(), Number: 1, Noted: 1})
		time.Sleep(1500 * time.Millisecond)
		if r := w.Records(); r[0].Noted.IsZero() {
			t.Error("the end was never noted at the worker")
		}
	})
}

// Guards against an agent that spins while its leader is gone before the first complete report.
func TestLooksPauseWithoutLeader(t *testing.T) {
	inAgent(t, func(_ context.Context, a *orders.Agent, w *looking, _ *leader) {
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		a.Lost(next)
		before := w.count()
		time.Sleep(2 * time.Second)
		if n := w.count() - before; n > 20 {
			t.Errorf("%d looks in two seconds without a leader", n)
		}
	})
}

// Guards against a start without answer that is forgotten, and one that comes late and runs although it was closed.
func TestUnansweredStartIsClosed(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault runs.Fault
		ran   bool
	}{
		{"carried out", runs.Fault{Lose: true}, true},
		{"carried out late", runs.Fault{Late: 2 * time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inAgent(t, func(ctx context.Context, a *orders.Agent, w *looking, l *leader) {
				w.SetFaults(func() runs.Fault { return test.fault })
				a.Order(ctx, l, order(1, w, first))
				time.Sleep(1100 * time.Millisecond) // the tries have passed
				w.SetFaults(nil)
				time.Sleep(6 * time.Second)
				list := w.Records()
				if (len(list) > 0) != test.ran {
					t.Fatalf("%d runs; want some: %v", len(list), test.ran)
				}
				for _, r := range list {
					if r.Ended.IsZero() {
						t.Error("the run goes on")
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

// Guards against an agent that obeys a leader with a lower token.
func TestLowerTokenIsRefused(t *testing.T) {
	inAgent(t, func(ctx context.Context, a *orders.Agent, w *looking, l *leader) {
		old := &leader{}
		if a.Adopt(old, &wire.LeadAdopt{Token: 4}) {
			t.Error("a lower token is adopted")
		}
		a.Order(ctx, old, order(1, w, first))
		time.Sleep(time.Second)
		if n := len(w.Records()); n != 0 {
			t.Errorf("%d runs were started", n)
		}
		next := &leader{}
		if !a.Adopt(next, &wire.LeadAdopt{Token: 6}) || !l.isClosed() {
			t.Error("the higher token has not replaced the leader")
		}
	})
}

// Guards against tasks that wait for the lease of a worker whose process has certainly ended, and orders to a life that
// is over.
func TestEndOfWorkerIsTold(t *testing.T) {
	inAgent(t, func(ctx context.Context, a *orders.Agent, w *looking, l *leader) {
		a.Order(ctx, l, order(1, w, first))
		time.Sleep(200 * time.Millisecond)
		old := order(2, w, wire.Run{Task: first.Task, Number: 2})
		w.Crash()
		time.Sleep(700 * time.Millisecond)
		if !l.gone() {
			t.Error("the end of the worker was not told")
		}
		w.Begin(wire.Life{ID: "w-1", Born: 2}) // under the id that it had
		a.Announce(w.State(), 1)
		a.Order(ctx, l, old)
		time.Sleep(time.Second)
		if n := len(w.Records()); n != 1 {
			t.Errorf("%d runs; an order to an earlier life was carried out", n)
		}
	})
}

// Guards against a late announcement of an earlier life that replaces the present one.
func TestOldAnnouncementIsIgnored(t *testing.T) {
	inAgent(t, func(_ context.Context, a *orders.Agent, w *looking, _ *leader) {
		s := w.State()
		s.Life = wire.Life{ID: "w-0", Born: 0}
		if a.Announce(s, 100) {
			t.Error("an announcement of an earlier life is taken")
		}
	})
}

// Guards against tasks that fill and work on while a serving task stays over its target, whatever was learned.
func TestServingTaskOverTargetHaltsOthers(t *testing.T) {
	inAgent(t, func(ctx context.Context, a *orders.Agent, w *looking, l *leader) {
		serving := wire.Run{Task: "5c0e7a21d94b36f8.0.0.1", Number: 1}
		var mu sync.Mutex
		figure := 20
		w.Plan = func(r wire.Run) runs.Plan {
			mu.Lock()
			defer mu.Unlock()
			if r == serving {
				return runs.Plan{Serving: figure}
			}
			return runs.Plan{Takes: time.Hour, Figure: 100}
		}
		o := order(1, w)
		o.Starts = []wire.StartOrder{
			{RunTrait: wire.RunTrait{Run: serving, Target: 100, Image: "s"}},
			{RunTrait: wire.RunTrait{Run: first, Fills: true, Size: 400, Image: "f"}},
		}
		o.Press = []wire.PressWeight{{Serving: "s", Filling: "f", Weight: 0}}
		a.Order(ctx, l, o)
		time.Sleep(2 * time.Second)
		if p := w.Paced(first); p != 100 {
			t.Fatalf("paced to %d beside a calm serving task", p)
		}
		mu.Lock()
		figure = 500
		mu.Unlock()
		w.Refresh()
		time.Sleep(2 * time.Second)
		if p := w.Paced(first); p != 0 {
			t.Errorf("paced to %d while the serving task is over its target for 2 s", p)
		}
	})
}

// Guards against a pace that is carried out after a newer one and stays: the task would stand still for good.
func TestLatePaceIsCorrected(t *testing.T) {
	inAgent(t, func(ctx context.Context, a *orders.Agent, w *looking, l *leader) {
		serving := wire.Run{Task: "5c0e7a21d94b36f8.0.0.1", Number: 1}
		var mu sync.Mutex
		figure := 20
		w.Plan = func(r wire.Run) runs.Plan {
			mu.Lock()
			defer mu.Unlock()
			if r == serving {
				return runs.Plan{Serving: figure}
			}
			return runs.Plan{Takes: time.Hour, Figure: 100}
		}
		show := func(f int) {
			mu.Lock()
			figure = f
			mu.Unlock()
			w.Refresh()
		}
		o := order(1, w)
		o.Starts = []wire.StartOrder{
			{RunTrait: wire.RunTrait{Run: serving, Target: 100, Image: "s"}},
			{RunTrait: wire.RunTrait{Run: first, Fills: true, Size: 400, Image: "f"}},
		}
		a.Order(ctx, l, o)
		time.Sleep(time.Second)
		w.SetFaults(func() runs.Fault { return runs.Fault{Late: 6 * time.Second} })
		show(500) // the halt of the task that fills gets no answer and is carried out late
		time.Sleep(1500 * time.Millisecond)
		w.SetFaults(nil)
		show(20)
		time.Sleep(10 * time.Second)
		if p := w.Paced(first); p != 100 {
			t.Errorf("paced to %d long after the serving task is calm", p)
		}
	})
}
