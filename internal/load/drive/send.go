package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/plat/notice"
	"trefoilramp.org/trefoilramp/internal/stand/target"
)

const (
	outcomeHeader = "Trefoilramp-Outcome"
	maxResponse   = 64 << 20 // bytes of a response body that are read
)

// newClient returns an HTTP client that follows no redirects, uses no proxy and connects only to loopback addresses. It
// keeps up to the given number of idle connections.
func newClient(connections int) *http.Client {
	d := &net.Dialer{Timeout: time.Second, Control: func(_, address string, _ syscall.RawConn) error {
		if !isLoopback(address) {
			return errors.Newf("%s is not a loopback address", address)
		}
		return nil
	}}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConns: connections, MaxIdleConnsPerHost: connections,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sender sends the requests of one run.
type sender struct {
	e      Experiment
	runID  string // prefix of request IDs and idempotency keys; unique, so that a repeated run reuses none
	client *http.Client
	body   []byte // random bytes; each request sends a slice of them
}

// send sends request number n, which is scheduled for the time due, and returns its outcome and end time. It waits for
// the response until Deadline plus Patience after due.
func (s *sender) send(ctx context.Context, a Arrival, n int, due time.Time) (Outcome, time.Time) {
	r := s.e.Services[a.Service].Requests[a.Request]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timedOut atomic.Bool
	timeout := time.AfterFunc(time.Until(due.Add(r.Deadline.Std()+s.e.Patience.Std())), func() {
		timedOut.Store(true)
		cancel()
	})
	defer timeout.Stop()
	id := s.runID + "-" + strconv.Itoa(n)
	req, err := s.newRequest(ctx, a, r, id, due)
	if err != nil {
		return Broken, time.Now()
	}
	res, err := s.client.Do(req)
	if err != nil {
		return outcomeOnError(&timedOut), time.Now()
	}
	defer res.Body.Close()
	if r.Stream > 0 && res.StatusCode < http.StatusBadRequest {
		return s.readStream(res, r, timeout, &timedOut)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	end := time.Now()
	if err != nil {
		return outcomeOnError(&timedOut), end
	}
	return classify(res, b, newExpectation(req)), end
}

// outcomeOnError returns the outcome of a request that ended without a complete response.
func outcomeOnError(timedOut *atomic.Bool) Outcome {
	if timedOut.Load() {
		return Timeout
	}
	return Broken
}

// newRequest builds the HTTP request of an arrival, whose body is chosen by its scheduled time.
func (s *sender) newRequest(
	ctx context.Context, a Arrival, r Request, id string, due time.Time,
) (*http.Request, error) {
	path, query, hasQuery := strings.Cut(r.Path, "?")
	path = strings.TrimSuffix(path, "/") + "/" + id // the target echoes the path, which ties the response to the request
	url := "http://" + s.e.Entries[a.Entry] + "/services/" + s.e.Services[a.Service].Name + path
	if hasQuery {
		url += "?" + query
	}
	var body io.Reader
	var checksum string
	if r.Body > 0 {
		from := int(a.At) % (len(s.body) - r.Body + 1)
		part := s.body[from : from+r.Body]
		body, checksum = bytes.NewReader(part), target.Checksum(part)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set(notice.RequestHeader, id)
	req.Header.Set("Trefoilramp-Deadline", due.Add(r.Deadline.Std()).UTC().Format(time.RFC3339Nano))
	if checksum != "" {
		req.Header.Set(target.ChecksumHeader, checksum)
	}
	if r.Key {
		req.Header.Set("Idempotency-Key", id)
	}
	if r.Idempotent != "" {
		req.Header.Set("Trefoilramp-Idempotent", r.Idempotent)
	}
	return req, nil
}

// readStream reads a response for the duration r.Stream and returns the outcome and the time of the first byte. The
// outcome is Complete if the stream lasts that long or ends cleanly before, Broken if it is cut off or empty.
func (s *sender) readStream(
	res *http.Response, r Request, timeout *time.Timer, timedOut *atomic.Bool,
) (Outcome, time.Time) {
	buf := make([]byte, 1)
	if _, err := io.ReadFull(res.Body, buf); err != nil {
		return outcomeOnError(timedOut), time.Now()
	}
	firstByteAt := time.Now()
	if !timeout.Reset(r.Stream.Std()) {
		return Timeout, firstByteAt
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil && !timedOut.Load() {
		return Broken, firstByteAt
	}
	return Complete, firstByteAt
}

// expectation holds the properties of a request that its response must repeat.
type expectation struct {
	path     string // as received by the target, without query
	checksum string // of the request body
}

func newExpectation(req *http.Request) expectation {
	_, path, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/services/"), "/")
	checksum := req.Header.Get(target.ChecksumHeader)
	if checksum == "" {
		checksum = target.Checksum(nil)
	}
	return expectation{path: "/" + path, checksum: checksum}
}

// matches reports whether a response with a valid checksum answers this request. The response to an ordinary path names
// the path and the checksum of the request body, and the response to /echo is the request body. The request ID in the
// response header cannot be used, because an entry assigns a new ID to each request.
func (e expectation) matches(body []byte) bool {
	if strings.HasPrefix(e.path, "/echo") && target.Checksum(body) == e.checksum {
		return true
	}
	var a target.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return false
	}
	return strings.HasSuffix(a.Path, e.path) && a.Body == e.checksum // without an entry, a.Path starts with /services
}

// classify returns the outcome of a response whose body was read completely.
func classify(res *http.Response, body []byte, want expectation) Outcome {
	switch res.Header.Get(outcomeHeader) {
	case "NotRun":
		return NotRun
	case "Unknown":
		return Unknown
	}
	checksum := res.Header.Get(target.ChecksumHeader)
	if checksum == "" {
		checksum = res.Trailer.Get(target.ChecksumHeader)
	}
	if checksum != "" && checksum != target.Checksum(body) {
		return Wrong
	}
	if res.StatusCode >= http.StatusBadRequest {
		return Failed
	}
	if checksum != "" && !want.matches(body) {
		return Wrong
	}
	return Complete
}
