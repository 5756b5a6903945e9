package wire

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// JobSpec is a batch job as submitted.
type JobSpec struct {
	Job       ident.Job
	Team      ident.Team
	Class     string
	Command   string
	Tasks     uint32
	Size      sizes.Resources // of each task
	RunTime   int64           // declared run time of a task, ns
	Urgent    bool
	Submitter string
	Submitted int64 // ns since 1970
}

// Range is a half-open range of task indexes of a job.
type Range struct {
	From, To uint32
}

// Counts is the number of tasks in each state; a task that is on an agent, or about to be sent to one, is running.
type Counts struct {
	Queued    uint32
	Running   uint32
	Done      uint32
	Failed    uint32
	Cancelled uint32
	Evictions uint32 // total so far
}

// ShareOffer transfers a range of a job's tasks to the owner of another partition; it is resent until acknowledged.
type ShareOffer struct {
	Home      ident.Partition
	Partition ident.Partition
	Spec      JobSpec
	Range     Range
	Cancelled bool
}

// ShareAck confirms that a share is durable in its partition; it is resent whenever the counts of the share change.
type ShareAck struct {
	Home      ident.Partition
	Partition ident.Partition
	Job       ident.Job
	Range     Range
	Cancelled bool
	Counts    Counts
	Detail    string // for example why the job fits on no worker
}

// ShareDone reports the final counts of a share to the home partition; it is resent until acknowledged.
type ShareDone struct {
	Home      ident.Partition
	Partition ident.Partition
	Job       ident.Job
	Range     Range
	Counts    Counts
	Detail    string // message of the last failure
}

// ShareDoneAck confirms that the end of a share is durable in the home partition.
type ShareDoneAck struct {
	Partition ident.Partition
	Job       ident.Job
	Range     Range
}

// JobSubmit opens a stream that submits a job to the owner of its home partition.
type JobSubmit struct {
	Home ident.Partition
	Spec JobSpec
}

// JobQuery opens a stream that requests one job from an entry or, if Job is empty, the jobs whose home partition is
// Home, ordered by id.
type JobQuery struct {
	Home  ident.Partition
	Job   ident.Job
	After ident.Job // last job of the previous reply, if that had More set
}

// JobCancel opens a stream that cancels a job.
type JobCancel struct {
	Home   ident.Partition
	Job    ident.Job
	Author string
}

// JobStatus is the progress of a job.
type JobStatus struct {
	Spec      JobSpec
	Queued    uint32
	Running   uint32
	Done      uint32
	Failed    uint32
	Cancelled uint32
	Evictions uint32
	Finished  bool
	Detail    string // for example why the job fits on no worker
}

// JobReply is the response to JobSubmit, JobQuery and JobCancel.
type JobReply struct {
	Status int    // HTTP status code of the outcome
	Detail string // error message, or why the reply may be stale
	Jobs   []JobStatus
	More   bool // the list is truncated so that the message fits into a frame
}

// Kind implements Message.
func (*ShareOffer) Kind() Kind { return KindShareOffer }

// Kind implements Message.
func (*ShareAck) Kind() Kind { return KindShareAck }

// Kind implements Message.
func (*ShareDone) Kind() Kind { return KindShareDone }

// Kind implements Message.
func (*ShareDoneAck) Kind() Kind { return KindShareDoneAck }

// Kind implements Message.
func (*JobSubmit) Kind() Kind { return KindJobSubmit }

// Kind implements Message.
func (*JobQuery) Kind() Kind { return KindJobQuery }

// Kind implements Message.
func (*JobCancel) Kind() Kind { return KindJobCancel }

// Kind implements Message.
func (*JobReply) Kind() Kind { return KindJobReply }

func init() {
	register(&ShareOffer{}, &ShareAck{}, &ShareDone{}, &ShareDoneAck{}, &JobSubmit{}, &JobQuery{}, &JobCancel{},
		&JobReply{})
}
