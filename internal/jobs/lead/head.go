package lead

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// errDeposed is returned when another entry has taken over the cell.
var errDeposed = errors.New("another entry leads the cell")

const (
	retryPause  = 50 * time.Millisecond   // between attempts of a write
	readTimeout = 1500 * time.Millisecond // of a read of the head row and a deletion of job rows; without progress, of other reads
)

// ReadHead returns the head row of a cell and its version, which is 0 if there is no row. It returns an error if the
// row cannot be read within 1.5 s or decoded.
func ReadHead(ctx context.Context, st rows.Store, cell string) (rows.Head, uint64, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := st.Read(limited, rows.HeadRef(cell).One())
	if err != nil {
		return rows.Head{}, 0, fmt.Errorf("read head row: %w", err)
	}
	if len(p.Rows) == 0 {
		return rows.Head{}, 0, nil
	}
	var h rows.Head
	if err := rows.Decode(p.Rows[0], &h); err != nil {
		return rows.Head{}, 0, err
	}
	return h, p.Rows[0].Version, nil
}

// headWriter writes the head row of a cell together with other rows, one change at a time.
type headWriter struct {
	store      rows.Store
	hedgeDelay func() time.Duration // wait for a reply before the write is sent a second time
	cell       string
	head       rows.Head
	version    uint64 // of the head row
}

// write applies puts and deletes on condition that the head row has not changed, and returns when the first attempt of
// the successful write began. It repeats the same write until the outcome is known. It returns errDeposed if another
// entry has changed the head row.
func (w *headWriter) write(ctx context.Context, puts []rows.Row, deletes []rows.Ref) (time.Time, error) {
	next := w.head
	next.Write++
	value, err := rows.Encode(next)
	if err != nil {
		return time.Time{}, err
	}
	ref := rows.HeadRef(w.cell)
	c := rows.Change{
		Conditions: []rows.Condition{{Ref: ref, Version: w.version}},
		Puts:       append([]rows.Row{{Ref: ref, Value: value}}, puts...),
		Deletes:    deletes,
	}
	for {
		res := rows.Hedge(ctx, w.hedgeDelay(), func(ctx context.Context) (rows.Outcome, error) {
			return w.store.Change(ctx, c)
		})
		switch {
		case ctx.Err() != nil:
			return time.Time{}, fmt.Errorf("write head row: %w", ctx.Err())
		case res.Err != nil:
			pause.For(ctx, retryPause)
			continue
		case res.Value.Applied:
			w.head, w.version = next, res.Value.Version
			return res.Began, nil
		}
		return res.Began, w.resolveConflict(next, res.Value)
	}
}

// resolveConflict checks after a conflict whether an earlier attempt of the same write was applied, and returns
// errDeposed if not.
func (w *headWriter) resolveConflict(next rows.Head, out rows.Outcome) error {
	for _, r := range out.Conflicts {
		if r.Ref != rows.HeadRef(w.cell) {
			continue
		}
		var h rows.Head
		if err := rows.Decode(r, &h); err != nil {
			return err
		}
		if h == next {
			w.head, w.version = next, r.Version
			return nil
		}
	}
	return errDeposed
}
