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
	"trefoilramp.org/trefoilramp/internal/serve/claim"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// setFaults injects the faults into successive store transactions, and the action after into all later ones.
func setFaults(t *testing.T, s *store.Store, after script.Action, faults ...script.Action) {
	t.Helper()
	var rules []script.Rule
	for i, f := range faults {
		if f != script.None {
			rules = append(rules, script.Rule{Action: f, Kind: store.KindTransact, First: int64(i + 1), Count: 1, Delay: delay})
		}
	}
	if after != script.None {
		rules = append(rules, script.Rule{Action: after, Kind: store.KindTransact, First: int64(len(faults) + 1)})
	}
	if err := s.Faults().Set(rules...); err != nil {
		t.Fatal(err)
	}
}

// delay applies to lost responses and late effects.
const delay = script.Duration(5 * time.Millisecond)

func newBook(t *testing.T, faults ...script.Action) (*claim.Book, *store.Store) {
	t.Helper()
	s := store.New(store.Options{})
	setFaults(t, s, script.None, faults...)
	return claim.NewBook(s, "entry-1", 1, zap.NewNop(), nil), s
}

func acquire(t *testing.T, b *claim.Book, body string) (claim.Found, error) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	return b.Acquire(ctx, "book", "k/1", claim.Fingerprint("POST", "/van", []byte(body)), ident.NewRequest(), deadline)
}

func wantOutcome(t *testing.T, step string, b *claim.Book, body string, outcome claim.Outcome) claim.Found {
	t.Helper()
	f, err := acquire(t, b, body)
	if err != nil || f.Outcome != outcome {
		t.Errorf("%s: got outcome %d and error %v, want outcome %d", step, f.Outcome, err, outcome)
	}
	return f
}

// Guards against running the request of a key twice when store responses are lost: the first request must acquire the
// claim in spite of the loss, and no other request may acquire it before its release.
func TestAtMostOnce(t *testing.T) {
	for name, faults := range map[string][]script.Action{
		"no fault":         nil,
		"lost before":      {script.LoseBefore},
		"lost after":       {script.LoseAfter},
		"lost late":        {script.LoseLate},
		"lost, then down":  {script.LoseAfter, script.Down, script.Down, script.Down, script.Down},
		"down, then lost":  {script.Down, script.LoseAfter},
		"lost three times": {script.LoseAfter, script.LoseBefore, script.LoseAfter},
	} {
		synctest.Test(t, func(t *testing.T) {
			b, s := newBook(t, faults...)
			first := wantOutcome(t, name, b, "x", claim.Acquired)
			if first.Claim == nil {
				return
			}
			wantOutcome(t, name+", repeated", b, "x", claim.InProgress)
			wantOutcome(t, name+", other content", b, "y", claim.Mismatch)
			setFaults(t, s, script.None, script.Down, script.LoseLate, script.LoseBefore)
			if err := first.Claim.Record(t.Context(), claim.Response{Status: 201, Body: []byte("van 7")}); err != nil {
				t.Errorf("%s: record: %v", name, err)
			}
			f := wantOutcome(t, name+", recorded", b, "x", claim.Repeated)
			if f.Response == nil || f.Response.Status != 201 || string(f.Response.Body) != "van 7" {
				t.Errorf("%s: recorded response is %+v", name, f.Response)
			}
			time.Sleep(time.Hour)
			wantOutcome(t, name+", an hour later", b, "x", claim.Repeated)
		})
	}
}

// Guards against several entries running the request of a key when they claim it concurrently.
func TestConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s := newBook(t, script.LoseAfter, script.LoseLate, script.None, script.LoseBefore, script.LoseAfter)
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

// Guards against running a request although the store did not confirm its claim, against waiting for a store that is
// down, and against a claim left behind by a request that did not run.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := newBook(t)
		setFaults(t, s, script.Down)
		start := time.Now()
		if _, err := acquire(t, b, "x"); !errors.Is(err, claim.ErrStore) {
			t.Errorf("got %v, want ErrStore", err)
		}
		if d := time.Since(start); d > 200*time.Millisecond {
			t.Errorf("refusal took %v", d)
		}
		setFaults(t, s, script.Down, script.LoseAfter)
		if _, err := acquire(t, b, "x"); !errors.Is(err, claim.ErrStore) {
			t.Errorf("got %v, want ErrStore", err)
		}
		setFaults(t, s, script.None)
		time.Sleep(time.Minute)
		wantOutcome(t, "after the cleanup", b, "x", claim.Acquired)
	})
}

// Guards against a key that stays claimed although its request did not run, and against running a request again after
// its response was lost.
func TestReleaseAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := newBook(t)
		f := wantOutcome(t, "first", b, "x", claim.Acquired)
		setFaults(t, s, script.None, script.LoseAfter)
		released := make(chan error)
		go func() { released <- f.Claim.Release(t.Context()) }()
		time.Sleep(time.Millisecond) // the release has taken effect, its response has not arrived
		f = wantOutcome(t, "after release", b, "x", claim.Acquired)
		if err := <-released; err != nil {
			t.Fatal(err)
		}
		wantOutcome(t, "after the repeated release", b, "x", claim.InProgress)
		time.Sleep(time.Minute) // the claim expires, as after a crash of its entry
		wantOutcome(t, "after the claim has expired", b, "x", claim.RunLost)
		if err := f.Claim.Record(t.Context(), claim.Response{Status: 200, Body: make([]byte, claim.MaxRecord+1)}); err != nil {
			t.Fatal(err)
		}
		if f := wantOutcome(t, "large response", b, "x", claim.RunLost); !strings.Contains(f.Detail, "200") {
			t.Errorf("detail %q does not name the status", f.Detail)
		}
	})
}
