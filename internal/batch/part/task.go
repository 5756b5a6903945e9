package part

import (
	"fmt"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// TaskState is the state of a task; values are part of the snapshot's format and never change.
type TaskState uint8

// States of a task. Running is not told apart from Starting here, since the difference is not durable.
const (
	Queued TaskState = iota
	Starting
	Done
	Failed
	Cancelled
)

// IsFinal reports whether no event can change the task any more.
func (s TaskState) IsFinal() bool { return s >= Done }

// task is kept small, 16 bytes: 360,000 tasks run at once and more are queued. Names of objects are derived from
// (task, attempt); Share.names holds those that differ.
type task struct {
	attempt    ident.Attempt
	checkpoint ident.Attempt // attempt that wrote the checkpoint to resume from; 0 for none
	holder     uint32        // index into State.holders while Starting
	failures   uint8
	state      TaskState
	inherited  bool // see State.MarkInherited; not durable
}

// Task is the view of a task.
type Task struct {
	ID         ident.Task
	State      TaskState
	Attempt    ident.Attempt
	Failures   int
	Worker     ident.Worker // while Starting
	Agent      ident.Incarnation
	Checkpoint string // object to resume from
	Result     string // object, when Done
	Inherited  bool   // the attempt was started by an earlier owner
}

// CheckpointName returns the usual name of the checkpoint object of an attempt: that of its first checkpoint.
func CheckpointName(t ident.Task, n ident.Attempt) string {
	return fmt.Sprintf("checkpoint/%s/%d/%d/1", t.Job, t.Index, n)
}

// ResultName returns the usual name of the result object of an attempt.
func ResultName(t ident.Task, n ident.Attempt) string {
	return fmt.Sprintf("result/%s/%d/%d", t.Job, t.Index, n)
}

// holder is a worker under one incarnation of its agent, shared by the tasks that it holds.
type holder struct {
	Worker ident.Worker
	Agent  ident.Incarnation
}

// holders interns holders, so that a task stores an index in place of two strings.
type holders struct {
	list  []holder
	refs  []uint32
	index map[holder]uint32
	free  []uint32
}

func (h *holders) take(v holder) uint32 {
	if h.index == nil {
		h.index = map[holder]uint32{}
	}
	if i, ok := h.index[v]; ok {
		h.refs[i]++
		return i
	}
	var i uint32
	if n := len(h.free); n > 0 {
		i = h.free[n-1]
		h.free = h.free[:n-1]
		h.list[i], h.refs[i] = v, 1
	} else {
		i = uint32(len(h.list))
		h.list = append(h.list, v)
		h.refs = append(h.refs, 1)
	}
	h.index[v] = i
	return i
}

func (h *holders) drop(i uint32) {
	h.refs[i]--
	if h.refs[i] == 0 {
		delete(h.index, h.list[i])
		h.list[i] = holder{}
		h.free = append(h.free, i)
	}
}
