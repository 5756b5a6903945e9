package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/front"
)

// unknownService is the tag for requests to undeclared services, so that callers cannot create metric tags.
const unknownService = "unknown"

const totalsInterval = 5 * time.Second

// withMetrics wraps h to count and time the requests of callers by service and outcome.
func (e *Entry) withMetrics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		service := e.serviceTag(r.URL.Path)
		defer func() {
			outcome := w.Header().Get(front.HeaderOutcome)
			if outcome == "" {
				outcome = "Refused" // malformed, or to an unknown service
			}
			e.metrics.Counter(metric.Requests, service, outcome).Inc(1)
			e.metrics.Histogram(metric.RequestSeconds, service).RecordDuration(time.Since(start))
		}()
		h.ServeHTTP(w, r)
	})
}

func (e *Entry) serviceTag(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	if _, ok := (services{e.holder}).Service(name); !ok {
		return unknownService
	}
	return name
}

// updateGauges updates the gauges periodically until ctx ends.
func (e *Entry) updateGauges(ctx context.Context) {
	pause.Every(ctx, summaryInterval, func() {
		e.metrics.Gauge(metric.ConfigVersion).Update(float64(e.holder.Version()))
		for _, z := range e.tracker.Zones() {
			e.metrics.Gauge(metric.ConfigLowest, string(z.Zone)).Update(float64(z.Lowest))
		}
		e.metrics.Gauge(metric.Sessions, "agent").Update(float64(len(e.directory.agentSessions())))
		e.metrics.Gauge(metric.Sessions, "entry").Update(float64(len(e.directory.peerSessions())))
		for name, l := range e.front.Loads() {
			e.metrics.Gauge(metric.InFlight, name).Update(float64(l.InFlight))
		}
		for name, n := range e.directory.readyTargets() {
			e.metrics.Gauge(metric.Targets, name).Update(float64(n))
		}
	})
}

// meteredStore counts and times the requests to a store.
type meteredStore struct {
	table.Store
	metrics *metric.Set
}

func (m meteredStore) record(call string, start time.Time, err error) {
	outcome := "Done"
	switch {
	case errors.Is(err, table.ErrNotFound):
		outcome = "NotFound"
	case errors.Is(err, table.ErrRateLimited):
		outcome = "OverBudget"
	case errors.Is(err, table.ErrUnknown):
		outcome = "Unknown"
	case err != nil:
		outcome = "Unavailable"
	}
	m.metrics.Counter(metric.StoreCalls, call, outcome).Inc(1)
	m.metrics.Histogram(metric.StoreSeconds, call).RecordDuration(time.Since(start))
}

// Transact implements table.Store.
func (m meteredStore) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	start := time.Now()
	res, err := m.Store.Transact(ctx, t)
	m.record("Transact", start, err)
	return res, err
}

// Range implements table.Store.
func (m meteredStore) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	start := time.Now()
	rows, err := m.Store.Range(ctx, from, to, limit)
	m.record("Range", start, err)
	return rows, err
}

// GetObject implements table.Store.
func (m meteredStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	start := time.Now()
	b, err := m.Store.GetObject(ctx, name)
	m.record("GetObject", start, err)
	return b, err
}

// PutObject implements table.Store.
func (m meteredStore) PutObject(ctx context.Context, name string, b []byte) error {
	start := time.Now()
	err := m.Store.PutObject(ctx, name, b)
	m.record("PutObject", start, err)
	return err
}

// DeleteObject implements table.Store.
func (m meteredStore) DeleteObject(ctx context.Context, name string) error {
	start := time.Now()
	err := m.Store.DeleteObject(ctx, name)
	m.record("DeleteObject", start, err)
	return err
}

// batchCounters counts the durable state changes of batch work; it implements owner.Observer.
type batchCounters struct{ metrics *metric.Set }

// TaskStarted implements owner.Observer.
func (b batchCounters) TaskStarted() { b.metrics.Counter(metric.TaskStarts).Inc(1) }

// TaskEnded implements owner.Observer.
func (b batchCounters) TaskEnded(s wire.TaskState) {
	b.metrics.Counter(metric.TaskEnds, s.String()).Inc(1)
	if s == wire.TaskEvicted {
		b.metrics.Counter(metric.Evictions).Inc(1)
	}
}

// PartitionTakenOver implements owner.Observer.
func (b batchCounters) PartitionTakenOver() { b.metrics.Counter(metric.Takeovers).Inc(1) }

// updateTaskGauges updates the gauges of batch work until ctx ends. Sums over all jobs cost more than the other gauges
// and are therefore computed less often.
func (e *Entry) updateTaskGauges(ctx context.Context) {
	pause.Every(ctx, totalsInterval, func() {
		readCtx, cancel := context.WithTimeout(ctx, totalsInterval)
		defer cancel()
		t := e.owner.Totals(readCtx)
		e.metrics.Gauge(metric.TasksQueued).Update(float64(t.Counts.Queued))
		e.metrics.Gauge(metric.TasksRunning).Update(float64(t.Counts.Running))
	})
}
