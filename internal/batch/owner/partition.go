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

// errBusy means that too many events wait for the store.
var errBusy = errors.New("too many events wait for the store")

// partition is one partition that this entry owns. Its writer, the goroutine of run, alone uses the fields below the
// first group. Events are applied to the state when they are queued for the journal; what others may learn from an event
// happens in an effect, after the event is durable.
type partition struct {
	o       *Owner
	id      ident.Partition
	epoch   ident.Epoch
	taken   commit.Taken
	book    *book
	inbox   *queue.Ring[func()]
	room    chan struct{} // signalled when workers may have room
	done    chan struct{} // closed when the partition is no longer owned here
	journal *commit.Journal
	lease   *lease.Owner

	state   *part.State
	effects []effect
	doubts  []doubt
	order   *place.Order
	closing bool

	starting map[ident.Task]*start   // attempts that the agent has not confirmed
	stopping map[ident.Task]*halt    // attempts to stop
	missing  map[ident.Task]*missed  // attempts that an agent no longer holds, to be released later
	offers   map[offerKey]*offer     // shares of jobs at home here
	finished map[ident.Job]time.Time // shares to report to their home, by the time of the last report
	reported map[ident.Job]wire.Counts
	learned  map[ident.Job]sizes.Resources
	waiting  map[ident.Job]string // why a job fits nowhere
	swept    time.Time            // when old jobs were last forgotten
}

// effect runs once the events up to mark are durable.
type effect struct {
	mark uint64
	run  func()
}

// doubt is a reply that a deposed owner must not give; it waits for a proof of ownership.
type doubt struct {
	since  time.Time
	number uint64 // of the journal's Confirm
	run    func(proved bool)
}

func newPartition(o *Owner, t commit.Taken, state *part.State, l *lease.Owner, j *commit.Journal) *partition {
	p := &partition{
		o: o, id: t.Partition, epoch: t.Head.Epoch, taken: t, book: newBook(o.cfg.Terms, l),
		inbox: queue.NewRing[func()](inboxSize), room: make(chan struct{}, 1), done: make(chan struct{}),
		journal: j, lease: l, state: state, order: place.NewOrder(o.teams),
		starting: map[ident.Task]*start{}, stopping: map[ident.Task]*halt{}, missing: map[ident.Task]*missed{},
		offers: map[offerKey]*offer{}, finished: map[ident.Job]time.Time{}, reported: map[ident.Job]wire.Counts{},
		learned: map[ident.Job]sizes.Resources{}, waiting: map[ident.Job]string{},
	}
	p.resume()
	return p
}

// resume rebuilds what is not durable from the state that was loaded.
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
	for t := range p.state.Held() {
		sh := p.state.Share(t.ID.Job)
		p.order.Started(sh.Spec.Team, sh.Spec.Size)
		if sh.Cancelled {
			p.stopping[t.ID] = &halt{attempt: t.Attempt, reason: wire.StopCancel}
		}
	}
}

// sessionUp is called with the owner's lock held. Tasks of a partition run in the partition's zone only.
func (p *partition) sessionUp(s *session) {
	if s.info.Zone == p.id.Zone {
		p.book.up(s)
		p.inbox.TryPut(p.adopt)
	}
}

// run serves the partition until it is handed over (nil), lost, or ctx ends.
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
		case <-p.journal.News():
			p.settled(ctx)
		case <-tick.C:
			p.tick()
		case <-p.room:
		case <-placing.C:
			armed = false
			p.place()
			continue
		case err := <-ended:
			if err != nil {
				return err
			}
			p.settled(ctx)
			return p.leave(ctx)
		}
		if !armed { // a round of placement serves all that happens until then
			placing.Reset(placeInterval)
			armed = true
		}
	}
}

// settled runs the effects of events that have become durable.
func (p *partition) settled(ctx context.Context) {
	durable := p.journal.Durable()
	n := 0
	for n < len(p.effects) && p.effects[n].mark <= durable {
		p.effects[n].run()
		n++
	}
	p.effects = p.effects[n:]
	p.settleDoubts()
	if !p.journal.IsSnapshotDue() {
		return
	}
	b, err := p.state.Snapshot()
	if err != nil {
		p.o.log(event.RuleBroken, zap.Stringer("Partition", p.id), zap.Error(err))
		return
	}
	p.journal.Offer(ctx, b)
}

// record applies events and queues them for the journal; then, if not nil, runs once they are durable.
func (p *partition) record(urgent bool, then func(), events ...*part.Event) error {
	if p.closing || !p.journal.HasRoom(len(events), urgent) {
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
		// The callers check that a later event follows from the first one, so this is a fault of the program. The
		// events applied so far stay valid on their own.
		p.o.log(event.RuleBroken, zap.Stringer("Partition", p.id), zap.Stringer("Kind", e.Kind), zap.Error(err))
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

// afterProof runs f once everything recorded so far is durable and the store has confirmed since that this entry owns the
// partition, or with false when the store does not respond in time.
func (p *partition) afterProof(f func(proved bool)) {
	p.doubts = append(p.doubts, doubt{time.Now(), p.journal.Confirm(), f})
}

func (p *partition) settleDoubts() {
	proved, durable := p.journal.Proved(), p.journal.Durable() == p.journal.Mark()
	p.doubts = slices.DeleteFunc(p.doubts, func(d doubt) bool {
		ok := durable && proved >= d.number
		if ok || time.Since(d.since) >= proofTimeout {
			d.run(ok)
			return true
		}
		return false
	})
}

// handOver begins to leave the partition: nothing more is recorded, and run ends once the journal is empty.
func (p *partition) handOver() {
	p.closing = true
	p.journal.Close()
}

// leave stops granting before it marks the head row, so that the next owner waits for agent leases only.
func (p *partition) leave(ctx context.Context) error {
	p.lease.End()
	// The mark HandedOver covers earlier owners as well. While an attempt of theirs is held and their leases may last, it
	// must not be set; the next owner then waits for the full time from its own takeover.
	old := false
	if time.Now().Before(p.inheritedUntil()) {
		for t := range p.state.Held() {
			old = old || t.Inherited
		}
	}
	if err := p.journal.HandOver(ctx, !old); err != nil {
		return err
	}
	return p.o.cfg.Hook.At(point.DrainFinished, p.id.String())
}

// inheritedUntil returns when the leases that earlier owners granted have certainly ended.
func (p *partition) inheritedUntil() time.Time {
	return p.o.cfg.Terms.Waits().AfterTakeover(p.taken.Swapped, p.taken.HandedOver)
}

// tick repeats what is unanswered and releases what is lost.
func (p *partition) tick() {
	if p.closing {
		return
	}
	p.settleDoubts()
	p.release()
	p.adopt()
	p.repeatStarts()
	p.repeatStops()
	p.repeatOffers()
	p.repeatDone()
	p.forget()
}
