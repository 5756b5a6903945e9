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

// Bounds of the exponential backoff between repetitions of a transaction; each delay is random between half and all
// of the current bound.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = time.Second
)

// Resolve executes t and repeats it until its outcome is known. The row with key marker must be among the puts and
// the conditions of t, and its value must be an object whose field Txn is t.Txn. No other writer may replace the row
// between the commit of t and the return of Resolve. A repetition after a commit then conflicts on the marker row,
// which contains t.Txn, and Resolve reports that commit.
//
// Resolve returns ErrUnavailable, ErrRateLimited and ErrMalformed only if t has not taken effect and never will, and
// ErrUnknown if ctx ends before the outcome is known.
func Resolve(ctx context.Context, s Store, t Transaction, marker string) (Result, error) {
	if err := checkMarker(t, marker); err != nil {
		return Result{}, err
	}
	uncertain := false
	for delay := firstDelay; ; delay = min(2*delay, maxDelay) {
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
	return !errors.IsAny(err, ErrUnavailable, ErrRateLimited, ErrMalformed) || errors.Is(err, ErrUnknown)
}

// ownCommit returns the earlier commit of txn if res is a conflict with it, and res otherwise.
func ownCommit(res Result, txn ident.Txn, marker string) Result {
	for _, row := range res.Conflicts {
		if row.Key == marker && TxnOf(row) == txn {
			return Result{Committed: true, Version: row.Version}
		}
	}
	return res
}

// TxnOf returns the field Txn of a row's value, or an empty ID if there is none.
func TxnOf(row Row) ident.Txn {
	var v struct{ Txn ident.Txn }
	if json.Unmarshal(row.Value, &v) != nil {
		return ""
	}
	return v.Txn
}

// checkMarker returns an error if marker does not meet the requirements of Resolve.
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
