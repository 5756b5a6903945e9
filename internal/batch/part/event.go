package part

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Kind,TaskState -output part_string.go

// Kind is the type of an event; the values are part of the journal's format and must not change.
type Kind uint8

// Kinds of events.
const (
	JobAccepted  Kind = iota + 1 // the home partition accepts a job and splits it into shares
	ShareTaken                   // a partition takes a range of a job's tasks
	TaskStarted                  // an attempt is assigned to a worker
	TaskFinished                 // the current attempt succeeded with a result
	TaskFailed                   // the current attempt failed; the task is queued again unless Final is set
	TaskEvicted                  // the current attempt was evicted, usually with a checkpoint
	TaskReleased                 // the current attempt ended, or can no longer run, without an outcome
	JobCancelled                 // no task of the job starts after this event
	ShareDone                    // the home partition has received the final counts of a share
	ShareClosed                  // the home partition has acknowledged the final counts of this partition's share
	JobForgotten                 // a finished job and its closed share are deleted after the retention time
)

// Event is one change of a partition; fields that do not apply to its kind are zero.
type Event struct {
	Kind        Kind
	Job         ident.Job
	Index       uint32            // index of the task, for the Task kinds
	Attempt     ident.Attempt     // for the Task kinds
	Worker      ident.Worker      // for TaskStarted
	Incarnation ident.Incarnation // of the worker's agent, for TaskStarted
	Object      string            // result for TaskFinished, checkpoint for TaskEvicted
	Detail      string            // cause of TaskFailed, author of JobCancelled
	Final       bool              // for TaskFailed
	At          int64             // ns since 1970, for the kinds of jobs and shares
	Spec        *wire.JobSpec     // for JobAccepted and ShareTaken
	Shares      []ShareRange      // for JobAccepted
	Share       *ShareRange       // for ShareTaken the range and the home partition; for ShareDone the share
	Counts      *wire.Counts      // for ShareDone
}

// ShareRange names a partition and a range of tasks.
type ShareRange struct {
	Partition ident.Partition
	Range     wire.Range
}

// Task returns the ID of the task that the event applies to.
func (e *Event) Task() ident.Task { return ident.Task{Job: e.Job, Index: e.Index} }
