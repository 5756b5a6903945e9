package driver_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// states returns the worker states reported so far.
func (l *leader) states() []wire.WorkerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []wire.WorkerState
	for _, m := range l.messages {
		if s, ok := m.(*wire.WorkerState); ok {
			list = append(list, *s)
		}
	}
	return list
}

// checkReported reports an error if a leader was told of an incarnation that no process of the worker had, or of the end of
// one that has not ended.
func (l *leader) checkReported(t *testing.T, current wire.WorkerIncarnation, ended ...wire.WorkerIncarnation) {
	t.Helper()
	known := map[wire.WorkerIncarnation]bool{current: true}
	for _, i := range ended {
		known[i] = true
	}
	for _, s := range l.states() {
		if !known[s.Incarnation] || s.Incarnation == current && s.Phase == wire.WorkerGone {
			t.Errorf("reported %+v", s)
		}
	}
}

// foreign returns a state of the worker under an incarnation that it never had.
func foreign(w *countingWorker, id string, startedAt int64) wire.WorkerState {
	s := w.State()
	s.Incarnation = wire.WorkerIncarnation{ID: id, StartedAt: startedAt}
	return s
}

// Guards against runs that are released, and started elsewhere, while they are at work: an announcement of another writer
// replaced the incarnation of the worker, whose refusal of the next call was taken for its end.
func TestForeignAnnouncement(t *testing.T) {
	for _, test := range []struct {
		name      string
		id        string
		startedAt int64
	}{
		{"another ID", "w-7", 1}, {"another ID, later", "w-7", 1 << 50}, {"another ID, earlier", "w-7", 0},
		{"same ID, later", "w-1", 1 << 50}, {"same ID, earlier", "w-1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				w.Plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: 20 * time.Second} }
				a.Execute(ctx, l, commands(1, w, run1))
				for n := range 10 {
					a.Announce(foreign(w, test.id, test.startedAt), uint64(100+n))
					time.Sleep(time.Second)
					a.Announce(w.State(), uint64(2+n))
				}
				a.Execute(ctx, l, commands(2, w, wire.Run{Task: "5c0e7a21d94b36f8.0.0.1", Number: 1}))
				time.Sleep(time.Second)
				l.checkReported(t, w.Incarnation())
				list := w.Records()
				if len(list) != 2 {
					t.Errorf("%d runs started, want 2", len(list))
				}
				for _, r := range list {
					if !r.Ended.IsZero() {
						t.Errorf("%v has ended: %v", r.Run, r.Cause)
					}
				}
				if n := len(l.refusals()); n != 0 {
					t.Errorf("%d starts refused", n)
				}
			})
		})
	}
}

// Guards against an announcement that counts while the worker responds to no call.
func TestForeignAnnouncementBesideHungWorker(t *testing.T) {
	withAgent(t, func(_ context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		w.setMute(true)
		for n := range 10 {
			a.Announce(foreign(w, "w-7", 1), uint64(100+n))
			time.Sleep(time.Second)
		}
		l.checkReported(t, w.Incarnation())
		w.setMute(false)
		time.Sleep(3 * time.Second)
		if list := l.states(); !list[len(list)-1].Healthy {
			t.Error("the worker responds again and is reported as unhealthy")
		}
	})
}

// Guards against a new incarnation that is not used: beside announcements of another writer, or since the time of day was
// set back before it started.
func TestRestartedWorkerIsUsed(t *testing.T) {
	for _, test := range []struct {
		name string
		next wire.WorkerIncarnation
	}{
		{"another ID", wire.WorkerIncarnation{ID: "w-2", StartedAt: 5}},
		{"another ID, earlier", wire.WorkerIncarnation{ID: "w-2", StartedAt: 0}},
		{"same ID", wire.WorkerIncarnation{ID: "w-1", StartedAt: 5}},
		{"same ID, earlier", wire.WorkerIncarnation{ID: "w-1", StartedAt: 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
				before := w.Incarnation()
				a.Announce(foreign(w, "w-7", 3), 100)
				w.Restart(test.next)
				a.Announce(foreign(w, "w-7", 3), 101)
				a.Announce(w.State(), 1)
				time.Sleep(2 * time.Second)
				l.checkReported(t, test.next, before)
				if list := l.states(); list[len(list)-1].Incarnation != test.next {
					t.Fatalf("last state reported %+v; want %v", list[len(list)-1], test.next)
				}
				a.Grant(l, &wire.LeaseGrant{Incarnation: test.next, Clock: 2000})
				a.Execute(ctx, l, commands(1, w, run1))
				time.Sleep(time.Second)
				if n := len(w.Records()); n != 1 {
					t.Errorf("%d runs started on the new incarnation, want 1", n)
				}
			})
		})
	}
}

// Guards against an agent that, after its own restart, reports an incarnation that no process of the worker has.
func TestForeignAnnouncementAfterAgentRestart(t *testing.T) {
	withAgent(t, func(ctx context.Context, _ *driver.Agent, w *countingWorker, _ *leader) {
		ctx, cancel := context.WithCancel(ctx)
		restarted := driver.New(driver.Config{Worker: w, Lease: lease, Log: zap.NewNop()})
		done := make(chan struct{})
		go func() {
			defer close(done)
			restarted.Run(ctx)
		}()
		l := &leader{}
		restarted.Adopt(l, &wire.LeadAdopt{Token: 6})
		for n := range 5 {
			restarted.Announce(foreign(w, "w-7", 3), uint64(100+n))
			time.Sleep(time.Second)
		}
		restarted.Announce(w.State(), 1)
		time.Sleep(time.Second)
		l.checkReported(t, w.Incarnation())
		if len(l.states()) == 0 {
			t.Error("the worker was not reported")
		}
		cancel()
		<-done
	})
}

// Guards against announcements of the worker that are dropped for good after one with a false sequence number, and against a
// late one that takes effect.
func TestFalseSequenceNumber(t *testing.T) {
	withAgent(t, func(_ context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		ready, draining := w.State(), w.State()
		draining.Phase = wire.WorkerDraining
		a.Announce(draining, 10)
		for n := range 5 { // delayed, and delivered together
			a.Announce(ready, uint64(3+n))
		}
		time.Sleep(time.Millisecond)
		phase := func() wire.WorkerPhase {
			list := l.states()
			return list[len(list)-1].Phase
		}
		if p := phase(); p != wire.WorkerDraining {
			t.Errorf("phase %v after late announcements, want %v", p, wire.WorkerDraining)
		}
		a.Announce(draining, 1<<60)
		for n := range 3 {
			time.Sleep(1500 * time.Millisecond)
			a.Announce(ready, uint64(11+n))
		}
		if p := phase(); p != wire.WorkerReady {
			t.Errorf("phase %v after three announcements of the worker, want %v", p, wire.WorkerReady)
		}
	})
}

// Guards against a lease that a worker takes from a deadline of its former incarnation: it restarted under its ID behind a
// cut, in which calls get no response.
func TestNoDeadlineForPossiblyRestartedWorker(t *testing.T) {
	withAgent(t, func(ctx context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		w.setMute(true)
		time.Sleep(3 * time.Second) // a poll has timed out
		a.Execute(ctx, l, commands(1, w, run1))
		w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 2})
		w.forgetRequests()
		w.setMute(false)
		time.Sleep(time.Second)
		requests := w.polled()
		for _, r := range requests {
			if r.Deadline != 0 || r.DurableEnds != 0 {
				t.Errorf("poll of a restarted worker with deadline %d and acknowledgement %d", r.Deadline, r.DurableEnds)
			}
		}
		if len(requests) == 0 {
			t.Error("the restarted worker was not polled")
		}
		if n := len(w.Records()); n != 0 {
			t.Errorf("%d runs started on the restarted worker", n)
		}
		if r := l.refusals(); len(r) != 1 || r[0].Reason != wire.RefusedSick {
			t.Errorf("refusals %+v; want one RefusedSick", r)
		}
	})
}

// Guards against a leader that doesn't learn of a restart of the worker under its ID since it came before its term, while the
// worker is out of reach of its agent.
func TestRestartIsReportedToNextLeader(t *testing.T) {
	withAgent(t, func(_ context.Context, a *driver.Agent, w *countingWorker, l *leader) {
		if s := l.states(); s[len(s)-1].RestartAge != 0 {
			t.Errorf("reported %+v before the restart", s)
		}
		w.Restart(wire.WorkerIncarnation{ID: "w-1", StartedAt: 2})
		a.Announce(w.State(), 1)
		time.Sleep(2 * time.Second)
		w.setMute(true)
		time.Sleep(3 * time.Second)
		next := &leader{}
		a.Adopt(next, &wire.LeadAdopt{Token: 6})
		s := next.states()
		if len(s) != 1 || s[0].RestartAge < 3900 || s[0].RestartAge > 5100 || s[0].Healthy {
			t.Errorf("states %+v; want one, unhealthy, with a restart 4 to 5 s ago", s)
		}
		w.setMute(false)
		w.Restart(wire.WorkerIncarnation{ID: "w-2", StartedAt: 3})
		a.Announce(w.State(), 1)
		time.Sleep(2 * time.Second)
		if s := next.states(); s[len(s)-1].Incarnation.ID != "w-2" || s[len(s)-1].RestartAge != 0 {
			t.Errorf("states %+v; want one of a worker with another ID at the end", s)
		}
	})
}

// Guards against a lease that lapses since a worker refuses a part of its polls: each one after a refusal had no deadline.
func TestRefusedPollKeepsDeadline(t *testing.T) {
	withAgent(t, func(_ context.Context, _ *driver.Agent, w *countingWorker, _ *leader) {
		w.mu.Lock()
		w.refuses = true
		w.mu.Unlock()
		w.forgetRequests()
		time.Sleep(5 * time.Second)
		requests := w.polled()
		if len(requests) < 5 {
			t.Errorf("%d polls", len(requests))
		}
		for _, r := range requests {
			if r.Deadline == 0 {
				t.Error("poll without a deadline of a worker that responds")
			}
		}
	})
}
