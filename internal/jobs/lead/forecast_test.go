package lead_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against best-effort tasks beside a serving task whose load is low now but rises soon: the last task of a wide
// step was throttled to nothing there while the next step waited for it.
func TestBestEffortTaskAvoidsRisingLoad(t *testing.T) {
	const period = 20 // seconds
	loads := map[string]func(seconds float64) float64{
		"rising": func(s float64) float64 { return 0.45 + 0.25*math.Sin(2*math.Pi*s/period) },
		"steady": func(float64) float64 { return 0.62 },
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		open := make(chan struct{})
		close(open)
		term, stop := startLeader(ctx, t, storeWithAgents(t, "rising", "steady"), gate{open})
		links := map[string]*sent{"rising": {}, "steady": {}}
		for name, l := range links {
			term.Opened(name, l)
			announce(term, name, l, wire.WorkerIncarnation{ID: name, StartedAt: 1})
		}
		for i := range 2 { // two jobs, since the serving tasks of a step have one forecast
			serving := job(1+i, 1, 1)
			serving.Steps[0].Size.Processors, serving.Steps[0].LongRunning = 3000, true
			serving.Steps[0].Target, serving.Steps[0].Image = 1000, "s"
			accept(t, term, serving)
		}
		time.Sleep(time.Second)
		began := time.Now()
		for time.Since(began) < 3*period*time.Second {
			for name, l := range links {
				load := loads[name](time.Since(began).Seconds())
				term.Message(name, l, &wire.RunReport{
					Incarnation: wire.WorkerIncarnation{ID: name, StartedAt: 1}, Complete: true, RequestLease: true, LastOrders: 1,
					Running: []wire.RunState{{Run: l.starts()[0], Percent: 100, Measurement: int(160 / (1 - load))}},
				})
			}
			time.Sleep(500 * time.Millisecond)
		}
		bestEffort := job(3, 1, 1)
		bestEffort.Steps[0].BestEffort, bestEffort.Steps[0].Image, bestEffort.Steps[0].Size.Processors = true, "f", 800
		accept(t, term, bestEffort)
		time.Sleep(100 * time.Millisecond)
		if n := len(links["steady"].starts()); n != 2 {
			t.Errorf("%d starts on the worker with a steady load of 0.62, %d on the one whose load rises from 0.45 to 0.65; want 2 and 1",
				n, len(links["rising"].starts()))
		}
		cancel()
		stop()
	})
}
