package part

import (
	"fmt"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// TaskState is the state of a task; the values are part of the snapshot's format and must not change.
type TaskState uint8

// States of a task. Starting includes running tasks, since the difference is not durable.
const (
	Queued TaskState = iota
	Starting
	Done
	Failed
	Cancelled
)

// IsFinal reports whether the state is final: done, failed or cancelled.
func (s TaskState) IsFinal() bool { return s >= Done }

// task is limited to 16 bytes, because 360,000 tasks run at once and more are queued. Object names are derived from the
// task and attempt; Share.names holds those that differ.
type task struct {
	attempt    ident.Attempt
	checkpoint ident.Attempt // attempt that wrote the checkpoint to resume from; 0 for none
	holder     uint32        // index into State.holders while Starting
	failures   uint8
	state      TaskState
	inherited  bool // see State.MarkInherited; not durable
}

// Task describes a task to callers.
type Task struct {
	ID         ident.Task
	State      TaskState
	Attempt    ident.Attempt
	Failures   int
	Worker     ident.Worker // while Starting
	Agent      ident.Incarnation
	Checkpoint string // name of the object to resume from
	Result     string // name of the object, when Done
	Inherited  bool   // the attempt was started by an earlier owner
}

// CheckpointName returns the default name of an attempt's checkpoint object, which is that of its first checkpoint.
func CheckpointName(t ident.Task, n ident.Attempt) string {
	return fmt.Sprintf("checkpoint/%s/%d/%d/1", t.Job, t.Index, n)
}

// ResultName returns the default name of an attempt's result object.
func ResultName(t ident.Task, n ident.Attempt) string {
	return fmt.Sprintf("result/%s/%d/%d", t.Job, t.Index, n)
}

// holder is a worker with one incarnation of its agent, shared by the tasks that are assigned to it.
type holder struct {
	Worker ident.Worker
	Agent  ident.Incarnation
}

// holders is a reference-counted intern table, so that a task stores an index instead of two strings.
type holders struct {
	list  []holder
	refs  []uint32
	index map[holder]uint32
	free  []uint32
}

// intern returns the index of v and increments its reference count.
func (h *holders) intern(v holder) uint32 {
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

// release decrements the reference count of entry i and frees the entry at 0.
func (h *holders) release(i uint32) {
	h.refs[i]--
	if h.refs[i] == 0 {
		delete(h.index, h.list[i])
		h.list[i] = holder{}
		h.free = append(h.free, i)
	}
}
