package part

import (
	"github.com/cespare/xxhash/v2"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Job is the state of a job in its home partition.
type Job struct {
	Spec       *wire.JobSpec
	Shares     []JobShare
	Cancelled  bool
	FinishedAt int64 // ns since 1970; 0 until all shares are done
}

// JobShare is the state of a share in the home partition of its job.
type JobShare struct {
	ShareRange
	Done   bool
	Counts wire.Counts // final once Done
}

// IsFinished reports whether the final counts of all shares are known.
func (j *Job) IsFinished() bool { return j.FinishedAt != 0 }

// Status returns the progress of the job; the callback returns the latest counts of a share that is not done.
func (j *Job) Status(progress func(JobShare) wire.Counts) wire.JobStatus {
	st := wire.JobStatus{Spec: *j.Spec, Finished: j.IsFinished()}
	for _, s := range j.Shares {
		c := s.Counts
		if !s.Done {
			c = progress(s)
		}
		st.Queued += c.Queued
		st.Running += c.Running
		st.Done += c.Done
		st.Failed += c.Failed
		st.Cancelled += c.Cancelled
		st.Evictions += c.Evictions
	}
	return st
}

func newJob(e *Event) *Job {
	j := &Job{Spec: e.Spec}
	for _, p := range e.Shares {
		j.Shares = append(j.Shares, JobShare{ShareRange: p})
	}
	return j
}

// covers reports whether the shares are disjoint, in order and on distinct partitions, and cover all tasks of the job.
func covers(spec *wire.JobSpec, shares []ShareRange) bool {
	var at uint32
	seen := map[ident.Partition]bool{}
	for _, s := range shares {
		if s.Range.From != at || s.Range.To <= at || seen[s.Partition] {
			return false
		}
		seen[s.Partition] = true
		at = s.Range.To
	}
	return at == spec.Tasks && at > 0
}

// Home returns the home partition of a job: the one with the highest rendezvous hash among all partitions of the
// deployment. All processes that know the same partitions select the same home.
func Home(job ident.Job, all []ident.Partition) ident.Partition {
	var best ident.Partition
	var top uint64
	for _, p := range all {
		h := xxhash.Sum64String(string(job) + "\x00" + p.String())
		if h > top || top == 0 {
			best, top = p, h
		}
	}
	return best
}
