package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
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
	changesWait  = time.Second            // long poll of a request for changes
	storeTimeout = 600 * time.Millisecond // without a byte of a response, in addition to the long poll before the first
	watchRetry   = 120 * time.Millisecond // delay after a failure
	changesLag   = 10 * time.Second       // for which each request asks for changes again that were not received
	rereadAfter  = time.Minute            // between reads of the row itself, plus up to half of it
	rereadRetry  = 5 * time.Second        // delay after such a read failed
	maxGap       = 3 * time.Second        // after which many versions may have been missed, of which only the newest counts
	failureLog   = time.Second            // between log lines while requests fail
)

// RowSource watches the row that holds the operator's configuration of queues; it implements Source.
type RowSource struct {
	Store   rows.Store
	Ref     rows.Ref
	Decode  func([]byte) (queues.Document, error)
	Metrics *metric.Set
	Log     *zap.Logger

	readDue  time.Time // next read of the row itself
	lastAt   time.Time // end of the last successful request
	failures int       // since then
	loggedAt time.Time // last log line on a failure
	newest   uint64    // version of the newest document received
	received uint64    // version of the newest change received
	trail    []mark    // responses of the last changesLag and the last one before; empty if the position is not known
}

// mark is the version of the store at the time of a response.
type mark struct {
	version uint64
	at      time.Time
}

// Watch implements Source. The store may withhold changes for some time, so each request asks again for the changes of
// the last changesLag that were not received, and the row itself is read at long intervals. A failed request is repeated
// from the same position, so that a large document is transferred only when it has changed. After a longer gap the row is
// read, since the changes would include each version that was missed.
func (s *RowSource) Watch(ctx context.Context, apply func(queues.Document)) {
	for ctx.Err() == nil {
		began := time.Now()
		call, request := "changes", s.changes
		if len(s.trail) == 0 || began.After(s.readDue) {
			call, request = "read", s.read
		}
		err := request(ctx, apply)
		if ctx.Err() != nil {
			return
		}
		s.record(call, began, err)
		now := time.Now()
		if call == "changes" && (now.Sub(began) > maxGap || err != nil && now.Sub(s.lastAt) > maxGap) {
			s.trail = nil
		}
		if err != nil {
			pause.For(ctx, watchRetry)
			continue
		}
		s.lastAt = now
	}
}

// record counts a request, and logs failures at intervals.
func (s *RowSource) record(call string, began time.Time, err error) {
	if err == nil {
		s.failures = 0
		s.Metrics.Counter(metric.ConfigReads, call, "done").Inc(1)
		return
	}
	s.failures++
	s.Metrics.Counter(metric.ConfigReads, call, "failed").Inc(1)
	if now := time.Now(); s.failures == 1 || now.Sub(s.loggedAt) >= failureLog {
		s.loggedAt = now
		event.Log(s.Log, event.QueuesReadFailed, zap.String("Call", call), zap.Duration("Took", now.Sub(began)),
			zap.Int("Failures", s.failures), zap.Error(err))
	}
}

func (s *RowSource) read(ctx context.Context, apply func(queues.Document)) error {
	limited, cancel := stall.WithTimeout(ctx, storeTimeout, storeTimeout)
	defer cancel()
	began := time.Now()
	s.readDue = began.Add(rereadRetry)
	p, err := s.Store.Read(limited, s.Ref.One())
	if err != nil {
		return err
	}
	s.applyRows(p.Rows, apply)
	s.readDue = began.Add(rereadAfter + rand.N(rereadAfter/2))
	s.trail = []mark{{p.Version, began}}
	return nil
}

// changes reads the changes since the position, which is not known any more if the store no longer retains them.
func (s *RowSource) changes(ctx context.Context, apply func(queues.Document)) error {
	limited, cancel := stall.WithTimeout(ctx, changesWait+storeTimeout, storeTimeout)
	defer cancel()
	p, err := s.Store.Changes(limited, s.Ref.Table, max(s.received, s.trail[0].version), changesWait)
	if errors.Is(err, rows.ErrHistoryTruncated) {
		s.trail = nil
		return nil
	}
	if err != nil {
		return err
	}
	s.applyRows(p.Rows, apply)
	for _, r := range p.Rows {
		s.received = max(s.received, r.Version)
	}
	now := time.Now()
	s.trail = append(s.trail, mark{p.Version, now})
	for len(s.trail) > 1 && now.Sub(s.trail[1].at) >= changesLag {
		s.trail = s.trail[1:]
	}
	return nil
}

// applyRows calls apply with the configuration in the newest version of the watched row that can be decoded; list is in
// the order of versions.
func (s *RowSource) applyRows(list []rows.Row, apply func(queues.Document)) {
	for _, r := range slices.Backward(list) {
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
		return
	}
}
