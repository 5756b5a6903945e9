package part

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Kind,TaskState -output part_string.go

// Kind is the type of an event; values are part of the journal's format and never change.
type Kind uint8

// Kinds of events.
const (
	JobAccepted  Kind = iota + 1 // the home partition accepts a job and splits it into shares
	ShareTaken                   // a partition takes a range of a job's tasks
	TaskStarted                  // an attempt is assigned to a worker
	TaskFinished                 // the current attempt delivered its result
	TaskFailed                   // the current attempt failed; the task is queued again unless Final is set
	TaskEvicted                  // the current attempt ended with a checkpoint
	TaskReleased                 // the current attempt ended, or can no longer run, without an outcome
	JobCancelled                 // no task of the job starts from here on
	ShareDone                    // the home partition learned the final counts of a share
	ShareClosed                  // the home partition has acknowledged the final counts of the share held here
	JobForgotten                 // a finished job and its closed share are dropped after their retention
)

// Event is one change of a partition; fields that a kind does not name are zero.
type Event struct {
	Kind        Kind
	Job         ident.Job
	Index       uint32            // of the task, for the Task kinds
	Attempt     ident.Attempt     // for the Task kinds
	Worker      ident.Worker      // for TaskStarted
	Incarnation ident.Incarnation // of the worker's agent, for TaskStarted
	Object      string            // result for TaskFinished, checkpoint for TaskEvicted
	Detail      string            // cause of TaskFailed, author of JobCancelled
	Final       bool              // for TaskFailed
	At          int64             // ns since 1970, for the kinds of jobs and shares
	Spec        *wire.JobSpec     // for JobAccepted and ShareTaken
	Shares      []Placed          // for JobAccepted
	Share       *Placed           // the range held, with the home partition, for ShareTaken; the share for ShareDone
	Counts      *wire.Counts      // for ShareDone
}

// Placed names a partition and a range of tasks.
type Placed struct {
	Partition ident.Partition
	Range     wire.Range
}

// Task returns the task that the event is about.
func (e *Event) Task() ident.Task { return ident.Task{Job: e.Job, Index: e.Index} }
