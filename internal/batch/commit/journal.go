package commit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

const (
	queueEvents  = 8192 // events that wait for a commit; more are refused
	urgentEvents = 1024 // additional room that only urgent events use
	rowEvents    = 512  // events in one row, about 50 KB
	snapshotRows = RingSlots / 2
	confirmParts = 30 // an idle owner confirms its head row this many times in an owner lease
	urgentShare  = 4  // an urgent event shortens the spacing of commits to this part
	maxSpacing   = 8  // times the configured spacing, while the store is over its budget
)

// Config configures the journal of one partition.
type Config struct {
	Store   table.Store
	Terms   lease.Source
	Spacing time.Duration // least time between the starts of two commits: partitions of the deployment / write budget
	Log     *zap.Logger
}

// Journal makes the events of one partition durable in the order of Append, with one transaction in flight. Append,
// Offer and HasRoom belong to the partition's one writer.
type Journal struct {
	cfg   Config
	taken Taken
	lease *lease.Owner
	wake  chan struct{} // to Run
	news  chan struct{} // to the writer

	mu       sync.Mutex
	queue    []*part.Event
	urgent   bool   // the queue holds an urgent event
	appended uint64 // events ever appended
	cut      uint64 // events ever put into a row
	durable  uint64 // events known to be durable
	lastSeq  uint64 // of the last row cut
	done     uint64 // of the last durable row
	snap     *snapshot
	closing  bool
	proved   time.Time // send time of the last request that confirmed the head row
	asked    uint64    // calls of Confirm
	answered uint64    // calls of Confirm before the last request that confirmed the head row

	head     Versioned // Run only, as all below; the snapshot's fields also under mu
	versions [RingSlots]uint64
	last     time.Time // start of the last commit
	read     time.Time // start of the last read of the head row
	spacing  time.Duration
}

// snapshot is one on its way into the store.
type snapshot struct {
	mark    uint64 // events that it contains
	seq     uint64 // row that ends with mark; 0 until that is cut
	name    string
	written bool // as an object
}

// NewJournal returns the journal that continues a loaded partition; it confirms the owner lease l.
func NewJournal(cfg Config, t Taken, tail *Tail, l *lease.Owner) *Journal {
	return &Journal{
		cfg: cfg, taken: t, lease: l, wake: make(chan struct{}, 1), news: make(chan struct{}, 1),
		head: t.Head, versions: tail.versions, lastSeq: tail.Seq, done: tail.Seq, proved: t.Sent, spacing: cfg.Spacing,
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// HasRoom reports whether n more events may be appended.
func (j *Journal) HasRoom(n int, urgent bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := queueEvents
	if urgent {
		limit += urgentEvents
	}
	return len(j.queue)+n <= limit
}

// Append queues events that the writer has applied to its state and returns the mark that Durable reaches once they are
// durable. The caller has asked HasRoom. Events must not be changed afterwards.
func (j *Journal) Append(urgent bool, events ...*part.Event) uint64 {
	j.mu.Lock()
	j.queue = append(j.queue, events...)
	j.appended += uint64(len(events))
	j.urgent = j.urgent || urgent
	mark := j.appended
	j.mu.Unlock()
	signal(j.wake)
	return mark
}

// Mark returns the mark of the last event appended.
func (j *Journal) Mark() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.appended
}

// Durable returns the mark up to which events are durable.
func (j *Journal) Durable() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.durable
}

// Confirm asks for a proof of ownership by a store request that is sent after this call; Proved reaches the number that
// is returned once the proof is there.
func (j *Journal) Confirm() uint64 {
	j.mu.Lock()
	j.asked++
	n := j.asked
	j.mu.Unlock()
	signal(j.wake)
	return n
}

// Proved returns the number of calls of Confirm that are answered.
func (j *Journal) Proved() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answered
}

// asking returns the calls of Confirm that a request sent from now on answers.
func (j *Journal) asking() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.asked
}

// prove notes a proof of ownership.
func (j *Journal) prove(sent time.Time, asked uint64) {
	j.lease.Confirm(sent)
	j.mu.Lock()
	j.proved, j.answered = sent, asked
	j.mu.Unlock()
	signal(j.news)
}

// News is signalled when Durable, Proved or IsSnapshotDue may have changed.
func (j *Journal) News() <-chan struct{} { return j.news }

// IsSnapshotDue reports whether half of the ring is used since the last snapshot and none is on its way.
func (j *Journal) IsSnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snap == nil && j.lastSeq-j.head.SnapshotSeq >= snapshotRows && !j.closing
}

// Offer hands over a snapshot of the state after all events appended so far.
func (j *Journal) Offer(ctx context.Context, b []byte) {
	j.mu.Lock()
	s := &snapshot{mark: j.appended, name: fmt.Sprintf("snap/%s/%d-%s", j.taken.Partition, j.taken.Head.Epoch, ident.NewTxn())}
	if j.cut == s.mark {
		s.seq = j.lastSeq
	}
	j.snap = s
	j.mu.Unlock()
	go j.write(ctx, s, b)
}

// write puts the snapshot object; it runs beside the commits, which a large object must not delay.
func (j *Journal) write(ctx context.Context, s *snapshot, b []byte) {
	for {
		err := j.cfg.Store.PutObject(ctx, s.name, b)
		if err == nil {
			break
		}
		event.Log(j.cfg.Log, event.SnapshotDelayed, zap.Stringer("Partition", j.taken.Partition), zap.Error(err))
		if !pause.For(ctx, lastPause) {
			return
		}
	}
	j.mu.Lock()
	s.written = true
	j.mu.Unlock()
	signal(j.wake)
}

// Close makes Run hand the partition over once all events are durable. The caller has ended the owner lease.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	signal(j.wake)
}

// Run commits until ctx ends, the owner is deposed (ErrDeposed) or, after Close, the partition is ready to be handed over
// (nil).
func (j *Journal) Run(ctx context.Context) error {
	for {
		due, closing := j.next()
		if closing {
			return nil
		}
		if wait := time.Until(due); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				t.Stop()
				return context.Cause(ctx)
			case <-j.wake:
				t.Stop()
				continue
			case <-t.C:
			}
		}
		if err := j.step(ctx); err != nil {
			return err
		}
	}
}

// next returns when the next step is due and whether everything is done after Close.
func (j *Journal) next() (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	confirm := j.proved.Add(j.cfg.Terms.Grants().Owner / confirmParts)
	if j.asked > j.answered {
		confirm = j.read.Add(j.cfg.Spacing)
	}
	switch {
	case len(j.queue) > 0 && j.isRingFull() && !j.isSnapshotReady():
		return confirm, false // the wrap rule: the slot is needed until the snapshot is in the head row
	case j.urgent && len(j.queue) > 0:
		return j.last.Add(j.spacing / urgentShare), false
	case len(j.queue) > 0 || j.isSnapshotReady():
		return j.last.Add(j.spacing), false
	case j.closing:
		return confirm, true
	default:
		return confirm, false
	}
}

// isRingFull reports whether the next row would overwrite one that recovery still needs. j.mu is held.
func (j *Journal) isRingFull() bool { return j.lastSeq+1 > j.head.SnapshotSeq+RingSlots }

// isSnapshotReady reports whether the head row may point to the pending snapshot. j.mu is held.
func (j *Journal) isSnapshotReady() bool {
	return j.snap != nil && j.snap.written && j.snap.seq != 0 && j.snap.seq <= j.done
}

// step runs one store request: a commit, or a read that confirms the head row of an idle partition.
func (j *Journal) step(ctx context.Context) error {
	events, seq, snap := j.cutRow()
	if len(events) == 0 && snap == nil {
		return j.confirm(ctx)
	}
	j.last = time.Now()
	t, head, err := j.transaction(events, seq, snap)
	if err != nil {
		return err
	}
	asked := j.asking()
	out, err := settle(ctx, j.cfg.Store, t)
	if err != nil {
		return fmt.Errorf("commit of %s: %w", j.taken.Partition, err)
	}
	j.adjust(out.overBudget)
	old := ""
	j.mu.Lock()
	if len(events) > 0 {
		j.versions[seq%RingSlots] = out.version
		j.durable += uint64(len(events))
		j.done = seq
	}
	if snap != nil {
		old = j.head.Snapshot
		j.head = Versioned{head, out.version}
		j.snap = nil
	}
	j.mu.Unlock()
	j.prove(out.sent, asked)
	if old != "" {
		go j.discard(ctx, old)
	}
	return nil
}

// adjust spaces commits further apart while the store is over its budget.
func (j *Journal) adjust(overBudget bool) {
	if overBudget {
		j.spacing = min(2*j.spacing, maxSpacing*j.cfg.Spacing)
		return
	}
	j.spacing = max(j.cfg.Spacing, j.spacing-j.spacing/16)
}

// cutRow takes the events of the next row from the queue, and the snapshot that the head row may point to.
func (j *Journal) cutRow() ([]*part.Event, uint64, *snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var snap *snapshot
	if j.isSnapshotReady() {
		snap = j.snap
	}
	if len(j.queue) == 0 || j.isRingFull() {
		return nil, 0, snap
	}
	n := min(len(j.queue), rowEvents)
	if s := j.snap; s != nil && s.seq == 0 && s.mark > j.cut {
		n = min(n, int(s.mark-j.cut)) // a row ends where the snapshot was made
	}
	events := j.queue[:n:n]
	j.queue = j.queue[n:]
	if len(j.queue) == 0 {
		j.queue, j.urgent = nil, false
	}
	j.cut += uint64(n)
	j.lastSeq++
	if s := j.snap; s != nil && s.mark == j.cut {
		s.seq = j.lastSeq
	}
	return events, j.lastSeq, snap
}

func (j *Journal) transaction(events []*part.Event, seq uint64, snap *snapshot) (table.Transaction, Head, error) {
	txn, p := ident.NewTxn(), j.taken.Partition
	t := table.Transaction{Txn: txn, Conditions: []table.Condition{{Key: headKey(p), Version: j.head.Version}}}
	head := j.head.Head
	if len(events) > 0 {
		b, err := wire.Pack(events)
		if err != nil {
			return t, head, err
		}
		key := slotKey(p, seq)
		t.Conditions = append(t.Conditions, table.Condition{Key: key, Version: j.versions[seq%RingSlots]})
		t.Puts = append(t.Puts, table.Put{Key: key, Value: encode(row{seq, head.Epoch, txn, b})})
	}
	if snap != nil {
		head.Snapshot, head.SnapshotSeq, head.Txn = snap.name, snap.seq, txn
		t.Puts = append(t.Puts, table.Put{Key: headKey(p), Value: encode(head)})
	}
	return t, head, nil
}

// confirm reads the head row of an idle partition, so that the owner lease goes on.
func (j *Journal) confirm(ctx context.Context) error {
	sent, asked := time.Now(), j.asking()
	j.read = sent
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := table.Get(call, j.cfg.Store, headKey(j.taken.Partition))
	switch {
	case errors.Is(err, table.ErrNotFound), err == nil && r.Version != j.head.Version:
		return fmt.Errorf("confirm %s: %w", j.taken.Partition, ErrDeposed)
	case err != nil && !pause.For(ctx, lastPause):
		return context.Cause(ctx)
	case err != nil:
		return nil // tried again by the next step
	}
	j.prove(sent, asked)
	return nil
}

// HandOver leaves the partition without an owner after Run has returned nil and the owner lease has ended. clean tells
// that no grant of an earlier owner can last either, so that the next owner waits for agent leases only.
func (j *Journal) HandOver(ctx context.Context, clean bool) error {
	return leave(ctx, j.cfg.Store, j.taken.Partition, j.head, clean)
}

// discard deletes a snapshot that the head row no longer names. A failure leaves an object that nothing reads.
func (j *Journal) discard(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := j.cfg.Store.DeleteObject(call, name); err != nil {
		event.Log(j.cfg.Log, event.SnapshotDelayed, zap.Stringer("Partition", j.taken.Partition), zap.Error(err))
	}
}
