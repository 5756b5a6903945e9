package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

// agent is a relay server with one target, connected to an entry through a real session.
type agent struct {
	server  *relay.Server
	session *sess.Session // of the entry
	address string        // of the target
	slots   int64         // of the target; 0 means no limit

	mu   sync.Mutex
	free sizes.Resources
	ran  []string // requests that reached the target
}

func (a *agent) Reserve(need sizes.Resources) (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !need.Fits(a.free) {
		return nil, false
	}
	a.free = a.free.Minus(need)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.free = a.free.Plus(need)
	}, true
}

func (a *agent) available() sizes.Resources {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.free
}

func (a *agent) Lookup(service, _ string) (relay.Target, bool) {
	return relay.Target{Name: "t1", Address: a.address, Slots: a.slots}, service == "book"
}

func (a *agent) LongSlots(string) int64 { return 1 }

func (a *agent) HandleMessage(*sess.Session, wire.Message)     {}
func (a *agent) HandleStream(s *sess.Session, st *sess.Stream) { a.server.Serve(s, st) }
func (a *agent) HandleClosed(*sess.Session, error)             {}

var capacity = sizes.Resources{Slots: 2, Connections: 3}

func newAgent(t *testing.T, target http.HandlerFunc) *agent {
	t.Helper()
	a := &agent{free: capacity}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.ran = append(a.ran, r.Method+" "+r.RequestURI)
		a.mu.Unlock()
		target(w, r)
	}))
	t.Cleanup(srv.Close)
	a.address = srv.Listener.Addr().String()
	a.server = relay.New(relay.Config{Ledger: a, Targets: a, Limits: a})
	x, y := net.Pipe()
	cfg := func(name string, role wire.Role) sess.Config {
		return sess.Config{Self: wire.Hello{Name: name, Role: role, Incarnation: "1"}, Key: []byte("key")}
	}
	go func() { _, _ = sess.Accept(t.Context(), x, cfg("e1", wire.RoleEntry), a) }()
	s, err := sess.Connect(t.Context(), y, cfg("w1", wire.RoleAgent), a)
	if err != nil {
		t.Fatal(err)
	}
	a.session = s
	t.Cleanup(func() {
		s.Close(nil)
		s.Wait()
		// Handlers on the agent's side may end after the entry's side of the session is closed.
		waitFor(t, "the release of all resources", func() bool {
			return a.available() == capacity && a.server.InProgress() == 0
		})
	})
	return a
}

func head(method, path string, h http.Header) *wire.RequestHead {
	return &wire.RequestHead{Service: "book", Method: method, Path: path, Host: "book.example", Header: h,
		Deadline: time.Now().Add(5 * time.Second).UnixNano()}
}

// open sends a request and returns the first message of the response.
func (a *agent) open(t *testing.T, h *wire.RequestHead, body string) (*sess.Stream, wire.Message) {
	t.Helper()
	st, err := a.session.Open(t.Context(), h)
	if err != nil {
		t.Fatal(err)
	}
	if body != "" {
		_, _ = st.Write([]byte(body)) // the response shows whether it failed
	}
	if h.ContentLength >= 0 {
		_ = st.CloseWrite()
	}
	m, err := st.Receive(t.Context())
	if err != nil {
		t.Fatalf("%s %s: %v", h.Method, h.Path, err)
	}
	return st, m
}

func (a *agent) wantNotRun(t *testing.T, name string, h *wire.RequestHead, reason wire.Reason) {
	t.Helper()
	st, m := a.open(t, h, "")
	defer st.Reset("done")
	v, ok := m.(*wire.Verdict)
	if !ok || !v.NotRun || v.Reason != reason {
		t.Errorf("%s: got %+v, want NotRun for %v", name, m, reason)
	}
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// Guards against refusing a request after the target has run it, and against reporting NotRun for a request that ran.
func TestRefusalsComeBeforeTheTarget(t *testing.T) {
	a := newAgent(t, echo)
	late := head("GET", "/late", nil)
	late.Deadline = time.Now().Add(-time.Second).UnixNano()
	a.wantNotRun(t, "deadline", late, wire.ReasonDeadline)
	other := head("GET", "/other", nil)
	other.Service = "other"
	a.wantNotRun(t, "no target", other, wire.ReasonNoTarget)
	for name, need := range map[string]sizes.Resources{"slots": {Slots: 2}, "connections": {Connections: 3}} {
		release, _ := a.Reserve(need)
		a.wantNotRun(t, name, head("GET", "/full", nil), wire.ReasonOverloaded)
		release()
	}
	address := a.address
	a.address = "127.0.0.1:1" // no process listens there
	a.wantNotRun(t, "refused connection", head("POST", "/refused", nil), wire.ReasonUnreachable)
	a.address = address
	a.server.StopAccepting()
	a.wantNotRun(t, "leaving", head("GET", "/leaving", nil), wire.ReasonLeaving)
	if len(a.ran) > 0 {
		t.Errorf("refused requests reached the target: %v", a.ran)
	}
}

// Guards against sending a target more concurrent requests than its slots while its worker has free slots.
func TestTargetSlots(t *testing.T) {
	release := make(chan struct{})
	a := newAgent(t, func(http.ResponseWriter, *http.Request) { <-release })
	a.slots = 1
	first, err := a.session.Open(t.Context(), head("GET", "/1", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = first.CloseWrite() // the response shows whether it failed
	for a.server.InFlight("t1") == 0 {
		time.Sleep(time.Millisecond)
	}
	a.wantNotRun(t, "second request", head("GET", "/2", nil), wire.ReasonOverloaded)
	close(release)
	if m, err := first.Receive(t.Context()); err != nil || m.Kind() != wire.KindResponseHead {
		t.Errorf("first request got %v and %v", m, err)
	}
	if got := a.available(); got.Slots > capacity.Slots {
		t.Errorf("%d slots are free of %d", got.Slots, capacity.Slots)
	}
}

// Guards against long requests that occupy the slots reserved for short requests on a worker.
func TestLongSlots(t *testing.T) {
	release := make(chan struct{})
	a := newAgent(t, func(_ http.ResponseWriter, _ *http.Request) { <-release })
	long := head("GET", "/long", nil)
	long.Long = true
	st, err := a.session.Open(t.Context(), long)
	if err != nil {
		t.Fatal(err)
	}
	_ = st.CloseWrite()
	waitFor(t, "the slot of the first request", func() bool { return a.available().Slots == 1 })
	again := *long
	a.wantNotRun(t, "second long", &again, wire.ReasonOverloaded)
	close(release)
	if m, err := st.Receive(t.Context()); err != nil {
		t.Errorf("first long request: %v, %v", m, err)
	}
	st.Reset("done")
}

// Guards against net/http resending a request on another connection. It would do so when a reused connection fails: the
// target responds to one request, then reads the next one and closes the connection.
func TestNonIdempotentIsNotResent(t *testing.T) {
	a := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			return
		}
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.Close()
		}
	})
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/empty", ""}, {"POST", "/body", "x"}, {"GET", "/get", ""},
	} {
		st, _ := a.open(t, head("GET", "/first", nil), "")
		_, _ = io.Copy(io.Discard, st)
		h := head(c.method, c.path, http.Header{"Idempotency-Key": {"k"}})
		h.ContentLength = int64(len(c.body))
		st, m := a.open(t, h, c.body)
		if v, ok := m.(*wire.Verdict); !ok || v.NotRun {
			t.Errorf("%s %s: got %+v, want Unknown", c.method, c.path, m)
		}
		st.Reset("done")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	want := []string{"GET /first", "POST /empty", "GET /first", "POST /body", "GET /first", "GET /get"}
	if diff := cmp.Diff(want, a.ran); diff != "" {
		t.Errorf("requests at the target (-want +got):\n%s", diff)
	}
}

// Guards against forwarding hop-by-hop fields, losing trailers or informational responses, and releasing slots only
// after the entry may use them again.
func TestForwarding(t *testing.T) {
	var got http.Header
	var trailer http.Header
	a := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, trailer = r.Header, r.Trailer
		w.Header().Set("Link", "</style>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "s")
		w.Header().Set("Trailer", "X-Sum")
		_, _ = w.Write(b)
		w.Header().Set("X-Sum", "7")
	})
	h := head("PUT", "/a%2Fb?q=1", http.Header{"X-A": {"1", "2"}, "Te": {"trailers"}})
	h.Trailer, h.ContentLength = []string{"X-Check"}, -1
	st, err := a.session.Open(t.Context(), h)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = st.Write([]byte("body"))
	_ = st.Send(t.Context(), &wire.Trailers{Header: http.Header{"X-Check": {"ok"}}})
	_ = st.CloseWrite()
	early, _ := st.Receive(t.Context())
	if m, ok := early.(*wire.ResponseHead); !ok || m.Status != 103 || m.Header.Get("Link") == "" {
		t.Errorf("informational response is %+v", early)
	}
	final, _ := st.Receive(t.Context())
	m, ok := final.(*wire.ResponseHead)
	if !ok || m.Status != 200 || m.Header.Get("X-Secret") != "" || m.Header.Get("Connection") != "" {
		t.Errorf("response head is %+v", final)
	}
	if b, err := io.ReadAll(st); string(b) != "body" || err != nil {
		t.Errorf("body is %q, %v", b, err)
	}
	last, _ := st.Receive(t.Context())
	if tr, ok := last.(*wire.Trailers); !ok || tr.Header.Get("X-Sum") != "7" {
		t.Errorf("trailers are %+v", last)
	}
	if free := a.available(); free != capacity {
		t.Errorf("at the end of the response %+v of %+v are free", free, capacity)
	}
	if trailer.Get("X-Check") != "ok" || len(got["X-A"]) != 2 || got.Get("User-Agent") != "" {
		t.Errorf("target got header %v and trailers %v", got, trailer)
	}
	if a.ran[0] != "PUT /a%2Fb?q=1" {
		t.Errorf("target got %q", a.ran[0])
	}
}

// Guards against reporting a truncated response as complete, and against running a request to its end after the caller
// has canceled it.
func TestBrokenAndCancelled(t *testing.T) {
	canceled := make(chan struct{})
	a := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/cancel" {
			<-r.Context().Done()
			close(canceled)
		}
		panic(http.ErrAbortHandler)
	})
	st, err := a.session.Open(t.Context(), head("GET", "/broken", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = st.CloseWrite()
	if _, err = st.Receive(t.Context()); err == nil { // the reset may overtake the head
		_, err = io.ReadAll(st)
	}
	if !errors.Is(err, sess.ErrTruncated) {
		t.Errorf("got %v, want a truncated stream", err)
	}
	st, _ = a.open(t, head("GET", "/cancel", nil), "")
	st.Reset("caller is gone")
	<-canceled
	waitFor(t, "the release of the slot", func() bool { return a.available() == capacity })
}

// Guards against a drain that cancels requests too early or waits forever, and against long-lived streams that occupy
// slots.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	a := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/feed" {
			w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		<-release
		_, _ = w.Write([]byte(strings.Repeat("x", 100_000)))
	})
	feed, _ := a.open(t, head("GET", "/feed", nil), "")
	waitFor(t, "the release of the long-lived stream's slot", func() bool {
		return a.available() == sizes.Resources{Slots: capacity.Slots, Connections: capacity.Connections - 1}
	})
	slow, err := a.session.Open(t.Context(), head("GET", "/slow", nil))
	if err != nil {
		t.Fatal(err)
	}
	_ = slow.CloseWrite()
	waitFor(t, "the start of the slow request", func() bool { return a.server.InProgress() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	drained := make(chan error)
	go func() { drained <- a.server.Drain(ctx) }()
	close(release)
	if _, err := slow.Receive(t.Context()); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(slow); len(b) != 100_000 || err != nil {
		t.Errorf("request in progress got %d bytes and %v during the drain", len(b), err)
	}
	if err := <-drained; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain ended with %v", err)
	}
	if _, err := io.ReadAll(feed); !errors.Is(err, sess.ErrTruncated) {
		t.Errorf("long-lived stream ended with %v", err)
	}
}
