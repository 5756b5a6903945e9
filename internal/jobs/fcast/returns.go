package fcast

import (
	"math"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	returnGrace = 2 * time.Second // after its Retry-After, for which a caller is expected back
	forgetAfter = time.Minute     // after which the rejections of a job are forgotten
	maxReturns  = 4096            // rejected jobs that are remembered
)

// Rejection describes a rejected job to the leader.
type Rejection struct {
	Pool       Pool
	Priority   int
	Work       float64
	RetryAfter int64 // ms
}

// Check reports whether the fields are in range.
func (r *Rejection) Check() bool {
	return isAmount(r.Work) && r.RetryAfter >= 0 && r.RetryAfter <= 2*maxRetryAfter.Milliseconds()
}

// Returns remembers the jobs that the entries have rejected and whose callers may return.
type Returns struct {
	jobs map[spec.ID]*returning
}

type returning struct {
	last       Rejection
	rejections int
	rejectedAt time.Time
}

// Record adds a rejection. While maxReturns jobs are remembered, other jobs are not, so that those that were rejected for
// the longest time keep their precedence.
func (r *Returns) Record(id spec.ID, rejection Rejection, now time.Time) {
	if r.jobs == nil {
		r.jobs = make(map[spec.ID]*returning)
	}
	j := r.jobs[id]
	if j == nil {
		if len(r.jobs) >= maxReturns {
			return
		}
		j = &returning{}
		r.jobs[id] = j
	}
	j.last, j.rejectedAt = rejection, now
	j.rejections++
}

// Forget removes a job that has been accepted.
func (r *Returns) Forget(id spec.ID) { delete(r.jobs, id) }

// Count returns the number of remembered rejections of a job, at most 255.
func (r *Returns) Count(id spec.ID) uint8 {
	if j := r.jobs[id]; j != nil {
		return uint8(min(j.rejections, math.MaxUint8))
	}
	return 0
}

// Each forgets old rejections, and calls f with each job that is expected back and the index of its work in
// Class.Returning.
func (r *Returns) Each(now time.Time, f func(r *Rejection, index int)) {
	for id, j := range r.jobs {
		due := j.rejectedAt.Add(time.Duration(j.last.RetryAfter) * time.Millisecond)
		switch {
		case now.After(due.Add(forgetAfter)):
			delete(r.jobs, id)
		case !now.After(due.Add(returnGrace)):
			f(&j.last, min(j.rejections, MaxRejections)-1)
		}
	}
}
