package intake_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

// leader is a fake intake.Leader that records messages and returns a fixed response, or ErrNoLeader without one.
type leader struct {
	mu        sync.Mutex
	response  *wire.JobTell
	notified  []*wire.JobAsk
	requested []*wire.JobAsk
}

func (l *leader) Epoch() uint64 { return 4 }
func (l *leader) IsSelf() bool  { return false }

func (l *leader) Notify(_ uint64, m *wire.JobAsk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notified = append(l.notified, m)
}
func (l *leader) epochOf(t *testing.T, n int) uint64 {
	t.Helper()
	var j spec.Job
	if err := wire.Unpack(l.notified[n].Packed, &j); err != nil {
		t.Fatal(err)
	}
	return j.Epoch
}

func (l *leader) Request(_ context.Context, m *wire.JobAsk) (*wire.JobTell, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested = append(l.requested, m)
	if l.response == nil {
		return nil, intake.ErrNoLeader
	}
	return l.response, nil
}

func newJob() *spec.Job {
	return &spec.Job{
		ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []spec.Step{{Count: 1}}, AcceptedAt: time.Now().UnixMilli(),
	}
}

func withIntake(t *testing.T, f func(t *testing.T, in *intake.Intake, s *memory.Store, l *leader, failing *time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, l := memory.New(), &leader{}
		failing := &time.Time{}
		f(t, intake.New(intake.Config{
			Cell: "main", Store: s.Client("entry"), Leader: l, Log: zap.NewNop(),
			FailingSince: func() time.Time { return *failing },
			HedgeDelay:   func() time.Duration { return 100 * time.Millisecond },
		}), s, l, failing)
		time.Sleep(time.Minute) // delayed requests take effect
	})
}

func submit(t *testing.T, in *intake.Intake) (intake.Verdict, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	began := time.Now()
	v := in.Submit(ctx, newJob()).Verdict
	return v, time.Since(began)
}

func isStored(t *testing.T, s *memory.Store) bool {
	t.Helper()
	p, err := s.Client("test").Read(t.Context(), rows.JobRef("main", newJob().ID).One())
	if err != nil {
		t.Fatal(err)
	}
	return len(p.Rows) == 1
}

// Guards against refusing a job that was stored, accepting one that was not, and delaying callers longer than needed.
func TestSubmitReportsOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		fault    func(call int) memory.Fault
		want     intake.Verdict
		stored   bool
		atLatest time.Duration
	}{
		{"calm", func(int) memory.Fault { return memory.Fault{} }, intake.Accepted, true, 50 * time.Millisecond},
		{"refused", func(int) memory.Fault { return memory.Fault{Refuse: true} }, intake.NotDone, false, 50 * time.Millisecond},
		{"response lost once", func(n int) memory.Fault { return memory.Fault{LoseAfter: n == 1} }, intake.Accepted, true, 300 * time.Millisecond},
		{"late once", func(n int) memory.Fault { return memory.Fault{LoseLate: time.Duration(2-min(n, 2)) * time.Second} }, intake.Accepted, true, 300 * time.Millisecond},
		{"lost, then refused", func(n int) memory.Fault { return memory.Fault{LoseAfter: n == 1, Refuse: n > 1} }, intake.Uncertain, true, 3 * time.Second},
		{"silent", func(int) memory.Fault { return memory.Fault{LoseLate: 10 * time.Second} }, intake.Uncertain, true, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withIntake(t, func(t *testing.T, in *intake.Intake, s *memory.Store, _ *leader, _ *time.Time) {
				calls := 0
				s.NextFault = func(caller string) memory.Fault {
					if caller != "entry" {
						return memory.Fault{}
					}
					calls++
					return test.fault(calls)
				}
				v, took := submit(t, in)
				if v != test.want || took > test.atLatest {
					t.Errorf("%v after %v; want %v within %v", v, took, test.want, test.atLatest)
				}
				time.Sleep(20 * time.Second)
				if got := isStored(t, s); got != test.stored {
					t.Errorf("stored: %v; want %v", got, test.stored)
				}
			})
		})
	}
}

// Guards against a caller that waits for a store known to be unavailable, and against refusing a job that the leader
// could have stored.
func TestFailingStore(t *testing.T) {
	for _, test := range []struct {
		name     string
		response *wire.JobTell
		want     intake.Verdict
	}{
		{"no leader", nil, intake.NotDone},
		{"leader stores", &wire.JobTell{Verdict: wire.VerdictKnown}, intake.Accepted},
		{"leader refuses", &wire.JobTell{Verdict: wire.VerdictNotDone}, intake.NotDone},
		{"leader is uncertain", &wire.JobTell{Verdict: wire.VerdictUnclear}, intake.Uncertain},
	} {
		t.Run(test.name, func(t *testing.T) {
			withIntake(t, func(t *testing.T, in *intake.Intake, _ *memory.Store, l *leader, failing *time.Time) {
				*failing = time.Now().Add(-time.Second)
				l.response = test.response
				if v, took := submit(t, in); v != test.want || took > time.Millisecond {
					t.Errorf("%v after %v; want %v within 1ms", v, took, test.want)
				}
			})
		})
	}
}

// Guards against a job reported to a leader as new although it may have been reported to another leader before.
func TestRepeatedSubmissionHasNoEpoch(t *testing.T) {
	withIntake(t, func(t *testing.T, in *intake.Intake, _ *memory.Store, l *leader, _ *time.Time) {
		submit(t, in)
		time.Sleep(time.Second)
		submit(t, in)
		if first, second := l.epochOf(t, 0), l.epochOf(t, 1); first != 4 || second != 0 {
			t.Errorf("reported with epochs %d and %d; want 4 and 0", first, second)
		}
	})
}

// Guards against "no such job" for an accepted job while no leader responds, and against a cancellation that is not
// stored.
func TestWithoutLeader(t *testing.T) {
	withIntake(t, func(t *testing.T, in *intake.Intake, s *memory.Store, _ *leader, _ *time.Time) {
		id := newJob().ID
		if _, v := in.State(t.Context(), id); v != intake.Unknown {
			t.Errorf("state of an unknown job: %v", v)
		}
		if v := in.Cancel(t.Context(), id); v != intake.Unknown {
			t.Errorf("cancel of an unknown job: %v", v)
		}
		submit(t, in)
		if st, v := in.State(t.Context(), id); v != intake.Accepted || st != rows.Queued {
			t.Errorf("state %v, verdict %v", st, v)
		}
		if v := in.Cancel(t.Context(), id); v != intake.Accepted {
			t.Errorf("cancel: %v", v)
		}
		p, err := s.Client("test").Read(t.Context(), rows.CancelRef("main", id).One())
		if err != nil || len(p.Rows) != 1 {
			t.Errorf("the cancellation is not stored: %v", err)
		}
		if _, v := in.Waiting(t.Context(), "q"); v != intake.NotDone {
			t.Errorf("length of a queue without a leader: %v", v)
		}
	})
}

// Guards against a cancellation that is answered with "no such job" and has no effect on a submission in progress, and one that
// is answered although it is not stored.
func TestCancelOfUnknownJobIsStored(t *testing.T) {
	withIntake(t, func(t *testing.T, in *intake.Intake, s *memory.Store, l *leader, _ *time.Time) {
		id := newJob().ID
		isRefused := true
		s.NextFault = func(string) memory.Fault { return memory.Fault{Refuse: isRefused} }
		if v := in.Cancel(t.Context(), id); v != intake.NotDone {
			t.Errorf("cancel without a store: %v", v)
		}
		isRefused = false
		if v := in.Cancel(t.Context(), id); v != intake.Unknown {
			t.Errorf("cancel: %v", v)
		}
		p, err := s.Client("test").Read(t.Context(), rows.CancelRef("main", id).One())
		if err != nil || len(p.Rows) != 1 {
			t.Errorf("%d cancellations are stored, %v; want 1", len(p.Rows), err)
		}
		if len(l.notified) != 1 || l.notified[0].Action != wire.JobCancelled {
			t.Errorf("messages to the leader: %+v; want one cancellation", l.notified)
		}
	})
}

// Guards against a malformed job of another entry that is stored, and that each leader would read.
func TestMalformedJobIsNotStored(t *testing.T) {
	withIntake(t, func(t *testing.T, in *intake.Intake, s *memory.Store, _ *leader, _ *time.Time) {
		j := newJob()
		j.Steps[0].Count = -1
		packed, err := wire.Pack(j)
		if err != nil {
			t.Fatal(err)
		}
		r := in.Serve(t.Context(), &wire.JobAsk{Number: 1, Action: wire.JobStore, ID: string(j.ID), Packed: packed})
		if r.Verdict != wire.VerdictNotDone {
			t.Errorf("verdict %v; want VerdictNotDone", r.Verdict)
		}
		p, err := s.Client("test").Read(t.Context(), rows.JobRef("main", j.ID).One())
		if err != nil || len(p.Rows) != 0 {
			t.Errorf("%d rows stored, %v; want none", len(p.Rows), err)
		}
	})
}
