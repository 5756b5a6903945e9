package event

import "go.uber.org/zap/zapcore"

// Events of batch work.
const (
	PartitionTaken Number = 401
)

var batchEvents = []Entry{
	{PartitionTaken, zapcore.InfoLevel, "partition taken over", "This entry owns the partition under a new epoch.", "None; frequent events mean that entries restart or lose the store."},
}
