package admin

import (
	"context"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Status is the state of the system as one entry knows it.
type Status struct {
	Entry            string // the entry that responds
	Time             time.Time
	StoreAvailable   bool
	Accepted         uint64 // highest configuration version known to the entry
	InForce          uint64 // configuration version that the entry applies
	Zones            []ZoneStatus
	Entries          []EntryStatus
	Workers          []WorkerStatus // those with a session to the entry
	Services         []ServiceStatus
	Jobs             JobCounts
	Partitions       []PartitionStatus
	QuarantinedLimit int // maximum number of workers of the entry's zone in quarantine
}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	Name    string
	Region  string
	Entries int
	Workers int
	InForce uint64 // lowest configuration version that a known process of the zone applies
	Highest uint64 // highest configuration version that a known process of the zone applies
	Free    sizes.Resources
}

// EntryStatus is the state of an entry.
type EntryStatus struct {
	Name     string
	Zone     string
	Address  string
	Draining bool
	InForce  uint64
}

// WorkerStatus is the state of a worker.
type WorkerStatus struct {
	Name             string
	Zone             string
	Rack             string
	Capacity         sizes.Resources `json:"Means"`
	Free             sizes.Resources
	Tasks            int
	InForce          uint64
	Draining         bool
	Quarantined      bool
	QuarantineReason string `json:",omitempty"`
}

// ServiceStatus is the state of a service.
type ServiceStatus struct {
	Name     string
	InFlight int64
	Targets  []TargetStatus
}

// TargetStatus is the state of a target.
type TargetStatus struct {
	Name     string
	Worker   string
	State    string
	InFlight int64
	Slots    int64
}

// JobCounts holds the numbers of jobs and tasks whose home partition the entry owns.
type JobCounts struct {
	Jobs         int
	JobsFinished int
	Queued       int64
	Running      int64
	Done         int64
	Failed       int64
	Cancelled    int64
	Evictions    int64
}

// PartitionStatus is the ownership of a partition.
type PartitionStatus struct {
	Partition string
	Owner     string
	Epoch     uint64
}

// Reporter reports the status of an entry.
type Reporter interface {
	// Status returns the current state of the system as this entry knows it.
	Status(ctx context.Context) Status
}
