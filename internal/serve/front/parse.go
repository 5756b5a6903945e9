package front

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// Header fields of the callers' interface.
const (
	HeaderDeadline       = "Trefoilramp-Deadline"
	HeaderIdempotent     = "Trefoilramp-Idempotent"
	HeaderOutcome        = "Trefoilramp-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathPrefix = "/services/"
	maxKey     = 255      // characters
	maxHeader  = 40 << 10 // bytes; leaves room for the rest of the head in a frame of 64 KiB
)

// order is what a caller asks for.
type order struct {
	service    string
	path       string // with query, as the target sees it
	deadline   time.Time
	idempotent bool
	key        string
}

var (
	errPath       = errors.New("the path is not of the form /services/NAME/PATH")
	errDeadline   = errors.New(HeaderDeadline + " is not an RFC 3339 time")
	errIdempotent = errors.New(HeaderIdempotent + " is neither true nor false")
	errKey        = errors.New(HeaderIdempotencyKey + " is not 1 to 255 visible ASCII characters")
	errRepeated   = errors.New("a field that allows one value was sent more than once")
)

// parsePath splits the path of a request into the service and the path that the target sees.
func parsePath(u *url.URL) (service, path string, err error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), pathPrefix)
	if !ok {
		return "", "", errPath
	}
	service, path, _ = strings.Cut(rest, "/")
	if !ident.IsName(service) {
		return "", "", errPath
	}
	path = "/" + path
	if u.RawQuery != "" || u.ForceQuery {
		path += "?" + u.RawQuery
	}
	return service, path, nil
}

// parseOrder reads the fields of the callers' interface. The deadline is zero when there is none.
func parseOrder(r *http.Request) (order, error) {
	var o order
	var err error
	for _, k := range []string{HeaderDeadline, HeaderIdempotent, HeaderIdempotencyKey} {
		if len(r.Header[k]) > 1 {
			return o, errRepeated
		}
	}
	if v, ok := field(r, HeaderDeadline); ok {
		if o.deadline, err = time.Parse(time.RFC3339Nano, v); err != nil {
			return o, errDeadline
		}
	}
	if o.idempotent, err = parseIdempotent(r); err != nil {
		return o, err
	}
	if v, ok := field(r, HeaderIdempotencyKey); ok {
		if o.key, err = parseKey(v); err != nil {
			return o, err
		}
	}
	return o, nil
}

func field(r *http.Request, name string) (string, bool) {
	v, ok := r.Header[name]
	if !ok || len(v) == 0 {
		return "", false
	}
	return strings.TrimSpace(v[0]), true
}

func parseIdempotent(r *http.Request) (bool, error) {
	v, ok := field(r, HeaderIdempotent)
	switch {
	case ok && strings.EqualFold(v, "true"):
		return true, nil
	case ok && strings.EqualFold(v, "false"):
		return false, nil
	case ok:
		return false, errIdempotent
	}
	switch r.Method { // RFC 9110, section 9.2.2
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true, nil
	}
	return false, nil
}

// parseKey accepts a key with or without the quotes of a structured field.
func parseKey(v string) (string, error) {
	if len(v) >= 2 && v[0] == '"' && v[len(v)-1] == '"' {
		v = v[1 : len(v)-1]
	}
	if v == "" || len(v) > maxKey {
		return "", errKey
	}
	for _, c := range []byte(v) {
		if c <= ' ' || c > '~' || c == '"' {
			return "", errKey
		}
	}
	return v, nil
}

// kindOf names a kind of request for learned run times: the method and the first segment of the path.
func kindOf(method, path string) string {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexAny(path, "/?"); i >= 0 {
		path = path[:i]
	}
	return method + " " + path
}

func headerSize(h http.Header) int {
	n := 0
	for k, list := range h {
		for _, v := range list {
			n += len(k) + len(v) + 8 // separators, and the lengths in the encoded message
		}
	}
	return n
}
