package model

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// DefaultPolicies returns the policies that the design page specifies.
func DefaultPolicies() Policies {
	return Policies{
		AgentLease:      Duration(20 * time.Second),
		AgentRenewal:    Duration(5 * time.Second),
		OwnerLease:      Duration(15 * time.Minute),
		RetryBudget:     0.1,
		QuarantineBound: 0.2,
	}
}

// DefaultService returns a service of the given name with default limits.
func DefaultService(name string) Service {
	return Service{
		Name:            name,
		DefaultDeadline: Duration(2 * time.Second),
		MaxDeadline:     Duration(30 * time.Second),
		MaxBody:         1 << 20,
		MaxConnections:  64,
		LongSlotShare:   0.5,
		LongRun:         Duration(500 * time.Millisecond),
		StreamGrace:     Duration(5 * time.Second),
	}
}

// DefaultJobClass returns a job class of the given name with default limits.
func DefaultJobClass(name string) JobClass {
	return JobClass{
		Name:            name,
		DefaultSize:     TaskSize{Processors: 1000, Memory: 1 << 30},
		DefaultRunTime:  Duration(10 * time.Minute),
		MaxRunTime:      Duration(12 * time.Hour),
		MaxTasks:        10_000,
		MaxAttempts:     5,
		UrgentAllowed:   true,
		CheckpointGrace: Duration(10 * time.Second),
	}
}

// DefaultZone returns a zone with four partitions and one group of three workers.
func DefaultZone(name, region string) AvailabilityZone {
	return AvailabilityZone{
		Name:       name,
		Region:     region,
		Partitions: 4,
		Capacity: []WorkerGroup{{Count: 3, Each: sizes.Resources{
			Processors: 16_000, Memory: 60 << 30, Slots: 8, Connections: 64,
		}}},
	}
}

// Default returns a valid document for one zone, with one service, one job class and one team.
func Default() Document {
	zone := DefaultZone("zone-1", "region-1")
	return Document{
		Services:          []Service{DefaultService("hello")},
		JobClasses:        []JobClass{DefaultJobClass("standard")},
		Teams:             []Team{{Name: "team-1", Weight: 1, Quota: TaskSize{Processors: 24_000, Memory: 90 << 30}}},
		AvailabilityZones: []AvailabilityZone{zone},
		Policies:          DefaultPolicies(),
	}
}
