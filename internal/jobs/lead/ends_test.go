package lead_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// Guards against tasks that run twice: a worker lists a limited number of ended runs at a time, and the runs beyond it counted as
// missing while the store was down, or were not known to a new leader.
func TestMoreEndsThanOnePollReturns(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, maxEnds := range []int{1, 10} {
			t.Run(fmt.Sprintf("%d at a time, takeover %v", maxEnds, takeover), func(t *testing.T) {
				const tasks = 100
				withCluster(t, func(c *cluster) {
					c.plan = func(wire.Run) runs.Plan {
						return runs.Plan{Size: sizes.Resources{Processors: 100}, RunTime: 300 * time.Millisecond}
					}
					for _, h := range c.hosts {
						h.worker.SetMaxEnds(maxEnds)
					}
					j := job(1, 1, tasks)
					j.Steps[0].Size.Processors, j.Steps[0].Estimate = 100, 300
					c.submit(j)
					time.Sleep(200 * time.Millisecond) // the first runs have started
					for _, name := range []string{"entry-1", "entry-2"} {
						c.set(c.storeDown, name, true)
					}
					time.Sleep(3 * time.Second)
					if takeover {
						c.kill("entry-1")
					}
					for _, name := range []string{"entry-1", "entry-2"} {
						c.set(c.storeDown, name, false)
					}
					c.awaitState(j.ID, rows.Done, 30*time.Second)
					if n := len(runsOf(c, j.ID)); n != tasks {
						t.Errorf("%d runs of %d tasks", n, tasks)
					}
				})
			})
		}
	}
}

// Guards against a missing run that is never released, since the worker always has ends that are not acknowledged yet.
func TestMissingRunBesideManyEnds(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.set(c.isolated, "host-2", true)
		c.dropLinks("host-2")
		time.Sleep(10 * time.Second) // its lease expires
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 100}, RunTime: 200 * time.Millisecond}
		}
		busy := job(1, 1, 3000)
		busy.Steps[0].Size.Processors, busy.Steps[0].Estimate = 100, 200
		c.submit(busy)
		time.Sleep(time.Second)
		c.hosts["host-1"].worker.SetFaults(func() runs.Fault { return runs.Fault{LoseLate: time.Hour} }) // starts that never arrive
		time.Sleep(300 * time.Millisecond)
		c.hosts["host-1"].worker.SetFaults(nil)
		c.awaitState(busy.ID, rows.Done, 60*time.Second)
	})
}

// Guards against ends that nobody sees any more: an agent that had restarted took an announcement of another writer for its worker's,
// and dropped the acknowledgement meanwhile, which the leader sent only once; a worker lists no further ends without it.
func TestLostAcknowledgementIsRepeated(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	agents, term, stop := startCell(ctx, t, 1)
	defer stop()
	defer cancel()
	a := agents[0]
	accept(t, term, job(1, 1, 1))
	awaitStarts(t, agents, 1)
	end := wire.RunEnd{Number: 1, Run: a.starts()[0], Cause: wire.EndDone}
	for n := 1; n <= 2; n++ {
		a.lastEnd = 1
		a.report([]wire.RunEnd{end})
		for began := time.Now(); a.acknowledgements(end.Number) < n; time.Sleep(time.Millisecond) {
			if time.Since(began) > lead.MaxLease/2 {
				t.Fatalf("%d acknowledgements after an end was reported %d times", a.acknowledgements(end.Number), n)
			}
		}
	}
}

// acknowledgements returns how often the end with a number was acknowledged.
func (l *sent) acknowledgements(number uint64) int {
	n := 0
	for _, o := range l.orders() {
		if o.DurableEnds >= number {
			n++
		}
	}
	return n
}
