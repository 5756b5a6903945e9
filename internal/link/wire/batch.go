package wire

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type TaskState,StopReason -output batch_string.go

// StartTask commands an agent to start an attempt that has been stored durably.
type StartTask struct {
	Partition   ident.Partition
	Epoch       ident.Epoch
	Task        ident.Task
	Attempt     ident.Attempt
	Incarnation ident.Incarnation // of the agent to which the attempt was committed
	Team        ident.Team
	Class       string
	Command     string
	Size        sizes.Resources
	Checkpoint  string // object to resume from; empty for none
	Urgent      bool
	Until       int64 // lease deadline, ns on the agent's clock (see Heartbeat.SentAt)
}

// StopReason is the reason for stopping a task.
type StopReason uint8

// Reasons to stop a task.
const (
	StopEvict StopReason = iota + 1
	StopCancel
	StopSuperseded
)

// StopTask commands an agent to stop an attempt, after a checkpoint if the reason is StopEvict.
type StopTask struct {
	Partition ident.Partition
	Epoch     ident.Epoch
	Task      ident.Task
	Attempt   ident.Attempt
	Reason    StopReason
}

// ThrottleTask commands an agent to limit the processors of a task.
type ThrottleTask struct {
	Task       ident.Task
	Attempt    ident.Attempt
	Processors int64 // limit in thousandths of a processor; 0 removes it
}

// TaskState is the state of an attempt as reported by its agent.
type TaskState uint8

// States of an attempt on an agent.
const (
	TaskRunning TaskState = iota + 1
	TaskPaused
	TaskFinished
	TaskFailed
	TaskEvicted
	TaskRefused // not started and will never be
	TaskStopped // cancelled or superseded
)

// TaskReport reports the state of an attempt to the partition's owner; final states are resent until acknowledged.
type TaskReport struct {
	Partition  ident.Partition
	Task       ident.Task
	Attempt    ident.Attempt
	State      TaskState
	Result     string // object that holds the result, for TaskFinished
	Checkpoint string // object that holds the checkpoint, for TaskEvicted
	Detail     string
	Used       sizes.Resources // peak usage
	RunTime    int64           // ns
}

// TaskReportAck confirms to an agent that its report is durable and need not be resent.
type TaskReportAck struct {
	Task    ident.Task
	Attempt ident.Attempt
}

// Adopt announces a new epoch of a partition to an agent, which rejects lower epochs from then on.
type Adopt struct {
	Partition  ident.Partition
	Epoch      ident.Epoch
	Generation uint64 // of the owner's state of the agent, from 1; returned in the Inventory
}

// AttemptState is an attempt that is still present on an agent.
type AttemptState struct {
	Task    ident.Task
	Attempt ident.Attempt
	State   TaskState
	Size    sizes.Resources
}

// Inventory is an agent's response to Adopt: all attempts of the partition that are present on the agent.
type Inventory struct {
	Partition  ident.Partition
	Epoch      ident.Epoch
	Attempts   []AttemptState `msgpack:"Held"`
	Generation uint64         // as in Adopt; 0 from an agent that does not know the field
}

// Reconcile is the response to Inventory: attempts in Drop are stopped, the others continue and may be renewed.
type Reconcile struct {
	Partition ident.Partition
	Epoch     ident.Epoch
	Drop      []AttemptState
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
