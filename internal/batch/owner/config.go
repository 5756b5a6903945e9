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

// Agent is one session with an agent; each session has its own value, even with the same agent.
type Agent interface {
	Info() AgentInfo
	Send(m wire.Message) error // queues the message; must not block
}

// AgentInfo describes an agent and its worker, as the agent reported when the session opened.
type AgentInfo struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Zone        ident.AvailabilityZone
	Rack        string
	Capacity    sizes.Resources // total capacity of the worker
}

// Peers sends messages to the owners of other partitions.
type Peers interface {
	Send(p ident.Partition, m wire.Message) error // sends to the owner of p; best effort, must not block
}

// Members provides the partitions of the deployment, their assignment to live entries, and the configuration of teams.
type Members interface {
	Partitions() []ident.Partition                                  // all partitions of the deployment
	Candidates() []ident.Partition                                  // partitions that may be assigned to this entry
	ShouldOwn(p ident.Partition) bool                               // whether p is currently assigned to this entry
	IsAlive(name ident.Entry, inc ident.Incarnation) bool           // whether that incarnation of the entry is alive
	Free(zone ident.AvailabilityZone) sizes.Resources               // estimated free capacity of the zone's workers
	Policy(team ident.Team) (weight float64, quota sizes.Resources) // as configured; the quota is deployment-wide
}

// Observer is notified of events that have become durable; its methods must not block.
type Observer interface {
	TaskStarted()
	TaskEnded(s wire.TaskState)
	PartitionTakenOver()
}

// Config configures an Owner.
type Config struct {
	Self            commit.Self
	Store           table.Store
	Members         Members
	Peers           Peers
	Terms           lease.Source
	WritesPerSecond float64 // store writes/s available to the commits of all partitions of the deployment
	Log             *zap.Logger
	Hook            point.Hook // fault injection in tests

	Observer Observer // optional
}

const (
	headInterval        = 2 * time.Second      // between reads of the head rows
	tickInterval        = time.Second          // between checks for messages to repeat and attempts to release
	placeInterval       = 5 * time.Millisecond // between placement rounds
	repeatAfter         = 2 * time.Second      // before an unanswered message is repeated
	confirmationTimeout = 2 * time.Second      // before a query is answered without a confirmation of ownership
	retention           = 24 * time.Hour       // how long finished jobs are kept
	sweepsPerRetention  = 144                  // searches for expired jobs per retention, one every 10 min
	maxCommandBytes     = 16 << 10             // StartTask and ShareOffer contain the command and must fit into a frame
	maxReplyBytes       = 48 << 10             // size of a JobReply, which must fit into a frame of 64 KiB
	maxStatusBytes      = 512                  // upper bound on a JobStatus without command and detail
	inboxSize           = 4096                 // messages
	maxUncommitted      = 2048                 // events; placement stops while more wait for the store
	maxFailures         = 3                    // failures after which a task is Failed
	maxTasks            = 1 << 20              // per job
	tasksPerShare       = 64                   // a job with more tasks is split
)

// spacing returns the minimum interval between two commits of a partition, which keeps all partitions together within
// the write budget.
func (c *Config) spacing() time.Duration {
	n := max(1, len(c.Members.Partitions()))
	return time.Duration(float64(n) / c.WritesPerSecond * float64(time.Second))
}

// policy returns the weight of a team and the part of its quota that this entry enforces.
func (o *Owner) policy(t ident.Team) place.Policy {
	w, q := o.cfg.Members.Policy(t)
	o.mu.RLock()
	owned := len(o.parts)
	o.mu.RUnlock()
	return place.Policy{Weight: w, Quota: place.Part(q, int64(owned), int64(len(o.cfg.Members.Partitions())))}
}

// noObserver is an Observer without effect.
type noObserver struct{}

// TaskStarted implements Observer.
func (noObserver) TaskStarted() {}

// TaskEnded implements Observer.
func (noObserver) TaskEnded(wire.TaskState) {}

// PartitionTakenOver implements Observer.
func (noObserver) PartitionTakenOver() {}
