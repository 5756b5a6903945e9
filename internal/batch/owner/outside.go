package owner

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/place"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// Agent is one session with an agent. Two sessions with the same agent are two values.
type Agent interface {
	Info() AgentInfo
	Send(m wire.Message) error // queues; must not block
}

// AgentInfo is what an agent told of itself when the session opened.
type AgentInfo struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Zone        ident.AvailabilityZone
	Rack        string
	Means       sizes.Resources
}

// Peers reaches the owners of other partitions.
type Peers interface {
	Send(p ident.Partition, m wire.Message) error // to the entry that owns p; best effort, must not block
}

// Members tells which partitions exist and which of them this entry should own.
type Members interface {
	Partitions() []ident.Partition                                  // all of the deployment
	Candidates() []ident.Partition                                  // those that this entry may have to own
	ShouldOwn(p ident.Partition) bool                               // this entry is the choice among the live entries now
	IsAlive(name ident.Entry, inc ident.Incarnation) bool           // whether the entry lives under that incarnation
	Free(zone ident.AvailabilityZone) sizes.Resources               // free on the zone's workers, as far as known
	Policy(team ident.Team) (weight float64, quota sizes.Resources) // of the configuration; quota of the deployment
}

// Observer counts what has become durable; its methods must not block.
type Observer interface {
	TaskStarted()
	TaskEnded(s wire.TaskState)
	PartitionTaken()
}

// Config configures an Owner.
type Config struct {
	Self    commit.Self
	Store   table.Store
	Members Members
	Peers   Peers
	Terms   lease.Source
	Writes  float64 // store writes/s that commits of all partitions of the deployment may use
	Log     *zap.Logger
	Hook    point.Hook // for tests

	Observer Observer // nil for none
}

const (
	headInterval   = 2 * time.Second      // between reads of the head rows
	tickInterval   = time.Second          // between checks of what must be repeated or released
	placeInterval  = 5 * time.Millisecond // between rounds of placement
	repeatAfter    = 2 * time.Second      // before an unanswered message is sent again
	proofTimeout   = 2 * time.Second      // before a query is answered without a proof from the store
	retention      = 24 * time.Hour       // of finished jobs
	sweeps         = 144                  // searches for old jobs in a retention, one every 10 min
	maxCommand     = 16 << 10             // bytes of a job's command; StartTask and ShareOffer must fit into a frame
	replyBytes     = 48 << 10             // of a JobReply; a frame holds 64 KiB
	statusBytes    = 512                  // upper bound of a JobStatus without command and detail
	inboxSize      = 4096
	maxUncommitted = 2048 // events; no task is placed while more wait for the store
	maxFailures    = 3    // failures of one task before it is Failed
	maxTasks       = 1 << 20
	shareTasks     = 64 // tasks below which a job is not split further
)

// spacing is the least time between two commits of a partition, so that all partitions together stay within the
// budget of writes.
func (c *Config) spacing() time.Duration {
	n := max(1, len(c.Members.Partitions()))
	return time.Duration(float64(n) / c.Writes * float64(time.Second))
}

// policy returns what the configuration says of a team, with the part of its quota that this entry enforces.
func (o *Owner) policy(t ident.Team) place.Policy {
	w, q := o.cfg.Members.Policy(t)
	o.mu.RLock()
	owned := len(o.parts)
	o.mu.RUnlock()
	return place.Policy{Weight: w, Quota: place.Part(q, int64(owned), int64(len(o.cfg.Members.Partitions())))}
}

// noObserver counts nothing.
type noObserver struct{}

// TaskStarted implements Observer.
func (noObserver) TaskStarted() {}

// TaskEnded implements Observer.
func (noObserver) TaskEnded(wire.TaskState) {}

// PartitionTaken implements Observer.
func (noObserver) PartitionTaken() {}
