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
	leaseTime       = 20 * time.Second // of an agent, by default
	fullRate        = 0.9              // share of the rate before the fault
)

// newRecoveryField returns a platform with the default leases that runs a job.
func newRecoveryField(b *testing.B, tasks int, run time.Duration) *field {
	d := model.Default()
	d.Services[0].Name = "booking"
	d.AvailabilityZones[0].Name = processZone
	d.Teams[0].Quota.Processors = 48_000 // each partition grants a share of the quota, here 12 tasks
	f := newField(b, recoveryWorkers, d)
	job := fmt.Appendf(nil, `{"Job":"plan","Team":"team-1","Class":"standard","Command":"run=%s","Tasks":%d,
		"RunTime":%q,"Size":{"Processors":%d,"Memory":1000000}}`, run, tasks, run, taskMilli)
	if _, err := f.api[0].Submit(b.Context(), job); err != nil {
		b.Fatal(err)
	}
	return f
}

// await polls until done and returns the time since start.
func (f *field) await(what string, start time.Time, limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	for !done() {
		if time.Since(start) > limit {
			f.t.Fatalf("not reached in %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *field) awaitRunning(tasks uint32) {
	f.t.Helper()
	for end := time.Now().Add(startLimit); ; time.Sleep(50 * time.Millisecond) {
		j, err := f.api[0].Job(f.t.Context(), "plan")
		if err == nil && j.Running == tasks && f.running() == tasks {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("not all tasks run in %s: %+v, %v", startLimit, j, err)
		}
	}
}

// running counts the tasks that run on all workers.
func (f *field) running() uint32 {
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

// partitions returns how many partitions an entry owns.
func (f *field) partitions(entry int) int64 {
	st, err := f.api[entry].Status(f.t.Context())
	if err != nil {
		return -1
	}
	return int64(len(st.Partitions))
}

// BenchmarkRecoveryEntry measures the time from SIGKILL of an entry until the other one owns all partitions, and counts
// the pauses and new attempts of running tasks until the agent leases of the dead entry have ended.
func BenchmarkRecoveryEntry(b *testing.B) {
	f := newRecoveryField(b, 12, time.Hour)
	f.awaitRunning(12)
	dead, left := 0, 1
	if f.partitions(1) > f.partitions(0) {
		dead, left = 1, 0
	}
	lost := f.partitions(dead)
	start := time.Now()
	f.entries[dead].proc.kill()
	took := f.await("the partitions are owned", start, time.Minute, func() bool {
		return f.partitions(left) == model.DefaultZone("", "").Partitions
	})
	time.Sleep(time.Until(start.Add(leaseTime + 10*time.Second)))
	interrupted := -12
	for _, h := range f.histories() {
		interrupted += len(h.Intervals) // one for each task that ran on
	}
	b.ReportMetric(took.Seconds(), "s-to-owned")
	b.ReportMetric(float64(lost), "partitions")
	b.ReportMetric(float64(interrupted), "interruptions")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRecoveryWorker measures the time from the loss of a worker with its agent until its tasks run elsewhere.
func BenchmarkRecoveryWorker(b *testing.B) {
	const tasks = 12 // a quarter of the processors stays free
	f := newRecoveryField(b, tasks, time.Hour)
	f.awaitRunning(tasks)
	most, dead := uint32(0), 0
	for i, h := range f.histories() {
		if n := runningOn(h); n > most {
			most, dead = n, i
		}
	}
	start := time.Now()
	f.hosts[dead].kill()
	f.agents[dead].proc.kill()
	f.targets[dead].proc.kill()
	f.workers = slices.Delete(f.workers, dead, dead+1)
	took := f.await("the lost tasks run again", start, 100*time.Second, func() bool {
		return f.running() == tasks
	})
	b.ReportMetric(took.Seconds(), "s-to-running")
	b.ReportMetric(float64(most), "tasks-lost")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRecoveryStore measures the time from the end of a store outage of 30 s until tasks finish at nine tenths of
// the rate before it.
func BenchmarkRecoveryStore(b *testing.B) {
	f := newRecoveryField(b, 10_000, 200*time.Millisecond)
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
	f.storeFaults(script.Rule{Action: script.Down})
	time.Sleep(outageTime)
	start := time.Now()
	f.storeFaults()
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
