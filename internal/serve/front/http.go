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

	// lingerTime bounds the reading of the rest of a request after its response; a connection that is closed with bytes
	// unread is reset, and the caller may lose the response.
	lingerTime = time.Second
)

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		refuse(w, problem(http.StatusNotImplemented, "CONNECT is not supported"))
		return
	}
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		answerOptions(w)
		return
	}
	o, svc, p := f.parse(r)
	if p != nil {
		refuse(w, *p)
		return
	}
	header := relay.EndToEnd(r.Header)
	if answerLastHop(w, r, header) {
		return
	}
	f.handle(w, r, o, svc, header)
}

func refuse(w http.ResponseWriter, p Problem) { p.write(w, time.Second) }

// parse returns the problem of a request that is malformed or over a limit.
func (f *Front) parse(r *http.Request) (order, Service, *Problem) {
	fail := func(status int, detail string) (order, Service, *Problem) {
		p := problem(status, detail)
		return order{}, Service{}, &p
	}
	name, path, err := parsePath(r.URL)
	if err != nil {
		return fail(http.StatusNotFound, err.Error())
	}
	svc, ok := f.cfg.Services.Service(name)
	if !ok && f.cfg.Ready != nil && !f.cfg.Ready() {
		p := problemOf(notRun(wire.ReasonConfig, "the entry has no configuration yet"))
		return order{}, Service{}, &p
	}
	if !ok {
		return fail(http.StatusNotFound, fmt.Sprintf("service %q is unknown", name))
	}
	svc = svc.withDefaults()
	o, err := parseOrder(r)
	if err != nil {
		return fail(http.StatusBadRequest, err.Error())
	}
	if r.ContentLength > svc.MaxBody {
		return fail(http.StatusRequestEntityTooLarge, errTooLarge.Error())
	}
	if headerSize(r.Header)+len(path) > maxHeader {
		return fail(http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit")
	}
	now := time.Now()
	if o.deadline.IsZero() {
		o.deadline = now.Add(svc.DefaultDeadline)
	}
	if last := now.Add(svc.MaxDeadline); o.deadline.After(last) {
		o.deadline = last
	}
	o.service, o.path = name, path
	return o, svc, nil
}

// handle runs a well-formed request.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, o order, svc Service, header http.Header) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	leave, ok := f.enter(cancel)
	if !ok {
		w.Header().Set("Connection", "close")
		refuse(w, problemOf(notRun(wire.ReasonDraining, "the entry takes no new requests")))
		return
	}
	defer leave()
	a := newHTTPAnswer(w, r, &f.memory)
	c := f.newCall(r, o, svc, header, a)
	defer c.body.release()
	if !c.readLate {
		if v := c.bufferInTime(a); v != nil {
			w.Header().Set("Connection", "close")
			a.fail(*v)
			return
		}
	}
	if c.body.rest != nil {
		a.unread = c.body.isUnread
		_ = a.rc.EnableFullDuplex() // not needed by the versions of HTTP that do not support it
	}
	c.serve(ctx)
	c.awaitPump(func() { _ = a.rc.SetReadDeadline(time.Now()) })
	if c.body.isUnread() {
		_ = a.rc.SetReadDeadline(time.Now().Add(lingerTime))
	}
	if a.end() {
		if r.Context().Err() == nil {
			logBroken(f.cfg.Log, c, "response was cut off after its status line")
		}
		panic(http.ErrAbortHandler)
	}
}

// bufferInTime reads the body before admission, so that a slow caller holds no slot, and no longer than the deadline.
func (c *call) bufferInTime(a *httpAnswer) *wire.Verdict {
	if c.body.length == 0 {
		return c.buffer()
	}
	_ = a.rc.SetReadDeadline(c.deadline) // without support, the server's own limit applies
	v := c.buffer()
	_ = a.rc.SetReadDeadline(time.Time{})
	return v
}

// addVia appends this hop to the field Via without changing a shared slice.
func addVia(h http.Header, via string) {
	h["Via"] = append(h["Via"][:len(h["Via"]):len(h["Via"])], via)
}

func (f *Front) newCall(r *http.Request, o order, svc Service, header http.Header, a *httpAnswer) *call {
	addVia(header, a.via)
	if relay.AcceptsTrailers(r.Header) {
		header["Te"] = []string{"trailers"}
	}
	expects := strings.EqualFold(header.Get("Expect"), "100-continue")
	delete(header, "Expect") // met here: net/http sends 100 when the body is first read
	c := &call{
		front:    f,
		service:  svc,
		deadline: o.deadline,
		answer:   a,
		readLate: expects,
		head: wire.RequestHead{
			Request:    ident.NewRequest(),
			Service:    o.service,
			Method:     r.Method,
			Path:       o.path,
			Host:       r.Host,
			Header:     header,
			Deadline:   o.deadline.UnixNano(),
			Idempotent: o.idempotent,
		},
		body: &body{
			memory:  &f.memory,
			rest:    &limitedReader{r: r.Body, left: svc.MaxBody},
			length:  r.ContentLength,
			trailer: func() http.Header { return r.Trailer },
		},
	}
	for k := range r.Trailer {
		c.body.names = append(c.body.names, k)
	}
	c.head.Trailer = c.body.names
	if !o.idempotent {
		c.key = o.key
	}
	return c
}

// answerLastHop handles Max-Forwards of OPTIONS and TRACE (RFC 9110, section 7.6.2): it answers when the count is used
// up, and lowers it otherwise.
func answerLastHop(w http.ResponseWriter, r *http.Request, header http.Header) bool {
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
		answerOptions(w)
		return true
	}
	answerTrace(w, r, header)
	return true
}

func answerOptions(w http.ResponseWriter) {
	w.Header().Set("Allow", allMethods)
	w.Header().Set(HeaderOutcome, string(Complete))
	w.WriteHeader(http.StatusNoContent)
}

// answerTrace reflects the request without fields that may hold credentials (RFC 9110, section 9.3.8).
func answerTrace(w http.ResponseWriter, r *http.Request, header http.Header) {
	for _, k := range []string{"Authorization", "Cookie"} {
		delete(header, k)
	}
	w.Header().Set("Content-Type", "message/http")
	w.Header().Set(HeaderOutcome, string(Complete))
	fmt.Fprintf(w, "%s %s %s\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Proto, r.Host)
	_ = header.Write(w) // an error means that the caller is gone
	_, _ = io.WriteString(w, "\r\n")
}
