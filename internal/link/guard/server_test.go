package guard_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

const bodyLimit = 256 << 10

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// site is a server behind a guard in a synctest bubble.
type site struct {
	*pipeListener
	read    atomic.Int64 // bodies read
	lines   *observer.ObservedLogs
	metrics *metric.Set
}

// serve starts a server whose handler reads bodies at /read only, and waits at /later.
func serve(t *testing.T, l guard.Limits) *site {
	t.Helper()
	s := &site{pipeListener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}}
	core, lines := observer.New(zap.InfoLevel)
	s.lines, s.metrics = lines, metric.New(nil)
	g := guard.New(guard.Config{Limits: l, Metrics: s.metrics, Log: zap.New(core)})
	srv := g.Server(guard.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/later" {
			time.Sleep(time.Millisecond)
		}
		if r.URL.Path != "/read" {
			http.Error(w, "no route", http.StatusNotFound)
			return
		}
		b, err := guard.ReadBody(r, bodyLimit)
		if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.read.Add(1)
		fmt.Fprint(w, len(b))
	})})
	ctx, cancel := context.WithCancel(t.Context())
	go g.Run(ctx)
	go srv.Serve(g.Wrap(s, "test")) //nolint:errcheck // ends with the listener
	t.Cleanup(func() {
		cancel()
		srv.Close()
		if err := s.metrics.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second) // net/http closes the connection of a refused request after 500 ms
	})
	return s
}

// dial connects and sends a request without waiting for its response.
func (s *site) dial(t *testing.T, request string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, peer := net.Pipe()
	s.conns <- peer
	go io.WriteString(c, request) //nolint:errcheck // the server may close the connection
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// expectOK reads a response with status 200.
func expectOK(t *testing.T, r *bufio.Reader) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Error(err)
		return
	}
	if res.Body.Close(); res.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", res.StatusCode)
	}
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// Guards against leftover bodies that are read, refusals that wait for a body, and connections that are closed after a
// request that was read to its end.
func TestBodies(t *testing.T) {
	for name, tc := range map[string]struct {
		request  string
		status   int
		isClosed bool
		body     string
	}{
		"read":               {post("/read", 5, "12345"), 200, false, "5"},
		"empty":              {post("/read", 0, ""), 200, false, "0"},
		"longest":            {post("/read", bodyLimit, strings.Repeat("x", bodyLimit)), 200, false, "262144"},
		"chunked":            {"POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, false, "3"},
		"declared too long":  {post("/read", bodyLimit+1, ""), 413, true, "http: request body too large\n"},
		"chunked too long":   {"POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n40001\r\n" + strings.Repeat("x", bodyLimit+1), 413, true, "http: request body too large\n"},
		"no route":           {post("/other", 1000, "x"), 404, true, "no route\n"},
		"no route, no body":  {"GET /other HTTP/1.1\r\nHost: a\r\n\r\n", 404, false, "no route\n"},
		"no route, expected": {"POST /other HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", 404, true, "no route\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := serve(t, guard.Derive(284, 4100))
				_, r := s.dial(t, tc.request)
				began := time.Now()
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(res.Body)
				if res.Body.Close(); res.StatusCode != tc.status || res.Close != tc.isClosed || string(b) != tc.body || err != nil {
					t.Errorf("status %d, closed %v, body %q, %v; want %+v", res.StatusCode, res.Close, b, err, tc)
				}
				if took := time.Since(began); took != 0 {
					t.Errorf("response after %v", took)
				}
			})
		})
	}
}

// Load: uploads that stop one byte short of their end, four times what the budget holds. Guards against memory without a
// bound, stalled connections that stay, an ordinary request that is not served beside them, and limits that are not counted
// or are logged for each client.
func TestStoppedUploads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, guard.Derive(32, 4100))
		for range 100 {
			s.dial(t, post("/read", bodyLimit, strings.Repeat("x", bodyLimit-1)))
			synctest.Wait()
		}
		time.Sleep(time.Second)
		_, r := s.dial(t, post("/read", 5, "12345"))
		if expectOK(t, r); s.read.Load() != 1 {
			t.Errorf("%d bodies read, want 1", s.read.Load())
		}
		c, r := s.dial(t, post("/read", 5, "1"))
		for range 4 {
			time.Sleep(10 * time.Second)
			if _, err := io.WriteString(c, "x"); err != nil {
				t.Errorf("a slow upload was closed: %v", err)
			}
		}
		expectOK(t, r)
		_, r = s.dial(t, post("/read", 5, "1"))
		began := time.Now()
		_, err := r.Peek(1)
		if took := time.Since(began); took < 15*time.Second || took > 17*time.Second {
			t.Errorf("stalled upload ended after %v, %v; want 15 s", took, err)
		}
		for _, message := range []string{"limits for clients", "byte budget for clients used up", "stalled connection closed"} {
			if n := s.lines.FilterMessage(message).Len(); n < 1 || n > 3 {
				t.Errorf("%q logged %d times", message, n)
			}
		}
		time.Sleep(3 * time.Second) // metrics are reported once a second
		w := httptest.NewRecorder()
		s.metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
		for _, line := range []string{`clients_turned_away{listener="test",reason="Bytes"} `, `reason="Stalled"} `, "client_connections 0\n", "client_bytes 0\n"} {
			if !strings.Contains(w.Body.String(), line) {
				t.Errorf("metrics lack %s", line)
			}
		}
	})
}

// Load: headers of very many short fields that stop before their end. Guards against the memory of their map entries.
func TestHeadersOfShortFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := guard.Derive(32, 4100)
		l.Bytes = 1 << 20
		s := serve(t, l)
		var fields strings.Builder
		for i := range 2500 {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		var first *bufio.Reader
		for i := range 4 {
			_, r := s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n"+fields.String())
			if synctest.Wait(); i == 0 {
				first = r
			}
		}
		if _, err := first.Peek(1); err == nil {
			t.Error("the first connection got a response")
		}
		_, r := s.dial(t, post("/read", 5, "12345"))
		expectOK(t, r)
	})
}

// A submission of 1 KiB on a connection that stays open, with and without a guard.
// Load: pipelined requests whose second header, of 600 fields, arrives with the first one, and whose second body stops.
// Guards against fields that no reservation covers because they were counted for the first header.
func TestFieldsOfPipelinedHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := guard.Derive(32, 4100)
		l.Bytes = 1 << 20
		s := serve(t, l)
		var fields strings.Builder
		for i := range 600 {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		request := "GET /later HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Replace(post("/read", 2, "x"), "\r\n\r\n", "\r\n"+fields.String()+"\r\n", 1)
		for range 10 {
			_, r := s.dial(t, request)
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				break // the budget is used up
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			synctest.Wait()
		}
		if s.lines.FilterMessage("byte budget for clients used up").Len() == 0 {
			t.Error("the fields of 10 headers were not reserved")
		}
	})
}

// Load: a header that the budget has no space for. Guards against the response 400, which tells a caller within the limits
// that its request is malformed.
func TestHeaderBeyondBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := guard.Derive(32, 4100)
		l.Bytes = 256 << 10
		s := serve(t, l)
		_, r := s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 2500)+"\r\n")
		if res, err := http.ReadResponse(r, nil); err == nil {
			res.Body.Close()
			t.Errorf("status %d, want a closed connection", res.StatusCode)
		}
	})
}

// Load: the limit of connections is reached while a response is written. Guards against the loss of the response to a
// request that may be stored, which net/http writes after the handler has returned.
func TestResponseIsWrittenAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := guard.Derive(32, 4100)
		l.Connections, l.PerAddress = 1, 1
		s := serve(t, l)
		_, first := s.dial(t, post("/read", 5, "12345"))
		synctest.Wait() // the response is being written
		_, r := s.dial(t, "")
		if _, err := r.Peek(1); err == nil {
			t.Error("the second connection was served")
		}
		expectOK(t, first)
		synctest.Wait()
		_, r = s.dial(t, post("/read", 5, "12345")) // the first connection is idle and can be closed
		expectOK(t, r)
	})
}

func BenchmarkRequest(b *testing.B) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := guard.ReadBody(r, bodyLimit); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		fmt.Fprint(w, "{}")
	})
	g := guard.New(guard.Config{Limits: guard.Derive(284, 4100), Log: zap.NewNop()})
	for _, name := range []string{"plain", "guarded"} {
		b.Run(name, func(b *testing.B) {
			srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
			if name == "guarded" {
				srv = g.Server(guard.ServerConfig{Handler: h})
			}
			ln, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := ln.Addr().String()
			if name == "guarded" {
				ln = g.Wrap(ln, "test")
			}
			go srv.Serve(ln) //nolint:errcheck // ends with the listener
			defer srv.Close()
			c, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r, request := bufio.NewReader(c), []byte(post("/", 1000, strings.Repeat("x", 1000)))
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				for line := []byte{0}; string(line) != "\r\n"; {
					if line, err = r.ReadSlice('\n'); err != nil {
						b.Fatal(err)
					}
				}
				if _, err := r.Discard(2); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
