package part

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Share is the range of a job's tasks that is assigned to a partition.
type Share struct {
	Spec      *wire.JobSpec
	Home      ident.Partition
	Range     wire.Range
	Counts    wire.Counts
	Cancelled bool
	Closed    bool   // the tasks are deleted; the counts remain so that a late offer does not restart the share
	ClosedAt  int64  // ns since 1970
	Detail    string // cause of the last failure

	tasks []task
	next  uint32            // lower bound on the offset of the first queued task
	names map[uint32]string // object names that differ from the default, by offset
}

// IsFinished reports whether all tasks of the share are in a final state.
func (s *Share) IsFinished() bool { return s.Counts.Queued == 0 && s.Counts.Running == 0 }

func newShare(e *Event) *Share {
	n := e.Share.Range.To - e.Share.Range.From
	return &Share{
		Spec: e.Spec, Home: e.Share.Partition, Range: e.Share.Range, Counts: wire.Counts{Queued: n},
		tasks: make([]task, n),
	}
}

// at returns the task with the given index in the job, or nil if the share does not contain it or is closed.
func (s *Share) at(index uint32) *task {
	if s.Closed || index < s.Range.From || index >= s.Range.To {
		return nil
	}
	return &s.tasks[index-s.Range.From]
}

func (s *Share) count(state TaskState) *uint32 {
	switch state {
	case Queued:
		return &s.Counts.Queued
	case Starting:
		return &s.Counts.Running
	case Done:
		return &s.Counts.Done
	case Failed:
		return &s.Counts.Failed
	default:
		return &s.Counts.Cancelled
	}
}

// setState changes the state of a task and updates the counts. In a cancelled share, a task that would be queued again
// becomes Cancelled.
func (s *Share) setState(index uint32, state TaskState) {
	t := s.at(index)
	if state == Queued && s.Cancelled {
		state = Cancelled
	}
	*s.count(t.state)--
	*s.count(state)++
	t.state = state
	if state == Queued {
		s.next = min(s.next, index-s.Range.From)
	}
}

// setName records the name of an object if it differs from the default.
func (s *Share) setName(index uint32, name, defaultName string) {
	off := index - s.Range.From
	if name == defaultName {
		delete(s.names, off)
		return
	}
	if s.names == nil {
		s.names = map[uint32]string{}
	}
	s.names[off] = name
}

// nextQueued returns the lowest offset, starting at off, whose task is queued.
func (s *Share) nextQueued(off uint32) (uint32, bool) {
	if s.Counts.Queued == 0 || s.Closed {
		return 0, false
	}
	for i := max(off, s.next); i < uint32(len(s.tasks)); i++ {
		if s.tasks[i].state == Queued {
			if off <= s.next {
				s.next = i
			}
			return i, true
		}
	}
	return 0, false
}

// view returns the exported form of a task.
func (s *Share) view(index uint32, h *holders) Task {
	t := s.at(index)
	v := Task{
		ID: ident.Task{Job: s.Spec.Job, Index: index}, State: t.state, Attempt: t.attempt, Failures: int(t.failures),
		Inherited: t.inherited,
	}
	custom, isCustom := s.names[index-s.Range.From]
	switch {
	case t.state == Done && isCustom:
		v.Result = custom
	case t.state == Done:
		v.Result = ResultName(v.ID, t.attempt)
	case t.checkpoint != 0 && isCustom:
		v.Checkpoint = custom
	case t.checkpoint != 0:
		v.Checkpoint = CheckpointName(v.ID, t.checkpoint)
	}
	if t.state == Starting {
		v.Worker, v.Agent = h.list[t.holder].Worker, h.list[t.holder].Agent
	}
	return v
}

func (s *Share) close(at int64) {
	s.Closed, s.ClosedAt = true, at
	s.tasks, s.names = nil, nil
}
