package event

import "go.uber.org/zap/zapcore"

// Events of batch work.
const (
	PartitionTaken      Number = 401
	PartitionHandedOver Number = 402
	PartitionDeposed    Number = 403
	PartitionUnreadable Number = 404
	SnapshotDelayed     Number = 405
	TasksReleased       Number = 406
	WorkerQuarantined   Number = 407
	JobIsBad            Number = 408
	JobFitsNowhere      Number = 409
	RuleBroken          Number = 410
)

var batchEvents = []Entry{
	{PartitionTaken, zapcore.InfoLevel, "partition taken over", "This entry owns the partition under a new epoch.", "None; frequent events mean that entries restart or lose the store."},
	{PartitionHandedOver, zapcore.InfoLevel, "partition handed over", "This entry has stopped granting and left the partition to another entry.", "None."},
	{PartitionDeposed, zapcore.WarnLevel, "partition lost", "Another entry took the partition, or this entry stopped without a handover.", "Check whether this entry was paused or cut off from the store."},
	{PartitionUnreadable, zapcore.ErrorLevel, "partition cannot be read", "Head row, snapshot or journal could not be read; the takeover is repeated.", "Check the store; if it is up, the rows of the partition contradict each other."},
	{SnapshotDelayed, zapcore.WarnLevel, "snapshot delayed", "A snapshot object could not be written or deleted; it is tried again, and commits stop when the ring is full.", "Check the object store."},
	{TasksReleased, zapcore.WarnLevel, "tasks of an unreachable worker released", "The leases of a worker that cannot be reached have certainly ended; its tasks are queued again.", "Check the worker."},
	{WorkerQuarantined, zapcore.WarnLevel, "worker quarantined", "Many unrelated jobs failed on the worker; it gets only probes.", "Check the worker."},
	{JobIsBad, zapcore.WarnLevel, "job fails on many workers", "Tasks of the job fail wherever they run; their failures are final and not held against workers.", "Tell the team."},
	{JobFitsNowhere, zapcore.WarnLevel, "job fits no worker", "No worker is large enough for a task of the job; it waits and blocks nothing.", "Add capacity or tell the team."},
	{RuleBroken, zapcore.ErrorLevel, "event refused", "The owner proposed an event that the partition's rules refuse; nothing was changed.", "Report the fault with the log."},
}
