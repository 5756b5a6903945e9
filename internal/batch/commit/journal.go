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
	maxQueuedEvents      = 8192 // uncommitted events; HasCapacity refuses more
	urgentReserve        = 1024 // additional queue capacity for urgent events
	maxRowEvents         = 512  // about 50 KB in a row
	snapshotInterval     = RingSlots / 2
	confirmsPerLease     = 30 // confirmations of the head row by an idle owner during one owner lease
	urgentSpacingDivisor = 4  // by which an urgent event shortens the spacing of commits
	maxSpacingFactor     = 8  // limit of the spacing in multiples of Config.Spacing, while the store limits requests
)

// Config configures the journal of one partition.
type Config struct {
	Store   table.Store
	Terms   lease.Source
	Spacing time.Duration // minimum time between starts of commits: partitions of the deployment / write budget
	Log     *zap.Logger
}

// Journal makes the events of one partition durable in the order of Append, with one transaction in flight. Only the
// partition's single writer may call Append, WriteSnapshot and HasCapacity.
type Journal struct {
	cfg      Config
	takeover Takeover
	lease    *lease.Owner
	wake     chan struct{} // wakes Run
	updates  chan struct{} // notifies the writer; see Updates

	mu          sync.Mutex
	queue       []*part.Event
	urgent      bool      // the queue holds an urgent event
	appended    uint64    // total number of events appended
	assigned    uint64    // total number of events assigned to a row
	durable     uint64    // total number of events known to be durable
	lastSeq     uint64    // of the last row with assigned events
	durableSeq  uint64    // of the last durable row
	snap        *snapshot // pending; nil for none
	closing     bool
	confirmedAt time.Time // send time of the last request that confirmed the head row
	requested   uint64    // number of calls of Confirm
	confirmed   uint64    // calls of Confirm made before the last request that confirmed the head row

	head       VersionedHead // head and the fields below belong to Run; head is written under mu for the writer
	versions   [RingSlots]uint64
	lastCommit time.Time // start of the last commit
	lastRead   time.Time // start of the last read of the head row
	spacing    time.Duration
}

// snapshot is a snapshot that the head row does not refer to yet.
type snapshot struct {
	mark    uint64 // number of events that it contains
	seq     uint64 // row that ends with event mark; 0 until that row is assigned
	name    string
	written bool // the object is in the store
}

// NewJournal returns a journal that continues a loaded partition after tail and extends the owner lease l.
func NewJournal(cfg Config, t Takeover, tail *Tail, l *lease.Owner) *Journal {
	return &Journal{
		cfg: cfg, takeover: t, lease: l, wake: make(chan struct{}, 1), updates: make(chan struct{}, 1),
		head: t.Head, versions: tail.versions, lastSeq: tail.Seq, durableSeq: tail.Seq, confirmedAt: t.Sent,
		spacing: cfg.Spacing,
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// HasCapacity reports whether n more events may be appended; urgent events have additional capacity.
func (j *Journal) HasCapacity(n int, urgent bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := maxQueuedEvents
	if urgent {
		limit += urgentReserve
	}
	return len(j.queue)+n <= limit
}

// Append queues events that the writer has applied to its state and returns the mark that Durable reaches once they are
// durable. The caller must check HasCapacity first and must not change the events afterwards.
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

// Mark returns the mark of the last appended event.
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

// Confirm requests a confirmation of ownership by a store request that is sent after this call. Confirmed reaches the
// returned number once ownership is confirmed.
func (j *Journal) Confirm() uint64 {
	j.mu.Lock()
	j.requested++
	n := j.requested
	j.mu.Unlock()
	signal(j.wake)
	return n
}

// Confirmed returns the number of calls of Confirm whose request has confirmed ownership.
func (j *Journal) Confirmed() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.confirmed
}

// lastRequested returns the number of calls of Confirm that a request sent from now on covers.
func (j *Journal) lastRequested() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.requested
}

// recordConfirmation records that a request sent at the given time confirmed ownership, and extends the owner lease.
func (j *Journal) recordConfirmation(sent time.Time, requested uint64) {
	j.lease.Confirm(sent)
	j.mu.Lock()
	j.confirmedAt, j.confirmed = sent, requested
	j.mu.Unlock()
	signal(j.updates)
}

// Updates returns a channel that is signalled when Durable, Confirmed or IsSnapshotDue may have changed.
func (j *Journal) Updates() <-chan struct{} { return j.updates }

// IsSnapshotDue reports whether half of the ring is in use since the last snapshot and no snapshot is pending.
func (j *Journal) IsSnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snap == nil && j.lastSeq-j.head.SnapshotSeq >= snapshotInterval && !j.closing
}

// WriteSnapshot starts to write a snapshot of the state after all events appended so far.
func (j *Journal) WriteSnapshot(ctx context.Context, b []byte) {
	j.mu.Lock()
	s := &snapshot{mark: j.appended, name: fmt.Sprintf("snap/%s/%d-%s", j.takeover.Partition, j.takeover.Head.Epoch, ident.NewTxn())}
	if j.assigned == s.mark {
		s.seq = j.lastSeq
	}
	j.snap = s
	j.mu.Unlock()
	go j.putSnapshot(ctx, s, b)
}

// putSnapshot writes the snapshot object. It runs in its own goroutine so that a large object does not delay commits.
func (j *Journal) putSnapshot(ctx context.Context, s *snapshot, b []byte) {
	for {
		err := j.cfg.Store.PutObject(ctx, s.name, b)
		if err == nil {
			break
		}
		event.Log(j.cfg.Log, event.SnapshotDelayed, zap.Stringer("Partition", j.takeover.Partition), zap.Error(err))
		if !pause.For(ctx, maxBackoff) {
			return
		}
	}
	j.mu.Lock()
	s.written = true
	j.mu.Unlock()
	signal(j.wake)
}

// Close makes Run return once all events are durable, so that the partition can be handed over. The caller must have
// ended the owner lease.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	signal(j.wake)
}

// Run commits events until ctx ends, the owner is deposed (ErrDeposed) or, after Close, the partition is ready for
// handover (nil).
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

// next returns the time at which the next step is due, and whether Run has finished after Close.
func (j *Journal) next() (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	confirm := j.confirmedAt.Add(j.cfg.Terms.GrantTerms().Owner / confirmsPerLease)
	if j.requested > j.confirmed {
		confirm = j.lastRead.Add(j.cfg.Spacing)
	}
	switch {
	case len(j.queue) > 0 && j.isRingFull() && !j.isSnapshotReady():
		return confirm, false // recovery needs the slot until the head row refers to the snapshot
	case j.urgent && len(j.queue) > 0:
		return j.lastCommit.Add(j.spacing / urgentSpacingDivisor), false
	case len(j.queue) > 0 || j.isSnapshotReady():
		return j.lastCommit.Add(j.spacing), false
	case j.closing:
		return confirm, true
	default:
		return confirm, false
	}
}

// isRingFull reports whether the next row would overwrite one that recovery still needs. The caller holds j.mu.
func (j *Journal) isRingFull() bool { return j.lastSeq+1 > j.head.SnapshotSeq+RingSlots }

// isSnapshotReady reports whether the head row may refer to the pending snapshot. The caller holds j.mu.
func (j *Journal) isSnapshotReady() bool {
	return j.snap != nil && j.snap.written && j.snap.seq != 0 && j.snap.seq <= j.durableSeq
}

// step makes one store request: a commit, or a read that confirms the head row of an idle partition.
func (j *Journal) step(ctx context.Context) error {
	events, seq, snap := j.assignRow()
	if len(events) == 0 && snap == nil {
		return j.confirm(ctx)
	}
	j.lastCommit = time.Now()
	t, head, err := j.transaction(events, seq, snap)
	if err != nil {
		return err
	}
	requested := j.lastRequested()
	out, err := transact(ctx, j.cfg.Store, t)
	if err != nil {
		return fmt.Errorf("commit of %s: %w", j.takeover.Partition, err)
	}
	j.adjustSpacing(out.rateLimited)
	old := ""
	j.mu.Lock()
	if len(events) > 0 {
		j.versions[seq%RingSlots] = out.version
		j.durable += uint64(len(events))
		j.durableSeq = seq
	}
	if snap != nil {
		old = j.head.Snapshot
		j.head = VersionedHead{head, out.version}
		j.snap = nil
	}
	j.mu.Unlock()
	j.recordConfirmation(out.sent, requested)
	if old != "" {
		go j.deleteSnapshot(ctx, old)
	}
	return nil
}

// adjustSpacing doubles the spacing of commits while the store limits requests, up to a limit, and reduces it
// gradually afterwards.
func (j *Journal) adjustSpacing(rateLimited bool) {
	if rateLimited {
		j.spacing = min(2*j.spacing, maxSpacingFactor*j.cfg.Spacing)
		return
	}
	j.spacing = max(j.cfg.Spacing, j.spacing-j.spacing/16)
}

// assignRow removes the events of the next row from the queue and returns them with the row's number, and the snapshot
// to which the head row may now refer.
func (j *Journal) assignRow() ([]*part.Event, uint64, *snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var snap *snapshot
	if j.isSnapshotReady() {
		snap = j.snap
	}
	if len(j.queue) == 0 || j.isRingFull() {
		return nil, 0, snap
	}
	n := min(len(j.queue), maxRowEvents)
	if s := j.snap; s != nil && s.seq == 0 && s.mark > j.assigned {
		n = min(n, int(s.mark-j.assigned)) // a row ends at the snapshot
	}
	events := j.queue[:n:n]
	j.queue = j.queue[n:]
	if len(j.queue) == 0 {
		j.queue, j.urgent = nil, false
	}
	j.assigned += uint64(n)
	j.lastSeq++
	if s := j.snap; s != nil && s.mark == j.assigned {
		s.seq = j.lastSeq
	}
	return events, j.lastSeq, snap
}

// transaction returns the transaction that writes a row of events and a head row that refers to the snapshot, and the
// new head; either part may be empty.
func (j *Journal) transaction(events []*part.Event, seq uint64, snap *snapshot) (table.Transaction, Head, error) {
	txn, p := ident.NewTxn(), j.takeover.Partition
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

// confirm reads the head row of an idle partition to extend the owner lease.
func (j *Journal) confirm(ctx context.Context) error {
	sent, requested := time.Now(), j.lastRequested()
	j.lastRead = sent
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := table.Get(call, j.cfg.Store, headKey(j.takeover.Partition))
	switch {
	case errors.Is(err, table.ErrNotFound), err == nil && r.Version != j.head.Version:
		return fmt.Errorf("confirm %s: %w", j.takeover.Partition, ErrDeposed)
	case err != nil && !pause.For(ctx, maxBackoff):
		return context.Cause(ctx)
	case err != nil:
		return nil // the next step retries
	}
	j.recordConfirmation(sent, requested)
	return nil
}

// HandOver releases the partition after Run has returned nil and the owner lease has ended. clean means that all grants
// of earlier owners have expired as well, so that the next owner waits only for agent leases to expire.
func (j *Journal) HandOver(ctx context.Context, clean bool) error {
	return clearOwner(ctx, j.cfg.Store, j.takeover.Partition, j.head, clean)
}

// deleteSnapshot deletes a snapshot that the head row no longer refers to. A failure leaves an unused object behind.
func (j *Journal) deleteSnapshot(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := j.cfg.Store.DeleteObject(call, name); err != nil {
		event.Log(j.cfg.Log, event.SnapshotDelayed, zap.Stringer("Partition", j.takeover.Partition), zap.Error(err))
	}
}
