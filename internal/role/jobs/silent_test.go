package jobs_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

// Guards against a lease that expires, and tasks that start again, while the agent of their worker is in reach: the open
// session was silent, and the leader tried no new one before the lease had expired.
func TestSilentSessionIsReplaced(t *testing.T) {
	t.Parallel()
	const (
		longLease = 5 * time.Second // as long as a session without frames stays open
		runTime   = 8 * time.Second
		tasks     = 3
	)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := memory.New()
	putConfig(t, s, 3)
	listen := freeAddress(t)
	relay, err := netsim.New(ctx, listen)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	w := newWorker("worker-1", longLease, runTime)
	startAgentOf(ctx, t, s, w, longLease, relay.Address(), listen, &wg)
	e, _ := startEntryWithLease(ctx, t, s, "entry-1", longLease, &wg)
	await(t, "entry is ready", e.IsReady)
	j := &spec.Job{
		ID: "0000000000000001", Queue: "q", Service: "packing", MaxAttempts: 2,
		Steps: []spec.Step{{Count: tasks, Size: sizes.Resources{Processors: 500}, Estimate: runTime.Milliseconds()}},
	}
	if v := e.Intake().Submit(ctx, j).Verdict; v != intake.Accepted {
		t.Fatalf("job: %v", v)
	}
	await(t, "start of all tasks", func() bool { return len(w.Records()) == tasks })
	relay.Silence()
	await(t, "job is done", func() bool {
		state, v := e.Intake().State(ctx, j.ID)
		return v == intake.Accepted && state == rows.Done
	})
	if n := len(w.Records()); n != tasks {
		t.Errorf("%d runs of %d tasks", n, tasks)
	}
}
