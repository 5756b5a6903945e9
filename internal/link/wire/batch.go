package wire

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type TaskState,StopReason -output batch_string.go

// StartTask tells an agent to start an attempt that is durable.
type StartTask struct {
	Partition   ident.Partition
	Epoch       ident.Epoch
	Task        ident.Task
	Attempt     ident.Attempt
	Incarnation ident.Incarnation // of the agent for which the attempt was committed
	Team        ident.Team
	Class       string
	Command     string
	Size        sizes.Resources
	Checkpoint  string // object to resume from; empty for none
	Urgent      bool
	Until       int64 // lease deadline, ns on the agent's clock of Heartbeat.SentAt
}

// StopReason says why a task is stopped.
type StopReason uint8

// Reasons to stop a task.
const (
	StopEvict StopReason = iota + 1
	StopCancel
	StopSuperseded
)

// StopTask tells an agent to stop an attempt, after a checkpoint when the reason is StopEvict.
type StopTask struct {
	Partition ident.Partition
	Epoch     ident.Epoch
	Task      ident.Task
	Attempt   ident.Attempt
	Reason    StopReason
}

// ThrottleTask tells an agent to limit the processors of a task.
type ThrottleTask struct {
	Task       ident.Task
	Attempt    ident.Attempt
	Processors int64 // thousandths of a processor; 0 removes the limit
}

// TaskState is what an agent knows of an attempt.
type TaskState uint8

// States of an attempt on an agent.
const (
	TaskRunning TaskState = iota + 1
	TaskPaused
	TaskFinished
	TaskFailed
	TaskEvicted
	TaskRefused // never started and never will be
	TaskStopped // cancelled or superseded
)

// TaskReport tells the owner of a partition about an attempt; final states are sent again until acknowledged.
type TaskReport struct {
	Partition  ident.Partition
	Task       ident.Task
	Attempt    ident.Attempt
	State      TaskState
	Result     string // object with the result, for TaskFinished
	Checkpoint string // object with the checkpoint, for TaskEvicted
	Detail     string
	Used       sizes.Resources // highest usage seen
	RunTime    int64           // ns
}

// TaskReportAck tells an agent that the report is durable and may be forgotten.
type TaskReportAck struct {
	Task    ident.Task
	Attempt ident.Attempt
}

// Adopt tells an agent that a partition has a new epoch; the agent refuses lower ones from then on.
type Adopt struct {
	Partition ident.Partition
	Epoch     ident.Epoch
}

// Held is an attempt that an agent still holds.
type Held struct {
	Task    ident.Task
	Attempt ident.Attempt
	State   TaskState
	Size    sizes.Resources
}

// Inventory lists what an agent holds of a partition, in answer to Adopt.
type Inventory struct {
	Partition ident.Partition
	Epoch     ident.Epoch
	Held      []Held
}

// Reconcile answers Inventory: attempts in Drop are stopped, the others go on and may be renewed.
type Reconcile struct {
	Partition ident.Partition
	Epoch     ident.Epoch
	Drop      []Held
}

// Kind implements Message.
func (*StartTask) Kind() Kind { return KindStartTask }

// Kind implements Message.
func (*StopTask) Kind() Kind { return KindStopTask }

// Kind implements Message.
func (*ThrottleTask) Kind() Kind { return KindThrottleTask }

// Kind implements Message.
func (*TaskReport) Kind() Kind { return KindTaskReport }

// Kind implements Message.
func (*TaskReportAck) Kind() Kind { return KindTaskReportAck }

// Kind implements Message.
func (*Adopt) Kind() Kind { return KindAdopt }

// Kind implements Message.
func (*Inventory) Kind() Kind { return KindInventory }

// Kind implements Message.
func (*Reconcile) Kind() Kind { return KindReconcile }

func init() {
	register(&StartTask{}, &StopTask{}, &ThrottleTask{}, &TaskReport{}, &TaskReportAck{}, &Adopt{}, &Inventory{},
		&Reconcile{})
}
