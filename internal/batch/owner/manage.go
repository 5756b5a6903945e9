package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/point"
)

const drainPoll = 50 * time.Millisecond

// Run takes over and hands over partitions until ctx ends; it returns when all goroutines of the owner have ended.
func (o *Owner) Run(ctx context.Context) {
	defer o.running.Wait()
	for {
		o.checkOwnership(ctx)
		if !pause.For(ctx, headInterval) {
			return
		}
	}
}

// checkOwnership compares the head rows of the candidate partitions with the assignment of partitions to this entry.
func (o *Owner) checkOwnership(ctx context.Context) {
	zones := map[ident.AvailabilityZone][]ident.Partition{}
	for _, p := range o.cfg.Members.Candidates() {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	for zone, list := range zones {
		call, cancel := context.WithTimeout(ctx, headInterval)
		heads, err := commit.ReadHeads(call, o.cfg.Store, zone)
		cancel()
		if err != nil {
			o.cfg.Log.Debug("failed to read head rows", zap.Error(err))
			continue
		}
		for _, id := range list {
			o.checkPartition(ctx, id, heads[id])
		}
	}
}

// checkPartition starts a takeover, handover or release if the owner of a partition differs from its assignment.
func (o *Owner) checkPartition(ctx context.Context, id ident.Partition, head commit.VersionedHead) {
	o.mu.Lock()
	defer o.mu.Unlock()
	should := o.cfg.Members.ShouldOwn(id) && !o.draining
	p := o.parts[id]
	switch {
	case p != nil && !should:
		p.inbox.TryPut(p.handOver)
	case p != nil || o.managed[id]:
	case should && o.isFree(head):
		o.managed[id] = true
		o.running.Go(func() { o.own(ctx, id, head) })
	case !should && o.isOwn(head):
		o.managed[id] = true
		o.running.Go(func() { o.release(ctx, id, head) })
	}
}

// isOwn reports whether a head row names this process. As long as it does, no other entry takes the partition over,
// since they consider this process alive.
func (o *Owner) isOwn(head commit.VersionedHead) bool {
	return head.Owner == o.cfg.Self.Name && head.Incarnation == o.cfg.Self.Incarnation
}

// release gives up a partition that this process took over but could not load before it was assigned to another entry.
func (o *Owner) release(ctx context.Context, id ident.Partition, head commit.VersionedHead) {
	defer o.removePartition(id)
	if err := commit.Release(ctx, o.cfg.Store, id, head); err != nil {
		o.cfg.Log.Debug("failed to release partition", zap.Error(err))
	}
}

// removePartition removes a partition that this process no longer serves, takes over or releases.
func (o *Owner) removePartition(id ident.Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.parts, id)
	delete(o.managed, id)
}

// isFree reports whether a partition may be taken over: it has never had an owner, its owner has released it or is not
// alive, or its owner is this process, which failed to load it or lost it.
func (o *Owner) isFree(head commit.VersionedHead) bool {
	return head.Version == 0 || head.Owner == "" || o.isOwn(head) || !o.cfg.Members.IsAlive(head.Owner, head.Incarnation)
}

// own takes over a partition and serves it until it is handed over or lost.
func (o *Owner) own(ctx context.Context, id ident.Partition, head commit.VersionedHead) {
	defer o.removePartition(id)
	takeover, err := commit.TakeOver(ctx, o.cfg.Store, id, o.cfg.Self, head)
	if err != nil {
		return // another entry took the partition over first, or ctx ended
	}
	if o.cfg.Hook.At(point.TakeoverSwapped, id.String()) != nil {
		return
	}
	state, tail, err := o.load(ctx, takeover)
	if err != nil {
		return
	}
	if o.cfg.Hook.At(point.TakeoverReplayed, id.String()) != nil {
		return
	}
	p := o.register(takeover, state, tail)
	defer p.order.Close()
	o.cfg.Observer.PartitionTakenOver()
	o.log(event.PartitionTakenOver, zap.Stringer("Partition", id), zap.Uint64("Epoch", uint64(p.epoch)),
		zap.Bool("HandedOver", takeover.HandedOver))
	err = p.run(ctx)
	if err == nil {
		o.log(event.PartitionHandedOver, zap.Stringer("Partition", id), zap.Uint64("Epoch", uint64(p.epoch)))
		return
	}
	o.log(event.PartitionDeposed, zap.Stringer("Partition", id), zap.Uint64("Epoch", uint64(p.epoch)), zap.Error(err))
}

// load reads the state of a partition. After a failure it retries while the partition is assigned to this entry, unless
// the journal is corrupt.
func (o *Owner) load(ctx context.Context, t commit.Takeover) (*part.State, *commit.Tail, error) {
	for {
		state, tail, err := commit.Load(ctx, o.cfg.Store, t)
		if err == nil {
			return state, tail, nil
		}
		o.log(event.PartitionUnreadable, zap.Stringer("Partition", t.Partition), zap.Error(err))
		if errors.Is(err, commit.ErrCorrupt) || !o.cfg.Members.ShouldOwn(t.Partition) || !pause.For(ctx, headInterval) {
			return nil, nil, err
		}
	}
}

// register adds a loaded partition to the owned ones and connects it to the open sessions.
func (o *Owner) register(t commit.Takeover, state *part.State, tail *commit.Tail) *partition {
	l := lease.NewOwner(o.cfg.Terms, t.Sent)
	p := newPartition(o, t, state, l, commit.NewJournal(commit.Config{
		Store: o.cfg.Store, Terms: o.cfg.Terms, Spacing: o.cfg.spacing(), Log: o.cfg.Log,
	}, t, tail, l))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.parts[t.Partition] = p
	for _, s := range o.sessions {
		p.sessionOpened(s)
	}
	return p
}
