package owner

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/place"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Owner manages the partitions that one entry owns. Its methods are safe for concurrent use, and only those with a
// context parameter block.
type Owner struct {
	cfg   Config
	board *place.Board
	teams *place.Teams

	mu       sync.RWMutex
	parts    map[ident.Partition]*partition
	managed  map[ident.Partition]bool // partitions with a goroutine that takes over, serves or releases them
	sessions map[ident.Worker]*session
	draining bool
	running  sync.WaitGroup
}

// New returns an Owner that owns no partition until Run is called.
func New(cfg Config) *Owner {
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	return &Owner{
		cfg: cfg, board: place.NewBoard(), teams: place.NewTeams(), parts: map[ident.Partition]*partition{},
		managed: map[ident.Partition]bool{}, sessions: map[ident.Worker]*session{},
	}
}

// SessionOpened registers a newly opened session with an agent; it replaces an earlier session with the same worker.
func (o *Owner) SessionOpened(a Agent) {
	s := newSession(a)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sessions[s.info.Worker] = s
	o.board.AddWorker(place.Worker{Name: s.info.Worker, Zone: s.info.Zone, Rack: s.info.Rack, Capacity: s.info.Capacity})
	for _, p := range o.parts {
		p.sessionOpened(s)
	}
}

// SessionClosed removes a closed session; it has no effect on a session that a newer one has replaced.
func (o *Owner) SessionClosed(a Agent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := a.Info().Worker
	s := o.sessions[w]
	if s == nil || s.agent != a {
		return
	}
	delete(o.sessions, w)
	o.board.RemoveWorker(w)
	for _, p := range o.parts {
		p.leases.sessionClosed(s)
	}
}

// sessionOf returns the registered session of a, or nil if it was closed or replaced.
func (o *Owner) sessionOf(a Agent) *session {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if s := o.sessions[a.Info().Worker]; s != nil && s.agent == a {
		return s
	}
	return nil
}

// partition returns an owned partition, or nil.
func (o *Owner) partition(id ident.Partition) *partition {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.parts[id]
}

func (o *Owner) owned() []*partition {
	o.mu.RLock()
	defer o.mu.RUnlock()
	list := make([]*partition, 0, len(o.parts))
	for _, p := range o.parts {
		list = append(list, p)
	}
	return list
}

// Owns reports whether this entry currently owns the partition.
func (o *Owner) Owns(p ident.Partition) bool { return o.partition(p) != nil }

// Partitions returns the partitions that this entry currently owns, with their epochs.
func (o *Owner) Partitions() []wire.PartitionEpoch {
	var list []wire.PartitionEpoch
	for _, p := range o.owned() {
		list = append(list, wire.PartitionEpoch{Partition: p.id, Epoch: p.epoch})
	}
	return list
}

// HandleAgent handles a message from an agent and reports whether the message belongs to the batch protocol.
func (o *Owner) HandleAgent(a Agent, m wire.Message) bool {
	s := o.sessionOf(a)
	switch m := m.(type) {
	case *wire.Heartbeat:
		if s != nil {
			o.heartbeat(s, m)
		}
	case *wire.Inventory:
		o.forward(s, m.Partition, func(p *partition) { p.inventory(s, m) })
	case *wire.TaskReport:
		o.forward(s, m.Partition, func(p *partition) { p.report(s, m) })
	default:
		return false
	}
	return true
}

// forward queues a message for the writer of a partition. If the inbox is full, the message is dropped and its sender
// repeats it.
func (o *Owner) forward(s *session, id ident.Partition, f func(*partition)) {
	if p := o.partition(id); p != nil && s != nil {
		p.inbox.TryPut(func() { f(p) })
	}
}

// heartbeat renews agent leases and updates the worker's free capacity.
func (o *Owner) heartbeat(s *session, hb *wire.Heartbeat) {
	s.recordHeartbeat(hb.SentAt)
	ack := &wire.HeartbeatAck{Seq: hb.Seq, Until: o.cfg.Terms.GrantTerms().GrantedUntil(hb.SentAt)}
	for _, r := range hb.Renew {
		if p := o.partition(r.Partition); p != nil && p.epoch == r.Epoch && p.leases.grant(s) {
			ack.Granted = append(ack.Granted, r)
		}
	}
	if o.cfg.Hook.At(point.RenewGranted, string(s.info.Worker)) == nil {
		o.sendAgent(s, ack)
	}
	o.board.UpdateFree(s.info.Worker, hb.Free, hb.Leaving)
	o.signalCapacity(s.info.Zone)
}

// signalCapacity wakes the partitions of a zone, since its workers may have free capacity.
func (o *Owner) signalCapacity(zone ident.AvailabilityZone) {
	for _, p := range o.owned() {
		if p.id.Zone == zone {
			signal(p.capacityFreed)
		}
	}
}

// sendAgent sends a message that is repeated later if it is lost. Errors are only logged, since they mean that the
// session is closing.
func (o *Owner) sendAgent(s *session, m wire.Message) {
	if err := s.agent.Send(m); err != nil {
		o.cfg.Log.Debug("failed to send message to agent", zap.Error(err), zap.Stringer("Kind", m.Kind()))
	}
}

// HandlePeer handles a message from the owner of another partition and reports whether the message belongs to the batch
// protocol.
func (o *Owner) HandlePeer(m wire.Message) bool {
	var id ident.Partition
	var f func(p *partition)
	switch m := m.(type) {
	case *wire.ShareOffer:
		id, f = m.Partition, func(p *partition) { p.shareOffered(m) }
	case *wire.ShareAck:
		id, f = m.Home, func(p *partition) { p.shareAcknowledged(m) }
	case *wire.ShareDone:
		id, f = m.Home, func(p *partition) { p.shareDone(m) }
	case *wire.ShareDoneAck:
		id, f = m.Partition, func(p *partition) { p.shareDoneAcknowledged(m) }
	default:
		return false
	}
	if p := o.partition(id); p != nil {
		p.inbox.TryPut(func() { f(p) })
	}
	return true
}

// sendPeer sends a message to the owner of a partition, which may be this entry. Lost messages are repeated later.
func (o *Owner) sendPeer(id ident.Partition, m wire.Message) {
	if o.Owns(id) {
		o.HandlePeer(m)
		return
	}
	if err := o.cfg.Peers.Send(id, m); err != nil {
		o.cfg.Log.Debug("failed to send message to peer", zap.Error(err), zap.Stringer("Kind", m.Kind()))
	}
}

// Evict requests the agent of a running task to write a checkpoint and stop the task, which is queued again once the
// agent has reported the eviction.
func (o *Owner) Evict(id ident.Partition, t ident.Task) {
	if p := o.partition(id); p != nil {
		p.inbox.TryPut(func() { p.stop(t, wire.StopEvict) })
	}
}

func (o *Owner) log(n event.Number, fields ...zap.Field) { event.Log(o.cfg.Log, n, fields...) }

// signal wakes the receiver of c, which has a buffer of one; it never blocks.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// isIdle reports whether no partition is owned or being taken over or released.
func (o *Owner) isIdle() bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.managed) == 0
}

// Drain hands over all partitions and stops taking over others; it returns nil once none is left, or the cause of the
// end of ctx.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for {
		for _, p := range o.owned() {
			p.inbox.TryPut(p.handOver)
		}
		if o.isIdle() {
			return nil
		}
		if !pause.For(ctx, drainPoll) {
			return context.Cause(ctx)
		}
	}
}
