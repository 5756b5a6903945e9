package table

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
)

// Backoff between repetitions of a transaction; each pause is drawn between half and the whole of its bound.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Resolve executes t and repeats it until its outcome is certain. The row with key marker must be among the puts and
// the conditions of t, its value must be an object whose field Txn is t.Txn, and no other writer may replace it once t
// has committed before the outcome is known. A repetition after a commit conflicts on the marker, which then holds
// t.Txn, and is reported as that commit.
//
// ErrUnavailable, ErrOverBudget and ErrMalformed are returned only when t has no effect now or later. ErrUnknown is
// returned when ctx ends first.
func Resolve(ctx context.Context, s Store, t Transaction, marker string) (Result, error) {
	if err := checkMarker(t, marker); err != nil {
		return Result{}, err
	}
	uncertain := false
	for delay := firstPause; ; delay = min(2*delay, maxPause) {
		res, err := s.Transact(ctx, t)
		if err == nil {
			return ownCommit(res, t.Txn, marker), nil
		}
		uncertain = uncertain || isUncertain(err)
		if !uncertain {
			return Result{}, err
		}
		if !pause.For(ctx, delay/2+rand.N(delay/2)) {
			return Result{}, fmt.Errorf("repeat transaction %s: %w: %w", t.Txn, ErrUnknown, err)
		}
	}
}

// isUncertain reports whether a transaction that failed with err may have taken effect or may still do so.
func isUncertain(err error) bool {
	return !errors.IsAny(err, ErrUnavailable, ErrOverBudget, ErrMalformed) || errors.Is(err, ErrUnknown)
}

// ownCommit turns the conflict of a repetition with its own earlier commit into that commit.
func ownCommit(res Result, txn ident.Txn, marker string) Result {
	for _, row := range res.Conflicts {
		if row.Key == marker && TxnOf(row) == txn {
			return Result{Committed: true, Version: row.Version}
		}
	}
	return res
}

// TxnOf returns the field Txn of a row's value, or an empty identity when there is none.
func TxnOf(row Row) ident.Txn {
	var v struct{ Txn ident.Txn }
	if json.Unmarshal(row.Value, &v) != nil {
		return ""
	}
	return v.Txn
}

func checkMarker(t Transaction, marker string) error {
	conditioned := false
	for _, c := range t.Conditions {
		conditioned = conditioned || c.Key == marker
	}
	for _, p := range t.Puts {
		if p.Key == marker && conditioned && t.Txn != "" && TxnOf(Row{Value: p.Value}) == t.Txn {
			return nil
		}
	}
	return fmt.Errorf("row %q does not carry transaction %q under a condition: %w", marker, t.Txn, ErrMalformed)
}
