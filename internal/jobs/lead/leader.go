package lead

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/queue"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

// Leader makes its entry a candidate that takes over the cell whenever no other entry leads it.
type Leader struct {
	cfg           Config
	term          atomic.Pointer[Term]      // nil while this entry does not lead
	head          atomic.Pointer[rows.Head] // last head row read or written
	recheck       chan struct{}             // requests an immediate read of the head row
	leading       atomic.Bool               // from the start of a takeover to the end of the term
	downEpoch     atomic.Uint64             // epoch whose leader appears to be down
	endedEpoch    atomic.Uint64             // epoch whose leader is known to have ended
	suspect       atomic.Bool               // the leader does not respond to this entry
	takeoverDelay func() time.Duration      // staggers the entries of a cell
}

// NewLeader returns a candidate that waits for takeoverDelay before it takes over from another entry, so that entries
// do not race each other.
func NewLeader(cfg Config, takeoverDelay func() time.Duration) *Leader {
	return &Leader{cfg: cfg, recheck: make(chan struct{}, 1), takeoverDelay: takeoverDelay}
}

// Term returns the current term, or nil if this entry does not lead.
func (l *Leader) Term() *Term { return l.term.Load() }

// Head returns the last known head row, or nil before the first read.
func (l *Leader) Head() *rows.Head { return l.head.Load() }

// IsLeading reports whether this entry leads the cell or is taking it over.
func (l *Leader) IsLeading() bool { return l.leading.Load() }

// ReportDown reports that the leader of an epoch appears to be down. If certain is set, that leader is known to have
// ended and grants no more leases.
func (l *Leader) ReportDown(epoch uint64, certain bool) {
	l.downEpoch.Store(epoch)
	if certain {
		l.endedEpoch.Store(epoch)
	}
	l.Recheck()
}

// leaderEnded reports whether the leader in a head row has certainly ended: it has handed the cell over, it was an
// earlier process of this entry, or the process at its address has denied leading.
func (l *Leader) leaderEnded(head rows.Head) bool {
	return head.Leader == "" || head.Leader == l.cfg.Name || head.Epoch == l.endedEpoch.Load()
}

// SetSuspected sets whether the leader fails to respond to this entry; a suspected leader is replaced sooner.
func (l *Leader) SetSuspected(suspected bool) { l.suspect.Store(suspected) }

// needsLeader reports whether the cell needs a new leader, given the head row and the time since it last changed.
func (l *Leader) needsLeader(head rows.Head, version uint64, age time.Duration) bool {
	limit := staleAfter
	if l.suspect.Load() {
		limit = suspectAfter
	}
	return version == 0 || head.Leader == "" || head.Leader == l.cfg.Name || head.Epoch == l.downEpoch.Load() ||
		age > limit+l.cfg.HedgeDelay()
}

// Recheck makes the candidate read the head row immediately.
func (l *Leader) Recheck() {
	select {
	case l.recheck <- struct{}{}:
	default:
	}
}

// Run watches the cell, and leads it when needed, until ctx ends; it then hands the cell over if this entry leads.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		head, version, ok := l.awaitNoLeader(ctx)
		if !ok {
			return
		}
		l.leading.Store(true)
		t, err := l.takeOver(ctx, head, version)
		if err != nil {
			l.leading.Store(false)
			event.Log(l.cfg.Log, event.TakeoverFailed, zap.Uint64("Epoch", head.Epoch+1), zap.Error(err))
			pause.For(ctx, retryPause)
			continue
		}
		l.runTerm(ctx, t)
		l.leading.Store(false)
	}
}

// awaitNoLeader polls the head row and returns it once the cell needs a leader; it returns false when ctx ends.
func (l *Leader) awaitNoLeader(ctx context.Context) (rows.Head, uint64, bool) {
	var last uint64
	var seenAt time.Time
	first := true
	for ctx.Err() == nil {
		head, version, err := ReadHead(ctx, l.cfg.Store, l.cfg.Cell)
		now := time.Now()
		switch {
		case err != nil:
			seenAt = now // without the store, the age of the row is not known
		case version != last || first:
			last, seenAt, first = version, now, false
			l.head.Store(&head)
		}
		if err == nil && l.needsLeader(head, version, now.Sub(seenAt)) {
			if delay := l.takeoverDelay(); delay > 0 && head.Leader != l.cfg.Name && pause.For(ctx, delay) {
				if _, v, err := ReadHead(ctx, l.cfg.Store, l.cfg.Cell); err != nil || v != version {
					continue
				}
			}
			return head, version, ctx.Err() == nil
		}
		select {
		case <-l.recheck:
		case <-time.After(headPollEvery):
		case <-ctx.Done():
		}
	}
	return rows.Head{}, 0, false
}

// takeOver writes the head row under a new epoch and loads the rows of the cell. It returns errDeposed if another entry
// was faster.
func (l *Leader) takeOver(ctx context.Context, head rows.Head, version uint64) (*Term, error) {
	t := &Term{
		cfg: l.cfg, events: queue.NewRing[any](ringSize), jobs: make(map[spec.ID]*job),
		workers: make(map[string]*worker), undurable: make(map[*worker]struct{}),
		dirty: make(map[page]struct{}), restarted: make(map[*worker]struct{}), advice: make(map[stepKey]*advice),
		interference: impact.NewTable(), loadPeriod: impact.NewPeriodEstimate(time.Now()),
		runTimes: order.NewRunTimes(), jobSizes: order.NewSizes(), planner: order.Planner{Policy: l.cfg.Order},
		cancelledEarly: make(map[spec.ID]time.Time), unmatchedEnds: make(map[spec.ID][]unmatchedEnd),
		evacuation: newEvacuation(l.cfg),
	}
	next := rows.Head{Leader: l.cfg.Name, Address: l.cfg.Address, Epoch: head.Epoch + 1, Write: head.Write}
	t.writer = headWriter{store: l.cfg.Store, hedgeDelay: l.cfg.HedgeDelay, cell: l.cfg.Cell, head: next, version: version}
	began, err := t.writer.write(ctx, nil, nil)
	if err != nil {
		return nil, err
	}
	t.fleet = newFleet(next.Epoch)
	t.token, t.epoch, t.confirmedAt, t.takeoverAt = t.writer.version, next.Epoch, began, time.Now()
	t.prevGrantsEnd = t.takeoverAt.Add(leadershipLease)
	if l.leaderEnded(head) {
		t.prevGrantsEnd = t.takeoverAt
	}
	current := t.writer.head
	l.head.Store(&current)
	if err := t.loadRows(ctx); err != nil {
		return nil, err
	}
	l.cfg.Meter.Takeover()
	event.Log(l.cfg.Log, event.LeaderElected, zap.Uint64("Epoch", t.epoch), zap.Uint64("Token", t.token),
		zap.String("Before", head.Leader), zap.Int("Jobs", len(t.jobs)), zap.Int("Active", len(t.active)),
		zap.Int("Agents", len(t.workers)), zap.Duration("Took", time.Since(began)))
	return t, nil
}

// loadRows loads the rows of the cell. Meanwhile it renews the head row, so that no other entry takes the cell over
// however long the transfer takes.
func (t *Term) loadRows(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewing, stop := context.WithCancel(ctx)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		for pause.For(renewing, renewEvery) {
			began, err := t.writer.write(ctx, nil, nil)
			if err != nil {
				cancel(err)
				return
			}
			t.confirmedAt = began
		}
	}()
	err := t.readRows(ctx)
	if err != nil {
		cancel(err)
	}
	stop() // a write in flight ends first, since its outcome decides the version of the head row
	<-renewed
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}

// readRows reads the agents, their restarts, jobs, progress and cancellations of the cell and builds the state of the term.
func (t *Term) readRows(ctx context.Context) error {
	limited, cancel := stall.WithTimeout(ctx, readTimeout, readTimeout)
	defer cancel()
	readTable := func(table string) (rows.Page, error) {
		p, err := rows.ReadAll(limited, t.cfg.Store, rows.Span{Table: table, Part: t.cfg.Cell})
		if err != nil {
			return p, fmt.Errorf("read %s: %w", table, err)
		}
		return p, nil
	}
	agents, err := readTable(rows.Agents)
	if err != nil {
		return err
	}
	restarts, err := readTable(rows.Restarts)
	if err != nil {
		return err
	}
	progress, err := readTable(rows.Progress)
	if err != nil {
		return err
	}
	parts := rows.IntakeParts(t.cfg.Cell)
	jobs, err := rows.ReadParts(limited, t.cfg.Store, rows.Jobs, parts)
	if err != nil {
		return fmt.Errorf("read %s: %w", rows.Jobs, err)
	}
	cancels, err := rows.ReadParts(limited, t.cfg.Store, rows.Cancels, parts)
	if err != nil {
		return fmt.Errorf("read %s: %w", rows.Cancels, err)
	}
	t.restore(agents, jobs, progress, cancels)
	t.restoreRestarts(restarts)
	if t.usesEvacuations() {
		// The last read, so that it is recent when the term begins. A failure does not end the takeover: leases are granted
		// meanwhile, and no run is started before a read has succeeded.
		t.applyEvacuations(t.readEvacuations(ctx), time.Now())
	}
	return nil
}

// restore builds the state of the term from the rows of the cell.
func (t *Term) restore(agents, jobs, progress, cancels rows.Page) {
	t.jobsVersion, t.cancelsVersion, t.agentsVersion = jobs.Version, cancels.Version, agents.Version
	for _, r := range agents.Rows {
		var a rows.Agent
		if err := rows.Decode(r, &a); err != nil {
			event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Agent", r.Key), zap.Error(err))
			continue
		}
		w := newWorker(a, r.Version)
		w.lostAt = t.takeoverAt
		t.workers[r.Key] = w
		t.fleet.add(w)
		t.unreconciled++
	}
	known := make(map[spec.ID]bool, len(jobs.Rows))
	for _, r := range jobs.Rows {
		known[spec.ID(r.Key)] = true
		s := t.decodeJob(r)
		if s == nil {
			continue
		}
		j := newJob(s, time.Now())
		j.inherited = s.Epoch < t.epoch
		t.jobs[s.ID] = j
	}
	t.restoreProgress(progress, known)
	for _, r := range jobs.Rows {
		if j := t.jobs[spec.ID(r.Key)]; j != nil && !j.state.IsFinal() {
			t.active = append(t.active, j)
		}
	}
	for _, r := range cancels.Rows {
		t.cancel(spec.ID(r.Key))
	}
}

// restoreProgress applies the progress rows of the cell. It deletes those of jobs that an earlier leader has deleted without
// their progress, and stores tasks again that are not in the row of their page.
func (t *Term) restoreProgress(progress rows.Page, known map[spec.ID]bool) {
	for _, r := range progress.Rows { // in the order of their keys, page 0 of a job first
		id, number := rows.SplitProgressKey(r.Key)
		if !known[id] {
			t.pendingDeletes = append(t.pendingDeletes, r.Ref)
			continue
		}
		j := t.jobs[id]
		var a rows.JobProgress
		err := rows.Decode(r, &a)
		if err != nil {
			event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Job", r.Key), zap.Error(err))
		}
		if err != nil || j == nil {
			continue
		}
		for p := range j.restore(number, a) {
			if p.number != number {
				t.dirty[p] = struct{}{}
			}
		}
	}
}

// runTerm runs a term until it ends, and hands the cell over if ctx has ended.
func (l *Leader) runTerm(ctx context.Context, t *Term) {
	l.term.Store(t)
	err := t.run(ctx)
	l.cfg.Meter.JobsWaiting(0) // the next leader reports them
	l.term.Store(nil)
	for name := range t.workers {
		l.cfg.Network.Disconnect(name)
	}
	if errors.Is(err, errPanicked) {
		pause.For(ctx, panicPause) // another entry may be able to lead
	}
	if !errors.Is(err, errResigned) {
		event.Log(l.cfg.Log, event.LeaderDeposed, zap.Uint64("Epoch", t.epoch), zap.Error(err))
		return
	}
	l.resign(t)
}

// resign clears the leader in the head row, so that another entry takes over without waiting.
func (l *Leader) resign(t *Term) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	// An interrupted commit may still have been applied, so the current version of the row is read first.
	head, version, err := ReadHead(ctx, l.cfg.Store, l.cfg.Cell)
	if err == nil && head.Epoch == t.epoch {
		head.Leader, head.Address = "", ""
		w := headWriter{store: l.cfg.Store, hedgeDelay: l.cfg.HedgeDelay, cell: l.cfg.Cell, head: head, version: version}
		_, err = w.write(ctx, nil, nil)
	}
	event.Log(l.cfg.Log, event.LeaderResigned, zap.Uint64("Epoch", t.epoch), zap.Error(err))
}

const (
	resignTimeout = 1500 * time.Millisecond
	panicPause    = 500 * time.Millisecond // before an entry whose term panicked may lead again
)
