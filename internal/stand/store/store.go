package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Kinds of calls in fault scripts.
const (
	KindTransact     = "Transact"
	KindRange        = "Range"
	KindGetObject    = "GetObject"
	KindPutObject    = "PutObject"
	KindDeleteObject = "DeleteObject"
)

// Options configures a store.
type Options struct {
	WritesPerSecond int           // rows and objects written or deleted; 0 for no limit
	ReadsPerSecond  int           // conditions, rows and objects read; 0 for no limit
	Latency         time.Duration // latency of each call without a fault
}

// Store is an in-memory table.Store. It is safe for concurrent use.
type Store struct {
	faults  script.Script
	writes  *bucket
	reads   *bucket
	latency time.Duration

	mu      sync.Mutex
	rows    rows
	objects map[string][]byte
}

var _ table.Store = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	return &Store{
		writes:  newBucket(o.WritesPerSecond),
		reads:   newBucket(o.ReadsPerSecond),
		latency: o.Latency,
		rows:    rows{byKey: make(map[string]table.Row)},
		objects: make(map[string][]byte),
	}
}

// Faults returns the store's fault script.
func (s *Store) Faults() *script.Script { return &s.faults }

// Writes returns the number of rows and objects written or deleted since the start.
func (s *Store) Writes() uint64 { return s.writes.total() }

// Reads returns the number of conditions, rows and objects read since the start.
func (s *Store) Reads() uint64 { return s.reads.total() }

// Client returns a view of the store whose calls match the fault rules of the client with that name.
func (s *Store) Client(name string) table.Store { return &view{s, name} }

// Transact implements table.Store.
func (s *Store) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	return s.Client("").Transact(ctx, t)
}

// Range implements table.Store; a limit of 0 means no limit.
func (s *Store) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	return s.Client("").Range(ctx, from, to, limit)
}

// GetObject implements table.Store.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	return s.Client("").GetObject(ctx, name)
}

// PutObject implements table.Store.
func (s *Store) PutObject(ctx context.Context, name string, b []byte) error {
	return s.Client("").PutObject(ctx, name, b)
}

// DeleteObject implements table.Store.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	return s.Client("").DeleteObject(ctx, name)
}

// view implements table.Store for one client.
type view struct {
	s      *Store
	client string
}

// Transact implements table.Store.
func (v *view) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	t, err := normalize(t)
	if err != nil {
		return table.Result{}, fmt.Errorf("%w: %w", table.ErrMalformed, err)
	}
	return call(ctx, v, KindTransact, table.ErrUnknown, func() (table.Result, error) { return v.s.transact(t) })
}

// Range implements table.Store.
func (v *view) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	return call(ctx, v, KindRange, table.ErrUnavailable, func() ([]table.Row, error) { return v.s.scan(from, to, limit) })
}

// GetObject implements table.Store.
func (v *view) GetObject(ctx context.Context, name string) ([]byte, error) {
	return call(ctx, v, KindGetObject, table.ErrUnavailable, func() ([]byte, error) { return v.s.getObject(name) })
}

// PutObject implements table.Store.
func (v *view) PutObject(ctx context.Context, name string, b []byte) error {
	b = slices.Clone(b)
	return v.writeObject(ctx, KindPutObject, func() { v.s.objects[name] = b })
}

// DeleteObject implements table.Store.
func (v *view) DeleteObject(ctx context.Context, name string) error {
	return v.writeObject(ctx, KindDeleteObject, func() { delete(v.s.objects, name) })
}

// writeObject runs apply with the lock held, at the cost of one write.
func (v *view) writeObject(ctx context.Context, kind string, apply func()) error {
	_, err := call(ctx, v, kind, table.ErrUnknown, func() (struct{}, error) {
		v.s.mu.Lock()
		defer v.s.mu.Unlock()
		if !v.s.writes.hasBalance() {
			return struct{}{}, table.ErrRateLimited
		}
		v.s.writes.spend(1)
		apply()
		return struct{}{}, nil
	})
	return err
}

// call runs effect under the fault script of the store. It returns an error that wraps lostErr if the response is lost
// or ctx ends first, and table.ErrUnavailable if the call is refused or ctx has ended before.
func call[T any](ctx context.Context, v *view, kind string, lostErr error, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%s: %w: %w", kind, table.ErrUnavailable, err)
	}
	f := v.s.faults.Next(kind, v.client)
	if f.Action == script.None && v.s.latency > 0 {
		f = script.Fault{Action: script.Slow, Delay: v.s.latency}
	}
	res, err := script.Run(ctx, f, effect)
	switch {
	case err == nil:
		return res, nil
	case errors.Is(err, script.ErrRefused):
		return zero, fmt.Errorf("%s: %w", kind, table.ErrUnavailable)
	case errors.Is(err, script.ErrRejected):
		return zero, fmt.Errorf("%s: %w", kind, table.ErrRateLimited)
	case errors.Is(err, script.ErrLost), ctx.Err() != nil:
		return zero, fmt.Errorf("%s: %w: %w", kind, lostErr, err)
	}
	return zero, fmt.Errorf("%s: %w", kind, err)
}

func (s *Store) transact(t table.Transaction) (table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := len(t.Puts) + len(t.Deletes)
	if (len(t.Conditions) > 0 && !s.reads.hasBalance()) || (changes > 0 && !s.writes.hasBalance()) {
		return table.Result{}, table.ErrRateLimited
	}
	s.reads.spend(len(t.Conditions))
	res := s.rows.transact(t)
	if res.Committed {
		s.writes.spend(changes)
	}
	return res, nil
}

func (s *Store) scan(from, to string, limit int) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reads.hasBalance() {
		return nil, table.ErrRateLimited
	}
	list := s.rows.scan(from, to, limit)
	s.reads.spend(max(1, len(list))) // an empty range also costs one read
	return list, nil
}

func (s *Store) getObject(name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reads.hasBalance() {
		return nil, table.ErrRateLimited
	}
	s.reads.spend(1)
	b, ok := s.objects[name]
	if !ok {
		return nil, table.ErrNotFound
	}
	return slices.Clone(b), nil
}
