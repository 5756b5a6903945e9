package lead_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// Guards against two runs of a task: the leader released a run of unknown outcome when the lease of its worker had
// expired, and granted the lease again before the worker had executed or refused the start.
func TestLateStartAfterExpiredLease(t *testing.T) {
	for _, test := range []struct {
		name         string
		restartAgent bool
	}{
		{"agent keeps the pending run", false},
		{"agent has restarted", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCluster(ctx, t, 1)
				c.plan = func(wire.Run) runs.Plan {
					return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 40 * time.Second}
				}
				c.addEntry("entry-1")
				a := c.addHost("host-a", 4000)
				time.Sleep(3 * time.Second)
				a.worker.SetFaults(func() runs.Fault { return runs.Fault{LoseLate: 12 * time.Second} })
				c.submit(job(1, 1, 1))
				time.Sleep(100 * time.Millisecond) // the first attempt of the start is on its way
				b := c.addHost("host-b", 4000)
				c.set(c.isolated, "host-a", true)
				c.dropLinks("host-a")
				if test.restartAgent {
					c.startAgent(a) // it does not know of the start
				}
				time.Sleep(8 * time.Second) // the lease has expired, and the task runs on host-b
				if len(b.worker.Records()) != 1 {
					t.Fatalf("runs on host-b: %+v, want one", b.worker.Records())
				}
				c.set(c.isolated, "host-a", false)
				time.Sleep(5 * time.Second) // the late start is executed
				a.worker.SetFaults(nil)
				time.Sleep(30 * time.Second)
				c.checkRuns()
				cancel()
				<-c.entries["entry-1"].done
				c.wg.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a task that runs again after its success: the leader had released the run for an expired lease, ignored
// its end, and acknowledged it.
func TestSuccessOfReleasedRunCounts(t *testing.T) {
	withRun(t, func(term *lead.Term, l *sent, r wire.Run) {
		time.Sleep(70 * time.Second) // the lease has expired
		term.Message("host", l, &wire.RunReport{
			Incarnation: incarnation1, Complete: true, RequestLease: true, LastOrders: 1,
			Ended: []wire.RunEnd{{Number: 1, Run: r, Cause: wire.EndDone}},
		})
		time.Sleep(2 * time.Second)
		if n := len(l.starts()); n != 1 {
			t.Errorf("%d starts after the success of the released run was reported, want none but its own", n)
		}
	})
}
