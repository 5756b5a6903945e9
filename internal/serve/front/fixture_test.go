package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/claim"
	"trefoilramp.org/trefoilramp/internal/serve/front"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
	"trefoilramp.org/trefoilramp/internal/serve/route"
)

// cutConn closes its connection after a number of written bytes.
type cutConn struct {
	net.Conn
	left atomic.Int64 // bytes until the cut
}

func (c *cutConn) Write(p []byte) (int, error) {
	if left := c.left.Add(-int64(len(p))); left < 0 {
		if n := int64(len(p)) + left; n > 0 {
			_, _ = c.Conn.Write(p[:n])
		}
		c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// peer is an agent with one target, or another entry, connected through a session.
type peer struct {
	server *relay.Server
	entry  *front.Front // nil for an agent
	target *httptest.Server

	mu      sync.Mutex
	slots   int64
	session *sess.Session
	out, in *cutConn // to and from the peer
	runs    map[string]int
}

func (p *peer) Reserve(need sizes.Resources) (release func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots < need.Slots {
		return nil, false
	}
	p.slots -= need.Slots
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.slots += need.Slots
	}, true
}

func (p *peer) Lookup(_, name string) (relay.Target, bool) {
	return relay.Target{Name: name, Address: p.target.Listener.Addr().String()}, true
}

func (p *peer) HandleMessage(*sess.Session, wire.Message) {}
func (p *peer) HandleClosed(*sess.Session, error)         {}
func (p *peer) HandleStream(s *sess.Session, st *sess.Stream) {
	if p.entry != nil {
		p.entry.ServeStream(s, st)
		return
	}
	p.server.Serve(s, st)
}

// ran returns how often the target received a request with the given X-Id field.
func (p *peer) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// connect opens a new session that is cut after out bytes to the peer and in bytes from it.
func (p *peer) connect(t testing.TB, out, in int64) {
	t.Helper()
	x, y := net.Pipe()
	p.connectOver(t, x, y, out, in)
}

func (p *peer) connectOver(t testing.TB, x, y net.Conn, out, in int64) {
	t.Helper()
	o, i := &cutConn{Conn: x}, &cutConn{Conn: y}
	o.left.Store(1 << 50)
	i.left.Store(1 << 50)
	cfg := func(name string, role wire.Role) sess.Config {
		return sess.Config{Self: wire.Hello{Name: name, Role: role, Incarnation: "1"}, Key: []byte("key")}
	}
	go func() { _, _ = sess.Accept(context.Background(), i, cfg("w1", wire.RoleAgent), p) }()
	s, err := sess.Connect(context.Background(), o, cfg("e1", wire.RoleEntry), p)
	if err != nil {
		t.Fatal(err)
	}
	o.left.Store(out)
	i.left.Store(in)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session, p.out, p.in = s, o, i
}

func (p *peer) close() {
	p.mu.Lock()
	s := p.session
	p.mu.Unlock()
	s.Close(nil)
	s.Wait()
}

const noCut = 1 << 40 // bytes; for a session that is not cut

func newPeer(t testing.TB, slots int64, h http.HandlerFunc) *peer {
	t.Helper()
	p := &peer{slots: slots, runs: make(map[string]int)}
	p.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.runs[r.Header.Get("X-Id")]++
		p.mu.Unlock()
		h(w, r)
	}))
	p.server = relay.New(relay.Config{Ledger: p, Targets: p})
	p.connect(t, noCut, noCut)
	t.Cleanup(func() {
		p.close()
		p.target.Close()
	})
	return p
}

// fixture is an entry with its peers. It implements front.Directory and front.Services.
type fixture struct {
	front   atomic.Pointer[front.Front]
	server  *httptest.Server
	service front.Service
	store   table.Store
	peers   map[string]*peer
	set     route.Set
}

func (f *fixture) Service(name string) (front.Service, bool) {
	return f.service, name == f.service.Name
}

func (f *fixture) Candidates(string) route.Set { return f.set }

func (f *fixture) Open(ctx context.Context, c route.Candidate, head *wire.RequestHead) (front.Stream, error) {
	p := f.peers[c.Name]
	p.mu.Lock()
	s := p.session
	p.mu.Unlock()
	st, err := s.Open(ctx, head)
	if err != nil {
		return nil, err // a nil *sess.Stream must not become a non-nil interface
	}
	return st, nil
}

// newFixture returns an entry with the given agents in its own zone.
func newFixture(t testing.TB, store table.Store, agents ...*peer) *fixture {
	t.Helper()
	f := &fixture{store: store, peers: make(map[string]*peer), service: front.Service{Name: "book"}}
	for i, p := range agents {
		name := fmt.Sprintf("w%d", i+1)
		f.peers[name] = p
		f.set.Local = append(f.set.Local, route.Candidate{Name: name, Target: "t", Slots: p.slots,
			ReadyAt: time.Now().Add(-time.Hour)})
	}
	f.restart()
	f.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f.front.Load().ServeHTTP(rw, r)
	}))
	t.Cleanup(f.server.Close)
	return f
}

// restart replaces the front with a new one that has a full retry budget and no learned run times.
func (f *fixture) restart() {
	cfg := front.Config{Services: f, Directory: f}
	if f.store != nil {
		cfg.Claims = claim.NewRegistry(f.store, "e1", 1, zapNop, nil)
	}
	f.front.Store(front.New(cfg))
}

// reply is the response as the caller receives it.
type reply struct {
	status  int
	outcome string
	header  http.Header
	trailer http.Header
	body    []byte
	err     error
}

// do sends a request; fields are pairs of names and values.
func (f *fixture) do(method, path string, body []byte, fields ...string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, f.server.URL+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header[fields[i]] = append(req.Header[fields[i]], fields[i+1])
	}
	resp, err := f.server.Client().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, outcome: resp.Header.Get(front.HeaderOutcome), header: resp.Header,
		trailer: resp.Trailer, body: b, err: err}
}

func (r reply) want(t *testing.T, name string, status int, outcome front.Outcome) {
	t.Helper()
	if r.err != nil || r.status != status || r.outcome != string(outcome) {
		t.Errorf("%s: got status %d, outcome %q, error %v, body %.200q; want %d and %s",
			name, r.status, r.outcome, r.err, r.body, status, outcome)
	}
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(200 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// echo responds with the X-Id field, a colon and the request body.
func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(append([]byte(r.Header.Get("X-Id")+":"), b...))
}
