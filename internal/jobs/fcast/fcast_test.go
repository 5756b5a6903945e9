package fcast_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

var pool = fcast.Pool{Service: "packing", BestEffort: true}

// class returns a class whose jobs have lost all value after 4 to 8 s.
func class(priority int, running, waiting float64) fcast.Class {
	c := fcast.Class{
		Priority: priority, Running: running,
		Waiting: make([]float64, fcast.DueBuckets), Returning: make([]float64, fcast.MaxRejections),
	}
	c.Waiting[fcast.DueBucket(5*time.Second)] = waiting
	c.AddBlocked(sizes.Resources{Processors: 1000})
	return c
}

// overloaded returns a forecast of a pool that does 10 processors' work, with 20 s of work of priority 1.
func overloaded() *fcast.Forecast {
	return &fcast.Forecast{Entries: 3, Pools: []fcast.PoolForecast{{
		Pool: pool, Rate: 10_000, Classes: []fcast.Class{class(1, 10_000, 190_000)},
	}}}
}

// newAsk describes a job with 1 s of work for the pool that has lost all value after 9 s.
func newAsk() fcast.Ask {
	return fcast.NewAsk(&spec.Job{Queue: "q", Service: "packing", Priority: 1, Stretch: 2, Objective: 1000, Steps: []spec.Step{
		{Count: 10, Size: sizes.Resources{Processors: 1000}, Estimate: 1000, BestEffort: true},
	}})
}

// Guards against a rejection for another reason than work that is certainly before the job: each case is a load at which
// the decision must be the one given.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *fcast.Forecast, a *fcast.Ask, s *fcast.Since)
		want   fcast.Reason
	}{
		{"20 s of work before a job of 9 s", func(*fcast.Forecast, *fcast.Ask, *fcast.Since) {}, fcast.Backlog},
		{"long-running", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) { a.IsExempt = true }, fcast.Exempt},
		{"no target", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) { a.Chain, a.Objective = 0, 0 }, fcast.Exempt},
		{"old forecast", func(_ *fcast.Forecast, _ *fcast.Ask, s *fcast.Since) { s.Age = 2100 * time.Millisecond }, fcast.NoForecast},
		{"other service", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) { a.Pool.Service = "x" }, fcast.RateUnknown},
		{"no work was observed", func(f *fcast.Forecast, _ *fcast.Ask, _ *fcast.Since) { f.Pools[0].Rate = 0 }, fcast.RateUnknown},
		{"a smaller task than those that wait", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) { a.Starts[0].Size.Processors = 900 }, fcast.FreeCapacity},
		{"a first step of another pool", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) {
			a.Starts = append(a.Starts, fcast.Start{Pool: fcast.Pool{Service: "packing"}})
		}, fcast.FreeCapacity},
		{"work of a lower priority only", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) { a.Priority = 0 }, fcast.FreeCapacity},
		{"work of a higher priority", func(_ *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) { a.Priority = 2 }, fcast.Backlog},
		{"5 s of work", func(f *fcast.Forecast, _ *fcast.Ask, _ *fcast.Since) {
			f.Pools[0].Classes[0] = class(1, 10_000, 40_000)
		}, fcast.InTime},
		{"just too much work, as estimates are wrong", func(f *fcast.Forecast, _ *fcast.Ask, _ *fcast.Since) {
			f.Pools[0].Classes[0] = class(1, 10_000, 90_000)
		}, fcast.InTime},
		{"the same while jobs are being rejected", func(f *fcast.Forecast, _ *fcast.Ask, s *fcast.Since) {
			f.Pools[0].Classes[0], s.IsRejecting = class(1, 10_000, 90_000), true
		}, fcast.Backlog},
		{"work that is due later", func(f *fcast.Forecast, _ *fcast.Ask, _ *fcast.Since) {
			c := &f.Pools[0].Classes[0]
			c.Waiting[6], c.Waiting[3] = c.Waiting[3], 0
		}, fcast.InTime},
		{"a burst at all entries since the forecast", func(f *fcast.Forecast, _ *fcast.Ask, s *fcast.Since) {
			f.Pools[0].Classes[0], s.Work = class(1, 10_000, 40_000), 20_000
		}, fcast.Backlog},
		{"a queue whose runs take three times as long", func(f *fcast.Forecast, _ *fcast.Ask, _ *fcast.Since) {
			f.Ratios = []fcast.Ratio{{Queue: "q", BestEffort: true, Factor: 3}}
		}, fcast.InTime},
		{"a job too large for its target beside little work", func(f *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) {
			f.Pools[0].Classes[0], a.Work = class(1, 1000, 10_000), 1e9
		}, fcast.InTime},
		{"callers that return", func(f *fcast.Forecast, _ *fcast.Ask, _ *fcast.Since) {
			f.Pools[0].Classes[0] = class(1, 10_000, 50_000)
			f.Pools[0].Classes[0].Returning[0] = 100_000
		}, fcast.Returning},
		{"a caller that returns", func(f *fcast.Forecast, a *fcast.Ask, _ *fcast.Since) {
			f.Pools[0].Classes[0] = class(1, 10_000, 50_000)
			f.Pools[0].Classes[0].Returning[0], a.Rejections = 100_000, 1
		}, fcast.InTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, a, s := overloaded(), newAsk(), fcast.Since{Age: 300 * time.Millisecond}
			test.change(f, &a, &s)
			if err := f.Check(); err != nil {
				t.Fatal(err)
			}
			d := fcast.Decide(f, a, s)
			if d.Reason != test.want || d.Admit != (test.want < fcast.Backlog) || d.Admit != (d.RetryAfter == 0) {
				t.Errorf("%+v; want %v", d, test.want)
			}
		})
	}
	if d := fcast.Decide(nil, newAsk(), fcast.Since{}); d.Reason != fcast.NoForecast || !d.Admit {
		t.Errorf("without a forecast: %+v", d)
	}
}

// Guards against callers that all return at the same time, before the job could be in time, or never.
func TestRetryAfterIsSpread(t *testing.T) {
	f := overloaded()
	f.Pools[0].Classes[0].Returning[0] = 300_000
	seen := make(map[time.Duration]bool)
	for i := range 100 {
		a := newAsk()
		a.Random = float64(i) / 100
		after := fcast.Decide(f, a, fcast.Since{}).RetryAfter
		if after%time.Second != 0 || after < 12*time.Second || after > time.Minute {
			t.Fatalf("%v; want whole seconds from 12 s, when 9 s of work are left", after)
		}
		seen[after] = true
	}
	if len(seen) < 20 {
		t.Errorf("%d different times; want the return spread over the 31 s that the returning jobs need", len(seen))
	}
}

// Guards against callers that are overtaken without end: those that were rejected less often may fill half of the time that
// a job has, and the caller that was rejected most is rejected only for work that is accepted already.
func TestCallersWithMoreRejectionsGoFirst(t *testing.T) {
	for rejections := range fcast.MaxRejections + 1 {
		limit := time.Duration(0) // most work before the job at which it is admitted
		for s := range 20 {
			f, a := overloaded(), newAsk()
			c := class(1, float64(s)*10_000, 0)
			for i := range c.Returning {
				c.Returning[i] = 1_000_000
			}
			f.Pools[0].Classes[0], a.Rejections = c, rejections
			if fcast.Decide(f, a, fcast.Since{IsRejecting: true}).Admit {
				limit = time.Duration(s) * time.Second
			}
		}
		want := 4 * time.Second // half of 9 s, less the second that the job needs
		if rejections == fcast.MaxRejections {
			want = 8 * time.Second
		}
		if limit != want {
			t.Errorf("%d rejections: admitted up to %v of work; want %v", rejections, limit, want)
		}
	}
}

// Guards against a rate that depends on the demand, and one that is lost or invented while nobody asks for forecasts.
func TestRate(t *testing.T) {
	var r fcast.Rate
	now := time.Unix(0, 0)
	observe := func(n int, work float64, isWaiting bool, want float64) {
		t.Helper()
		for range n {
			now = now.Add(200 * time.Millisecond)
			r.Add(work)
			r.Observe(now, isWaiting)
		}
		if got := r.PerSecond(); math.Abs(got-want) > want/100 {
			t.Errorf("rate %v; want %v", got, want)
		}
	}
	observe(20, 100, false, 0)
	observe(5, 2000, true, 0) // too short
	observe(20, 2000, true, 10_000)
	observe(3, 100, false, 10_000) // less work as none waits
	observe(400, 100, false, 0)
	observe(20, 1000, true, 5000)
	now = now.Add(time.Minute)
	observe(1, 1e9, true, 0)
}

// Guards against rejections that are forgotten while the caller obeys, or remembered for ever.
func TestReturns(t *testing.T) {
	var r fcast.Returns
	now := time.Unix(0, 0)
	count := func() (n int) {
		r.Each(now, func(x *fcast.Rejection, _ int) { n += int(x.Work) })
		return n
	}
	for i := range 5000 {
		r.Record(spec.ID(fmt.Sprintf("%016x", i)), fcast.Rejection{Pool: pool, Work: 1, RetryAfter: 10_000}, now)
	}
	if n := count(); n != 4096 {
		t.Errorf("%d jobs are expected back; want the first 4096", n)
	}
	r.Record("0000000000000001", fcast.Rejection{Pool: pool, Work: 1, RetryAfter: 10_000}, now)
	now = now.Add(13 * time.Second)
	if n := count(); n != 0 || r.Count("0000000000000001") != 2 {
		t.Errorf("%d expected back after their time, %d rejections of one; want 0 and 2", n, r.Count("0000000000000001"))
	}
	now = now.Add(2 * time.Minute)
	if count(); r.Count("0000000000000001") != 0 {
		t.Errorf("%d rejections after two minutes", r.Count("0000000000000001"))
	}
}

// Guards against a decision that depends on a forecast with figures out of range.
func TestForecastOutOfRange(t *testing.T) {
	for name, change := range map[string]func(f *fcast.Forecast){
		"Age": func(f *fcast.Forecast) { f.Age = -1 }, "Age that overflows a duration": func(f *fcast.Forecast) { f.Age = math.MaxInt64 }, "Entries": func(f *fcast.Forecast) { f.Entries = 1 << 40 },
		"Rate": func(f *fcast.Forecast) { f.Pools[0].Rate = math.NaN() }, "Running": func(f *fcast.Forecast) { f.Pools[0].Classes[0].Running = math.Inf(1) },
		"Waiting": func(f *fcast.Forecast) { f.Pools[0].Classes[0].Waiting = nil }, "Factor": func(f *fcast.Forecast) { f.Ratios = []fcast.Ratio{{}} },
	} {
		f := overloaded()
		if change(f); f.Check() == nil {
			t.Errorf("%s out of range is accepted", name)
		}
	}
}

// BenchmarkDecide measures a decision by a forecast of the largest size; the limit is 1 ms.
func BenchmarkDecide(b *testing.B) {
	f, a := overloaded(), newAsk()
	a.Priority = fcast.MaxClasses
	for i := range fcast.MaxClasses {
		f.Pools[0].Classes = append(f.Pools[0].Classes, class(i+2, 10_000, 1e6))
		f.Ratios = append(f.Ratios, fcast.Ratio{Queue: fmt.Sprint("queue-", i), Factor: 1})
	}
	for b.Loop() {
		if fcast.Decide(f, a, fcast.Since{}).Admit {
			b.Fatal("admitted")
		}
	}
}
