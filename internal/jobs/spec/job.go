package spec

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a job.
const (
	MaxPayload     = 4000   // bytes
	MaxSteps       = 100    // of a job
	MaxTasks       = 20_000 // of a job, over all occurrences
	MaxOccurrences = 10_000
	maxStartAt     = 1 << 50 // ms since 1970
	maxInterval    = 1 << 48 // ms, so that the time of the last occurrence does not overflow
	idLength       = 16
)

// ID identifies a job; the caller chooses it as 16 hexadecimal digits.
type ID string

// Check returns an error unless the id has 16 hexadecimal digits.
func (id ID) Check() error {
	if len(id) != idLength {
		return errors.Newf("id has %d characters; allowed: %d hexadecimal digits", len(id), idLength)
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return errors.Newf("id %q has the character %q; allowed: hexadecimal digits", string(id), c)
		}
	}
	return nil
}

// Job is an accepted job with the settings of its queue at the time of acceptance.
type Job struct {
	ID          ID
	Queue       string
	Service     string
	Payload     string // passed to the worker with each task
	Steps       []Step
	Occurrences int   // number of times that the steps run; 0 for a job without a schedule
	StartAt     int64 // scheduled time of the first occurrence, ms since 1970
	Interval    int64 // between occurrences, ms
	Priority    int
	MaxAttempts int
	Stretch     float64
	Objective   int64  // ms added to Stretch times the declared run time
	AcceptedAt  int64  // wall-clock time of the accepting entry, ms since 1970
	Version     uint64 // of the configuration in force at acceptance
	Epoch       uint64 // of the leader that the accepting entry knew and notified
	Advised     bool   // the queue's policy service restricts the workers
}

// Check returns an error that describes the first invalid field of a submitted job.
func (j *Job) Check() error {
	if err := j.ID.Check(); err != nil {
		return err
	}
	if len(j.Payload) > MaxPayload {
		return errors.Newf("payload has %d bytes; allowed: at most %d", len(j.Payload), MaxPayload)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Newf("job has %d steps; allowed: 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.Interval < 0 || j.Interval > maxInterval ||
		j.StartAt < 0 || j.StartAt > maxStartAt {
		return errors.Newf("%d occurrences every %d ms from %d are out of range", j.Occurrences, j.Interval, j.StartAt)
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	if n := j.TaskCount(); n > MaxTasks {
		return errors.Newf("job has %d tasks; allowed: at most %d", n, MaxTasks)
	}
	return nil
}

// Rounds returns the number of times that the steps run: the occurrences, or 1 for a job without a schedule.
func (j *Job) Rounds() int { return max(1, j.Occurrences) }

// TaskCount returns the number of tasks over all occurrences.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n * j.Rounds()
}

// Due returns the wall-clock time from which occurrence k may start, and false for a job without a schedule.
func (j *Job) Due(k int) (time.Time, bool) {
	if j.Occurrences == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(j.StartAt + int64(k)*j.Interval), true
}

// IsLongRunning reports whether any step has long-running tasks.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Allowed returns the time that the job may take, Stretch times its critical path plus its objective, and at most limit.
func (j *Job) Allowed(limit time.Duration) time.Duration {
	ms := max(j.Stretch, 1)*float64(j.CriticalPath()) + float64(j.Objective)
	return time.Duration(min(ms, float64(limit.Milliseconds()))) * time.Millisecond
}

// CriticalPath returns the declared run time of the critical path, the longest chain of dependent steps, in
// milliseconds.
func (j *Job) CriticalPath() int64 {
	ends := make([]int64, len(j.Steps))
	var longest int64
	for i := range j.Steps {
		var start int64
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
