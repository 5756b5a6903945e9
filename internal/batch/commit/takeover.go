package commit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// ErrDeposed means that another owner has taken over the partition; ErrCorrupt means that its rows are inconsistent.
var (
	ErrDeposed = errors.New("partition has another owner")
	ErrCorrupt = errors.New("journal is corrupt")
)

// Self identifies the entry that takes over partitions.
type Self struct {
	Name        ident.Entry
	Incarnation ident.Incarnation
}

// Takeover describes a partition that this entry has taken over.
type Takeover struct {
	Partition  ident.Partition
	Head       VersionedHead // the new head row
	Previous   Head
	Sent       time.Time // send time of the request that confirmed the takeover
	Swapped    time.Time // a time after the compare-and-swap
	HandedOver bool      // the previous owner had stopped granting leases, or there was none
}

// TakeOver takes over a partition: it writes the head row with the next epoch, on condition that the row is still prev.
// It repeats the same transaction until the outcome is known and returns ErrDeposed if another entry was faster.
func TakeOver(ctx context.Context, s table.Store, p ident.Partition, self Self, prev VersionedHead) (Takeover, error) {
	head := prev.Head
	head.Owner, head.Incarnation, head.HandedOver = self.Name, self.Incarnation, false
	head.Epoch++
	head.Txn = ident.NewTxn()
	t := table.Transaction{
		Txn:        head.Txn,
		Conditions: []table.Condition{{Key: headKey(p), Version: prev.Version}},
		Puts:       []table.Put{{Key: headKey(p), Value: encode(head)}},
	}
	out, err := transact(ctx, s, t)
	if err != nil {
		return Takeover{}, fmt.Errorf("take over partition %s: %w", p, err)
	}
	return Takeover{
		Partition: p, Head: VersionedHead{head, out.version}, Previous: prev.Head, Sent: out.sent, Swapped: time.Now(),
		HandedOver: prev.HandedOver || prev.Version == 0,
	}, nil
}

// Release releases a partition that this entry took over but does not serve, so that another entry may take it over.
func Release(ctx context.Context, s table.Store, p ident.Partition, head VersionedHead) error {
	return clearOwner(ctx, s, p, head, false)
}

// clearOwner writes the head row without an owner and sets HandedOver to clean.
func clearOwner(ctx context.Context, s table.Store, p ident.Partition, v VersionedHead, clean bool) error {
	head := v.Head
	head.Owner, head.Incarnation, head.HandedOver, head.Txn = "", "", clean, ident.NewTxn()
	_, err := transact(ctx, s, table.Transaction{
		Txn:        head.Txn,
		Conditions: []table.Condition{{Key: headKey(p), Version: v.Version}},
		Puts:       []table.Put{{Key: headKey(p), Value: encode(head)}},
	})
	if err != nil {
		return fmt.Errorf("release partition %s: %w", p, err)
	}
	return nil
}

// Tail is the end of the journal of a loaded partition, where a new Journal continues.
type Tail struct {
	Seq      uint64            // of the last row
	versions [RingSlots]uint64 // of the rows in the slots
}

// Load recovers a partition from its snapshot and journal; ErrCorrupt means that the journal has a gap or an event that
// cannot be applied. It must follow TakeOver: from then on no earlier owner can add a row, since every row is written
// on condition of the head row's version.
func Load(ctx context.Context, s table.Store, t Takeover) (*part.State, *Tail, error) {
	state, tail := part.New(), &Tail{Seq: t.Head.SnapshotSeq}
	if t.Head.Snapshot != "" {
		b, err := s.GetObject(ctx, t.Head.Snapshot)
		if err != nil {
			return nil, nil, fmt.Errorf("snapshot %s: %w", t.Head.Snapshot, err)
		}
		if state, err = part.Restore(b); err != nil {
			return nil, nil, err
		}
	}
	from := "log/" + t.Partition.String() + "/"
	rows, err := s.Range(ctx, from, from+"\xff", RingSlots)
	if err != nil {
		return nil, nil, fmt.Errorf("journal of %s: %w", t.Partition, err)
	}
	var unapplied []row
	for _, r := range rows {
		var v row
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return nil, nil, fmt.Errorf("journal row %s: %w", r.Key, err)
		}
		tail.versions[v.Seq%RingSlots] = r.Version
		if v.Seq > t.Head.SnapshotSeq {
			unapplied = append(unapplied, v)
		}
	}
	slices.SortFunc(unapplied, func(a, b row) int { return int(int64(a.Seq) - int64(b.Seq)) })
	for _, r := range unapplied {
		if r.Seq != tail.Seq+1 {
			return nil, nil, fmt.Errorf("%w: row %d of %s follows %d", ErrCorrupt, r.Seq, t.Partition, tail.Seq)
		}
		if err := replay(state, r); err != nil {
			return nil, nil, fmt.Errorf("row %d of %s: %w", r.Seq, t.Partition, err)
		}
		tail.Seq = r.Seq
	}
	return state, tail, nil
}

// replay applies the events of a journal row to state.
func replay(state *part.State, r row) error {
	var events []*part.Event
	if err := msgpack.Unmarshal(r.Events, &events); err != nil {
		return fmt.Errorf("decode events: %w", err)
	}
	for _, e := range events {
		if err := state.Apply(r.Epoch, e); err != nil {
			return fmt.Errorf("%w: %v cannot be applied: %w", ErrCorrupt, e.Kind, err)
		}
	}
	return nil
}
