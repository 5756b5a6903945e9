package lead_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
)

// Guards against a start whose cost grows too much with the number of waiting jobs: each needs at least two scheduling
// passes over 10,000 waiting jobs at 300 workers.
func BenchmarkStartBesideWaitingJobs(b *testing.B) {
	for name, policy := range map[string]order.Policy{"no rules": {}, "all rules": allRules} {
		b.Run(name, func(b *testing.B) { benchmarkWaiting(b, policy) })
	}
}

func benchmarkWaiting(b *testing.B, policy order.Policy) {
	const workers, waiting = 300, 10_000
	ctx, cancel := context.WithCancel(b.Context())
	network := &echoNetwork{ended: make(chan string, 1<<20)}
	names := make([]string, workers)
	for i := range names {
		names[i] = fmt.Sprintf("%04d", i)
	}
	term, stop := startLeaderWith(ctx, b, storeWithAgents(b, names...), network, policy)
	run := func(n, priority int, size sizes.Resources) {
		j := job(n, 3, 12)
		j.Priority = priority
		for i := range j.Steps {
			j.Steps[i].BestEffort, j.Steps[i].Size, j.Steps[i].Image = true, size, fmt.Sprint("batch-", n%30)
		}
		if priority == 0 {
			j.Steps = j.Steps[:1]
			j.Steps[0].Count = 1
		}
		accept(b, term, j)
	}
	serving := job(2, 1, workers) // leaves less memory on each worker than the waiting jobs request
	serving.Steps[0].LongRunning, serving.Steps[0].Target, serving.Steps[0].PerWorker = true, 150, 1
	serving.Steps[0].Size = sizes.Resources{Processors: 100, Memory: 1 << 30}
	accept(b, term, serving)
	for range workers {
		<-network.ended
	}
	quick := sizes.Resources{Processors: 700, Memory: 1 << 20}
	run(1, 0, quick)
	<-network.ended
	for i := range waiting {
		run(100+i, 1, sizes.Resources{Processors: 1000, Memory: 64 << 30}) // all of a worker without runs
	}
	time.Sleep(3 * time.Second) // until all have been tried at any speed
	b.ResetTimer()
	for n := range b.N {
		run(1_000_000+n, 0, quick)
		<-network.ended
	}
	b.StopTimer()
	cancel()
	stop()
}
