package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

const (
	changesWait     = time.Second            // long poll of a request for changes
	storeTimeout    = 600 * time.Millisecond // without a byte of a response, in addition to the long poll before the first
	watchRetry      = 120 * time.Millisecond // delay after a failure
	requestsPerRead = 5                      // requests per read of the row; the other requests read its changes
)

// RowSource watches the row that holds the operator's configuration of queues; it implements Source.
type RowSource struct {
	Store   rows.Store
	Ref     rows.Ref
	Decode  func([]byte) (queues.Document, error)
	Metrics *metric.Set
	Log     *zap.Logger

	newest uint64 // version of the newest row read
}

// Watch implements Source. In addition to the feed of changes it reads the row itself at intervals, since the store may
// withhold changes.
func (s *RowSource) Watch(ctx context.Context, apply func(queues.Document)) {
	var after uint64
	for n := 0; ctx.Err() == nil; n++ {
		var err error
		began, call := time.Now(), "changes"
		if after == 0 || n%requestsPerRead == 0 {
			call = "read"
			after, err = s.read(ctx, apply)
		} else {
			after, err = s.changes(ctx, after, apply)
		}
		if ctx.Err() != nil {
			return
		}
		s.record(call, began, err)
		if err != nil {
			after = 0
			pause.For(ctx, watchRetry)
		}
	}
}

// record counts a request and logs a failed one.
func (s *RowSource) record(call string, began time.Time, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
		event.Log(s.Log, event.QueuesReadFailed, zap.String("Call", call), zap.Duration("Took", time.Since(began)), zap.Error(err))
	}
	s.Metrics.Counter(metric.ConfigReads, call, outcome).Inc(1)
}

func (s *RowSource) read(ctx context.Context, apply func(queues.Document)) (uint64, error) {
	limited, cancel := stall.WithTimeout(ctx, storeTimeout, storeTimeout)
	defer cancel()
	p, err := s.Store.Read(limited, s.Ref.One())
	if err != nil {
		return 0, err
	}
	s.applyRows(p.Rows, apply)
	return p.Version, nil
}

func (s *RowSource) changes(ctx context.Context, after uint64, apply func(queues.Document)) (uint64, error) {
	limited, cancel := stall.WithTimeout(ctx, changesWait+storeTimeout, storeTimeout)
	defer cancel()
	p, err := s.Store.Changes(limited, s.Ref.Table, after, changesWait)
	if errors.Is(err, rows.ErrHistoryTruncated) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s.applyRows(p.Rows, apply)
	return max(after, p.Version), nil
}

// applyRows calls apply with the configuration in the watched row, and skips one that cannot be decoded.
func (s *RowSource) applyRows(list []rows.Row, apply func(queues.Document)) {
	for _, r := range list {
		if r.Ref != s.Ref || r.Removed {
			continue
		}
		began := time.Now()
		d, err := s.Decode(r.Value)
		if err != nil {
			event.Log(s.Log, event.QueuesRefused, zap.Uint64("RowVersion", r.Version), zap.Error(err))
			continue
		}
		if r.Version > s.newest {
			s.newest = r.Version
			event.Log(s.Log, event.QueuesRead, zap.Uint64("Version", d.Version), zap.Uint64("RowVersion", r.Version),
				zap.Int("Bytes", len(r.Value)), zap.Duration("Decoding", time.Since(began)))
		}
		apply(d)
	}
}
