package place

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const (
	badJobWorkers   = 3  // a job that failed on this many workers is a bad job
	badWorkerJobs   = 3  // a worker on which this many jobs, none of them bad, failed is quarantined
	quarantineShare = 10 // at most one worker in this many of a zone is in quarantine, but one is always allowed
	firstProbe      = time.Minute
	lastProbe       = time.Hour
	forgetFailures  = 10 * time.Minute // failures on a worker count together only within this time
)

// trust tells bad jobs from bad workers. A failure alone does not say which side is bad: a job that fails on many
// workers is bad, and a worker on which many unrelated jobs fail is bad.
type trust struct {
	jobs       map[ident.Job]map[ident.Worker]bool // workers on which a job failed
	bad        map[ident.Job]bool
	workers    map[ident.Worker]*record
	quarantine map[ident.AvailabilityZone]int
}

type record struct {
	failed  map[ident.Job]time.Time
	zone    ident.AvailabilityZone
	isOut   bool
	probeAt time.Time     // when the next probe may start
	wait    time.Duration // before the probe after the next failure
}

func newTrust() trust {
	return trust{
		jobs: map[ident.Job]map[ident.Worker]bool{}, bad: map[ident.Job]bool{},
		workers: map[ident.Worker]*record{}, quarantine: map[ident.AvailabilityZone]int{},
	}
}

// admits reports whether a worker may get a task: a quarantined one gets one probe at a time.
func (t *trust) admits(w ident.Worker, now time.Time) bool {
	r := t.workers[w]
	return r == nil || !r.isOut || !now.Before(r.probeAt)
}

// chosen notes that a task goes to the worker; for a quarantined worker it is the probe.
func (t *trust) chosen(w ident.Worker, now time.Time) {
	if r := t.workers[w]; r != nil && r.isOut {
		r.probeAt = now.Add(r.wait)
	}
}

// Verdict says whose fault a failure is held to be.
type Verdict struct {
	JobIsBad    bool // the job fails on many workers; the failure is final
	WorkerIsBad bool // the worker is in quarantine; the failure does not count against the job
	NewlyBad    bool // the verdict about the job or the worker is new
}

// Failed notes that a task of the job failed on the worker.
func (b *Board) Failed(w ident.Worker, job ident.Job) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, now := &b.trust, time.Now()
	if t.bad[job] {
		return Verdict{JobIsBad: true}
	}
	zone := ident.AvailabilityZone("")
	if r := b.workers[w]; r != nil {
		zone = r.Zone
	}
	r := t.workers[w]
	if r == nil {
		r = &record{failed: map[ident.Job]time.Time{}, zone: zone, wait: firstProbe}
		t.workers[w] = r
	}
	if r.isOut {
		r.wait = min(2*r.wait, lastProbe)
		r.probeAt = now.Add(r.wait)
		return Verdict{WorkerIsBad: true}
	}
	if t.jobs[job] == nil {
		t.jobs[job] = map[ident.Worker]bool{}
	}
	t.jobs[job][w] = true
	if len(t.jobs[job]) >= badJobWorkers {
		t.markBad(job)
		return Verdict{JobIsBad: true, NewlyBad: true}
	}
	r.failed[job] = now
	for j, at := range r.failed {
		if now.Sub(at) > forgetFailures {
			delete(r.failed, j)
		}
	}
	if len(r.failed) >= badWorkerJobs && t.quarantine[zone] < max(1, len(b.zones[zone])/quarantineShare) {
		t.quarantine[zone]++
		r.isOut, r.probeAt = true, now.Add(r.wait)
		for j := range r.failed { // these failures were the worker's
			delete(t.jobs[j], w)
		}
		return Verdict{WorkerIsBad: true, NewlyBad: true}
	}
	return Verdict{}
}

// markBad records a bad job and clears the failures that it caused from the records of workers.
func (t *trust) markBad(job ident.Job) {
	t.bad[job] = true
	for w := range t.jobs[job] {
		if r := t.workers[w]; r != nil {
			delete(r.failed, job)
		}
	}
	delete(t.jobs, job)
}

// Succeeded notes that a task finished on the worker, which ends its quarantine.
func (b *Board) Succeeded(w ident.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.trust.workers[w]
	if r == nil {
		return
	}
	if r.isOut {
		b.trust.quarantine[r.zone]--
	}
	delete(b.trust.workers, w)
}

// Forget drops what is known about a finished job.
func (b *Board) Forget(job ident.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.trust.jobs, job)
	delete(b.trust.bad, job)
}
