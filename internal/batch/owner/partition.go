package owner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/batch/place"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/core/queue"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// errBusy means that no event can be recorded for now: the journal is full until the store has confirmed some events,
// or the partition is being handed over.
var errBusy = errors.New("too many events wait for the store")

// partition is one partition that this entry owns. All fields below the first group belong to its writer, the
// goroutine that executes run. Events are applied to the state when they are queued for the journal. Everything that
// makes an event visible to other processes runs as an effect once the event is durable.
type partition struct {
	o             *Owner
	id            ident.Partition
	epoch         ident.Epoch
	takeover      commit.Takeover
	leases        *leaseTable
	inbox         *queue.Ring[func()]
	capacityFreed chan struct{} // signalled when workers may have free capacity
	done          chan struct{} // closed when this entry no longer owns the partition
	journal       *commit.Journal
	lease         *lease.Owner

	state                *part.State
	effects              []effect
	pendingConfirmations []pendingConfirmation
	order                *place.Order
	closing              bool

	starting    map[ident.Task]*pendingStart   // attempts that no agent has confirmed
	stopping    map[ident.Task]*stopRequest    // requests to stop attempts
	missing     map[ident.Task]*missingAttempt // attempts that an agent no longer lists, until they can be released
	offers      map[offerKey]*offer            // shares that other partitions have of jobs with their home here
	finished    map[ident.Job]time.Time        // finished shares and when each was last reported to its home
	reported    map[ident.Job]wire.Counts      // progress last reported to the home of a share
	peakUsage   map[ident.Job]sizes.Resources  // highest usage reported for a task
	unplaceable map[ident.Job]string           // why a job fits on no worker
	lastSweep   time.Time                      // when expired jobs were last dropped
}

// effect is a function that runs once the events up to mark are durable.
type effect struct {
	mark uint64
	run  func()
}

// pendingConfirmation is a reply that waits for a confirmation of ownership, since a deposed owner must not send it.
type pendingConfirmation struct {
	since  time.Time
	number uint64 // returned by the journal's Confirm
	run    func(confirmed bool)
}

func newPartition(o *Owner, t commit.Takeover, state *part.State, l *lease.Owner, j *commit.Journal) *partition {
	p := &partition{
		o: o, id: t.Partition, epoch: t.Head.Epoch, takeover: t, leases: newLeaseTable(o.cfg.Terms, l),
		inbox: queue.NewRing[func()](inboxSize), capacityFreed: make(chan struct{}, 1), done: make(chan struct{}),
		journal: j, lease: l, state: state, order: place.NewOrder(o.teams),
		starting: map[ident.Task]*pendingStart{}, stopping: map[ident.Task]*stopRequest{},
		missing: map[ident.Task]*missingAttempt{},
		offers:  map[offerKey]*offer{}, finished: map[ident.Job]time.Time{}, reported: map[ident.Job]wire.Counts{},
		peakUsage: map[ident.Job]sizes.Resources{}, unplaceable: map[ident.Job]string{},
	}
	p.resume()
	return p
}

// resume rebuilds the volatile state from the durable state that was loaded.
func (p *partition) resume() {
	p.state.MarkInherited()
	for job, j := range p.state.Jobs() {
		p.offer(job, j)
	}
	for job, sh := range p.state.Shares() {
		switch {
		case sh.Closed:
		case sh.IsFinished():
			p.finished[job] = time.Time{}
		default:
			p.order.Add(sh.Spec.Team, job, sh.Spec.Urgent)
		}
	}
	for t := range p.state.Active() {
		sh := p.state.Share(t.ID.Job)
		p.order.Started(sh.Spec.Team, sh.Spec.Size)
		if sh.Cancelled {
			p.stopping[t.ID] = &stopRequest{attempt: t.Attempt, reason: wire.StopCancel}
		}
	}
}

// sessionOpened adds a session with a worker of the partition's zone; its tasks run in no other zone. The caller holds
// the owner's lock.
func (p *partition) sessionOpened(s *session) {
	if s.info.Zone == p.id.Zone {
		p.leases.sessionOpened(s)
		p.inbox.TryPut(p.adopt)
	}
}

// run serves the partition. It returns nil after a handover, or an error when ownership is lost or ctx ends.
func (p *partition) run(ctx context.Context) error {
	defer close(p.done)
	defer p.lease.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.journal.Run(ctx) }()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	placing := time.NewTimer(placeInterval)
	defer placing.Stop()
	armed := true
	p.adopt()
	for {
		select {
		case f := <-p.inbox.Items():
			f()
		case <-p.journal.Updates():
			p.handleDurable(ctx)
		case <-tick.C:
			p.tick()
		case <-p.capacityFreed:
		case <-placing.C:
			armed = false
			p.place()
			continue
		case err := <-ended:
			if err != nil {
				return err
			}
			p.handleDurable(ctx)
			return p.completeHandOver(ctx)
		}
		if !armed { // one placement round covers all events until the timer fires
			placing.Reset(placeInterval)
			armed = true
		}
	}
}

// handleDurable runs the effects of events that have become durable, resolves pending confirmations, and writes a
// snapshot when one is due.
func (p *partition) handleDurable(ctx context.Context) {
	durable := p.journal.Durable()
	n := 0
	for n < len(p.effects) && p.effects[n].mark <= durable {
		p.effects[n].run()
		n++
	}
	p.effects = p.effects[n:]
	p.resolveConfirmations()
	if !p.journal.IsSnapshotDue() {
		return
	}
	b, err := p.state.Snapshot()
	if err != nil {
		p.o.log(event.PartitionEventRefused, zap.Stringer("Partition", p.id), zap.Error(err))
		return
	}
	p.journal.WriteSnapshot(ctx, b)
}

// record applies events to the state and queues them for the journal; then, if not nil, runs once they are durable. It
// returns errBusy when the journal is full or the partition is being handed over, or the error of the first event.
func (p *partition) record(urgent bool, then func(), events ...*part.Event) error {
	if p.closing || !p.journal.HasCapacity(len(events), urgent) {
		return errBusy
	}
	for i, e := range events {
		err := p.state.Apply(p.epoch, e)
		if err == nil {
			continue
		}
		if i == 0 {
			return err
		}
		// The first event implies the others, so this is a bug. The events applied so far are valid without the rest.
		p.o.log(event.PartitionEventRefused, zap.Stringer("Partition", p.id), zap.Stringer("Kind", e.Kind), zap.Error(err))
		events = events[:i]
		break
	}
	mark := p.journal.Append(urgent, events...)
	if then != nil {
		p.effects = append(p.effects, effect{mark, then})
	}
	return nil
}

// afterDurable runs f once everything recorded so far is durable.
func (p *partition) afterDurable(f func()) {
	mark := p.journal.Mark()
	if mark <= p.journal.Durable() && len(p.effects) == 0 {
		f()
		return
	}
	p.effects = append(p.effects, effect{mark, f})
}

// afterConfirmation runs f with true once everything recorded so far is durable and the store has confirmed, after this
// call, that this entry owns the partition, or with false after confirmationTimeout.
func (p *partition) afterConfirmation(f func(confirmed bool)) {
	p.pendingConfirmations = append(p.pendingConfirmations, pendingConfirmation{time.Now(), p.journal.Confirm(), f})
}

// resolveConfirmations runs the replies whose confirmation of ownership has arrived or timed out.
func (p *partition) resolveConfirmations() {
	confirmed, durable := p.journal.Confirmed(), p.journal.Durable() == p.journal.Mark()
	p.pendingConfirmations = slices.DeleteFunc(p.pendingConfirmations, func(q pendingConfirmation) bool {
		ok := durable && confirmed >= q.number
		if ok || time.Since(q.since) >= confirmationTimeout {
			q.run(ok)
			return true
		}
		return false
	})
}

// handOver starts the handover: no more events are recorded, and run returns once the journal is empty.
func (p *partition) handOver() {
	p.closing = true
	p.journal.Close()
}

// completeHandOver ends the owner lease before it writes the head row, so that the next owner has to wait for agent
// leases only.
func (p *partition) completeHandOver(ctx context.Context) error {
	p.lease.End()
	// HandedOver covers earlier owners as well. It must not be set while an attempt that an earlier owner started is
	// active and its lease may be valid; the next owner then waits for the full period after its own takeover.
	inheritedHeld := false
	if time.Now().Before(p.inheritedUntil()) {
		for t := range p.state.Active() {
			inheritedHeld = inheritedHeld || t.Inherited
		}
	}
	if err := p.journal.HandOver(ctx, !inheritedHeld); err != nil {
		return err
	}
	return p.o.cfg.Hook.At(point.DrainFinished, p.id.String())
}

// inheritedUntil returns the time by which all leases that earlier owners granted have expired.
func (p *partition) inheritedUntil() time.Time {
	return p.o.cfg.Terms.MaxTerms().AfterTakeover(p.takeover.Swapped, p.takeover.HandedOver)
}

// tick repeats unanswered messages, releases lost attempts and drops expired jobs.
func (p *partition) tick() {
	if p.closing {
		return
	}
	p.resolveConfirmations()
	p.release()
	p.adopt()
	p.repeatStarts()
	p.repeatStops()
	p.repeatOffers()
	p.repeatDone()
	p.expireJobs()
}
