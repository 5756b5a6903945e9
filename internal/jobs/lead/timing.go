package lead

import "time"

const (
	// MaxLease is the longest lease of a worker; tasks of an unreachable worker may wait that long for a new start.
	MaxLease = 6 * time.Second
	// leadershipLease is how long a leader may grant worker leases after the start of its last confirmed write.
	leadershipLease = 4 * time.Second
	// renewEvery is the longest interval between writes of the head row.
	renewEvery = 800 * time.Millisecond
	// commitGap is the shortest interval between commits of progress; changes in between are batched.
	commitGap = 40 * time.Millisecond
	// staleAfter is how long the head row must be unchanged before another entry takes the cell over.
	staleAfter = 2300 * time.Millisecond
	// suspectAfter replaces staleAfter while the leader does not respond to the entry either.
	suspectAfter = 1200 * time.Millisecond
	// headPollEvery is the interval at which an entry that does not lead reads the head row.
	headPollEvery = 500 * time.Millisecond
	// pollEvery is the interval at which the leader reads the rows that entries and agents have changed.
	pollEvery = 700 * time.Millisecond
	// expireEvery is the longest interval between checks for expired leases.
	expireEvery = 800 * time.Millisecond
	// clockDriftFactor allows for a worker's clock that is slow by up to 2%, with a margin.
	clockDriftFactor = 1.025
	// leaseGrace is added to a lease for a last command that is delivered late.
	leaseGrace = 300 * time.Millisecond
	// retentionMargin is how long a finished job is kept beyond Config.Retention.
	retentionMargin = time.Minute
	// maxBatch is the largest number of rows of progress that one commit writes.
	maxBatch = 80
	// maxBatchBytes limits the values of a commit, so that a slow link transfers it before it is sent again.
	maxBatchBytes = 128 << 10
	// maxRowBytes is the largest value of a row that the store accepts.
	maxRowBytes = 64 << 10
	// maxDeletes is the largest number of rows that one commit deletes; the store takes 100 entries in one change.
	maxDeletes = 16
	// runsPerEpoch is the size of the range of run numbers that an epoch uses for a task.
	runsPerEpoch = 1000
	// maxDeadline bounds the time that a job is given, which depends on the stretch of its queue.
	maxDeadline = 20 * 365 * 24 * time.Hour
)
