package place

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const (
	badJobWorkers     = 3  // a job that failed on this many workers is bad
	badWorkerJobs     = 3  // a worker on which this many jobs failed, none of them bad, is quarantined
	quarantineDivisor = 10 // at most one in this many workers of a zone is quarantined, but one is always allowed
	minProbeDelay     = time.Minute
	maxProbeDelay     = time.Hour
	failureWindow     = 10 * time.Minute // only failures on a worker within this time are counted together
)

// health distinguishes bad jobs from bad workers. A single failure does not show which of them is bad: a job that fails
// on many workers is bad, and a worker on which many unrelated jobs fail is bad.
type health struct {
	jobs       map[ident.Job]map[ident.Worker]bool // workers on which a job failed
	bad        map[ident.Job]bool
	workers    map[ident.Worker]*workerRecord
	quarantine map[ident.AvailabilityZone]int // number of quarantined workers
}

// workerRecord is the failure history of one worker.
type workerRecord struct {
	failed        map[ident.Job]time.Time
	zone          ident.AvailabilityZone
	isQuarantined bool
	probeAt       time.Time     // earliest time of the next probe
	probeDelay    time.Duration // between probes; doubles with each failed probe
}

func newHealth() health {
	return health{
		jobs: map[ident.Job]map[ident.Worker]bool{}, bad: map[ident.Job]bool{},
		workers: map[ident.Worker]*workerRecord{}, quarantine: map[ident.AvailabilityZone]int{},
	}
}

// admits reports whether a task may be assigned to a worker: a quarantined worker gets one probe task per probeDelay.
func (h *health) admits(w ident.Worker, now time.Time) bool {
	r := h.workers[w]
	return r == nil || !r.isQuarantined || !now.Before(r.probeAt)
}

// recordPlacement records that a task is assigned to a worker; on a quarantined worker the task is a probe.
func (h *health) recordPlacement(w ident.Worker, now time.Time) {
	if r := h.workers[w]; r != nil && r.isQuarantined {
		r.probeAt = now.Add(r.probeDelay)
	}
}

// FailureCause attributes a failure to the job, the worker or neither.
type FailureCause struct {
	JobIsBad    bool // the job fails on many workers; the failure is final
	WorkerIsBad bool // the worker is in quarantine; the failure does not count against the job
	NewlyBad    bool // the job or the worker was not bad before this failure
}

// Failed records that a task of the job failed on the worker and returns its cause.
func (b *Board) Failed(w ident.Worker, job ident.Job) FailureCause {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, now := &b.health, time.Now()
	if h.bad[job] {
		return FailureCause{JobIsBad: true}
	}
	zone := ident.AvailabilityZone("")
	if r := b.workers[w]; r != nil {
		zone = r.Zone
	}
	r := h.workers[w]
	if r == nil {
		r = &workerRecord{failed: map[ident.Job]time.Time{}, zone: zone, probeDelay: minProbeDelay}
		h.workers[w] = r
	}
	if r.isQuarantined {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
		r.probeAt = now.Add(r.probeDelay)
		return FailureCause{WorkerIsBad: true}
	}
	if h.jobs[job] == nil {
		h.jobs[job] = map[ident.Worker]bool{}
	}
	h.jobs[job][w] = true
	if len(h.jobs[job]) >= badJobWorkers {
		h.markBad(job)
		return FailureCause{JobIsBad: true, NewlyBad: true}
	}
	r.failed[job] = now
	for j, at := range r.failed {
		if now.Sub(at) > failureWindow {
			delete(r.failed, j)
		}
	}
	if len(r.failed) >= badWorkerJobs && h.quarantine[zone] < max(1, len(b.zones[zone])/quarantineDivisor) {
		h.quarantine[zone]++
		r.isQuarantined, r.probeAt = true, now.Add(r.probeDelay)
		for j := range r.failed { // these failures are attributed to the worker
			delete(h.jobs[j], w)
		}
		return FailureCause{WorkerIsBad: true, NewlyBad: true}
	}
	return FailureCause{}
}

// markBad marks a job as bad and removes its failures from the records of workers.
func (h *health) markBad(job ident.Job) {
	h.bad[job] = true
	for w := range h.jobs[job] {
		if r := h.workers[w]; r != nil {
			delete(r.failed, job)
		}
	}
	delete(h.jobs, job)
}

// Succeeded records that a task succeeded on the worker, which ends its quarantine and clears its failures.
func (b *Board) Succeeded(w ident.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.health.workers[w]
	if r == nil {
		return
	}
	if r.isQuarantined {
		b.health.quarantine[r.zone]--
	}
	delete(b.health.workers, w)
}

// Forget deletes the failure history of a finished job.
func (b *Board) Forget(job ident.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.health.jobs, job)
	delete(b.health.bad, job)
}
