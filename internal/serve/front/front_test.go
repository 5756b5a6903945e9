package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/serve/front"
	"trefoilramp.org/trefoilramp/internal/serve/route"
)

// Guards against wrong statuses and outcomes, missing header fields in responses, and refused requests that run.
func TestInterface(t *testing.T) {
	p := newPeer(t, 8, echo)
	f := newFixture(t, nil, p)
	f.service.MaxBody = 1000
	for _, c := range []struct {
		name, method, path string
		body               int
		fields             []string
		status             int
		outcome            front.Outcome
	}{
		{"complete", "POST", "/services/book/a", 10, nil, 200, front.Complete},
		{"no path", "GET", "/services/book", 0, nil, 200, front.Complete},
		{"unknown service", "GET", "/services/other/a", 0, nil, 404, front.NotRun},
		{"unknown path", "GET", "/other", 0, nil, 404, front.NotRun},
		{"malformed deadline", "GET", "/services/book/a", 0, []string{front.HeaderDeadline, "soon"}, 400, front.NotRun},
		{"two deadlines", "GET", "/services/book/a", 0, []string{front.HeaderDeadline, "2030-01-01T00:00:00Z",
			front.HeaderDeadline, "2031-01-01T00:00:00Z"}, 400, front.NotRun},
		{"passed deadline", "GET", "/services/book/a", 0, []string{front.HeaderDeadline, "2020-01-01T00:00:00.5Z"},
			503, front.NotRun},
		{"far deadline", "GET", "/services/book/a", 0, []string{front.HeaderDeadline, "2090-01-01T00:00:00.5+01:00"},
			200, front.Complete},
		{"malformed key", "POST", "/services/book/a", 0, []string{front.HeaderIdempotencyKey, "a b"}, 400, front.NotRun},
		{"malformed idempotent field", "POST", "/services/book/a", 0, []string{front.HeaderIdempotent, "maybe"},
			400, front.NotRun},
		{"body over the limit", "POST", "/services/book/a", 1001, nil, 413, front.NotRun},
		{"header over the limit", "GET", "/services/book/a", 0, []string{"X-A", strings.Repeat("x", 50_000)}, 431,
			front.NotRun},
		{"no store for the key", "POST", "/services/book/a", 0, []string{front.HeaderIdempotencyKey, "k"}, 503,
			front.NotRun},
		{"last hop", "OPTIONS", "/services/book/a", 0, []string{"Max-Forwards", "0"}, 204, front.Complete},
	} {
		r := f.do(c.method, c.path, make([]byte, c.body), append(c.fields, "X-Id", c.name)...)
		r.want(t, c.name, c.status, c.outcome)
		var problem front.Problem
		if c.status >= 400 && (r.header.Get("Content-Type") != "application/problem+json" ||
			json.Unmarshal(r.body, &problem) != nil || problem.Status != c.status) {
			t.Errorf("%s: body %q does not contain problem details", c.name, r.body)
		}
		if c.status == 503 && r.header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", c.name)
		}
		if c.outcome == front.NotRun && p.ran(c.name) > 0 {
			t.Errorf("%s: NotRun, but the request ran", c.name)
		}
	}
}

// Guards against losing parts of HTTP between caller and target: header fields, trailers, informational responses,
// responses without a body, Expect and chunked bodies.
func TestForwarding(t *testing.T) {
	var mu sync.Mutex
	var got *http.Request
	p := newPeer(t, 8, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		got = r
		mu.Unlock()
		switch r.URL.Path {
		case "/304":
			w.WriteHeader(http.StatusNotModified)
		case "/head":
			w.Header().Set("Content-Length", "1234")
		default:
			w.Header().Set("Link", "</style>")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Set("Trailer", "X-Sum")
			_, _ = w.Write(b)
			w.Header().Set("X-Sum", "7")
		}
	})
	f := newFixture(t, nil, p)
	f.do("GET", "/services/book/304", nil).want(t, "304", 304, front.Complete)
	if r := f.do("HEAD", "/services/book/head", nil); r.header.Get("Content-Length") != "1234" {
		t.Errorf("HEAD got %+v", r)
	}
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "PUT /services/book/a%2Fb?x=1 HTTP/1.1\r\nHost: h.example\r\nConnection: X-Hop\r\n"+
		"X-Hop: 1\r\nTE: trailers\r\nExpect: 100-continue\r\nTrailer: X-Check\r\nTransfer-Encoding: chunked\r\n\r\n")
	br := bufio.NewReader(conn)
	if line, _ := br.ReadString('\n'); !strings.Contains(line, "100") {
		t.Errorf("first line is %q, want 100 Continue", line)
	}
	_, _ = br.ReadString('\n')
	_, _ = io.WriteString(conn, "4\r\nbody\r\n0\r\nX-Check: ok\r\n\r\n")
	early, err := http.ReadResponse(br, nil) //nolint:bodyclose // it has no body
	if err != nil || early.StatusCode != http.StatusEarlyHints || early.Header.Get("Link") == "" {
		t.Errorf("informational response is %+v, %v", early, err)
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if string(b) != "body" || err != nil || resp.Trailer.Get("X-Sum") != "7" || resp.Header.Get("Via") == "" {
		t.Errorf("response is %q, %v, header %v, trailers %v", b, err, resp.Header, resp.Trailer)
	}
	resp.Body.Close()
	mu.Lock()
	defer mu.Unlock()
	if got.RequestURI != "/a%2Fb?x=1" || got.Host != "h.example" || got.Header.Get("X-Hop") != "" || got.Header.Get("Expect") != "" ||
		got.Trailer.Get("X-Check") != "ok" || got.Header.Get("Via") != "1.1 trefoilramp" || got.Header.Get("Te") == "" {
		t.Errorf("target got %s, host %s, header %v, trailers %v", got.RequestURI, got.Host, got.Header, got.Trailer)
	}
}

// Guards against running a non-idempotent request twice, reporting NotRun after an earlier attempt that ran, and not
// retrying idempotent requests.
func TestRetries(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	a, b := newPeer(t, 8, abort), newPeer(t, 8, abort)
	f := newFixture(t, nil, a, b)
	f.do("POST", "/services/book/a", []byte("x"), "X-Id", "post").want(t, "POST", 504, front.Unknown)
	if n := a.ran("post") + b.ran("post"); n != 1 {
		t.Errorf("non-idempotent request ran %d times", n)
	}
	f.do("PUT", "/services/book/a", []byte("x"), "X-Id", "put").want(t, "PUT", 504, front.Unknown)
	if n := a.ran("put") + b.ran("put"); n < 2 {
		t.Errorf("idempotent request was tried %d times", n)
	}
	c := newPeer(t, 8, nil)
	c.target.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		c.server.StopAccepting()
		panic(http.ErrAbortHandler)
	})
	b.server.StopAccepting()
	f = newFixture(t, nil, b, c)
	f.do("PUT", "/services/book/a", []byte("x")).want(t, "NotRun after Unknown", 504, front.Unknown)
	f.do("POST", "/services/book/a", []byte("x")).want(t, "all leave", 503, front.NotRun)
}

// Guards against a slow reader of a long response delaying other requests.
func TestSlowReaderBesideFastOnes(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 8<<20)
	p := newPeer(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/big" {
			_, _ = w.Write(big)
			return
		}
		echo(w, r)
	})
	f := newFixture(t, nil, p)
	resp, err := f.server.Client().Get(f.server.URL + "/services/book/big") //nolint:noctx // ends with the test server
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(100 * time.Millisecond) // until all buffers between target and caller are full
	start := time.Now()
	for range 200 {
		f.do("POST", "/services/book/small", []byte("y")).want(t, "fast reader", 200, front.Complete)
	}
	if d := time.Since(start); d > 3*time.Second {
		t.Errorf("200 fast requests took %v beside a slow reader", d)
	}
	if b, err := io.ReadAll(resp.Body); !bytes.Equal(b, big) || err != nil {
		t.Errorf("slow reader got %d of %d bytes, %v", len(b), len(big), err)
	}
}

// Guards against relaying a request twice, and against a relay that changes outcomes or responses.
func TestRelayToOtherZone(t *testing.T) {
	agent := newPeer(t, 8, echo)
	remote := newFixture(t, nil, agent)
	remotePeer := newPeer(t, 8, echo)
	remotePeer.entry = remote.front.Load()
	local := newFixture(t, nil)
	local.peers["e2"] = remotePeer
	local.set.Remote = []route.Candidate{{Name: "e2", Slots: 8}}
	body := bytes.Repeat([]byte("0123456789"), 50_000)
	r := local.do("POST", "/services/book/a", body, "X-Id", "i")
	r.want(t, "relayed", 200, front.Complete)
	if !bytes.Equal(r.body, append([]byte("i:"), body...)) {
		t.Errorf("relayed response has %d bytes", len(r.body))
	}
	agent.server.StopAccepting()
	local.do("POST", "/services/book/a", nil).want(t, "leaving agent", 503, front.NotRun)
	remote.set = route.Set{Remote: local.set.Remote}
	local.do("POST", "/services/book/a", nil).want(t, "second hop", 503, front.NotRun)
	if err := remotePeer.entry.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	local.do("POST", "/services/book/a", nil).want(t, "draining entry", 503, front.NotRun)
}

// Guards against a drain that cancels requests too early, admits new ones, or waits forever for a long-lived stream.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	p := newPeer(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/feed" {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		<-release
		echo(w, r)
	})
	f := newFixture(t, nil, p)
	feed, err := f.server.Client().Get(f.server.URL + "/services/book/feed") //nolint:noctx // ends with the drain
	if err != nil {
		t.Fatal(err)
	}
	defer feed.Body.Close()
	waitFor(t, "the release of the long-lived stream's slot", func() bool {
		return f.front.Load().Loads()["book"].InFlight == 0
	})
	slow := make(chan reply)
	go func() { slow <- f.do("POST", "/services/book/a", []byte("x")) }()
	waitFor(t, "the start of the request", func() bool { return f.front.Load().InProgress() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	drained := make(chan error)
	go func() { drained <- f.front.Load().Drain(ctx) }()
	time.Sleep(20 * time.Millisecond)
	f.do("POST", "/services/book/a", nil).want(t, "new request", 503, front.NotRun)
	close(release)
	(<-slow).want(t, "request in progress", 200, front.Complete)
	if err := <-drained; err == nil {
		t.Error("drain ended without an error although a long-lived stream was canceled")
	}
	if _, err := io.ReadAll(feed.Body); err == nil {
		t.Error("long-lived stream ended like a complete response")
	}
}

// Guards against delaying a response until the rest of the request arrives, and against a handler that never ends
// because the caller has stopped sending.
func TestEarlyResponseToStalledUpload(t *testing.T) {
	p := newPeer(t, 8, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, "early")
	})
	f := newFixture(t, nil, p)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "POST /services/book/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	_, _ = conn.Write(make([]byte, 400_000))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); string(b) != "early" || err != nil {
		t.Errorf("response is %q, %v", b, err)
	}
	waitFor(t, "the end of the request", func() bool {
		return f.front.Load().InProgress() == 0 && p.server.InProgress() == 0
	})
}
