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

// streamDelay is the maximum time for which a response of unknown length is buffered before it is streamed.
const streamDelay = 500 * time.Millisecond

var errExpired = errors.New("the deadline passed before the response began")

// responseWriter receives the response of an attempt.
type responseWriter interface {
	// sendInformational forwards an informational response. The request cannot be retried after that.
	sendInformational(head *wire.ResponseHead) error
	// begin receives the head of the final response.
	begin(head *wire.ResponseHead) error
	Write(p []byte) (int, error)
	// finish is called after the end of the response was verified; it sends what is left.
	finish(trailer http.Header) error
	// discard drops a buffered response before a retry. It reports false if a retry is impossible, because part of the
	// response was sent or the deadline has passed.
	discard() bool
	// expire prevents a response that has not started from starting, and reports whether it did so.
	expire() bool
	// fail sends a verdict instead of a response, or aborts a response that has started.
	fail(v wire.Verdict)
}

// httpWriter writes a response to a caller. It buffers the response, so that the outcome is known before the status
// line is sent, and streams it if it is too long, too slow or long-lived.
type httpWriter struct {
	w               http.ResponseWriter
	rc              *http.ResponseController
	method          string
	memory          *memory
	via             string      // value of the Via field
	isUnread        func() bool // reports whether the body may have unread bytes; nil means none
	noInformational bool        // the caller uses HTTP/1.0, which has no informational responses

	mu                sync.Mutex
	reserved          int
	head              *wire.ResponseHead
	buf               []byte
	timer             *time.Timer
	sentInformational bool
	started           bool // the status line was sent
	autoFlush         bool // flush after each write
	expired           bool
	aborted           bool
}

func newHTTPWriter(w http.ResponseWriter, r *http.Request, m *memory) *httpWriter {
	return &httpWriter{
		w:               w,
		rc:              http.NewResponseController(w),
		method:          r.Method,
		memory:          m,
		via:             fmt.Sprintf("%d.%d %s", r.ProtoMajor, r.ProtoMinor, viaName),
		noInformational: !r.ProtoAtLeast(1, 1),
	}
}

func (hw *httpWriter) sendInformational(head *wire.ResponseHead) error {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	switch {
	case hw.expired || hw.started:
		return errExpired
	case hw.noInformational:
		return nil
	}
	hw.sentInformational = true
	h := hw.w.Header()
	for k, v := range head.Header {
		h[k] = v
	}
	hw.w.WriteHeader(head.Status)
	clear(h)
	return nil
}

func (hw *httpWriter) begin(head *wire.ResponseHead) error {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.expired {
		return errExpired
	}
	hw.head = head
	switch {
	case relay.IsStreaming(head.Header):
		hw.autoFlush = true
		hw.start()
	case head.ContentLength > bufferLimit:
		hw.start()
	case head.ContentLength < 0:
		hw.timer = time.AfterFunc(streamDelay, hw.startStreaming)
	}
	return nil
}

// closeIfUnread closes the connection after a response that starts before the whole request was read. In full-duplex
// mode, net/http reuses a connection whose last read was interrupted, and would parse the rest of the body as the next
// request.
func (hw *httpWriter) closeIfUnread() {
	if hw.isUnread != nil && hw.isUnread() {
		hw.w.Header().Set("Connection", "close")
	}
}

// startStreaming starts to stream a response that is not complete after streamDelay.
func (hw *httpWriter) startStreaming() {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.started || hw.expired || hw.head == nil {
		return
	}
	hw.autoFlush = true
	hw.start()
}

// start sends the head and the buffered bytes. The caller must hold hw.mu.
func (hw *httpWriter) start() {
	hw.started = true
	hw.stopTimer()
	h := hw.w.Header()
	for k, v := range hw.head.Header {
		h[k] = v
	}
	h.Set(HeaderOutcome, string(Complete))
	addVia(h, hw.via)
	hw.closeIfUnread()
	if len(hw.head.Trailer) > 0 {
		h["Trailer"] = hw.head.Trailer
	}
	hw.w.WriteHeader(hw.head.Status)
	if len(hw.buf) > 0 {
		_, _ = hw.w.Write(hw.buf) // an error ends the caller's context
	}
	hw.releaseBuffer()
	if hw.autoFlush {
		_ = hw.rc.Flush()
	}
}

// Write implements io.Writer.
func (hw *httpWriter) Write(p []byte) (int, error) {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.expired {
		return 0, errExpired
	}
	if !hw.started {
		if len(hw.buf)+len(p) <= bufferLimit && hw.appendBuffer(p) {
			return len(p), nil
		}
		hw.start()
	}
	n, err := hw.w.Write(p)
	if err == nil && hw.autoFlush {
		err = hw.rc.Flush()
	}
	return n, err
}

// appendBuffer buffers p. It returns false if the entry's memory for buffers is exhausted.
func (hw *httpWriter) appendBuffer(p []byte) bool {
	if need := len(hw.buf) + len(p); need > cap(hw.buf) {
		size := max(need, 2*cap(hw.buf))
		if hw.head.ContentLength > 0 {
			size = max(need, int(hw.head.ContentLength))
		}
		if !hw.memory.reserve(size - cap(hw.buf)) {
			return false
		}
		hw.reserved += size - cap(hw.buf)
		grown := make([]byte, len(hw.buf), size)
		copy(grown, hw.buf)
		hw.buf = grown
	}
	hw.buf = append(hw.buf, p...)
	return true
}

func (hw *httpWriter) finish(trailer http.Header) error {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.expired {
		return errExpired
	}
	h := hw.w.Header()
	if !hw.started {
		if len(trailer) == 0 && hw.mayHaveBody() && hw.head.Header["Content-Length"] == nil {
			h.Set("Content-Length", strconv.Itoa(len(hw.buf)))
		}
		hw.start()
	}
	for k, v := range trailer {
		if _, ok := h[k]; ok || !hw.isAnnounced(k) {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
	return nil
}

func (hw *httpWriter) isAnnounced(name string) bool {
	for _, k := range hw.head.Trailer {
		if k == name {
			return true
		}
	}
	return false
}

func (hw *httpWriter) mayHaveBody() bool {
	return hw.method != http.MethodHead && hw.head.Status != http.StatusNoContent &&
		hw.head.Status != http.StatusNotModified
}

func (hw *httpWriter) discard() bool {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.started || hw.sentInformational || hw.expired {
		return false
	}
	hw.stopTimer()
	hw.head = nil
	hw.releaseBuffer()
	return true
}

// releaseBuffer releases the buffer and its memory. The caller must hold hw.mu.
func (hw *httpWriter) releaseBuffer() {
	hw.buf = nil
	hw.memory.release(hw.reserved)
	hw.reserved = 0
}

func (hw *httpWriter) stopTimer() {
	if hw.timer != nil {
		hw.timer.Stop()
		hw.timer = nil
	}
}

func (hw *httpWriter) expire() bool {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.started {
		return false
	}
	hw.expired = true
	return true
}

func (hw *httpWriter) fail(v wire.Verdict) {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	hw.stopTimer()
	hw.releaseBuffer()
	if hw.started {
		hw.aborted = true
		return
	}
	hw.started = true
	hw.closeIfUnread()
	verdictProblem(v).write(hw.w, time.Duration(v.RetryAfter))
}

// refuse sends a problem with the request itself.
func (hw *httpWriter) refuse(p Problem) {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	hw.started = true
	hw.closeIfUnread()
	p.write(hw.w, time.Second)
}

// bufferedResponse returns the buffered response, or false if part of it was already sent.
func (hw *httpWriter) bufferedResponse(trailer http.Header) (claim.Response, bool) {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.started || hw.head == nil {
		return claim.Response{}, false
	}
	hw.stopTimer() // the response is complete; only its record is outstanding
	return claim.Response{Status: hw.head.Status, Header: hw.head.Header, Body: hw.buf, Trailer: trailer}, true
}

// close releases the writer's resources and reports whether the response was aborted.
func (hw *httpWriter) close() (aborted bool) {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	hw.stopTimer()
	hw.releaseBuffer()
	hw.expired = true
	return hw.aborted
}
