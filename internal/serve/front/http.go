package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

const (
	viaName     = "trefoilramp"
	allMethods  = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, TRACE"
	maxForwards = "Max-Forwards"

	// lingerTimeout limits the time for reading the rest of a request after its response. Closing a connection with
	// unread bytes resets it, and the caller may lose the response.
	lingerTimeout = time.Second
)

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		refuse(w, requestProblem(http.StatusNotImplemented, "CONNECT is not supported"))
		return
	}
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		respondOptions(w)
		return
	}
	params, svc, p := f.parse(r)
	if p != nil {
		refuse(w, *p)
		return
	}
	header := relay.EndToEnd(r.Header)
	if handleMaxForwards(w, r, header) {
		return
	}
	f.handle(w, r, params, svc, header)
}

func refuse(w http.ResponseWriter, p Problem) { p.write(w, time.Second) }

// parse reads a request. It returns a problem if the request is malformed or exceeds a limit.
func (f *Front) parse(r *http.Request) (requestParams, Service, *Problem) {
	fail := func(status int, detail string) (requestParams, Service, *Problem) {
		p := requestProblem(status, detail)
		return requestParams{}, Service{}, &p
	}
	name, path, err := parsePath(r.URL)
	if err != nil {
		return fail(http.StatusNotFound, err.Error())
	}
	svc, ok := f.cfg.Services.Service(name)
	if !ok && f.cfg.Ready != nil && !f.cfg.Ready() {
		p := verdictProblem(notRun(wire.ReasonConfig, "the entry has no configuration yet"))
		return requestParams{}, Service{}, &p
	}
	if !ok {
		return fail(http.StatusNotFound, fmt.Sprintf("service %q is unknown", name))
	}
	svc = svc.withDefaults()
	params, err := parseParams(r)
	if err != nil {
		return fail(http.StatusBadRequest, err.Error())
	}
	if r.ContentLength > svc.MaxBody {
		return fail(http.StatusRequestEntityTooLarge, errTooLarge.Error())
	}
	if headerSize(r.Header)+len(path) > maxHeaderSize {
		return fail(http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit")
	}
	now := time.Now()
	if params.deadline.IsZero() {
		params.deadline = now.Add(svc.DefaultDeadline)
	}
	if last := now.Add(svc.MaxDeadline); params.deadline.After(last) {
		params.deadline = last
	}
	params.service, params.path = name, path
	return params, svc, nil
}

// handle serves a well-formed request.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, params requestParams, svc Service, header http.Header) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	unregister, ok := f.register(cancel)
	if !ok {
		w.Header().Set("Connection", "close")
		refuse(w, verdictProblem(notRun(wire.ReasonDraining, "the entry takes no new requests")))
		return
	}
	defer unregister()
	hw := newHTTPWriter(w, r, &f.memory)
	c := f.newCall(r, params, svc, header, hw)
	defer c.body.release()
	if !c.deferRead {
		if v := c.bufferUntilDeadline(hw); v != nil {
			w.Header().Set("Connection", "close")
			hw.fail(*v)
			return
		}
	}
	if c.body.rest != nil {
		hw.isUnread = c.body.isUnread
		_ = hw.rc.EnableFullDuplex() // versions of HTTP that do not support it do not need it
	}
	c.serve(ctx)
	c.awaitBody(func() { _ = hw.rc.SetReadDeadline(time.Now()) })
	if c.body.isUnread() {
		_ = hw.rc.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	if hw.close() {
		if r.Context().Err() == nil {
			logBrokenResponse(f.cfg.Log, c, "response was cut off after its status line")
		}
		panic(http.ErrAbortHandler)
	}
}

// bufferUntilDeadline reads the body before admission, so that a slow caller occupies no slot, and stops at the
// deadline.
func (c *call) bufferUntilDeadline(hw *httpWriter) *wire.Verdict {
	if c.body.length == 0 {
		return c.buffer()
	}
	_ = hw.rc.SetReadDeadline(c.deadline) // if unsupported, the server's own limit applies
	v := c.buffer()
	_ = hw.rc.SetReadDeadline(time.Time{})
	return v
}

// addVia appends this hop to the Via field without modifying a shared slice.
func addVia(h http.Header, via string) {
	h["Via"] = append(h["Via"][:len(h["Via"]):len(h["Via"])], via)
}

func (f *Front) newCall(r *http.Request, params requestParams, svc Service, header http.Header, hw *httpWriter) *call {
	addVia(header, hw.via)
	if relay.AcceptsTrailers(r.Header) {
		header["Te"] = []string{"trailers"}
	}
	expects := strings.EqualFold(header.Get("Expect"), "100-continue")
	delete(header, "Expect") // handled here: net/http sends status 100 at the first read of the body
	c := &call{
		front:     f,
		service:   svc,
		deadline:  params.deadline,
		writer:    hw,
		deferRead: expects,
		head: wire.RequestHead{
			Request:    ident.NewRequest(),
			Service:    params.service,
			Method:     r.Method,
			Path:       params.path,
			Host:       r.Host,
			Header:     header,
			Deadline:   params.deadline.UnixNano(),
			Idempotent: params.idempotent,
		},
		body: &body{
			memory:  &f.memory,
			rest:    &limitedReader{r: r.Body, left: svc.MaxBody},
			length:  r.ContentLength,
			trailer: func() http.Header { return r.Trailer },
		},
	}
	for k := range r.Trailer {
		c.body.trailerNames = append(c.body.trailerNames, k)
	}
	c.head.Trailer = c.body.trailerNames
	if !params.idempotent {
		c.key = params.key
	}
	return c
}

// handleMaxForwards applies Max-Forwards to OPTIONS and TRACE (RFC 9110, section 7.6.2): it sends the response itself
// and returns true if the field is 0, and decrements it otherwise.
func handleMaxForwards(w http.ResponseWriter, r *http.Request, header http.Header) bool {
	if r.Method != http.MethodOptions && r.Method != http.MethodTrace {
		return false
	}
	n, err := strconv.ParseUint(header.Get(maxForwards), 10, 31)
	if err != nil {
		return false
	}
	if n > 0 {
		header[maxForwards] = []string{strconv.FormatUint(n-1, 10)}
		return false
	}
	if r.Method == http.MethodOptions {
		respondOptions(w)
		return true
	}
	respondTrace(w, r, header)
	return true
}

func respondOptions(w http.ResponseWriter) {
	w.Header().Set("Allow", allMethods)
	w.Header().Set(HeaderOutcome, string(Complete))
	w.WriteHeader(http.StatusNoContent)
}

// respondTrace returns the request without fields that may contain credentials (RFC 9110, section 9.3.8).
func respondTrace(w http.ResponseWriter, r *http.Request, header http.Header) {
	for _, k := range []string{"Authorization", "Cookie"} {
		delete(header, k)
	}
	w.Header().Set("Content-Type", "message/http")
	w.Header().Set(HeaderOutcome, string(Complete))
	fmt.Fprintf(w, "%s %s %s\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Proto, r.Host)
	_ = header.Write(w) // fails only if the caller has disconnected
	_, _ = io.WriteString(w, "\r\n")
}
