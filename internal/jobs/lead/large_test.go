package lead_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	largeAgents   = 11
	endsPerReport = 500
	leaseEvery    = 450 * time.Millisecond // between lease requests of an agent
)

// Guards against leases that expire beside a large job: the leader compared each run with all others of its step, and answered no
// lease request meanwhile, neither while the runs went on nor when they ended.
func TestLeasesBesideLargeJob(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	agents, term, stop := startCell(ctx, t, largeAgents)
	defer stop()
	defer cancel()
	accept(t, term, largeJob(1))
	for end, n := time.Now().Add(time.Minute), 0; n < spec.MaxTasks; time.Sleep(10 * time.Millisecond) {
		n = 0
		for _, a := range agents {
			if len(a.starts()) > a.confirmed {
				a.report(nil) // the leader waits for reports before it orders more
			}
			n += len(a.starts())
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d tasks were started in a minute", n, spec.MaxTasks)
		}
	}
	for range 6 {
		for _, a := range agents {
			a.report(nil)
		}
		awaitGrants(t, agents, "while the runs go on")
		time.Sleep(leaseEvery)
	}
	for _, a := range agents {
		a.endAll()
	}
	awaitGrants(t, agents, "when the runs have ended")
}

// startCell starts a leader with sessions to n agents.
func startCell(ctx context.Context, t *testing.T, n int) (agents []*largeAgent, term *lead.Term, stop func()) {
	t.Helper()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("host-%02d", i))
	}
	open := make(chan struct{})
	close(open)
	term, stop = startLeader(ctx, t, storeWithAgents(t, names...), gate{open})
	for _, name := range names {
		a := &largeAgent{term: term, name: name, incarnation: wire.WorkerIncarnation{ID: name, StartedAt: 1}}
		agents = append(agents, a)
		term.Opened(name, &a.sent)
		announce(term, name, &a.sent, a.incarnation)
	}
	return agents, term, stop
}

// largeJob returns a job with as many tasks as the entries accept.
func largeJob(n int) *spec.Job {
	j := job(n, 1, spec.MaxTasks)
	j.Priority = 1
	j.Steps[0].Size.Processors, j.Steps[0].Size.Memory, j.Steps[0].Estimate = 1, 1<<20, 30_000
	return j
}

// Load: a job of 20,000 tasks on 11 workers. Guards against an urgent task that waits behind all starts of a large job: the leader
// ordered them at once, whatever its agents had confirmed, and agents queue their starts.
func TestStartsWaitForConfirmation(t *testing.T) {
	const maxUnconfirmed = 256
	ctx, cancel := context.WithCancel(t.Context())
	agents, term, stop := startCell(ctx, t, largeAgents)
	defer stop()
	defer cancel()
	accept(t, term, largeJob(1))
	awaitStarts(t, agents, maxUnconfirmed)
	urgent := job(2, 1, 1) // of priority 0, which comes first
	urgent.Steps[0].Size.Processors = 1
	accept(t, term, urgent)
	time.Sleep(leaseEvery)
	for _, a := range agents {
		if n := len(a.starts()); n != maxUnconfirmed {
			t.Errorf("%d starts were sent to %s; want %d until it confirms them", n, a.name, maxUnconfirmed)
		}
	}
	agents[0].report(nil)
	awaitStarts(t, agents[:1], 2*maxUnconfirmed)
	if first := agents[0].starts()[maxUnconfirmed]; !strings.HasPrefix(first.Task, string(urgent.ID)) {
		t.Errorf("the first start after the confirmation is %v; want the urgent task", first)
	}
}

// awaitStarts waits until each agent has received n starts.
func awaitStarts(t *testing.T, agents []*largeAgent, n int) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		isMissing := func(a *largeAgent) bool { return len(a.starts()) < n }
		if !slices.ContainsFunc(agents, isMissing) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("agents without %d starts after a minute", n)
		}
	}
}

// awaitGrants checks that the lease requests of the agents are answered while half of the time of a lease is left.
func awaitGrants(t *testing.T, agents []*largeAgent, when string) {
	t.Helper()
	began := time.Now()
	for _, a := range agents {
		for a.grants() < a.requests {
			if took := time.Since(began); took > lead.MaxLease/2 {
				t.Fatalf("%s, %s waits for a lease for %v", when, a.name, took)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// largeAgent is the session to an agent whose worker has begun all runs that were commanded.
type largeAgent struct {
	sent
	term        *lead.Term
	name        string
	incarnation wire.WorkerIncarnation
	requests    int // for leases, besides the one of announce
	confirmed   int // starts that were in the last report
	lastEnd     uint64
}

func (a *largeAgent) grants() int {
	n := -1 // that of announce
	for _, m := range a.all() {
		if _, ok := m.(*wire.LeaseGrant); ok {
			n++
		}
	}
	return n
}

// report reports some ends, and all other runs as running.
func (a *largeAgent) report(ends []wire.RunEnd) {
	orders := a.orders()
	m := &wire.RunReport{
		Incarnation: a.incarnation, Complete: true, RequestLease: true, Ended: ends, LastOrders: orders[len(orders)-1].Number,
	}
	for _, r := range a.starts()[a.lastEnd:] {
		m.Running = append(m.Running, wire.RunState{Run: r, Percent: 20})
	}
	a.requests++
	a.confirmed = int(a.lastEnd) + len(m.Running)
	a.term.Message(a.name, &a.sent, m)
}

// endAll reports the success of all runs, as many at a time as a worker lists.
func (a *largeAgent) endAll() {
	runs := a.starts()
	for a.lastEnd < uint64(len(runs)) {
		var ends []wire.RunEnd
		for range min(endsPerReport, len(runs)-int(a.lastEnd)) {
			a.lastEnd++
			ends = append(ends, wire.RunEnd{Number: a.lastEnd, Run: runs[a.lastEnd-1], Cause: wire.EndDone})
		}
		a.report(ends)
	}
}
