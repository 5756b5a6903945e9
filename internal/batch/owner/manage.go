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

// Run takes over and hands over partitions until ctx ends; it returns when all work of the owner has stopped.
func (o *Owner) Run(ctx context.Context) {
	defer o.running.Wait()
	for {
		o.review(ctx)
		if !pause.For(ctx, headInterval) {
			return
		}
	}
}

// review compares the head rows of the candidate partitions with what this entry should own.
func (o *Owner) review(ctx context.Context) {
	zones := map[ident.AvailabilityZone][]ident.Partition{}
	for _, p := range o.cfg.Members.Candidates() {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	for zone, list := range zones {
		call, cancel := context.WithTimeout(ctx, headInterval)
		heads, err := commit.ReadHeads(call, o.cfg.Store, zone)
		cancel()
		if err != nil {
			o.cfg.Log.Debug("head rows not read", zap.Error(err))
			continue
		}
		for _, id := range list {
			o.reviewOne(ctx, id, heads[id])
		}
	}
}

func (o *Owner) reviewOne(ctx context.Context, id ident.Partition, head commit.Versioned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	should := o.cfg.Members.ShouldOwn(id) && !o.draining
	p := o.parts[id]
	switch {
	case p != nil && !should:
		p.inbox.TryPut(p.handOver)
	case p != nil || o.taking[id]:
	case should && o.isFree(head):
		o.taking[id] = true
		o.running.Go(func() { o.own(ctx, id, head) })
	case !should && o.isOwn(head):
		o.taking[id] = true
		o.running.Go(func() { o.release(ctx, id, head) })
	}
}

// isOwn reports whether a head row names this process, which is alive to the others, so that none of them takes over.
func (o *Owner) isOwn(head commit.Versioned) bool {
	return head.Owner == o.cfg.Self.Name && head.Incarnation == o.cfg.Self.Incarnation
}

// release leaves a partition that this process took but could not load before another entry became the choice.
func (o *Owner) release(ctx context.Context, id ident.Partition, head commit.Versioned) {
	defer o.forget(id)
	if err := commit.Release(ctx, o.cfg.Store, id, head); err != nil {
		o.cfg.Log.Debug("partition not released", zap.Error(err))
	}
}

// forget ends the attempt to own a partition.
func (o *Owner) forget(id ident.Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.parts, id)
	delete(o.taking, id)
}

// isFree reports whether a partition may be taken over: it never had an owner, its owner left it, its owner is not alive,
// or its owner is this process, which failed to load it or lost it.
func (o *Owner) isFree(head commit.Versioned) bool {
	return head.Version == 0 || head.Owner == "" || o.isOwn(head) || !o.cfg.Members.IsAlive(head.Owner, head.Incarnation)
}

// own takes a partition over and serves it until it is handed over or lost.
func (o *Owner) own(ctx context.Context, id ident.Partition, head commit.Versioned) {
	defer o.forget(id)
	taken, err := commit.Take(ctx, o.cfg.Store, id, o.cfg.Self, head)
	if err != nil {
		return // another entry was faster, or ctx ended
	}
	if o.cfg.Hook.At(point.TakeoverSwapped, id.String()) != nil {
		return
	}
	state, tail, err := o.load(ctx, taken)
	if err != nil {
		return
	}
	if o.cfg.Hook.At(point.TakeoverReplayed, id.String()) != nil {
		return
	}
	p := o.enter(taken, state, tail)
	defer p.order.Close()
	o.cfg.Observer.PartitionTaken()
	o.log(event.PartitionTaken, zap.Stringer("Partition", id), zap.Uint64("Epoch", uint64(p.epoch)),
		zap.Bool("HandedOver", taken.HandedOver))
	err = p.run(ctx)
	if err == nil {
		o.log(event.PartitionHandedOver, zap.Stringer("Partition", id), zap.Uint64("Epoch", uint64(p.epoch)))
		return
	}
	o.log(event.PartitionDeposed, zap.Stringer("Partition", id), zap.Uint64("Epoch", uint64(p.epoch)), zap.Error(err))
}

// load reads the state, again after a failure, for as long as the entry should own the partition.
func (o *Owner) load(ctx context.Context, t commit.Taken) (*part.State, *commit.Tail, error) {
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

// enter makes a loaded partition known to the sessions.
func (o *Owner) enter(t commit.Taken, state *part.State, tail *commit.Tail) *partition {
	l := lease.NewOwner(o.cfg.Terms, t.Sent)
	p := newPartition(o, t, state, l, commit.NewJournal(commit.Config{
		Store: o.cfg.Store, Terms: o.cfg.Terms, Spacing: o.cfg.spacing(), Log: o.cfg.Log,
	}, t, tail, l))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.parts[t.Partition] = p
	for _, s := range o.sessions {
		p.sessionUp(s)
	}
	return p
}
