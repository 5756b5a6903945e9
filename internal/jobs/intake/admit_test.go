package intake_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

// admission is an entry with admission control.
type admission struct {
	*intake.Admission
	intake *intake.Intake
	leader *leader
	store  *memory.Store
	logs   *observer.ObservedLogs
}

func newAdmission(s *memory.Store) *admission {
	core, logs := observer.New(zap.InfoLevel)
	a := &admission{leader: &leader{response: &wire.JobTell{Verdict: wire.VerdictUnknown}}, store: s, logs: logs}
	a.Admission = intake.NewAdmission(intake.AdmissionConfig{Random: func() float64 { return 0 }, Log: zap.New(core)})
	a.intake = intake.New(intake.Config{
		Cell: "main", Store: s.Client("entry"), Leader: a.leader, Log: zap.New(core), Admission: a.Admission,
		FailingSince: func() time.Time { return time.Time{} },
		HedgeDelay:   func() time.Duration { return 100 * time.Millisecond },
	})
	return a
}

// heavyJob returns a job with a second of work for 10 processors, which has lost all value after 9 s.
func heavyJob(n int) *spec.Job {
	return &spec.Job{
		ID: spec.ID(fmt.Sprintf("%016x", n)), Queue: "q", Service: "packing", Stretch: 2, Objective: 1000,
		AcceptedAt: time.Now().UnixMilli(), Steps: []spec.Step{
			{Count: 10, Size: sizes.Resources{Processors: 1000}, Estimate: 1000, BestEffort: true},
		},
	}
}

func (a *admission) submit(t *testing.T, j *spec.Job) intake.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	return a.intake.Submit(ctx, j)
}

// update applies a forecast for three entries of a full pool for 10 processors, with a time of work.
func (a *admission) update(t *testing.T, work time.Duration) {
	t.Helper()
	c := fcast.Class{
		Running: work.Seconds() * 10_000, Waiting: make([]float64, fcast.DueBuckets), Returning: make([]float64, fcast.MaxRejections),
	}
	c.AddBlocked(sizes.Resources{Processors: 1000})
	b, err := wire.Pack(&fcast.Forecast{Entries: 3, Pools: []fcast.PoolForecast{{
		Pool: fcast.Pool{Service: "packing", BestEffort: true}, Rate: 10_000, Classes: []fcast.Class{c},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	a.Update(b, time.Now())
}

// Guards against a rejection of a job that is stored, or may be, against one that is stored nevertheless, and against one
// by a forecast that is missing, old or unreadable.
func TestRejectionIsTrue(t *testing.T) {
	for _, test := range []struct {
		name     string
		prepare  func(t *testing.T, a *admission, j *spec.Job)
		rejected bool
	}{
		{"overload", func(_ *testing.T, _ *admission, _ *spec.Job) {}, true},
		{"old forecast", func(_ *testing.T, _ *admission, _ *spec.Job) { time.Sleep(2100 * time.Millisecond) }, false},
		{"unreadable forecast", func(_ *testing.T, a *admission, _ *spec.Job) { a.Update([]byte{0xff}, time.Now()) }, false},
		{"long-running", func(_ *testing.T, _ *admission, j *spec.Job) { j.Steps[0].LongRunning = true }, false},
		{"scheduled", func(_ *testing.T, _ *admission, j *spec.Job) { j.Occurrences = 2 }, false},
		{"known to the leader", func(_ *testing.T, a *admission, _ *spec.Job) { a.leader.response.Verdict = wire.VerdictKnown }, false},
		{"leader does not know", func(_ *testing.T, a *admission, _ *spec.Job) { a.leader.response.Verdict = wire.VerdictNotReady }, false},
		{"no leader", func(_ *testing.T, a *admission, _ *spec.Job) { a.leader.response = nil }, false},
		{"stored by another entry", func(t *testing.T, a *admission, j *spec.Job) { newAdmission(a.store).submit(t, j) }, false},
		{"store reads slowly", func(_ *testing.T, a *admission, _ *spec.Job) {
			a.store.NextFault = func(string) memory.Fault { return memory.Fault{Slow: 400 * time.Millisecond} }
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, j := newAdmission(memory.New()), heavyJob(1)
				a.update(t, 20*time.Second)
				test.prepare(t, a, j)
				if d := a.Preview(j); test.rejected && (d.Admit || d.Wait != 20*time.Second) {
					t.Errorf("preview %+v; want a rejection for 20 s of work", d)
				}
				began := time.Now()
				out := a.submit(t, j)
				took := time.Since(began)
				time.Sleep(10 * time.Second)
				p, err := a.store.Client("test").Read(t.Context(), rows.JobRef("main", j.ID).One())
				if err != nil || len(p.Rows) == 1 == test.rejected {
					t.Errorf("%d rows, %v; rejected: %v", len(p.Rows), err, test.rejected)
				}
				if isRejected := out.Verdict == intake.NotDone; isRejected != test.rejected || isRejected != (out.RetryAfter >= time.Second) {
					t.Errorf("%+v; want a rejection: %v", out, test.rejected)
				}
				told := len(a.leader.notified) == 1 && a.leader.notified[0].Action == wire.JobRejected
				if test.rejected && (took > 50*time.Millisecond || !told) {
					t.Errorf("rejected after %v, leader notified: %v; want a rejection at once that the leader knows", took, told)
				}
			})
		})
	}
}

// Guards against a rejection of a job of which this entry stores another submission at the same time.
func TestConcurrentSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(memory.New())
		a.store.NextFault = func(string) memory.Fault { return memory.Fault{Slow: 200 * time.Millisecond} }
		outcomes := make(chan intake.Outcome, 2)
		go func() { outcomes <- a.submit(t, heavyJob(1)) }() // without a forecast
		time.Sleep(10 * time.Millisecond)
		a.update(t, 20*time.Second)
		go func() { outcomes <- a.submit(t, heavyJob(1)) }()
		for range 2 {
			if out := <-outcomes; out.Verdict != intake.Accepted {
				t.Errorf("%+v; want both accepted", out)
			}
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a burst that several entries accept beyond the forecast, and against accepted work that is counted for
// ever.
func TestBurstOverSeveralEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		entries := []*admission{newAdmission(s), newAdmission(s), newAdmission(s)}
		burst := func(first int) (accepted int) {
			for _, a := range entries {
				a.update(t, 4*time.Second)
			}
			for i := range 60 {
				if entries[i%3].submit(t, heavyJob(first+i)).Verdict == intake.Accepted {
					accepted++
				}
			}
			return accepted
		}
		// A job that needs 1 s and has lost all value after 9 s is admitted up to 1.25 * 9 s in all.
		if n := burst(0); n < 6 || n > 9 {
			t.Errorf("%d jobs of 1 s accepted by three entries with 4 s of work before them; want 6 to 9", n)
		}
		time.Sleep(time.Second)
		if n := burst(100); n < 4 || n > 9 { // from 9 s on, as jobs are being rejected
			t.Errorf("%d jobs accepted by the next forecast; want 4 to 9", n)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a log line for each unreadable forecast, and against none.
func TestUnreadableForecastIsLoggedOnce(t *testing.T) {
	a := newAdmission(memory.New())
	for i := range 4 {
		a.Update([]byte{0x91, 0xc0}, time.Now())
		if i == 2 {
			a.update(t, time.Second)
		}
	}
	if n := a.logs.FilterField(zap.Int("Event", int(event.ForecastUnreadable))).Len(); n != 2 {
		t.Errorf("%d log lines; want one for each change", n)
	}
}
