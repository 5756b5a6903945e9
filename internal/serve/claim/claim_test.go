package claim_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/claim"
)

// fault says what happens to one transaction.
type fault int

const (
	none       fault = iota
	down             // refused, no effect
	lostBefore       // unknown, no effect
	lostAfter        // unknown, took effect
	lostLate         // unknown, takes effect before the next transaction
)

// store is a table in memory; the n-th transaction meets the n-th fault, and rest applies after the list.
type store struct {
	table.Store
	mu      sync.Mutex
	rows    map[string]table.Row
	version uint64
	faults  []fault
	rest    fault
	late    *table.Transaction
}

func (s *store) Transact(_ context.Context, t table.Transaction) (table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late != nil {
		s.apply(*s.late)
		s.late = nil
	}
	f := s.rest
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	switch f {
	case down:
		return table.Result{}, table.ErrUnavailable
	case lostBefore:
		return table.Result{}, table.ErrUnknown
	case lostAfter:
		s.apply(t)
		return table.Result{}, table.ErrUnknown
	case lostLate:
		s.late = &t
		return table.Result{}, table.ErrUnknown
	}
	return s.apply(t), nil
}

func (s *store) apply(t table.Transaction) table.Result {
	var conflicts []table.Row
	for _, c := range t.Conditions {
		if r := s.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			conflicts = append(conflicts, r)
		}
	}
	if conflicts != nil {
		return table.Result{Conflicts: conflicts}
	}
	s.version++
	for _, p := range t.Puts {
		s.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, k := range t.Deletes {
		delete(s.rows, k)
	}
	return table.Result{Committed: true, Version: s.version}
}

// set replaces the faults that are left.
func (s *store) set(rest fault, faults ...fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.rest = faults, rest
}

func newBook(faults ...fault) (*claim.Book, *store) {
	s := &store{rows: make(map[string]table.Row), faults: faults}
	return claim.NewBook(s, "entry-1", 1, zap.NewNop(), nil), s
}

func acquire(t *testing.T, b *claim.Book, body string) (claim.Found, error) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	return b.Acquire(ctx, "book", "k/1", claim.Fingerprint("POST", "/van", []byte(body)), ident.NewRequest(), deadline)
}

func want(t *testing.T, step string, b *claim.Book, body string, outcome claim.Outcome) claim.Found {
	t.Helper()
	f, err := acquire(t, b, body)
	if err != nil || f.Outcome != outcome {
		t.Errorf("%s: got outcome %d and error %v, want outcome %d", step, f.Outcome, err, outcome)
	}
	return f
}

// Guards against a second run of a key, under each loss of a store response: the first request must get the claim in
// spite of the loss, and no other may get it before it is released.
func TestAtMostOnce(t *testing.T) {
	for name, faults := range map[string][]fault{
		"no fault":         nil,
		"lost before":      {lostBefore},
		"lost after":       {lostAfter},
		"lost late":        {lostLate},
		"lost, then down":  {lostAfter, down, down, down, down},
		"down, then lost":  {down, lostAfter},
		"lost three times": {lostAfter, lostBefore, lostAfter},
	} {
		synctest.Test(t, func(t *testing.T) {
			b, s := newBook(faults...)
			first := want(t, name, b, "x", claim.Acquired)
			if first.Claim == nil {
				return
			}
			want(t, name+", repeated", b, "x", claim.InProgress)
			want(t, name+", other content", b, "y", claim.Mismatch)
			s.set(none, down, lostLate, lostBefore)
			if err := first.Claim.Record(t.Context(), claim.Response{Status: 201, Body: []byte("van 7")}); err != nil {
				t.Errorf("%s: record: %v", name, err)
			}
			f := want(t, name+", recorded", b, "x", claim.Repeated)
			if f.Response == nil || f.Response.Status != 201 || string(f.Response.Body) != "van 7" {
				t.Errorf("%s: recorded response is %+v", name, f.Response)
			}
			time.Sleep(time.Hour)
			want(t, name+", an hour later", b, "x", claim.Repeated)
		})
	}
}

// Guards against two entries that both run a key when they claim it at the same time.
func TestConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s := newBook(lostAfter, lostLate, none, lostBefore, lostAfter)
		var mu sync.Mutex
		acquired := 0
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				b := claim.NewBook(s, "entry", uint64(i), zap.NewNop(), nil)
				if f, err := acquire(t, b, "x"); err == nil && f.Outcome == claim.Acquired {
					mu.Lock()
					acquired++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		if acquired != 1 {
			t.Errorf("%d requests acquired the same key, want 1", acquired)
		}
	})
}

// Guards against a request that runs although the store did not confirm its claim, against waiting for a store that is
// down, and against a claim left behind by a request that did not run.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := newBook()
		s.set(down)
		start := time.Now()
		if _, err := acquire(t, b, "x"); !errors.Is(err, claim.ErrStore) {
			t.Errorf("got %v, want ErrStore", err)
		}
		if d := time.Since(start); d > 200*time.Millisecond {
			t.Errorf("refusal took %v", d)
		}
		s.set(down, lostAfter)
		if _, err := acquire(t, b, "x"); !errors.Is(err, claim.ErrStore) {
			t.Errorf("got %v, want ErrStore", err)
		}
		s.set(none)
		time.Sleep(time.Minute)
		want(t, "after the clean-up", b, "x", claim.Acquired)
	})
}

// Guards against a key that stays blocked when its request did not run, and against a new run after one that was lost.
func TestReleaseAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := newBook()
		f := want(t, "first", b, "x", claim.Acquired)
		s.set(none, lostAfter)
		if err := f.Claim.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		f = want(t, "after release", b, "x", claim.Acquired)
		time.Sleep(time.Minute) // the holder died
		want(t, "after the holder's death", b, "x", claim.RunLost)
		if err := f.Claim.Record(t.Context(), claim.Response{Status: 200, Body: make([]byte, claim.MaxRecord+1)}); err != nil {
			t.Fatal(err)
		}
		if f := want(t, "large response", b, "x", claim.RunLost); !strings.Contains(f.Detail, "200") {
			t.Errorf("detail %q does not name the status", f.Detail)
		}
	})
}
