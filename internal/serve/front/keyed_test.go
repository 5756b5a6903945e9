package front_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/serve/front"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// Guards against running a request twice when its key is sent through two entries at the same time, with and without
// lost responses of the store, against a repeated request that gets a different response, and against NotRun as the
// outcome of a key whose request is running.
func TestConcurrentRepeats(t *testing.T) {
	for name, rules := range map[string][]script.Rule{
		"no fault":   nil,
		"lost after": {{Action: script.LoseAfter, Kind: store.KindTransact, Count: 2}},
		"lost late":  {{Action: script.LoseLate, Kind: store.KindTransact, Count: 1, Delay: script.Duration(20 * time.Millisecond)}},
	} {
		st := store.New(store.Options{})
		if err := st.Faults().Set(rules...); err != nil {
			t.Fatal(err)
		}
		p := newPeer(t, 8, echo)
		entries := []*fixture{newFixture(t, st, p), newFixture(t, st, p)}
		send := func(i int, body string) reply {
			return entries[i%2].do("POST", "/services/book/a", []byte(body), "X-Id", "van", front.HeaderIdempotencyKey, `"k1"`)
		}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				switch r := send(i, "seven"); {
				case r.status == 409 && r.outcome == string(front.Unknown):
				case r.status != 200 || string(r.body) != "van:seven":
					t.Errorf("%s: got %d %s %q", name, r.status, r.outcome, r.body)
				}
			})
		}
		wg.Wait()
		r := send(1, "seven")
		r.want(t, name+", repeated", 200, front.Complete)
		if string(r.body) != "van:seven" {
			t.Errorf("%s: recorded response is %q", name, r.body)
		}
		send(0, "eight").want(t, name+", other content", 422, front.NotRun)
		if n := p.ran("van"); n != 1 {
			t.Errorf("%s: the request ran %d times", name, n)
		}
	}
}

// Guards against running a request with a key but without a claim, blocking a key although the request did not run, and
// running a request again after an unknown outcome.
func TestClaimFollowsOutcome(t *testing.T) {
	st := store.New(store.Options{})
	var broken atomic.Bool
	p := newPeer(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if broken.Load() {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	})
	f := newFixture(t, st, p)
	send := func(key string) reply {
		return f.do("POST", "/services/book/a", []byte("x"), "X-Id", key, front.HeaderIdempotencyKey, key)
	}
	if err := st.Faults().Set(script.Rule{Action: script.Down}); err != nil {
		t.Fatal(err)
	}
	send("down").want(t, "store down", 503, front.NotRun)
	st.Faults().Clear()
	if p.ran("down") != 0 {
		t.Error("a request ran without a claim")
	}
	send("down").want(t, "store back", 200, front.Complete)
	release, _ := p.Reserve(sizes.Resources{Slots: 8})
	send("full").want(t, "no slot", 503, front.NotRun)
	release()
	send("full").want(t, "slots are free again", 200, front.Complete)
	broken.Store(true)
	send("lost").want(t, "target broke off", 504, front.Unknown)
	broken.Store(false)
	send("lost").want(t, "repeat of a lost run", 504, front.Unknown)
	if n := p.ran("lost"); n != 1 {
		t.Errorf("a lost request ran %d times", n)
	}
}
