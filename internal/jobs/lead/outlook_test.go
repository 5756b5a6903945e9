package lead_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// admitting returns an intake with admission control, which asks the leader for forecasts like the entry of that name.
func (c *cluster) admitting(name string) *intake.Intake {
	a := intake.NewAdmission(intake.AdmissionConfig{Random: func() float64 { return float64(c.randN(1000)) / 1000 }, Log: c.log})
	c.wg.Go(func() {
		for ctx := c.ctx; ctx.Err() == nil; wait(ctx, 600*time.Millisecond) {
			began := time.Now()
			if r := c.forecast(name); r != nil {
				a.Update(r.Packed, began)
			}
		}
	})
	return intake.New(intake.Config{
		Cell: cell, Store: c.store.Client("caller"), Leader: leaderClient{c}, Log: c.log, Admission: a,
		FailingSince: func() time.Time { return time.Time{} }, HedgeDelay: func() time.Duration { return hedgeDelay },
	})
}

// forecast returns the forecast that the leader sends before its reply to a probe.
func (c *cluster) forecast(sender string) *wire.JobForecast {
	limited, cancel := context.WithTimeout(c.ctx, 500*time.Millisecond)
	defer cancel()
	e, t := newEndpoint(), c.term()
	if t == nil {
		return nil
	}
	t.Request(e, &wire.JobAsk{Number: 1, Action: wire.QueueLength, Packed: []byte(sender)})
	select {
	case m := <-e.out:
		f, _ := m.(*wire.JobForecast)
		return f
	case <-limited.Done():
		return nil
	}
}

// newEndpoint returns an endpoint that keeps a forecast and a reply.
func newEndpoint() *endpoint {
	return &endpoint{out: make(chan wire.Message, 2), closed: make(chan struct{}), once: &sync.Once{}}
}

// heavy returns a best-effort job that takes all of the capacity of two hosts for a declared second; it has lost its value
// after 9 s, or after three times two of its actual run times and a second.
func heavy(n int) *spec.Job {
	j := job(n, 1, 10)
	j.Steps[0].BestEffort = true
	return j
}

// caller is a submitted job.
type caller struct {
	id         spec.ID
	attempts   int
	acceptedAt time.Time // zero if it was never accepted
}

// offer submits heavy jobs at intervals to entries in turn, and repeats rejected ones as told, up to four times.
func (c *cluster) offer(entries []*intake.Intake, count int, interval time.Duration) []*caller {
	list := make([]*caller, count)
	var wg sync.WaitGroup
	for i := range list {
		j := heavy(i + 1)
		list[i] = &caller{id: j.ID}
		wg.Go(func() {
			for list[i].attempts < 5 {
				ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
				j.AcceptedAt = time.Now().UnixMilli()
				out := entries[(i+list[i].attempts)%len(entries)].Submit(ctx, j)
				cancel()
				list[i].attempts++
				if out.Verdict == intake.Accepted {
					list[i].acceptedAt = time.Now()
					return
				}
				time.Sleep(out.RetryAfter)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return list
}

// overload offers three jobs a second for 45 s, and returns how many were rejected for good, how many were done before they
// had lost all value, and how many were accepted at the first attempt while others were expected back.
func (c *cluster) overload(entries []*intake.Intake, actual func(n int) time.Duration) (rejected, useful, overtaking int) {
	c.plan = func(r wire.Run) runs.Plan {
		var n int
		if _, err := fmt.Sscanf(r.Task, "%x.", &n); err != nil {
			c.t.Error(err)
		}
		return runs.Plan{RunTime: actual(n), ProcessorUsage: 1000}
	}
	list := c.offer(entries, 150, 300*time.Millisecond)
	time.Sleep(10 * time.Minute)
	hasRejections := false
	for i, l := range list {
		if hasRejections = hasRejections || l.attempts > 1; hasRejections && l.attempts == 1 {
			overtaking++
		}
		if l.acceptedAt.IsZero() {
			rejected++
			continue
		}
		limit := l.acceptedAt.Add(fcast.ValueFactor * (2*actual(i+1) + time.Second))
		isLate := func(r runs.Record) bool { return !r.Ended.Before(limit) }
		if !slices.ContainsFunc(runsOf(c, l.id), isLate) {
			useful++
		}
	}
	return rejected, useful, overtaking
}

// Guards against admission control that makes things worse when declared run times are wrong by a factor of three either
// way, that rejects jobs of a cell which is nearly fast enough, and that lets new callers overtake those which return.
func TestAdmissionWithWrongEstimates(t *testing.T) {
	for _, test := range []struct {
		name         string
		isOverloaded bool
		actual       func(n int) time.Duration // run time of the tasks of a job, declared as 1 s
	}{
		{"right", true, func(int) time.Duration { return time.Second }},
		{"three times as long", true, func(int) time.Duration { return 3 * time.Second }},
		{"a third", false, func(int) time.Duration { return time.Second / 3 }},
		{"mixed", true, func(n int) time.Duration { return []time.Duration{time.Second / 3, 3 * time.Second, time.Second}[n%3] }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var without, with, rejected, overtaking int
			withCluster(t, func(c *cluster) { _, without, _ = c.overload([]*intake.Intake{c.intake()}, test.actual) })
			withCluster(t, func(c *cluster) {
				entries := []*intake.Intake{c.admitting("a"), c.admitting("b"), c.admitting("c")}
				rejected, with, overtaking = c.overload(entries, test.actual)
			})
			t.Logf("of 150 jobs, %d useful instead of %d, %d rejected, %d overtook others", with, without, rejected, overtaking)
			switch {
			case !test.isOverloaded && rejected > 0:
				t.Errorf("%d jobs rejected", rejected)
			case test.isOverloaded && with < 3*without/2:
				t.Errorf("%d of 150 jobs done in time to have a value; without admission control %d", with, without)
			}
			if overtaking > 30 {
				t.Errorf("%d jobs accepted at their first attempt while others were expected back", overtaking)
			}
		})
	}
}

// Guards against a forecast of a new leader that rejects jobs by what it has not observed, and against one that goes
// unnoticed once it has.
func TestForecastOfNewLeader(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Second, ProcessorUsage: 1000} }
		for i := range 30 {
			c.submit(heavy(i + 1))
		}
		check := func(forecasts, want int) {
			t.Helper()
			var f fcast.Forecast
			for range forecasts {
				f = fcast.Forecast{}
				if r := c.forecast("a"); r == nil || wire.Unpack(r.Packed, &f) != nil || f.Check() != nil {
					t.Fatalf("reply %+v; want a forecast", r)
				}
				time.Sleep(200 * time.Millisecond)
			}
			if n := len(f.Pools); n != want {
				t.Errorf("%d pools in forecast %d; want %d", n, forecasts, want)
			}
		}
		large := heavy(100)
		large.Steps[0].Size.Memory = 1 << 49
		c.submit(large)
		check(20, 1)
		c.stop("entry-1")
		c.awaitTerm(5 * time.Second)
		check(1, 0)
		check(20, 1)
		time.Sleep(time.Minute)
		check(20, 0) // a task larger than any worker does not make its pool full
		if f := c.forecast(""); f != nil {
			t.Errorf("an entry that asks for no forecast receives %v", f)
		}
	})
}

// BenchmarkForecast measures the forecast beside 10,000 waiting jobs of many sizes at 300 workers: the reply to a probe with
// a forecast less one without. The limit is 1 ms.
func BenchmarkForecast(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("%04d", i)
	}
	network := &echoNetwork{ended: make(chan string, 1<<20)}
	term, stop := startLeader(ctx, b, storeWithAgents(b, names...), network)
	serving := job(0, 1, len(names)) // occupies a part of each worker
	serving.Steps[0].LongRunning, serving.Steps[0].Target, serving.Steps[0].PerWorker = true, 150, 1
	accept(b, term, serving)
	for range names {
		<-network.ended
	}
	for i := range 10_000 {
		j := job(i+1, 3, 20)
		j.Priority, j.Objective = i%3, 1000*int64(1+i%60)
		for k := range j.Steps {
			j.Steps[k].Size = sizes.Resources{Processors: 15_001 + int64(i*7919%900), Memory: int64(1+i*7907%50) << 30}
		}
		accept(b, term, j)
	}
	entry := newEndpoint()
	probe := func(sender string) time.Duration {
		time.Sleep(300 * time.Millisecond) // until the next forecast is due, and the event loop is idle
		began := time.Now()
		term.Request(entry, &wire.JobAsk{Number: 1, Action: wire.QueueLength, Packed: []byte(sender)})
		for m := range entry.out {
			if _, isLast := m.(*wire.JobTell); isLast {
				break
			}
		}
		return time.Since(began)
	}
	probe("entry")
	var with, without []time.Duration
	for b.Loop() {
		with, without = append(with, probe("entry")), append(without, probe(""))
	}
	slices.Sort(with)
	slices.Sort(without)
	b.ReportMetric(float64((with[len(with)/2] - without[len(without)/2]).Microseconds()), "µs/forecast")
	cancel()
	stop()
}
