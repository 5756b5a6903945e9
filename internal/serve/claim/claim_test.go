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

func newRegistry(t *testing.T, faults ...script.Action) (*claim.Registry, *store.Store) {
	t.Helper()
	s := store.New(store.Options{})
	setFaults(t, s, script.None, faults...)
	return claim.NewRegistry(s, "entry-1", 1, zap.NewNop(), nil), s
}

func acquire(t *testing.T, reg *claim.Registry, body string) (claim.Result, error) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	return reg.Acquire(ctx, "book", "k/1", claim.Fingerprint("POST", "/van", []byte(body)), ident.NewRequest(), deadline)
}

func wantOutcome(t *testing.T, step string, reg *claim.Registry, body string, outcome claim.Outcome) claim.Result {
	t.Helper()
	r, err := acquire(t, reg, body)
	if err != nil || r.Outcome != outcome {
		t.Errorf("%s: got outcome %d and error %v, want outcome %d", step, r.Outcome, err, outcome)
	}
	return r
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
			reg, s := newRegistry(t, faults...)
			first := wantOutcome(t, name, reg, "x", claim.Acquired)
			if first.Claim == nil {
				return
			}
			wantOutcome(t, name+", repeated", reg, "x", claim.InProgress)
			wantOutcome(t, name+", other content", reg, "y", claim.Mismatch)
			setFaults(t, s, script.None, script.Down, script.LoseLate, script.LoseBefore)
			if err := first.Claim.Record(t.Context(), claim.Response{Status: 201, Body: []byte("van 7")}); err != nil {
				t.Errorf("%s: record: %v", name, err)
			}
			r := wantOutcome(t, name+", recorded", reg, "x", claim.Replayed)
			if r.Response == nil || r.Response.Status != 201 || string(r.Response.Body) != "van 7" {
				t.Errorf("%s: recorded response is %+v", name, r.Response)
			}
			time.Sleep(time.Hour)
			wantOutcome(t, name+", an hour later", reg, "x", claim.Replayed)
		})
	}
}

// Guards against several entries running the request of a key when they claim it concurrently.
func TestConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s := newRegistry(t, script.LoseAfter, script.LoseLate, script.None, script.LoseBefore, script.LoseAfter)
		var mu sync.Mutex
		acquired := 0
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				reg := claim.NewRegistry(s, "entry", uint64(i), zap.NewNop(), nil)
				if r, err := acquire(t, reg, "x"); err == nil && r.Outcome == claim.Acquired {
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
		reg, s := newRegistry(t)
		setFaults(t, s, script.Down)
		start := time.Now()
		if _, err := acquire(t, reg, "x"); !errors.Is(err, claim.ErrStore) {
			t.Errorf("got %v, want ErrStore", err)
		}
		if d := time.Since(start); d > 200*time.Millisecond {
			t.Errorf("refusal took %v", d)
		}
		setFaults(t, s, script.Down, script.LoseAfter)
		if _, err := acquire(t, reg, "x"); !errors.Is(err, claim.ErrStore) {
			t.Errorf("got %v, want ErrStore", err)
		}
		setFaults(t, s, script.None)
		time.Sleep(time.Minute)
		wantOutcome(t, "after the cleanup", reg, "x", claim.Acquired)
	})
}

// Guards against a key that stays claimed although its request did not run, and against running a request again after
// its response was lost.
func TestReleaseAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg, s := newRegistry(t)
		r := wantOutcome(t, "first", reg, "x", claim.Acquired)
		setFaults(t, s, script.None, script.LoseAfter)
		released := make(chan error)
		go func() { released <- r.Claim.Release(t.Context()) }()
		time.Sleep(time.Millisecond) // the release has taken effect, its response has not arrived
		r = wantOutcome(t, "after release", reg, "x", claim.Acquired)
		if err := <-released; err != nil {
			t.Fatal(err)
		}
		wantOutcome(t, "after the repeated release", reg, "x", claim.InProgress)
		time.Sleep(time.Minute) // the claim expires, as after a crash of its entry
		wantOutcome(t, "after the claim has expired", reg, "x", claim.ResponseLost)
		if err := r.Claim.Record(t.Context(), claim.Response{Status: 200, Body: make([]byte, claim.MaxRecord+1)}); err != nil {
			t.Fatal(err)
		}
		if r := wantOutcome(t, "large response", reg, "x", claim.ResponseLost); !strings.Contains(r.Detail, "200") {
			t.Errorf("detail %q does not name the status", r.Detail)
		}
	})
}

// Guards against a claim without a request: its write had no response and was executed after the key had been claimed
// and released, so that every repeated request was refused.
func TestLateClaimAfterRelease(t *testing.T) {
	for name, other := range map[string]bool{"released by the same request": false, "released by another entry": true} {
		synctest.Test(t, func(t *testing.T) {
			reg, s := newRegistry(t)
			late := script.Rule{Action: script.LoseLate, Kind: store.KindTransact, Count: 1, Delay: script.Duration(5 * time.Second)}
			if err := s.Faults().Set(late); err != nil {
				t.Fatal(err)
			}
			holder := reg
			if other {
				go wantOutcome(t, name+", late", reg, "x", claim.InProgress)
				time.Sleep(time.Millisecond) // the first write has had no response, the second is not sent yet
				holder = claim.NewRegistry(s, "entry-2", 2, zap.NewNop(), nil)
			}
			r := wantOutcome(t, name, holder, "x", claim.Acquired)
			time.Sleep(time.Second)
			if err := r.Claim.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			wantOutcome(t, name+", repeated", reg, "y", claim.Acquired)
		})
	}
}
