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
	maxAnswer     = 64 << 20 // bytes of a response
)

// newClient returns an HTTP client that follows no redirect, uses no proxy and connects to loopback addresses only.
func newClient(connections int) *http.Client {
	d := &net.Dialer{Timeout: time.Second, Control: func(_, address string, _ syscall.RawConn) error {
		if !isLoopback(address) {
			return errors.Newf("%s is no loopback address", address)
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
	run    string // part of request identities and keys, so that a repeated run collides with no earlier one
	client *http.Client
	body   []byte // random bytes, of which each request sends a part
}

// send sends the n-th request, whose arrival was scheduled for the time due, and returns its outcome and when it ended.
func (s *sender) send(ctx context.Context, a Arrival, n int, due time.Time) (Outcome, time.Time) {
	r := s.e.Services[a.Service].Requests[a.Request]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var late atomic.Bool
	limit := time.AfterFunc(time.Until(due.Add(r.Deadline.Std()+s.e.Patience.Std())), func() { late.Store(true); cancel() })
	defer limit.Stop()
	id := s.run + "-" + strconv.Itoa(n)
	req, err := s.request(ctx, a, r, id, due)
	if err != nil {
		return Broken, time.Now()
	}
	res, err := s.client.Do(req)
	if err != nil {
		return broken(&late), time.Now()
	}
	defer res.Body.Close()
	if r.Stream > 0 && res.StatusCode < http.StatusBadRequest {
		return s.follow(res, r, limit, &late)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	end := time.Now()
	if err != nil {
		return broken(&late), end
	}
	return classify(res, b, sentOf(req)), end
}

func broken(late *atomic.Bool) Outcome {
	if late.Load() {
		return Timeout
	}
	return Broken
}

func (s *sender) request(ctx context.Context, a Arrival, r Request, id string, due time.Time) (*http.Request, error) {
	path, query, hasQuery := strings.Cut(r.Path, "?")
	path = strings.TrimSuffix(path, "/") + "/" + id // its response names the path, which shows whose response it is
	url := "http://" + s.e.Entries[a.Entry] + "/services/" + s.e.Services[a.Service].Name + path
	if hasQuery {
		url += "?" + query
	}
	var body io.Reader
	var sum string
	if r.Body > 0 {
		from := int(a.At) % (len(s.body) - r.Body + 1)
		part := s.body[from : from+r.Body]
		body, sum = bytes.NewReader(part), target.Checksum(part)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set(notice.RequestHeader, id)
	req.Header.Set("Trefoilramp-Deadline", due.Add(r.Deadline.Std()).UTC().Format(time.RFC3339Nano))
	if sum != "" {
		req.Header.Set(target.ChecksumHeader, sum)
	}
	if r.Key {
		req.Header.Set("Idempotency-Key", id)
	}
	if r.Idempotent != "" {
		req.Header.Set("Trefoilramp-Idempotent", r.Idempotent)
	}
	return req, nil
}

// follow reads a stream for its time; it is complete when it lasts that long or ends properly before.
func (s *sender) follow(res *http.Response, r Request, limit *time.Timer, late *atomic.Bool) (Outcome, time.Time) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(res.Body, first); err != nil {
		return broken(late), time.Now()
	}
	begun := time.Now()
	if !limit.Reset(r.Stream.Std()) {
		return Timeout, begun
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil && !late.Load() {
		return Broken, begun
	}
	return Complete, begun
}

// sent is what the response to a request must name.
type sent struct {
	path string // as the target sees it, without query
	sum  string // checksum of the body
}

func sentOf(req *http.Request) sent {
	_, path, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/services/"), "/")
	sum := req.Header.Get(target.ChecksumHeader)
	if sum == "" {
		sum = target.Checksum(nil)
	}
	return sent{path: "/" + path, sum: sum}
}

// belongs reports whether a response whose checksum is right is the one to this request: an ordinary path describes the
// request, and an echo has its body. An entry gives each request an identity of its own, so that the identity in the
// response's header says nothing here.
func (s sent) belongs(body []byte) bool {
	if strings.HasPrefix(s.path, "/echo") && target.Checksum(body) == s.sum {
		return true
	}
	var a target.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return false
	}
	return strings.HasSuffix(a.Path, s.path) && a.Body == s.sum // a target without an entry sees the prefix /services too
}

// classify returns the outcome of a response that was read to its end.
func classify(res *http.Response, body []byte, request sent) Outcome {
	switch res.Header.Get(outcomeHeader) {
	case "NotRun":
		return NotRun
	case "Unknown":
		return Unknown
	}
	sum := res.Header.Get(target.ChecksumHeader)
	if sum == "" {
		sum = res.Trailer.Get(target.ChecksumHeader)
	}
	if sum != "" && sum != target.Checksum(body) {
		return Wrong
	}
	if res.StatusCode >= http.StatusBadRequest {
		return Failed
	}
	if sum != "" && !request.belongs(body) {
		return Wrong
	}
	return Complete
}
