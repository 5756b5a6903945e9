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
	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

// Leader makes an entry lead its cell whenever no other entry does.
type Leader struct {
	cfg     Config
	term    atomic.Pointer[Term]
	head    atomic.Pointer[rows.Head]
	changed chan struct{} // the head row may have changed
	leading atomic.Bool   // from before a takeover to the end of the term
	vacant  atomic.Uint64 // epoch whose leader does not seem to run any more
	ended   atomic.Uint64 // epoch whose leader has certainly ended
	suspect atomic.Bool   // the leader does not answer this entry
	rank    func() time.Duration
}

// NewLeader returns a candidate. Rank delays its takeover, so that entries do not race each other.
func NewLeader(cfg Config, rank func() time.Duration) *Leader {
	return &Leader{cfg: cfg, changed: make(chan struct{}, 1), rank: rank}
}

// Term returns the term while this entry leads, else nil.
func (l *Leader) Term() *Term { return l.term.Load() }

// Head returns the last known head row, or nil before the first read.
func (l *Leader) Head() *rows.Head { return l.head.Load() }

// IsLeading reports whether this entry leads or is taking the cell over.
func (l *Leader) IsLeading() bool { return l.leading.Load() }

// Vacate tells that the leader of an epoch does not seem to run; certain, that it has ended and grants nothing.
func (l *Leader) Vacate(epoch uint64, certain bool) {
	l.vacant.Store(epoch)
	if certain {
		l.ended.Store(epoch)
	}
	l.Check()
}

// hasEnded reports whether the leader that a head row names has certainly ended: it has handed over, it was an earlier
// process of this entry, or the process at its address says so.
func (l *Leader) hasEnded(head rows.Head) bool {
	return head.Leader == "" || head.Leader == l.cfg.Name || head.Epoch == l.ended.Load()
}

// Suspect tells whether the leader answers this entry; one that does not is replaced sooner.
func (l *Leader) Suspect(is bool) { l.suspect.Store(is) }

// isVacant decides by the head row, and by how long it has not changed, whether the cell needs a leader.
func (l *Leader) isVacant(head rows.Head, version uint64, age time.Duration) bool {
	limit := staleAfter
	if l.suspect.Load() {
		limit = suspectAfter
	}
	return version == 0 || head.Leader == "" || head.Leader == l.cfg.Name || head.Epoch == l.vacant.Load() ||
		age > limit+l.cfg.Patience()
}

// Check makes the candidate look at the head row at once.
func (l *Leader) Check() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run works until ctx ends; it then hands the cell over if this entry leads.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		head, version, ok := l.await(ctx)
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
		l.reign(ctx, t)
		l.leading.Store(false)
	}
}

// await watches the head row and returns it once the cell has no leader.
func (l *Leader) await(ctx context.Context) (rows.Head, uint64, bool) {
	var last uint64
	var seenAt time.Time
	first := true
	for ctx.Err() == nil {
		head, version, err := ReadHead(ctx, l.cfg.Store, l.cfg.Cell)
		now := time.Now()
		switch {
		case err != nil:
			seenAt = now // an entry that cannot read the store does not know how old the row is
		case version != last || first:
			last, seenAt, first = version, now, false
			l.head.Store(&head)
		}
		if err == nil && l.isVacant(head, version, now.Sub(seenAt)) {
			if delay := l.rank(); delay > 0 && head.Leader != l.cfg.Name && pause.For(ctx, delay) {
				if _, v, err := ReadHead(ctx, l.cfg.Store, l.cfg.Cell); err != nil || v != version {
					continue
				}
			}
			return head, version, ctx.Err() == nil
		}
		select {
		case <-l.changed:
		case <-time.After(lookEvery):
		case <-ctx.Done():
		}
	}
	return rows.Head{}, 0, false
}

// takeOver writes the head row under a new epoch and reads the rows of the cell.
func (l *Leader) takeOver(ctx context.Context, head rows.Head, version uint64) (*Term, error) {
	t := &Term{
		cfg: l.cfg, events: queue.NewRing[any](ringSize), jobs: make(map[spec.ID]*job),
		workers: make(map[string]*worker), dirty: make(map[*job]struct{}), advice: make(map[pair]*advice),
		press: press.NewTable(), period: press.NewPeriodEstimate(time.Now()), usual: make(map[string]*usual), cancelledEarly: make(map[spec.ID]bool), orphans: make(map[spec.ID][]orphan),
	}
	next := rows.Head{Leader: l.cfg.Name, Address: l.cfg.Address, Epoch: head.Epoch + 1, Write: head.Write}
	t.writer = headWriter{store: l.cfg.Store, patience: l.cfg.Patience, cell: l.cfg.Cell, head: next, version: version}
	began, err := t.writer.write(ctx, nil, nil)
	if err != nil {
		return nil, err
	}
	t.token, t.epoch, t.confirmed, t.tookAt = t.writer.version, next.Epoch, began, time.Now()
	t.grantedTo = t.tookAt.Add(reign)
	if l.hasEnded(head) {
		t.grantedTo = t.tookAt
	}
	current := t.writer.head
	l.head.Store(&current)
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	l.cfg.Meter.TookOver()
	event.Log(l.cfg.Log, event.LeaderElected, zap.Uint64("Epoch", t.epoch), zap.Uint64("Token", t.token),
		zap.String("Before", head.Leader), zap.Int("Jobs", len(t.jobs)), zap.Int("Active", len(t.active)),
		zap.Int("Agents", len(t.workers)), zap.Duration("Took", time.Since(began)))
	return t, nil
}

// read loads agents, jobs, progress and cancellations.
func (t *Term) read(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, reign)
	defer cancel()
	read := func(table string) (rows.Page, error) {
		p, err := rows.ReadAll(limited, t.cfg.Store, rows.Span{Table: table, Part: t.cfg.Cell})
		if err != nil {
			return p, fmt.Errorf("read %s: %w", table, err)
		}
		return p, nil
	}
	agents, err := read(rows.Agents)
	if err != nil {
		return err
	}
	progress, err := read(rows.Progress)
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
	t.load(agents, jobs, progress, cancels)
	return nil
}

func (t *Term) load(agents, jobs, progress, cancels rows.Page) {
	t.jobsAfter, t.cancAfter, t.agentAfter = jobs.Version, cancels.Version, agents.Version
	for _, r := range agents.Rows {
		var a rows.Agent
		if err := rows.Decode(r, &a); err != nil {
			event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Agent", r.Key), zap.Error(err))
			continue
		}
		w := newWorker(a, r.Version)
		w.lostAt = t.tookAt
		t.workers[r.Key] = w
		t.unheard++
	}
	done := make(map[string]rows.Advance, len(progress.Rows))
	for _, r := range progress.Rows {
		var a rows.Advance
		if err := rows.Decode(r, &a); err != nil {
			event.Log(t.cfg.Log, event.RowUnreadable, zap.String("Job", r.Key), zap.Error(err))
			continue
		}
		done[r.Key] = a
	}
	for _, r := range jobs.Rows {
		s := t.decodeJob(r)
		if s == nil {
			continue
		}
		j := newJob(s, time.Now())
		j.old = s.Epoch < t.epoch
		j.load(done[r.Key])
		t.jobs[s.ID] = j
		if !j.state.IsFinal() {
			t.active = append(t.active, j)
		}
	}
	for _, r := range cancels.Rows {
		t.cancel(spec.ID(r.Key))
	}
}

// reign runs a term to its end and hands the cell over when ctx ends.
func (l *Leader) reign(ctx context.Context, t *Term) {
	l.term.Store(t)
	err := t.run(ctx)
	l.term.Store(nil)
	for name := range t.workers {
		l.cfg.Network.Forget(name)
	}
	if !errors.Is(err, errResigned) {
		event.Log(l.cfg.Log, event.LeaderDeposed, zap.Uint64("Epoch", t.epoch), zap.Error(err))
		return
	}
	l.resign(t)
}

// resign writes the head row without a leader, so that another entry takes the cell over at once.
func (l *Leader) resign(t *Term) {
	ctx, cancel := context.WithTimeout(context.Background(), resignLimit)
	defer cancel()
	// A commit that was cut off may have been applied, so that the row is read again.
	head, version, err := ReadHead(ctx, l.cfg.Store, l.cfg.Cell)
	if err == nil && head.Epoch == t.epoch {
		head.Leader, head.Address = "", ""
		w := headWriter{store: l.cfg.Store, patience: l.cfg.Patience, cell: l.cfg.Cell, head: head, version: version}
		_, err = w.write(ctx, nil, nil)
	}
	event.Log(l.cfg.Log, event.LeaderResigned, zap.Uint64("Epoch", t.epoch), zap.Error(err))
}

const resignLimit = 1500 * time.Millisecond
