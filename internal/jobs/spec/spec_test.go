package spec_test

import (
	"strings"
	"testing"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

func valid() *spec.Job {
	return &spec.Job{ID: "5c0e7a21d94b36f8", Steps: []spec.Step{
		{Count: 2, Estimate: 100}, {Count: 1, Estimate: 50}, {Count: 1, Estimate: 200, After: []int{0, 1}},
	}}
}

// Guards against accepting a job that cannot run as specified.
func TestCheck(t *testing.T) {
	if err := valid().Check(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		corrupt func(*spec.Job)
	}{
		{"short id", func(j *spec.Job) { j.ID = "5c0e" }},
		{"id with other characters", func(j *spec.Job) { j.ID = "5c0e7a21d94b36fx" }},
		{"long payload", func(j *spec.Job) { j.Payload = strings.Repeat("x", spec.MaxPayload+1) }},
		{"no steps", func(j *spec.Job) { j.Steps = nil }},
		{"no tasks", func(j *spec.Job) { j.Steps[0].Count = 0 }},
		{"negative size", func(j *spec.Job) { j.Steps[0].Size = sizes.Resources{Processors: -1} }},
		{"depends on itself", func(j *spec.Job) { j.Steps[2].After = []int{2} }},
		{"depends on a later step", func(j *spec.Job) { j.Steps[0].After = []int{1} }},
		{"too many tasks", func(j *spec.Job) { j.Steps[0].Count, j.Occurrences = spec.MaxTasks/2, 3 }},
		{"negative limit", func(j *spec.Job) { j.Steps[0].PerWorker = -1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := valid()
			test.corrupt(j)
			if err := j.Check(); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// Guards against deriving the objective from the sum of all steps or from the longest step alone.
func TestCriticalPath(t *testing.T) {
	if got := valid().CriticalPath(); got != 300 {
		t.Errorf("critical path of %d ms; want 300", got)
	}
}

// Guards against task names that parse to another task.
func TestTaskName(t *testing.T) {
	id := spec.Task{Job: "5c0e7a21d94b36f8", Round: 2, Step: 1, Index: 17}
	got, err := spec.ParseTask(id.String())
	if err != nil || got != id {
		t.Errorf("%v parses to %v, %v", id, got, err)
	}
	for _, s := range []string{"", "a.1.2", "a.1.2.3.4", "a.x.2.3", "a.1.-2.3"} {
		if _, err := spec.ParseTask(s); err == nil {
			t.Errorf("%q is accepted", s)
		}
	}
}
