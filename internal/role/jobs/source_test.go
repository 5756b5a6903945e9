package jobs_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/role/jobs"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

// observedStore counts the transfers of the configuration, and can withhold changes, refuse requests or lose history.
type observedStore struct {
	rows.Store
	mu        sync.Mutex
	transfers int
	decoded   int
	withheld  bool
	refused   bool
	truncated bool
}

func (s *observedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// observe counts the transfers in a page and returns the page that the watcher receives.
func (s *observedStore) observe(p rows.Page, err error, isFeed bool) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.refused:
		return rows.Page{}, rows.ErrNotDone
	case isFeed && s.truncated:
		return rows.Page{}, rows.ErrHistoryTruncated
	case isFeed && s.withheld:
		return rows.Page{Version: p.Version}, err
	}
	s.transfers += len(p.Rows)
	return p, err
}

func (s *observedStore) Read(ctx context.Context, span rows.Span) (rows.Page, error) {
	p, err := s.Store.Read(ctx, span)
	return s.observe(p, err, false)
}

func (s *observedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
	p, err := s.Store.Changes(ctx, table, after, wait)
	return s.observe(p, err, true)
}

// withSource runs f in virtual time while a source applies the configuration in s; version returns the one in force.
func withSource(t *testing.T, f func(s *observedStore, put func(version byte), version func() uint64)) {
	t.Helper()
	set := metric.New(nil) // its goroutine must not be part of the bubble
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		store := memory.New()
		put := func(version byte) { putConfig(t, store, version) }
		put(1)
		s := &observedStore{Store: store.Client("entry-1")}
		var mu sync.Mutex
		var current uint64
		source := &jobs.RowSource{
			Store: s, Ref: config, Metrics: set, Log: zap.NewNop(),
			Decode: func(b []byte) (queues.Document, error) {
				s.set(func() { s.decoded++ })
				return queues.Document{Version: uint64(b[0])}, nil
			},
		}
		wg.Go(func() {
			source.Watch(ctx, func(d queues.Document) {
				mu.Lock()
				defer mu.Unlock()
				current = d.Version
			})
		})
		f(s, put, func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return current
		})
	})
}

// Guards against a load on slow links that grows with the number of queues although the configuration has not changed:
// each entry transferred it every few seconds, and again after each failure of the store.
func TestUnchangedConfigurationIsNotTransferred(t *testing.T) {
	withSource(t, func(s *observedStore, _ func(byte), version func() uint64) {
		time.Sleep(20 * time.Second)
		for range 10 {
			s.set(func() { s.refused = true })
			time.Sleep(2 * time.Second)
			s.set(func() { s.refused = false })
			time.Sleep(2 * time.Second)
		}
		s.set(func() {
			if s.transfers > 2 {
				t.Errorf("%d transfers in a minute without a change, want at most 2", s.transfers)
			}
		})
		if v := version(); v != 1 {
			t.Errorf("version %d in force", v)
		}
	})
}

// Guards against a change that stays unknown after the store has withheld it from a request, lost its history or
// refused requests.
func TestMissedChangeIsFound(t *testing.T) {
	for _, test := range []struct {
		name string
		set  func(s *observedStore, on bool)
		last time.Duration // how long the fault lasts
		want time.Duration // after its end
	}{
		{"withheld", func(s *observedStore, on bool) { s.withheld = on }, 3 * time.Second, 1100 * time.Millisecond},
		{"withheld for long", func(s *observedStore, on bool) { s.withheld = on }, time.Minute, 90 * time.Second},
		{"refused", func(s *observedStore, on bool) { s.refused = on }, 30 * time.Second, 1100 * time.Millisecond},
		{"history lost", func(s *observedStore, on bool) { s.truncated = on }, 3 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSource(t, func(s *observedStore, put func(byte), version func() uint64) {
				time.Sleep(10 * time.Second)
				s.set(func() { test.set(s, true) })
				time.Sleep(100 * time.Millisecond)
				put(2)
				time.Sleep(test.last)
				s.set(func() { test.set(s, false) })
				time.Sleep(test.want)
				if v := version(); v != 2 {
					t.Errorf("version %d in force %v after the fault, want 2", v, test.want)
				}
			})
		})
	}
}

// Guards against the transfer of all versions of the configuration that an entry has missed, one after the other.
func TestOutageTransfersNewestVersionOnly(t *testing.T) {
	withSource(t, func(s *observedStore, put func(byte), version func() uint64) {
		time.Sleep(10 * time.Second)
		s.set(func() { s.refused = true })
		const newest = 20
		for v := byte(2); v <= newest; v++ {
			time.Sleep(500 * time.Millisecond)
			put(v)
		}
		var before int
		s.set(func() { s.refused, before = false, s.transfers })
		time.Sleep(1100 * time.Millisecond)
		s.set(func() {
			if n := s.transfers - before; n != 1 {
				t.Errorf("%d transfers after the outage, want 1", n)
			}
		})
		if v := version(); v != newest {
			t.Errorf("version %d in force, want %d", v, newest)
		}
	})
}

// Guards against the time for decoding versions of the configuration that a newer one in the same response replaces.
func TestNewestOfSeveralVersionsIsDecoded(t *testing.T) {
	withSource(t, func(s *observedStore, put func(byte), version func() uint64) {
		time.Sleep(10 * time.Second)
		s.set(func() { s.refused = true })
		const newest = 6
		for v := byte(2); v <= newest; v++ {
			put(v)
		}
		time.Sleep(time.Second)
		var before int
		s.set(func() { s.refused, before = false, s.decoded })
		time.Sleep(1100 * time.Millisecond)
		s.set(func() {
			if n := s.decoded - before; n != 1 {
				t.Errorf("%d documents decoded, want 1", n)
			}
		})
		if v := version(); v != newest {
			t.Errorf("version %d in force, want %d", v, newest)
		}
	})
}
