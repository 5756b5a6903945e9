package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
	adapter "trefoilramp.org/trefoilramp/platform"
)

// cellWorker serves a stand-in worker. It leaves a share of the calls unanswered, and executes them later, and refuses
// another share.
type cellWorker struct {
	*runs.Worker
	handler http.Handler
	address string

	mu         sync.Mutex
	server     *http.Server // nil while the worker has crashed
	rng        *rand.Rand
	unanswered int // percent of the calls
	refused    int // percent of the other calls
	polls      bool
}

// newCellWorker starts a worker of a cell.
func (c *cell) newCellWorker(w *runs.Worker) *cellWorker {
	f := &cellWorker{
		Worker: w, handler: adapter.WorkerHandler(w, w.Incarnation), address: c.freeAddress(),
		rng: rand.New(rand.NewPCG(uint64(len(c.workers)), 2)),
	}
	f.launch(c.t, 1)
	c.t.Cleanup(f.crash)
	return f
}

// launch starts an incarnation of the worker under the same ID and address.
func (f *cellWorker) launch(t testing.TB, startedAt int64) {
	f.Restart(wire.WorkerIncarnation{ID: f.Name + "-1", StartedAt: startedAt})
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", f.address)
	if err != nil {
		t.Errorf("restart %s: %v", f.Name, err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(ln) }(f.server) // it ends with crash
}

// crash ends all runs, and refuses connections until the next launch.
func (f *cellWorker) crash() {
	f.Crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.server != nil {
		_ = f.server.Close() // the connections break
	}
	f.server = nil
}

func (f *cellWorker) hasCrashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server == nil
}

// update changes the shares of calls.
func (f *cellWorker) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// draw returns the time after which a call without an answer is executed, or the status of a refused call, or neither.
func (f *cellWorker) draw(path string) (delay time.Duration, status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	statuses := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}
	if path == "/v1/run-start" {
		statuses = append(statuses, http.StatusConflict)
	}
	switch {
	case path == "/v1/hold" && !f.polls:
	case f.rng.IntN(100) < f.unanswered:
		delay = time.Second + time.Duration(f.rng.IntN(11_000))*time.Millisecond
	case f.rng.IntN(100) < f.refused:
		status = statuses[f.rng.IntN(len(statuses))]
	}
	return delay, status
}

// ServeHTTP implements http.Handler.
func (f *cellWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay, status := f.draw(r.URL.Path)
	switch {
	case status != 0:
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"reason":"room"}`) // ignored unless the status is 409
	case delay != 0:
		f.executeLater(r, delay)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		f.handler.ServeHTTP(w, r)
	}
}

// executeLater executes a call after a delay unless the worker has restarted by then.
func (f *cellWorker) executeLater(r *http.Request, delay time.Duration) {
	incarnation := f.Incarnation()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call has not arrived
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // as in net/http
				panic(v)
			}
		}()
		if f.Incarnation() == incarnation {
			f.handler.ServeHTTP(httptest.NewRecorder(), late)
		}
	})
}

// holdConnections keeps connections to an entry open until the entry closes them, and then opens others, until ctx ends:
// one without a request, one with a complete and one with an incomplete request.
func (c *cell) holdConnections(ctx context.Context, p *cellMember) {
	path := fmt.Sprintf("%s%016x HTTP/1.1\r\nHost: %s\r\n", cellPrefix, 1, cellHost)
	for _, text := range []string{"", "GET " + path + "\r\n", "POST " + path + "Content-Length: 100\r\n\r\n"} {
		go func() {
			var d net.Dialer
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				conn, err := d.DialContext(ctx, "tcp", strings.TrimPrefix(p.base, "http://"))
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				if _, err := io.WriteString(conn, text); err == nil {
					_, _ = io.Copy(io.Discard, conn) // until the entry closes the connection
				}
				stop()
				_ = conn.Close()
			}
		}()
	}
}
