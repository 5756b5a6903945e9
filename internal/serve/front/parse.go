package front

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// Header fields of requests and responses that callers use.
const (
	HeaderDeadline       = "Trefoilramp-Deadline"
	HeaderIdempotent     = "Trefoilramp-Idempotent"
	HeaderOutcome        = "Trefoilramp-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathPrefix    = "/services/"
	maxKeyLength  = 255      // bytes
	maxHeaderSize = 40 << 10 // bytes; the rest of the request head must fit into the same frame of 64 KiB
)

// requestParams holds what the entry reads from the path and the header fields of a request.
type requestParams struct {
	service    string
	path       string // with the query, as forwarded to the target
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

// parsePath splits the path of a request into the service and the path that is forwarded to the target.
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

// parseParams reads the header fields of a request. The deadline is zero if the request has none.
func parseParams(r *http.Request) (requestParams, error) {
	var params requestParams
	var err error
	for _, k := range []string{HeaderDeadline, HeaderIdempotent, HeaderIdempotencyKey} {
		if len(r.Header[k]) > 1 {
			return params, errRepeated
		}
	}
	if v, ok := headerValue(r, HeaderDeadline); ok {
		if params.deadline, err = time.Parse(time.RFC3339Nano, v); err != nil {
			return params, errDeadline
		}
	}
	if params.idempotent, err = parseIdempotent(r); err != nil {
		return params, err
	}
	if v, ok := headerValue(r, HeaderIdempotencyKey); ok {
		if params.key, err = parseKey(v); err != nil {
			return params, err
		}
	}
	return params, nil
}

func headerValue(r *http.Request, name string) (string, bool) {
	v, ok := r.Header[name]
	if !ok || len(v) == 0 {
		return "", false
	}
	return strings.TrimSpace(v[0]), true
}

func parseIdempotent(r *http.Request) (bool, error) {
	v, ok := headerValue(r, HeaderIdempotent)
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

// parseKey parses an idempotency key, with or without the quotes of a structured field.
func parseKey(v string) (string, error) {
	if len(v) >= 2 && v[0] == '"' && v[len(v)-1] == '"' {
		v = v[1 : len(v)-1]
	}
	if v == "" || len(v) > maxKeyLength {
		return "", errKey
	}
	for _, c := range []byte(v) {
		if c <= ' ' || c > '~' || c == '"' {
			return "", errKey
		}
	}
	return v, nil
}

// kindOf returns the kind of request by which run times are learned: the method and the first segment of the path.
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
			n += len(k) + len(v) + 8 // separators and lengths in the encoded message
		}
	}
	return n
}
