package wire

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// JobSpec is what a submitter declares of a batch job.
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

// Counts tells how many tasks are in each state; a task that an agent holds or is about to hold counts as running.
type Counts struct {
	Queued    uint32
	Running   uint32
	Done      uint32
	Failed    uint32
	Cancelled uint32
	Evictions uint32 // so far
}

// ShareOffer hands a range of a job's tasks to the owner of another partition; it is repeated until acknowledged.
type ShareOffer struct {
	Home      ident.Partition
	Partition ident.Partition
	Spec      JobSpec
	Range     Range
	Cancelled bool
}

// ShareAck tells that a share is durable in its partition; it is sent again when the counts of the share have changed.
type ShareAck struct {
	Home      ident.Partition
	Partition ident.Partition
	Job       ident.Job
	Range     Range
	Cancelled bool
	Counts    Counts
	Detail    string // for example why no worker fits the job
}

// ShareDone tells the home partition the final counts of a share; it is repeated until acknowledged.
type ShareDone struct {
	Home      ident.Partition
	Partition ident.Partition
	Job       ident.Job
	Range     Range
	Counts    Counts
	Detail    string // last failure
}

// ShareDoneAck tells that the end of a share is durable in the home partition.
type ShareDoneAck struct {
	Partition ident.Partition
	Job       ident.Job
	Range     Range
}

// JobSubmit heads a stream that submits a job to the owner of its home partition.
type JobSubmit struct {
	Home ident.Partition
	Spec JobSpec
}

// JobQuery heads a stream that asks an entry for one job or, when Job is empty, for the jobs at home in the partition, in
// order of their ids.
type JobQuery struct {
	Home  ident.Partition
	Job   ident.Job
	After ident.Job // last job of the previous reply, when that had More
}

// JobCancel heads a stream that cancels a job.
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
	Detail    string // for example why no worker fits the job
}

// JobReply answers JobSubmit, JobQuery and JobCancel.
type JobReply struct {
	Status int    // HTTP status that fits the outcome
	Detail string // what went wrong
	Jobs   []JobStatus
	More   bool // the list goes on; it is cut so that the message fits into a frame
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
