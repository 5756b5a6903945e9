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

// Guards against wrong statuses, outcomes, missing fields of the callers' interface, and refused requests that run.
func TestInterface(t *testing.T) {
	p := newPeer(t, 8, echo)
	w := newWorld(t, nil, p)
	w.service.MaxBody = 1000
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
		{"malformed mark", "POST", "/services/book/a", 0, []string{front.HeaderIdempotent, "maybe"}, 400, front.NotRun},
		{"body over the limit", "POST", "/services/book/a", 1001, nil, 413, front.NotRun},
		{"header over the limit", "GET", "/services/book/a", 0, []string{"X-A", strings.Repeat("x", 50_000)}, 431,
			front.NotRun},
		{"no store for the key", "POST", "/services/book/a", 0, []string{front.HeaderIdempotencyKey, "k"}, 503,
			front.NotRun},
		{"last hop", "OPTIONS", "/services/book/a", 0, []string{"Max-Forwards", "0"}, 204, front.Complete},
	} {
		r := w.do(c.method, c.path, make([]byte, c.body), append(c.fields, "X-Id", c.name)...)
		r.want(t, c.name, c.status, c.outcome)
		var problem front.Problem
		if c.status >= 400 && (r.header.Get("Content-Type") != "application/problem+json" ||
			json.Unmarshal(r.body, &problem) != nil || problem.Status != c.status) {
			t.Errorf("%s: body %q is no problem details", c.name, r.body)
		}
		if c.status == 503 && r.header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", c.name)
		}
		if c.outcome == front.NotRun && p.ran(c.name) > 0 {
			t.Errorf("%s: NotRun, but the request ran", c.name)
		}
	}
}

// Guards against parts of HTTP that get lost between caller and target: fields, trailers, informational responses,
// responses without a body, expectations and chunked bodies.
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
	w := newWorld(t, nil, p)
	w.do("GET", "/services/book/304", nil).want(t, "304", 304, front.Complete)
	if r := w.do("HEAD", "/services/book/head", nil); r.header.Get("Content-Length") != "1234" {
		t.Errorf("HEAD got %+v", r)
	}
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", w.server.Listener.Addr().String())
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

// Guards against a second run of a non-idempotent request, a NotRun after an earlier attempt that ran, and idempotent
// requests that are not retried.
func TestRetries(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	a, b := newPeer(t, 8, abort), newPeer(t, 8, abort)
	w := newWorld(t, nil, a, b)
	w.do("POST", "/services/book/a", []byte("x"), "X-Id", "post").want(t, "POST", 504, front.Unknown)
	if n := a.ran("post") + b.ran("post"); n != 1 {
		t.Errorf("non-idempotent request ran %d times", n)
	}
	w.do("PUT", "/services/book/a", []byte("x"), "X-Id", "put").want(t, "PUT", 504, front.Unknown)
	if n := a.ran("put") + b.ran("put"); n < 2 {
		t.Errorf("idempotent request was tried %d times", n)
	}
	c := newPeer(t, 8, nil)
	c.target.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		c.server.Leave()
		panic(http.ErrAbortHandler)
	})
	b.server.Leave()
	w = newWorld(t, nil, b, c)
	w.do("PUT", "/services/book/a", []byte("x")).want(t, "NotRun after Unknown", 504, front.Unknown)
	w.do("POST", "/services/book/a", []byte("x")).want(t, "all leave", 503, front.NotRun)
}

// Guards against one slow reader of a long response that holds up others.
func TestSlowReaderBesideFastOnes(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 8<<20)
	p := newPeer(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/big" {
			_, _ = w.Write(big)
			return
		}
		echo(w, r)
	})
	w := newWorld(t, nil, p)
	resp, err := w.server.Client().Get(w.server.URL + "/services/book/big") //nolint:noctx // ends with the test server
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(100 * time.Millisecond) // all buffers on the way fill up
	start := time.Now()
	for range 200 {
		w.do("POST", "/services/book/small", []byte("y")).want(t, "fast reader", 200, front.Complete)
	}
	if d := time.Since(start); d > 3*time.Second {
		t.Errorf("200 fast requests took %v beside a slow reader", d)
	}
	if b, err := io.ReadAll(resp.Body); !bytes.Equal(b, big) || err != nil {
		t.Errorf("slow reader got %d of %d bytes, %v", len(b), len(big), err)
	}
}

// Guards against requests that are relayed twice, and against a hop that changes outcomes or answers.
func TestRelayToOtherZone(t *testing.T) {
	agent := newPeer(t, 8, echo)
	far := newWorld(t, nil, agent)
	hop := newPeer(t, 8, echo)
	hop.hop = far.front.Load()
	near := newWorld(t, nil)
	near.peers["e2"] = hop
	near.set.Other = []route.Candidate{{Name: "e2", Slots: 8}}
	body := bytes.Repeat([]byte("0123456789"), 50_000)
	r := near.do("POST", "/services/book/a", body, "X-Id", "i")
	r.want(t, "relayed", 200, front.Complete)
	if !bytes.Equal(r.body, append([]byte("i:"), body...)) {
		t.Errorf("relayed answer has %d bytes", len(r.body))
	}
	agent.server.Leave()
	near.do("POST", "/services/book/a", nil).want(t, "leaving agent", 503, front.NotRun)
	far.set = route.Set{Other: near.set.Other}
	near.do("POST", "/services/book/a", nil).want(t, "second hop", 503, front.NotRun)
	if err := hop.hop.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	near.do("POST", "/services/book/a", nil).want(t, "draining entry", 503, front.NotRun)
}

// Guards against a drain that cuts off a request, admits new ones, or waits for ever for an open stream.
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
	w := newWorld(t, nil, p)
	feed, err := w.server.Client().Get(w.server.URL + "/services/book/feed") //nolint:noctx // ends with the drain
	if err != nil {
		t.Fatal(err)
	}
	defer feed.Body.Close()
	waitFor(t, "the slot of the open stream", func() bool { return w.front.Load().Loads()["book"].InFlight == 0 })
	slow := make(chan reply)
	go func() { slow <- w.do("POST", "/services/book/a", []byte("x")) }()
	waitFor(t, "the request", func() bool { return w.front.Load().InProgress() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	drained := make(chan error)
	go func() { drained <- w.front.Load().Drain(ctx) }()
	time.Sleep(20 * time.Millisecond)
	w.do("POST", "/services/book/a", nil).want(t, "new request", 503, front.NotRun)
	close(release)
	(<-slow).want(t, "request in progress", 200, front.Complete)
	if err := <-drained; err == nil {
		t.Error("drain ended without an error although an open stream was cut off")
	}
	if _, err := io.ReadAll(feed.Body); err == nil {
		t.Error("open stream ended like a whole response")
	}
}

// Guards against an answer that waits for the rest of a request, and a handler that never ends because its caller sends
// nothing more.
func TestEarlyAnswerToStalledUpload(t *testing.T) {
	p := newPeer(t, 8, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, "early")
	})
	w := newWorld(t, nil, p)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", w.server.Listener.Addr().String())
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
		t.Errorf("answer is %q, %v", b, err)
	}
	waitFor(t, "the end of the request", func() bool {
		return w.front.Load().InProgress() == 0 && p.server.InProgress() == 0
	})
}
