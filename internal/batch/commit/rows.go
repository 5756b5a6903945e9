package commit

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// RingSlots is the number of journal slots of a partition; it is part of the storage format.
const RingSlots = 256

// Head is the head row of a partition.
type Head struct {
	Owner       ident.Entry       // empty after a handover
	Incarnation ident.Incarnation // of the owner; a restarted entry is another owner
	Epoch       ident.Epoch
	Snapshot    string // name of the object; empty before the first snapshot
	SnapshotSeq uint64 // last journal row that the snapshot contains
	HandedOver  bool   // the last owner and all earlier ones have stopped granting leases
	Txn         ident.Txn
}

// VersionedHead is a head row and its version; version 0 means that the row does not exist.
type VersionedHead struct {
	Head
	Version uint64
}

// row is a journal row; the store holds it as JSON.
type row struct {
	Seq    uint64
	Epoch  ident.Epoch
	Txn    ident.Txn
	Events []byte // msgpack
}

func headKey(p ident.Partition) string { return "part/" + p.String() }

func slotKey(p ident.Partition, seq uint64) string {
	return fmt.Sprintf("log/%s/%03d", p, seq%RingSlots)
}

const maxPartitions = 1000 // in one zone; limits the response to a range read

// ReadHeads returns the existing head rows of the partitions of a zone.
func ReadHeads(ctx context.Context, s table.Store, zone ident.AvailabilityZone) (map[ident.Partition]VersionedHead, error) {
	from := "part/" + string(zone) + "/"
	rows, err := s.Range(ctx, from, from+"\xff", maxPartitions)
	if err != nil {
		return nil, fmt.Errorf("head rows of zone %s: %w", zone, err)
	}
	heads := make(map[ident.Partition]VersionedHead, len(rows))
	for _, r := range rows {
		p, err := ident.ParsePartition(r.Key[len("part/"):])
		if err != nil {
			return nil, fmt.Errorf("head row: %w", err)
		}
		v := VersionedHead{Version: r.Version}
		if err := json.Unmarshal(r.Value, &v.Head); err != nil {
			return nil, fmt.Errorf("head row %s: %w", r.Key, err)
		}
		heads[p] = v
	}
	return heads, nil
}

// encode returns the JSON form of a row; it panics on an error, since every value of the row types can be encoded.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrapf(err, "encode %T", v))
	}
	return b
}
