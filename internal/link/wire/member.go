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

// Hello identifies a process when a session opens.
type Hello struct {
	Protocol      uint16 // protocol version
	Role          Role
	Name          string // ident.Entry or ident.Worker
	Incarnation   ident.Incarnation
	Zone          ident.AvailabilityZone
	Rack          string
	Address       string // host:port on which the process accepts sessions; empty for an agent
	Nonce         []byte
	Wall          int64           // wall clock of the sender, ns since 1970
	ConfigVersion uint64          // highest configuration version known to the sender
	Capacity      sizes.Resources `msgpack:"Means"` // resources of an agent's worker
}

// EntryInfo describes a live entry.
type EntryInfo struct {
	Name        ident.Entry
	Incarnation ident.Incarnation
	Zone        ident.AvailabilityZone
	Address     string
	Draining    bool
}

// Roster lists the live entries; it is sent to agents and to other entries.
type Roster struct {
	Version uint64 // increases with each change known to the sender
	Entries []EntryInfo
}

// TargetState is whether a target accepts new requests and, if not, why.
type TargetState uint8

// States of a target.
const (
	TargetReady TargetState = iota + 1
	TargetLeaving
	TargetSilent
)

// TargetInfo describes a target that is registered with an agent.
type TargetInfo struct {
	Target      string
	Service     string
	State       TargetState
	Slots       int64
	Connections int64
}

// TargetHint is an agent's load measurement of one target; the receiver records when it arrived.
type TargetHint struct {
	Target   string
	InFlight int64 // requests that occupy a slot
	Queued   int64
	MeanRun  int64 // estimated mean run time of a request, ns
}

// Targets lists all targets of an agent; it replaces the previous list.
type Targets struct {
	Version uint64 // increases with each change
	Targets []TargetInfo
}

// Heartbeat is sent by an agent on each session with an entry; it requests lease renewals and carries load hints.
type Heartbeat struct {
	Seq           uint64
	SentAt        int64 // ns on a monotonic clock of the agent, opaque to the receiver
	ConfigVersion uint64
	Free          sizes.Resources // resources that the agent's ledger can still admit
	Targets       []TargetHint
	Renew         []PartitionEpoch // partitions whose leases are to be renewed
	Leaving       bool
}

// HeartbeatAck is the response to a Heartbeat.
type HeartbeatAck struct {
	Seq     uint64
	Until   int64            // lease deadline, ns on the agent's clock of SentAt
	Granted []PartitionEpoch // partitions whose leases are valid until Until
}

// PartitionEpoch identifies an epoch of a partition.
type PartitionEpoch struct {
	Partition ident.Partition
	Epoch     ident.Epoch
}

// Leaving announces that the sender accepts no new work.
type Leaving struct {
	Reason string
}

// ServiceSummary is the capacity of one service that an entry can reach.
type ServiceSummary struct {
	Service   string
	Targets   int64
	FreeSlots int64
	MeanRun   int64 // estimated mean run time of a request, ns
}

// Summary reports to another entry the capacity that the sender can reach in its zone and the resource usage of teams.
type Summary struct {
	ConfigVersion uint64
	Services      []ServiceSummary
	Free          sizes.Resources // sum over all workers that have a session with the sender
	Usage         []TeamUsage
}

// TeamUsage is the sum of the resources allocated to a team's running tasks.
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
