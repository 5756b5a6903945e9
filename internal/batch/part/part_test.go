package part_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

var home = ident.Partition{Zone: "konya", Number: 1}

// drawEvent returns a random event for one of three jobs. Most are well-formed, but many are not allowed in every
// state.
func drawEvent(t *rapid.T) *part.Event {
	spec := &wire.JobSpec{Job: rapid.SampledFrom([]ident.Job{"a", "b", "c"}).Draw(t, "job"), Tasks: 4}
	share := part.ShareRange{Partition: home, Range: wire.Range{To: 4}}
	return &part.Event{
		Kind:    part.Kind(rapid.IntRange(int(part.JobAccepted), int(part.JobForgotten)).Draw(t, "kind")),
		Job:     spec.Job,
		Index:   rapid.Uint32Range(0, 4).Draw(t, "index"),
		Attempt: ident.Attempt(rapid.Uint32Range(0, 4).Draw(t, "attempt")),
		Worker:  rapid.SampledFrom([]ident.Worker{"w1", "w2"}).Draw(t, "worker"),
		Object:  rapid.SampledFrom([]string{"", "odd", "checkpoint/a/0/1/1"}).Draw(t, "object"),
		Final:   rapid.Bool().Draw(t, "final"),
		Spec:    spec, Shares: []part.ShareRange{share}, Share: &share, Counts: &wire.Counts{Done: 4}, At: 9,
	}
}

func snapshot(t *rapid.T, s *part.State) []byte {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a task that is Done twice, attempt numbers that do not increase, refused events that change the state,
// and a snapshot or replay that differs from the live state.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := part.New()
		var journal []*part.Event
		var restored *part.State
		done := map[ident.Task]int{}
		attempts := map[ident.Task]ident.Attempt{}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			e := drawEvent(t)
			before := snapshot(t, live)
			if live.Apply(1, e) != nil {
				if !bytes.Equal(before, snapshot(t, live)) {
					t.Fatalf("refused event %v changed the state", e.Kind)
				}
				continue
			}
			journal = append(journal, e)
			if restored == nil || rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				var err error
				if restored, err = part.Restore(snapshot(t, live)); err != nil {
					t.Fatal(err)
				}
			} else if err := restored.Apply(1, e); err != nil {
				t.Fatalf("restored state refuses %v: %v", e.Kind, err)
			}
			checkTask(t, live, e, done, attempts)
		}
		replayed := part.New()
		for _, e := range journal {
			if err := replayed.Apply(1, e); err != nil {
				t.Fatalf("replay refuses %v: %v", e.Kind, err)
			}
		}
		want := snapshot(t, live)
		if !bytes.Equal(want, snapshot(t, replayed)) {
			t.Error("replay differs from the live state")
		}
		if restored != nil && !bytes.Equal(want, snapshot(t, restored)) {
			t.Error("snapshot and replay differ from the live state")
		}
	})
}

func checkTask(t *rapid.T, s *part.State, e *part.Event, done map[ident.Task]int, attempts map[ident.Task]ident.Attempt) {
	id := e.Task()
	switch e.Kind {
	case part.JobForgotten:
		for i := range uint32(4) {
			delete(done, ident.Task{Job: e.Job, Index: i})
			delete(attempts, ident.Task{Job: e.Job, Index: i})
		}
	case part.TaskStarted:
		if e.Attempt <= attempts[id] {
			t.Fatalf("attempt %d of %v follows %d", e.Attempt, id, attempts[id])
		}
		attempts[id] = e.Attempt
	case part.TaskFinished:
		if done[id]++; done[id] > 1 {
			t.Fatalf("%v is done %d times", id, done[id])
		}
	default:
	}
	sh := s.Share(e.Job)
	if sh == nil {
		return
	}
	c := sh.Counts
	if c.Queued+c.Running+c.Done+c.Failed+c.Cancelled != 4 {
		t.Fatalf("counts %+v do not add up to the 4 tasks", c)
	}
}

// Guards against events of a deposed owner in the journal and against a result that replaces a cancellation.
func TestRefusals(t *testing.T) {
	s := part.New()
	spec := &wire.JobSpec{Job: "a", Tasks: 2}
	share := &part.ShareRange{Partition: home, Range: wire.Range{To: 2}}
	started := &part.Event{Kind: part.TaskStarted, Job: "a", Attempt: 1, Worker: "w"}
	finished := &part.Event{Kind: part.TaskFinished, Job: "a", Attempt: 1}
	steps := []struct {
		epoch ident.Epoch
		event *part.Event
		want  error
	}{
		{3, &part.Event{Kind: part.ShareTaken, Job: "a", Spec: spec, Share: share}, nil},
		{2, started, part.ErrEpoch},
		{3, &part.Event{Kind: part.TaskStarted, Job: "a", Attempt: 2}, part.ErrAttempt},
		{3, started, nil},
		{3, started, part.ErrState},
		{3, &part.Event{Kind: part.TaskFinished, Job: "a", Attempt: 2}, part.ErrAttempt},
		{3, &part.Event{Kind: part.JobCancelled, Job: "a"}, nil},
		{3, finished, part.ErrCancelled},
		{3, &part.Event{Kind: part.TaskStarted, Job: "a", Index: 1, Attempt: 1}, part.ErrCancelled},
		{3, &part.Event{Kind: part.TaskReleased, Job: "a", Attempt: 1}, nil},
		{3, finished, part.ErrState},
		{3, &part.Event{Kind: part.ShareClosed, Job: "a"}, nil},
		{3, &part.Event{Kind: part.ShareTaken, Job: "a", Spec: spec, Share: share}, part.ErrExists},
	}
	for i, step := range steps {
		if err := s.Apply(step.epoch, step.event); !errors.Is(err, step.want) {
			t.Errorf("step %d (%v): got %v, want %v", i, step.event.Kind, err, step.want)
		}
	}
}
