package main_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	platworker "trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	recoveryWorkers = 4
	outageTime      = 30 * time.Second
	agentLease      = 20 * time.Second // the default
	fullRate        = 0.9              // share of the rate before the outage that counts as recovered
)

// newRecoveryCluster returns a cluster with the default leases that runs a job.
func newRecoveryCluster(b *testing.B, tasks int, run time.Duration) *cluster {
	d := model.Default()
	d.Services[0].Name = "booking"
	d.AvailabilityZones[0].Name = processZone
	d.Teams[0].Quota.Processors = 48_000 // each partition grants a share of the quota, here 12 tasks
	f := newCluster(b, recoveryWorkers, d)
	job := fmt.Appendf(nil, `{"Job":"plan","Team":"team-1","Class":"standard","Command":"run=%s","Tasks":%d,
		"RunTime":%q,"Size":{"Processors":%d,"Memory":1000000}}`, run, tasks, run, taskProcessors)
	if _, err := f.api[0].Submit(b.Context(), job); err != nil {
		b.Fatal(err)
	}
	return f
}

// await polls until done returns true and returns the time since start.
func (f *cluster) await(what string, start time.Time, timeout time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	for !done() {
		if time.Since(start) > timeout {
			f.t.Fatalf("condition not met within %s: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *cluster) awaitRunning(tasks uint32) {
	f.t.Helper()
	for end := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		j, err := f.api[0].Job(f.t.Context(), "plan")
		if err == nil && j.Running == tasks && f.running() == tasks {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("not all tasks run within %s: %+v, %v", startTimeout, j, err)
		}
	}
}

// running returns the number of tasks that run on the workers.
func (f *cluster) running() uint32 {
	f.t.Helper()
	n := uint32(0)
	for _, h := range f.histories() {
		n += runningOn(h)
	}
	return n
}

func runningOn(h standworker.HistoryResponse) (n uint32) {
	for _, i := range h.Intervals {
		if i.State == platworker.Running {
			n++
		}
	}
	return n
}

// partitions returns the number of partitions that an entry owns, or -1 if it does not respond.
func (f *cluster) partitions(entry int) int64 {
	st, err := f.api[entry].Status(f.t.Context())
	if err != nil {
		return -1
	}
	return int64(len(st.Partitions))
}

// BenchmarkRecoveryEntry measures the time from SIGKILL of an entry until the other one owns all partitions. It also
// counts the pauses and new attempts of running tasks until the agent leases of the killed entry have expired.
func BenchmarkRecoveryEntry(b *testing.B) {
	f := newRecoveryCluster(b, 12, time.Hour)
	f.awaitRunning(12)
	killed, survivor := 0, 1
	if f.partitions(1) > f.partitions(0) {
		killed, survivor = 1, 0
	}
	lost := f.partitions(killed)
	start := time.Now()
	f.entries[killed].proc.kill()
	took := f.await("the partitions are owned", start, time.Minute, func() bool {
		return f.partitions(survivor) == model.DefaultZone("", "").Partitions
	})
	time.Sleep(time.Until(start.Add(agentLease + 10*time.Second)))
	interrupted := -12
	for _, h := range f.histories() {
		interrupted += len(h.Intervals) // a task without interruption has one
	}
	b.ReportMetric(took.Seconds(), "s-to-owned")
	b.ReportMetric(float64(lost), "partitions")
	b.ReportMetric(float64(interrupted), "interruptions")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRecoveryWorker measures the time from SIGKILL of a worker, its agent and its target until all tasks run on
// the other workers.
func BenchmarkRecoveryWorker(b *testing.B) {
	const tasks = 12 // leaves a quarter of the processors free
	f := newRecoveryCluster(b, tasks, time.Hour)
	f.awaitRunning(tasks)
	most, killed := uint32(0), 0
	for i, h := range f.histories() {
		if n := runningOn(h); n > most {
			most, killed = n, i
		}
	}
	start := time.Now()
	f.workerProcs[killed].kill()
	f.agents[killed].proc.kill()
	f.targets[killed].proc.kill()
	f.workers = slices.Delete(f.workers, killed, killed+1)
	took := f.await("the lost tasks run again", start, 100*time.Second, func() bool {
		return f.running() == tasks
	})
	b.ReportMetric(took.Seconds(), "s-to-running")
	b.ReportMetric(float64(most), "tasks-lost")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRecoveryStore measures the time from the end of a store outage of 30 s until tasks finish at fullRate
// times the rate before it.
func BenchmarkRecoveryStore(b *testing.B) {
	f := newRecoveryCluster(b, 10_000, 200*time.Millisecond)
	time.Sleep(5 * time.Second)
	done := func() float64 {
		j, err := f.api[0].Job(b.Context(), "plan")
		if err != nil {
			return 0
		}
		return float64(j.Done)
	}
	first := done()
	time.Sleep(10 * time.Second)
	rate := (done() - first) / 10
	f.setStoreFaults(script.Rule{Action: script.Down})
	time.Sleep(outageTime)
	start := time.Now()
	f.setStoreFaults()
	last := done()
	at := time.Now()
	var reached time.Duration
	took := f.await("full rate", start, 40*time.Second, func() bool {
		reached = time.Since(start)
		time.Sleep(time.Second)
		n, now := done(), time.Now()
		speed := (n - last) / now.Sub(at).Seconds()
		last, at = n, now
		return speed >= fullRate*rate
	})
	b.ReportMetric(rate, "tasks/s-before")
	b.ReportMetric(reached.Seconds(), "s-to-full-rate")
	b.ReportMetric(took.Seconds(), "s-until-seen")
	b.ReportMetric(0, "ns/op")
}
