package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// MaxList is the largest number of records that List returns.
const MaxList = 1000

// Log reads and writes audit records in the store.
type Log struct {
	Store table.Store
}

// List returns up to limit records that are older than before, newest first; a zero before starts at the newest record,
// and limit is clamped to 1..MaxList.
func (l Log) List(ctx context.Context, before time.Time, limit int) ([]Record, error) {
	from := keyPrefix
	if !before.IsZero() {
		from = Record{Time: before.Add(-1)}.Key()
	}
	rows, err := l.Store.Range(ctx, from, keyEnd, min(max(limit, 1), MaxList))
	if err != nil {
		return nil, fmt.Errorf("list audit records: %w", err)
	}
	records := make([]Record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &records[i]); err != nil {
			return nil, fmt.Errorf("decode audit record %s: %w", row.Key, err)
		}
	}
	return records, nil
}

const retryPause = 50 * time.Millisecond

// Write stores the record of a change that is not itself a transaction of the store; callers make the change after it.
// It retries on table.ErrUnknown and table.ErrRateLimited until the record is known to be durable or ctx ends: the key
// is unique, so a retry has no second effect.
func (l Log) Write(ctx context.Context, r Record) error {
	put, err := r.Put()
	if err != nil {
		return err
	}
	t := table.Transaction{Txn: ident.NewTxn(), Puts: []table.Put{put}}
	for {
		_, err := l.Store.Transact(ctx, t)
		if err == nil {
			return nil
		}
		if !errors.Is(err, table.ErrUnknown) && !errors.Is(err, table.ErrRateLimited) {
			return fmt.Errorf("write audit record: %w", err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("write audit record: %w", err)
		case <-time.After(retryPause):
		}
	}
}
