package admin

import (
	"context"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Status is what one entry knows of the system.
type Status struct {
	Entry            string // that answers
	Time             time.Time
	StoreAvailable   bool
	Accepted         uint64 // highest version of the configuration that the entry has heard of
	InForce          uint64 // version that the entry applies
	Zones            []ZoneStatus
	Entries          []EntryStatus
	Workers          []WorkerStatus // with a session to the entry
	Services         []ServiceStatus
	Jobs             JobCounts
	Partitions       []PartitionStatus
	QuarantinedLimit int // most workers of the entry's zone that may be in quarantine
}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	Name    string
	Region  string
	Entries int
	Workers int
	InForce uint64 // version of the configuration that every known process of the zone applies
	Highest uint64 // highest version that a process of the zone applies
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
	Means            sizes.Resources
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

// JobCounts counts the jobs and tasks whose home the entry owns.
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

// PartitionStatus says who owns a partition.
type PartitionStatus struct {
	Partition string
	Owner     string
	Epoch     uint64
}

// Reporter fills the status.
type Reporter interface {
	// Status returns what this entry knows now.
	Status(ctx context.Context) Status
}
