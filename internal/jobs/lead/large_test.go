package lead_test

import (
	"context"
	"fmt"
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
	var names []string
	for i := range largeAgents {
		names = append(names, fmt.Sprintf("host-%02d", i))
	}
	open := make(chan struct{})
	close(open)
	term, stop := startLeader(ctx, t, storeWithAgents(t, names...), gate{open})
	defer stop()
	defer cancel()
	var agents []*largeAgent
	for _, name := range names {
		a := &largeAgent{term: term, name: name, incarnation: wire.WorkerIncarnation{ID: name, StartedAt: 1}}
		agents = append(agents, a)
		term.Opened(name, &a.sent)
		announce(term, name, &a.sent, a.incarnation)
	}
	j := job(1, 1, spec.MaxTasks)
	j.Steps[0].Size.Processors, j.Steps[0].Size.Memory, j.Steps[0].Estimate = 1, 1<<20, 30_000
	accept(t, term, j)
	for end, n := time.Now().Add(time.Minute), 0; n < spec.MaxTasks; time.Sleep(10 * time.Millisecond) {
		n = 0
		for _, a := range agents {
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
