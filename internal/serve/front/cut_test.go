package front_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/serve/front"
)

var zapNop = zap.NewNop()

// Guards against reporting NotRun for a request that ran, failing a request that could be retried, and forwarding a
// truncated response as complete. The session is cut after every third byte of a request, in either direction, which
// covers cuts before, inside and after each frame. A non-idempotent request has one target, an idempotent one has two.
func TestCutAtEachFrame(t *testing.T) {
	cut, intact := newPeer(t, 64, echo), newPeer(t, 64, echo)
	single, double := newFixture(t, nil, cut), newFixture(t, nil, cut, intact)
	body := bytes.Repeat([]byte("cut"), 100)
	seen := make(map[string]int)
	for _, direction := range []string{"out", "in"} {
		for offset, complete := int64(0), 0; complete < 20; offset += 3 {
			out, in := offset, int64(noCut)
			if direction == "in" {
				out, in = noCut, offset
			}
			for method, f := range map[string]*fixture{"POST": single, "PUT": double} {
				cut.close()
				cut.connect(t, out, in)
				f.restart()
				id := fmt.Sprintf("%s-%s-%d", direction, method, offset)
				r := f.do(method, "/services/book/x", body, "X-Id", id)
				waitFor(t, "the end of the request at the agent", func() bool { return cut.server.InProgress() == 0 })
				seen[method+r.outcome]++
				switch {
				case r.err != nil:
					t.Errorf("%s: %v", id, r.err)
				case r.outcome == string(front.Complete):
					if string(r.body) != id+":"+string(body) {
						t.Errorf("%s: body %q is not the response", id, r.body)
					}
					if method == "POST" {
						complete++
					}
				case r.outcome == string(front.NotRun) && cut.ran(id)+intact.ran(id) > 0:
					t.Errorf("%s: NotRun, but the request ran", id)
				case method == "PUT":
					t.Errorf("%s: idempotent request got %s although another target is ready", id, r.outcome)
				}
				if method == "POST" && cut.ran(id) > 1 {
					t.Errorf("%s: non-idempotent request ran %d times", id, cut.ran(id))
				}
			}
		}
	}
	for _, k := range []string{"POSTComplete", "POSTNotRun", "POSTUnknown", "PUTComplete"} {
		if seen[k] == 0 {
			t.Errorf("no request got %s; outcomes were %v", k, seen)
		}
	}
}

// Guards against a streamed response that is cut without an error at the caller.
func TestCutOfStreamedResponse(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789"), 60_000)
	p := newPeer(t, 64, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(big) })
	f := newFixture(t, nil, p)
	broken := 0
	for offset := int64(100); offset < 700_000; offset += 23_456 {
		p.close()
		p.connect(t, noCut, offset)
		f.restart()
		r := f.do("POST", "/services/book/x", nil)
		switch {
		case r.err != nil:
			broken++
		case r.status == 200 && !bytes.Equal(r.body, big):
			t.Errorf("cut after %d bytes: %d of %d bytes were forwarded as complete", offset, len(r.body), len(big))
		}
	}
	if broken == 0 {
		t.Error("no response was cut after its status line")
	}
}

// Guards against responses that are lost, sent to the wrong caller or changed under load, and against slots or memory
// that are not released.
func TestTenThousandConcurrent(t *testing.T) {
	const count = 10_000
	f := newFixture(t, nil, newPeer(t, 100, echo), newPeer(t, 100, echo), newPeer(t, 100, echo))
	f.service.ShortPerSlot = count
	// Admission must not refuse any request here, even if a busy machine or the race detector raises estimated run times.
	f.service.DefaultDeadline, f.service.MaxDeadline = time.Hour, time.Hour
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range count {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 2))
			body := make([]byte, rng.IntN(1<<uint(rng.IntN(17))))
			for j := range body {
				body[j] = byte(rng.Uint32())
			}
			id := fmt.Sprint("c", i)
			r := httptest.NewRequestWithContext(t.Context(), "PUT", "/services/book/x", bytes.NewReader(body))
			r.Header.Set("X-Id", id)
			rec := httptest.NewRecorder()
			f.front.Load().ServeHTTP(rec, r)
			outcome := rec.Header().Get(front.HeaderOutcome)
			if outcome == string(front.Complete) && !bytes.Equal(rec.Body.Bytes(), append([]byte(id+":"), body...)) {
				t.Errorf("%s: response of %d bytes differs from the request of %d bytes", id, rec.Body.Len(), len(body))
			}
			mu.Lock()
			defer mu.Unlock()
			if outcome != string(front.Complete) {
				outcome = rec.Body.String()
			}
			outcomes[outcome]++
		})
	}
	wg.Wait()
	if outcomes[string(front.Complete)] != count {
		t.Errorf("outcomes were %v, want %d Complete", outcomes, count)
	}
	if l := f.front.Load().Loads()["book"]; l.InFlight != 0 || l.Queued != 0 {
		t.Errorf("load at the end is %+v", l)
	}
}
