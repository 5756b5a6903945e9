package table

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// Errors of the store. ErrUnavailable and ErrRateLimited mean that a transaction has not taken effect and never will;
// ErrUnknown means that it may have taken effect or may still do so.
var (
	ErrUnavailable = errors.New("store is unavailable")
	ErrRateLimited = errors.New("store is over its budget of requests")
	ErrUnknown     = errors.New("outcome of the store request is unknown")
	ErrNotFound    = errors.New("not found in the store")
	ErrMalformed   = errors.New("store request is malformed")
)

// Row is a row of the table.
type Row struct {
	Key     string
	Value   json.RawMessage
	Version uint64 // sequence number of the transaction that wrote the row, from 1
}

// Condition requires that a row has the given version; version 0 requires that the row does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes a row.
type Put struct {
	Key   string
	Value json.RawMessage
}

// Transaction atomically writes and deletes rows if all conditions hold.
type Transaction struct {
	Txn        ident.Txn // for the use of the writer; the store does not deduplicate by it
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool
	Version   uint64 // version of the rows written, if committed; 0 if none was written
	Conflicts []Row  // current rows whose condition did not hold, if not committed; version 0 for a missing row
}

// Store is the platform's store.
type Store interface {
	// Transact executes t; a conflict is a Result that is not Committed, not an error.
	Transact(ctx context.Context, t Transaction) (Result, error)
	// Range returns at most limit rows with from <= key < to in key order; a limit of 0 means no limit.
	Range(ctx context.Context, from, to string, limit int) ([]Row, error)
	// GetObject returns an object or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object.
	PutObject(ctx context.Context, name string, b []byte) error
	// DeleteObject deletes an object; a missing object is not an error.
	DeleteObject(ctx context.Context, name string) error
}

// Get returns the row with the given key, or ErrNotFound.
func Get(ctx context.Context, s Store, key string) (Row, error) {
	rows, err := s.Range(ctx, key, key+"\x00", 1)
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 {
		return Row{}, ErrNotFound
	}
	return rows[0], nil
}
