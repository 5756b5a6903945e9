package metric

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

const (
	prefix         = "trefoilramp"
	reportInterval = time.Second
)

// Set holds the metrics of a process and exposes them; it is safe for concurrent use.
type Set struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	entries map[Name]Entry
}

// New returns a set with its own registry, so that several roles can run in one process; log may be nil.
func New(log *zap.Logger) *Set {
	if log == nil {
		log = zap.NewNop()
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			event.Log(log, event.MetricRefused, zap.Error(err))
		},
	})
	s := &Set{handler: reporter.HTTPHandler(), entries: make(map[Name]Entry, len(catalogue))}
	for _, e := range catalogue {
		s.entries[e.Name] = e
	}
	// Without SanitizeOptions NewRootScope panics on the names of its own cardinality metrics.
	s.scope, s.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return s
}

// Handler returns the handler that serves the metrics in the text format of Prometheus.
func (s *Set) Handler() http.Handler { return s.handler }

// Close reports the metrics once more and stops reporting.
func (s *Set) Close() error {
	if err := s.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Counter returns the counter n; values are the tag values in the order of the catalogue.
func (s *Set) Counter(n Name, values ...string) tally.Counter {
	return s.tagged(n, Counter, values).Counter(string(n))
}

// Gauge returns the gauge n; values are the tag values in the order of the catalogue.
func (s *Set) Gauge(n Name, values ...string) tally.Gauge {
	return s.tagged(n, Gauge, values).Gauge(string(n))
}

// Histogram returns the histogram n of durations; values are the tag values in the order of the catalogue.
func (s *Set) Histogram(n Name, values ...string) tally.Histogram {
	return s.tagged(n, Histogram, values).Histogram(string(n), tally.DurationBuckets(bucketBounds))
}

// tagged returns the scope with the tags of n. It panics when the kind or the number of tags differs from the
// catalogue, which is a programming error.
func (s *Set) tagged(n Name, k Kind, values []string) tally.Scope {
	e, ok := s.entries[n]
	if !ok || e.Kind != k || len(e.Tags) != len(values) {
		panic(fmt.Sprintf("metric %s with %d tags is not a %v in the catalogue", n, len(values), k))
	}
	if len(values) == 0 {
		return s.scope
	}
	tags := make(map[string]string, len(values))
	for i, v := range values {
		tags[e.Tags[i]] = v
	}
	return s.scope.Tagged(tags)
}
