package spec

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Task identifies a task of a job.
type Task struct {
	Job   ID
	Round int // occurrence, from 0
	Step  int
	Index int
}

// String returns the name of the task: job, occurrence, step and index joined by dots.
func (t Task) String() string {
	b := make([]byte, 0, idLength+16)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Round, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// StepName returns the name of the task's step in its occurrence.
func (t Task) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses a task name as String returns it; it does not check the job's ID.
func ParseTask(s string) (Task, error) {
	f := strings.Split(s, ".")
	if len(f) != 4 {
		return Task{}, errors.Newf("task name %q has %d parts; want 4", s, len(f))
	}
	t := Task{Job: ID(f[0])}
	for i, p := range []*int{&t.Round, &t.Step, &t.Index} {
		n, err := strconv.Atoi(f[i+1])
		if err != nil || n < 0 {
			return Task{}, errors.Newf("task name %q has the part %q; allowed: a number that is not negative", s, f[i+1])
		}
		*p = n
	}
	return t, nil
}
