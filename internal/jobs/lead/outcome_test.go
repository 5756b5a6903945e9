package lead_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

var incarnation1 = wire.WorkerIncarnation{ID: "host-1", StartedAt: 1}

// withRun runs f in virtual time with a leader that has ordered one run on its only worker; l is the session to its agent.
func withRun(t *testing.T, f func(term *lead.Term, l *sent, r wire.Run)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := gate{make(chan struct{})}
		close(g.open)
		term, stop := startLeader(ctx, t, storeWithAgents(t, "host"), g)
		l := &sent{}
		term.Opened("host", l)
		announce(term, "host", l, incarnation1)
		accept(t, term, job(1, 1, 1))
		time.Sleep(time.Second)
		f(term, l, l.starts()[0])
		cancel()
		stop()
	})
}

// Guards against two runs of a task: a report from before a cancel was taken for a later one, while the worker was still
// stopping the run.
func TestReportOlderThanCancelReleasesNothing(t *testing.T) {
	withRun(t, func(term *lead.Term, _ *sent, r wire.Run) {
		l := &sent{}
		term.Opened("host", l)
		announce(term, "host", l, incarnation1) // lists no run
		time.Sleep(time.Second)
		orders := l.orders()
		if len(orders) == 0 || len(orders[0].Cancels) != 1 {
			t.Fatalf("commands %+v; want a cancel", orders)
		}
		number := orders[0].Number
		report := func(m wire.RunReport) {
			m.Incarnation, m.RequestLease = incarnation1, true
			term.Message("host", l, &m)
			time.Sleep(time.Second)
		}
		report(wire.RunReport{LastOrders: number, Refused: []wire.RunRefused{{Run: r, Reason: wire.RefusedSilent}}})
		report(wire.RunReport{Complete: true, LastOrders: number - 1})
		if n := len(l.starts()); n != 0 {
			t.Errorf("%d starts after a report older than the cancel", n)
		}
		report(wire.RunReport{Complete: true, LastOrders: number})
		if n := len(l.starts()); n != 1 {
			t.Errorf("%d starts after a report without the cancelled run, want 1", n)
		}
	})
}

// Guards against a job that is reported as running although no worker has executed its start yet.
func TestJobWaitsUntilWorkerListsRun(t *testing.T) {
	withRun(t, func(term *lead.Term, l *sent, r wire.Run) {
		waiting := func() int {
			entry := &sent{}
			term.Request(entry, &wire.JobAsk{Number: 1, Action: wire.QueueLength, Queue: job(1, 1, 1).Queue})
			time.Sleep(time.Second)
			return entry.all()[0].(*wire.JobTell).Waiting
		}
		report := func(m wire.RunReport) {
			m.Incarnation, m.RequestLease, m.Complete, m.LastOrders = incarnation1, true, true, 1
			term.Message("host", l, &m)
		}
		report(wire.RunReport{Pending: []wire.Run{r}})
		if n := waiting(); n != 1 {
			t.Errorf("%d jobs wait while the start is pending, want 1", n)
		}
		report(wire.RunReport{Running: []wire.RunState{{Run: r}}})
		if n := waiting(); n != 0 {
			t.Errorf("%d jobs wait while the run is running, want 0", n)
		}
	})
}

// Guards against two runs of a task: a worker that had restarted under the same ID executed a start for its earlier
// incarnation, whose runs the leader then started elsewhere.
func TestRunOnRestartedWorkerIsKept(t *testing.T) {
	withRun(t, func(term *lead.Term, l *sent, r wire.Run) {
		incarnation2 := wire.WorkerIncarnation{ID: incarnation1.ID, StartedAt: 2}
		term.Message("host", l, &wire.WorkerState{
			Incarnation: incarnation2, Service: "packing", Phase: wire.WorkerReady, Healthy: true,
			Capacity: sizes.Resources{Processors: 4000, Memory: 1 << 40},
		})
		report := func(m wire.RunReport) {
			m.Incarnation, m.RequestLease, m.Complete = incarnation2, true, true
			term.Message("host", l, &m)
			time.Sleep(time.Second)
		}
		report(wire.RunReport{Running: []wire.RunState{{Run: r, Percent: 10}}})
		report(wire.RunReport{Running: []wire.RunState{{Run: r, Percent: 90}}})
		if n := len(l.starts()); n != 1 {
			t.Errorf("%d starts; want only that of the run, which the worker lists", n)
		}
		for _, o := range l.orders() {
			if len(o.Stops) > 0 || len(o.Cancels) > 0 {
				t.Errorf("commands %+v; want no stop of the run", o)
			}
		}
	})
}

// Guards against two runs of a task: the lease of a worker was extended again after it had expired and the runs on the worker
// had been released, while a start of one of them could still be executed.
func TestNoLeaseWhileOnlyReleasedRunsMayStart(t *testing.T) {
	withRun(t, func(term *lead.Term, l *sent, r wire.Run) {
		time.Sleep(70 * time.Second) // the lease has expired
		before := len(l.all())
		grants := func() int {
			n := 0
			for _, m := range l.all()[before:] {
				if _, ok := m.(*wire.LeaseGrant); ok {
					n++
				}
			}
			return n
		}
		report := func(m wire.RunReport) {
			m.Incarnation, m.Complete, m.RequestLease, m.LastOrders = incarnation1, true, true, 1
			term.Message("host", l, &m)
			time.Sleep(time.Second)
		}
		report(wire.RunReport{Pending: []wire.Run{r}})
		report(wire.RunReport{}) // as of an agent that does not know of the start
		if n := grants(); n != 0 {
			t.Errorf("%d leases granted while a released run may start", n)
		}
		report(wire.RunReport{Refused: []wire.RunRefused{{Run: r, Reason: wire.RefusedSilent}}})
		if n := grants(); n != 1 {
			t.Errorf("%d leases granted after the released run can no longer start, want 1", n)
		}
	})
}

// Guards against a worker that gets no runs any more: it restarted under the same ID while a released run was being
// cancelled, and nobody cancelled the run on its next incarnation.
func TestReleasedRunIsCancelledOnRestartedWorker(t *testing.T) {
	withRun(t, func(term *lead.Term, l *sent, _ wire.Run) {
		time.Sleep(70 * time.Second) // the lease has expired
		report := func(incarnation wire.WorkerIncarnation) {
			term.Message("host", l, &wire.RunReport{Incarnation: incarnation, Complete: true, LastOrders: 1})
			time.Sleep(time.Second)
		}
		report(incarnation1)
		incarnation2 := wire.WorkerIncarnation{ID: incarnation1.ID, StartedAt: 2}
		term.Message("host", l, &wire.WorkerState{Incarnation: incarnation2, Service: "packing", Phase: wire.WorkerReady, Healthy: true})
		report(incarnation2)
		cancels := make(map[wire.WorkerIncarnation]int)
		for _, o := range l.orders() {
			cancels[o.Incarnation] += len(o.Cancels)
		}
		if cancels[incarnation1] != 1 || cancels[incarnation2] != 1 {
			t.Errorf("cancels %v; want one on each incarnation", cancels)
		}
	})
}

// heldLink is a session whose messages wait until open is closed, so that the events behind the first one are handled together.
type heldLink struct {
	*sent
	open chan struct{}
}

func (l heldLink) Send(m wire.Message) error {
	<-l.open
	return l.sent.Send(m)
}

// Guards against a worker that gets no runs for good: the leader dropped the cancels of released runs when it checked the
// leases right after the first report of a session, and counted them as sent.
func TestCancelOfReleasedRunIsNotDropped(t *testing.T) {
	for name, restartAge := range map[string]int64{"the check is due": 0, "the worker has restarted under its ID": 80_000} {
		t.Run(name, func(t *testing.T) {
			withRun(t, func(term *lead.Term, _ *sent, r wire.Run) {
				time.Sleep(70 * time.Second) // the lease has expired
				l := heldLink{&sent{}, make(chan struct{})}
				term.Opened("host", l)
				report := func() {
					term.Message("host", l, &wire.WorkerState{
						Incarnation: incarnation1, Service: "packing", Phase: wire.WorkerReady, Healthy: true, RestartAge: restartAge,
					})
					term.Message("host", l, &wire.RunReport{Incarnation: incarnation1, Complete: true, RequestLease: true})
					time.Sleep(time.Second)
				}
				report()
				close(l.open)
				report()
				if o := l.orders(); len(o) != 1 || len(o[0].Cancels) != 1 || o[0].Cancels[0] != r {
					t.Errorf("commands %+v; want a cancel of %v", o, r)
				}
			})
		})
	}
}

// Guards against two runs of a task: a worker that had restarted under its ID took a deadline of its former incarnation, and
// the leader counted with a shorter lease than the worker accepts.
func TestLeaseOfRestartedWorker(t *testing.T) {
	testLeaseOfRestartedWorker(t, func(c *cluster, h *host) {
		c.set(c.isolated, h.name, true)
		c.dropLinks(h.name)
		h.cancel() // the instance of the worker is lost, and the worker goes on
	})
}

// Guards against two runs of a task: a new leader didn't know that a worker had restarted under its ID, neither from its
// agent, which was in reach while the worker was not, nor, with the agent out of reach, from its predecessor.
func TestLeaseOfRestartedWorkerAfterTakeover(t *testing.T) {
	end := map[string]func(c *cluster){
		"kill": func(c *cluster) { c.kill("entry-1") },
		"kill and restart": func(c *cluster) {
			c.kill("entry-1")
			c.restart("entry-1") // it knows that its earlier process has ended
			c.kill("entry-2")
		},
		"handover": func(c *cluster) { c.stop("entry-1") },
		"three handovers": func(c *cluster) {
			for _, name := range []string{"entry-1", "entry-2", "entry-1"} {
				c.stop(name)
				c.awaitTerm(2 * time.Second)
				c.addEntry(name)
			}
		},
	}
	for name, endTerm := range end {
		t.Run(name+", agent in reach", func(t *testing.T) {
			testLeaseOfRestartedWorker(t, func(c *cluster, h *host) {
				h.worker.SetCut(true)
				endTerm(c)
			})
		})
		t.Run(name+", agent out of reach", func(t *testing.T) {
			testLeaseOfRestartedWorker(t, func(c *cluster, h *host) {
				endTerm(c)
				c.set(c.isolated, h.name, true)
				c.dropLinks(h.name)
				h.cancel()
			})
		})
	}
}

// testLeaseOfRestartedWorker runs a job on a worker that has restarted under its ID, loses the worker, and checks that its tasks
// don't start elsewhere before its lease has expired.
func testLeaseOfRestartedWorker(t *testing.T, lose func(c *cluster, h *host)) {
	t.Helper()
	withCluster(t, func(c *cluster) {
		c.plan = func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: 15 * time.Second}
		}
		h := c.hosts["host-1"]
		h.worker.Restart(wire.WorkerIncarnation{ID: h.worker.Incarnation().ID, StartedAt: 2})
		h.starts = 2
		former := driver.PollRequest{Incarnation: h.worker.Incarnation(), Deadline: time.Hour.Milliseconds()}
		if _, err := h.worker.Poll(c.ctx, former); err != nil {
			t.Fatal(err)
		}
		c.set(c.isolated, "host-2", true)
		c.dropLinks("host-2")
		time.Sleep(1600 * time.Millisecond) // until its next announcement
		c.submit(job(1, 1, 1))
		time.Sleep(500 * time.Millisecond)
		lose(c, h)
		c.set(c.isolated, "host-2", false)
		time.Sleep(25 * time.Second)
		if n := len(runsOf(c, job(1, 1, 1).ID)); n != 2 {
			t.Errorf("%d runs, want one on each worker", n)
		}
	})
}

// Guards against a job that runs after its cancellation was acknowledged: the submission was still in progress in the store,
// and the job unknown. Whether the leader or its successor reads the rows makes no difference.
func TestCancelBeforeLateSubmission(t *testing.T) {
	for _, hasTakeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", hasTakeover), func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				const delay = 3 * time.Second
				j := job(1, 1, 1)
				c.setFaults(func(caller string) memory.Fault {
					if caller == "late" {
						return memory.Fault{LoseLate: delay}
					}
					return memory.Fault{}
				})
				c.wg.Go(func() {
					ctx, cancel := context.WithTimeout(c.ctx, time.Second)
					defer cancel()
					if v := c.intakeOf("late").Submit(ctx, j).Verdict; v != intake.Uncertain {
						t.Errorf("submission without a response: %v", v)
					}
				})
				time.Sleep(500 * time.Millisecond)
				if v := c.intake().Cancel(c.ctx, j.ID); v != intake.Unknown {
					t.Errorf("cancel: %v", v)
				}
				if hasTakeover {
					c.kill("entry-1")
				}
				c.awaitState(j.ID, rows.Cancelled, delay+8*time.Second)
				if n := len(runsOf(c, j.ID)); n > 0 {
					t.Errorf("%d runs after the cancellation", n)
				}
			})
		})
	}
}

// Guards against cancellations of jobs that never become known, whose rows are kept forever.
func TestCancelsOfUnknownJobsAreRetired(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for n := range 200 {
			if v := c.intake().Cancel(c.ctx, job(n, 1, 1).ID); v != intake.Unknown {
				t.Errorf("cancel: %v", v)
			}
		}
		c.kill("entry-1")
		time.Sleep(2*time.Minute + 15*time.Second) // retention of one minute, and a margin of one
		p, err := rows.ReadParts(c.ctx, c.store.Client("caller"), rows.Cancels, rows.IntakeParts(cell))
		if err != nil || len(p.Rows) > 0 {
			t.Errorf("%d cancellations are left, %v; want none", len(p.Rows), err)
		}
	})
}

// Guards against work that is lost since an agent is silent for a while: the leader saw no progress and took the run for stalled.
func TestRunOfSilentAgentIsNotStalled(t *testing.T) {
	for _, test := range []struct {
		name     string
		isSilent bool
		stops    int
	}{{"silent", true, 0}, {"without progress", false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			withRun(t, func(term *lead.Term, l *sent, r wire.Run) {
				report := &wire.RunReport{
					Incarnation: incarnation1, Complete: true, RequestLease: true, LastOrders: 1,
					Running: []wire.RunState{{Run: r, Percent: 10}},
				}
				term.Message("host", l, report)
				for range 4 {
					time.Sleep(700 * time.Millisecond)
					if !test.isSilent {
						term.Message("host", l, report)
					}
				}
				time.Sleep(100 * time.Millisecond)
				stopped := make(map[wire.Run]bool)
				for _, o := range l.orders() {
					for _, s := range o.Stops {
						stopped[s] = true
					}
				}
				if len(stopped) != test.stops {
					t.Errorf("stops of %v, want %d", stopped, test.stops)
				}
			})
		})
	}
}
