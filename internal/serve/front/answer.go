package front

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/claim"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

// streamAfter bounds how long the beginning of a response of unknown length is held back for its end.
const streamAfter = 500 * time.Millisecond

var errExpired = errors.New("the deadline passed before the response began")

// answer receives the response of an attempt.
type answer interface {
	// inform passes on an informational response; nothing can be retried after that.
	inform(head *wire.ResponseHead) error
	// begin takes the head of the final response.
	begin(head *wire.ResponseHead) error
	Write(p []byte) (int, error)
	// finish is called after the end of the response was verified.
	finish(trailer http.Header) error
	// discard drops what is buffered and reports false when bytes were already sent.
	discard() bool
	// expire reports whether the response had not begun, and keeps it from beginning later.
	expire() bool
	// fail reports a verdict in place of a response, or aborts a response that has begun.
	fail(v wire.Verdict)
}

// httpAnswer buffers a response to a caller, so that its outcome is known before the status line is sent, and streams
// it when it is too long or stays open.
type httpAnswer struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	method string
	memory *memory
	via    string      // field value of Via
	unread func() bool // whether bytes of the request may still come; nil for no
	old    bool        // the caller's version of HTTP has no informational responses

	mu       sync.Mutex
	taken    int
	head     *wire.ResponseHead
	buf      []byte
	timer    *time.Timer
	informed bool
	started  bool // the status line was sent
	prompt   bool // each write is flushed
	expired  bool
	aborted  bool
}

func newHTTPAnswer(w http.ResponseWriter, r *http.Request, m *memory) *httpAnswer {
	return &httpAnswer{
		w:      w,
		rc:     http.NewResponseController(w),
		method: r.Method,
		memory: m,
		via:    fmt.Sprintf("%d.%d %s", r.ProtoMajor, r.ProtoMinor, viaName),
		old:    !r.ProtoAtLeast(1, 1),
	}
}

func (a *httpAnswer) inform(head *wire.ResponseHead) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.expired || a.started:
		return errExpired
	case a.old:
		return nil
	}
	a.informed = true
	h := a.w.Header()
	for k, v := range head.Header {
		h[k] = v
	}
	a.w.WriteHeader(head.Status)
	clear(h)
	return nil
}

func (a *httpAnswer) begin(head *wire.ResponseHead) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.expired {
		return errExpired
	}
	a.head = head
	switch {
	case relay.IsStreaming(head.Header):
		a.prompt = true
		a.start()
	case head.ContentLength > bufferLimit:
		a.start()
	case head.ContentLength < 0:
		a.timer = time.AfterFunc(streamAfter, a.startLate)
	}
	return nil
}

// closeIfUnread ends the connection after a response that does not wait for the whole request. In full duplex, net/http
// keeps a connection whose last read was interrupted and would take the rest of the body for the next request.
func (a *httpAnswer) closeIfUnread() {
	if a.unread != nil && a.unread() {
		a.w.Header().Set("Connection", "close")
	}
}

// startLate begins to stream a response that trickles in.
func (a *httpAnswer) startLate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.expired || a.head == nil {
		return
	}
	a.prompt = true
	a.start()
}

// start sends the head and what is buffered; a.mu is held.
func (a *httpAnswer) start() {
	a.started = true
	a.stopTimer()
	h := a.w.Header()
	for k, v := range a.head.Header {
		h[k] = v
	}
	h.Set(HeaderOutcome, string(Complete))
	addVia(h, a.via)
	a.closeIfUnread()
	if len(a.head.Trailer) > 0 {
		h["Trailer"] = a.head.Trailer
	}
	a.w.WriteHeader(a.head.Status)
	if len(a.buf) > 0 {
		_, _ = a.w.Write(a.buf) // an error ends the caller's context
	}
	a.drop()
	if a.prompt {
		_ = a.rc.Flush()
	}
}

// Write implements io.Writer.
func (a *httpAnswer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.expired {
		return 0, errExpired
	}
	if !a.started {
		if len(a.buf)+len(p) <= bufferLimit && a.keep(p) {
			return len(p), nil
		}
		a.start()
	}
	n, err := a.w.Write(p)
	if err == nil && a.prompt {
		err = a.rc.Flush()
	}
	return n, err
}

// keep buffers p and reports false when the entry's memory for buffers is used up.
func (a *httpAnswer) keep(p []byte) bool {
	if need := len(a.buf) + len(p); need > cap(a.buf) {
		size := max(need, 2*cap(a.buf))
		if a.head.ContentLength > 0 {
			size = max(need, int(a.head.ContentLength))
		}
		if !a.memory.take(size - cap(a.buf)) {
			return false
		}
		a.taken += size - cap(a.buf)
		grown := make([]byte, len(a.buf), size)
		copy(grown, a.buf)
		a.buf = grown
	}
	a.buf = append(a.buf, p...)
	return true
}

func (a *httpAnswer) finish(trailer http.Header) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.expired {
		return errExpired
	}
	h := a.w.Header()
	if !a.started {
		if len(trailer) == 0 && a.mayHaveBody() && a.head.Header["Content-Length"] == nil {
			h.Set("Content-Length", strconv.Itoa(len(a.buf)))
		}
		a.start()
	}
	for k, v := range trailer {
		if _, ok := h[k]; ok || !a.isAnnounced(k) {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
	return nil
}

func (a *httpAnswer) isAnnounced(name string) bool {
	for _, k := range a.head.Trailer {
		if k == name {
			return true
		}
	}
	return false
}

func (a *httpAnswer) mayHaveBody() bool {
	return a.method != http.MethodHead && a.head.Status != http.StatusNoContent &&
		a.head.Status != http.StatusNotModified
}

func (a *httpAnswer) discard() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.informed || a.expired {
		return false
	}
	a.stopTimer()
	a.head = nil
	a.drop()
	return true
}

// drop forgets the buffer; a.mu is held.
func (a *httpAnswer) drop() {
	a.buf = nil
	a.memory.give(a.taken)
	a.taken = 0
}

func (a *httpAnswer) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}

func (a *httpAnswer) expire() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started {
		return false
	}
	a.expired = true
	return true
}

func (a *httpAnswer) fail(v wire.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopTimer()
	a.drop()
	if a.started {
		a.aborted = true
		return
	}
	a.started = true
	a.closeIfUnread()
	problemOf(v).write(a.w, time.Duration(v.RetryAfter))
}

// refuse answers with a problem of the request itself.
func (a *httpAnswer) refuse(p Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	a.closeIfUnread()
	p.write(a.w, time.Second)
}

// recordable returns the buffered response, or false when it was already sent in part.
func (a *httpAnswer) recordable(trailer http.Header) (claim.Response, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.head == nil {
		return claim.Response{}, false
	}
	a.stopTimer() // the response is whole and waits only for its record
	return claim.Response{Status: a.head.Status, Header: a.head.Header, Body: a.buf, Trailer: trailer}, true
}

// end stops what is left and reports whether the response must be shown as broken.
func (a *httpAnswer) end() (aborted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopTimer()
	a.drop()
	a.expired = true
	return a.aborted
}
