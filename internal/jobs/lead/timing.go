package lead

import "time"

const (
	// LongestLease bounds the lease of a worker: its tasks wait that long when it is lost without a trace.
	LongestLease = 6 * time.Second
	// reign is how long a leader grants leases after the start of its last confirmed write.
	reign = 4 * time.Second
	// renewEvery is the longest time between two writes of the head row.
	renewEvery = 800 * time.Millisecond
	// commitGap is the shortest time between two commits of progress; commits in between are merged.
	commitGap = 40 * time.Millisecond
	// staleAfter is the time without a change of the head row after which another entry takes the cell over.
	staleAfter = 2300 * time.Millisecond
	// suspectAfter is the same while the leader does not answer the entry either.
	suspectAfter = 1200 * time.Millisecond
	// lookEvery is the time between two looks at the head row by an entry that does not lead.
	lookEvery = 500 * time.Millisecond
	// feedEvery is the time between two reads of the changes that entries made.
	feedEvery = 700 * time.Millisecond
	// clockRate bounds how slow the clock of a worker may be: 2% and a margin.
	clockRate = 1.025
	// graceTime is added to a lease for the delay of the last order.
	graceTime = 300 * time.Millisecond
	// retention is how long a job stays known after its final state, beside the time that callers may ask for it.
	retention = time.Minute
	// maxBatch is the number of jobs whose progress one commit writes.
	maxBatch = 80
	// runsPerEpoch separates the numbers of runs under two leaders.
	runsPerEpoch = 1000
)
