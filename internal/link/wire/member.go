package wire

import (
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Role,TargetState -output member_string.go

// Role is the role of a process in the system.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// Hello introduces a process when a session opens.
type Hello struct {
	Protocol      uint16 // version of the protocol between processes
	Role          Role
	Name          string // ident.Entry or ident.Worker
	Incarnation   ident.Incarnation
	Zone          ident.AvailabilityZone
	Rack          string
	Address       string // host:port where the process accepts sessions; empty for an agent
	Nonce         []byte
	Wall          int64           // wall clock of the sender, ns since 1970
	ConfigVersion uint64          // highest version of the configuration the sender has seen
	Means         sizes.Resources // what the worker of an agent has
}

// EntryInfo describes a live entry.
type EntryInfo struct {
	Name        ident.Entry
	Incarnation ident.Incarnation
	Zone        ident.AvailabilityZone
	Address     string
	Draining    bool
}

// Roster tells an agent or an entry which entries live.
type Roster struct {
	Version uint64 // grows with each change that the sender sees
	Entries []EntryInfo
}

// TargetState says whether a target takes new work.
type TargetState uint8

// States of a target.
const (
	TargetReady TargetState = iota + 1
	TargetLeaving
	TargetSilent
)

// TargetInfo describes a target that announced itself to an agent.
type TargetInfo struct {
	Target      string
	Service     string
	State       TargetState
	Slots       int64
	Connections int64
}

// TargetHint is an agent's measurement of one target; the receiver notes its age.
type TargetHint struct {
	Target   string
	InFlight int64 // requests that hold a slot
	Queued   int64
	MeanRun  int64 // learned mean run time, ns
}

// Targets lists all targets of an agent; it replaces the list sent before.
type Targets struct {
	Version uint64 // grows with each change
	Targets []TargetInfo
}

// Heartbeat is sent by an agent to each entry it has a session with; it asks for leases and carries hints.
type Heartbeat struct {
	Seq           uint64
	SentAt        int64 // ns on a monotonic clock of the agent, opaque to the receiver
	ConfigVersion uint64
	Free          sizes.Resources // what the ledger could still admit
	Targets       []TargetHint
	Renew         []PartitionEpoch // partitions for which leases are asked
	Leaving       bool
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Seq     uint64
	Until   int64            // lease deadline, ns on the agent's clock of SentAt
	Granted []PartitionEpoch // partitions whose leases last until Until
}

// PartitionEpoch names a partition under an epoch.
type PartitionEpoch struct {
	Partition ident.Partition
	Epoch     ident.Epoch
}

// Leaving tells that the sender takes no new work.
type Leaving struct {
	Reason string
}

// ServiceSummary is what one entry can reach for a service.
type ServiceSummary struct {
	Service   string
	Targets   int64
	FreeSlots int64
	MeanRun   int64 // learned mean run time, ns
}

// Summary tells another entry what the sender can reach in its zone and what its teams use.
type Summary struct {
	ConfigVersion uint64
	Services      []ServiceSummary
	Free          sizes.Resources // of all workers with a session to the sender
	Usage         []TeamUsage
}

// TeamUsage is what the running tasks of a team hold.
type TeamUsage struct {
	Team ident.Team
	Used sizes.Resources
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Roster) Kind() Kind { return KindRoster }

// Kind implements Message.
func (*Targets) Kind() Kind { return KindTargets }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*HeartbeatAck) Kind() Kind { return KindHeartbeatAck }

// Kind implements Message.
func (*Leaving) Kind() Kind { return KindLeaving }

// Kind implements Message.
func (*Summary) Kind() Kind { return KindSummary }

func init() {
	register(&Hello{}, &Roster{}, &Targets{}, &Heartbeat{}, &HeartbeatAck{}, &Leaving{}, &Summary{})
}
