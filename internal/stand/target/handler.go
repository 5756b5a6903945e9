package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/notice"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// ChecksumHeader is the header or trailer with the xxhash64 of a body as 16 hexadecimal digits.
const ChecksumHeader = "Trefoilramp-Checksum"

// Paths with a special response; see the package comment.
const (
	pathEcho   = "/echo"
	pathStream = "/stream"
	pathLong   = "/long"
	pathBreak  = "/break"
)

const (
	maxBody          = 64 << 20 // bytes of a request body
	maxSize          = 64 << 20 // bytes of the padding or of a response to /break
	defaultBreakSize = 64 << 10 // declared bytes of a response to /break
	defaultInterval  = 100 * time.Millisecond
	minInterval      = time.Millisecond
)

// Answer is the body of a response of an ordinary path.
type Answer struct {
	Target  string
	Service string
	Request ident.Request
	Method  string
	Path    string
	Body    string // checksum of the request's body
	Padding string `json:",omitempty"`
}

// FaultsRequest is the body of POST /v1/faults; it replaces the fault script and the slowdown.
type FaultsRequest struct {
	Rules    []script.Rule
	Slowdown float64 // multiplies all service times; 0 means 1
}

// RecordsResponse is the body of a response to GET /v1/records.
type RecordsResponse struct {
	Counts  Counts
	Records []Record
}

// Checksum returns the value of ChecksumHeader for a body.
func Checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

// Handler returns the HTTP handler of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/records", func(w http.ResponseWriter, _ *http.Request) {
		counts, list := t.records.snapshot()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(RecordsResponse{counts, list}) // fails only if the client has disconnected
	})
	mux.HandleFunc("POST /v1/faults", t.serveFaults)
	mux.HandleFunc("/", t.serve)
	return mux
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req)
	if err == nil {
		err = t.faults.Set(req.Rules...)
	}
	if err != nil || req.Slowdown < 0 {
		http.Error(w, fmt.Sprintf("malformed faults: %v", err), http.StatusBadRequest)
		return
	}
	if req.Slowdown == 0 {
		req.Slowdown = 1
	}
	t.SetSlowdown(req.Slowdown)
}

// serve handles a request under the fault script.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	f := t.faults.Next(r.URL.Path, r.Header.Get(remote.ClientHeader))
	switch f.Action {
	case script.Down:
		panic(http.ErrAbortHandler)
	case script.LoseBefore:
		sleep(r.Context(), f.Delay)
		panic(http.ErrAbortHandler)
	case script.LoseAfter, script.LoseLate:
		t.run(discardWriter{make(http.Header)}, r)
		sleep(r.Context(), f.Delay)
		panic(http.ErrAbortHandler)
	case script.Slow:
		sleep(r.Context(), f.Delay)
	case script.Reject:
		http.Error(w, script.ErrRejected.Error(), http.StatusServiceUnavailable)
		return
	}
	t.run(w, r)
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	id := ident.Request(r.Header.Get(notice.RequestHeader))
	if strings.HasPrefix(r.URL.Path, pathStream) {
		defer t.records.arrive(0)()
		t.recordRun(id, r)
		t.stream(w, r, id)
		return
	}
	defer t.records.arrive(1)()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return // the client disconnected before the request ran
	}
	if sum := r.Header.Get(ChecksumHeader); sum != "" && sum != Checksum(body) {
		t.records.countCorrupt()
		http.Error(w, "the body does not match its checksum", http.StatusBadRequest)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	t.recordRun(id, r)
	if !sleep(r.Context(), t.serviceTime(r.URL.Path)) {
		return
	}
	t.respond(w, r, id, body)
}

// recordRun reports a run to Options.Runs and records it.
func (t *Target) recordRun(id ident.Request, r *http.Request) {
	if t.o.Runs != nil {
		t.o.Runs(Run{Time: time.Now(), Request: id, Path: r.URL.Path})
	}
	t.records.countRun(id, r.Method, r.URL.Path)
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, id ident.Request, body []byte) {
	w.Header().Set(notice.RequestHeader, string(id))
	var err error
	switch {
	case strings.HasPrefix(r.URL.Path, pathBreak):
		truncateResponse(w, queryInt(r, "size", defaultBreakSize, maxSize))
	case strings.HasPrefix(r.URL.Path, pathEcho):
		err = echo(w, r, body)
	default:
		err = t.answer(w, r, id, body)
	}
	if err == nil {
		t.records.countCompleted(id)
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, id ident.Request, body []byte) error {
	a := Answer{
		Target: t.o.Target, Service: t.o.Service, Request: id,
		Method: r.Method, Path: r.URL.Path, Body: Checksum(body),
	}
	if size := queryInt(r, "size", 0, maxSize); size > 0 {
		a.Padding = strings.Repeat("x", size)
	}
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(ChecksumHeader, Checksum(b))
	_, err = w.Write(b)
	return err
}

func echo(w http.ResponseWriter, r *http.Request, body []byte) error {
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if r.URL.Query().Get("trailer") != "" {
		w.Header().Set("Trailer", ChecksumHeader)
		_, err := w.Write(body)
		w.Header().Set(ChecksumHeader, Checksum(body))
		return err
	}
	w.Header().Set(ChecksumHeader, Checksum(body))
	_, err := w.Write(body)
	return err
}

// truncateResponse declares a body of size bytes, sends half of it and closes the connection.
func truncateResponse(w http.ResponseWriter, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Write(make([]byte, size/2))
	_ = http.NewResponseController(w).Flush() // fails only for a discarded response
	panic(http.ErrAbortHandler)
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, id ident.Request) {
	interval, err := time.ParseDuration(r.URL.Query().Get("interval"))
	if err != nil || interval < minInterval {
		interval = defaultInterval
	}
	count := queryInt(r, "count", 0, 1<<30)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(notice.RequestHeader, string(id))
	c := http.NewResponseController(w)
	for n := 1; count == 0 || n <= count; n++ {
		_, err := fmt.Fprintf(w, "%d\n", n)
		if err == nil {
			err = c.Flush()
		}
		if err != nil || !sleep(r.Context(), interval) {
			return
		}
	}
	t.records.countCompleted(id)
}

// queryInt returns an integer query parameter, or def if it is absent or not between 0 and maximum.
func queryInt(r *http.Request, name string, def, maximum int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 || n > maximum {
		return def
	}
	return n
}

// discardWriter is an http.ResponseWriter for a response that is lost.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}
