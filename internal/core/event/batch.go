package event

import "go.uber.org/zap/zapcore"

// Events of batch work.
const (
	PartitionTakenOver    Number = 401
	PartitionHandedOver   Number = 402
	PartitionDeposed      Number = 403
	PartitionUnreadable   Number = 404
	SnapshotDelayed       Number = 405
	TasksReleased         Number = 406
	WorkerQuarantined     Number = 407
	JobIsBad              Number = 408
	JobUnplaceable        Number = 409
	PartitionEventRefused Number = 410
)

var batchEvents = []Entry{
	{PartitionTakenOver, zapcore.InfoLevel, "partition taken over", "This entry owns the partition under a new epoch.", "None; if it is frequent, entries restart or lose their connection to the store."},
	{PartitionHandedOver, zapcore.InfoLevel, "partition handed over", "This entry has stopped granting leases and released the partition to another entry.", "None."},
	{PartitionDeposed, zapcore.WarnLevel, "partition lost", "Another entry took over the partition, or this entry stopped without a handover.", "Check whether this entry was paused or disconnected from the store."},
	{PartitionUnreadable, zapcore.ErrorLevel, "partition cannot be read", "The head row, the snapshot or the journal could not be read; the takeover is retried.", "Check the store; if it is available, the rows of the partition are inconsistent."},
	{SnapshotDelayed, zapcore.WarnLevel, "snapshot delayed", "A snapshot object could not be written or deleted; the operation is retried, and commits stop when the ring of the journal is full.", "Check the object store."},
	{TasksReleased, zapcore.WarnLevel, "tasks of an unreachable worker released", "The leases of a worker that cannot be reached have certainly expired; its tasks are queued again.", "Check the worker."},
	{WorkerQuarantined, zapcore.WarnLevel, "worker quarantined", "Many unrelated jobs failed on the worker; it is assigned only probes.", "Check the worker."},
	{JobIsBad, zapcore.WarnLevel, "job fails on many workers", "Tasks of the job fail on every worker; the failures are final and do not count against the workers.", "Notify the team."},
	{JobUnplaceable, zapcore.WarnLevel, "job fits no worker", "No worker has the capacity for a task of the job; the job waits and blocks no other job.", "Add capacity or notify the team."},
	{PartitionEventRefused, zapcore.ErrorLevel, "partition event refused", "The owner proposed an event that violates the rules of the partition; the state is unchanged.", "Report the bug with the log."},
}
