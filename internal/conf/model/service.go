package model

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Limits of a service.
const (
	MinDeadline    = time.Millisecond
	MaxDeadline    = time.Hour
	MaxBody        = 1 << 30 // bytes
	MaxConnections = 1 << 20
	MaxStreamGrace = time.Hour
)

// Service holds the limits and routes of a service, which callers request and targets announce.
type Service struct {
	Name            string   // the name in /services/{name} and in announcements
	DefaultDeadline Duration // deadline of a request that has none, counted from its arrival
	MaxDeadline     Duration // longest deadline; a longer one is shortened to this
	Routes          []Route  `json:",omitempty"` // exceptions to the rule of RFC 9110 on idempotent methods
	MaxBody         int64    // largest request body in bytes
	MaxConnections  int64    // limit of open connections to one target
	LongSlotShare   float64  // share of a worker's slots that long requests may occupy, 0 to 1
	LongRun         Duration // a request that is expected to run longer counts as long
	StreamGrace     Duration // time for which open streams may continue when their target leaves
}

// Route declares whether requests to a path are idempotent.
type Route struct {
	Method     string `json:",omitempty"` // empty for every method
	Path       string // prefix that matches whole path segments, for example /bookings
	Idempotent bool
}

// IsIdempotent reports whether a request is idempotent according to the routes of s: the longest matching path applies,
// and among equal paths a route with a method. Without a matching route, the rule of RFC 9110 for the method applies.
func (s Service) IsIdempotent(method, path string) bool {
	best := -1
	for i, r := range s.Routes {
		if !r.matches(method, path) {
			continue
		}
		if best < 0 || r.precedes(s.Routes[best]) {
			best = i
		}
	}
	if best >= 0 {
		return s.Routes[best].Idempotent
	}
	return slices.Contains(idempotentMethods, method)
}

// idempotentMethods are the methods that RFC 9110, section 9.2.2, defines as idempotent.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut,
	http.MethodDelete}

// matches reports whether r applies to a request.
func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// precedes reports whether r is more specific than o.
func (r Route) precedes(o Route) bool {
	if len(r.Path) != len(o.Path) {
		return len(r.Path) > len(o.Path)
	}
	return r.Method != "" && o.Method == ""
}

func (s Service) check(c strict.Check) {
	CheckName(c.Field("Name"), s.Name)
	CheckDuration(c.Field("MaxDeadline"), s.MaxDeadline, MinDeadline, MaxDeadline)
	CheckDuration(c.Field("DefaultDeadline"), s.DefaultDeadline, MinDeadline, MaxDeadline)
	if s.MaxDeadline > 0 && s.DefaultDeadline > s.MaxDeadline {
		c.Field("DefaultDeadline").Fail(s.DefaultDeadline, "at most MaxDeadline, which is %q", s.MaxDeadline)
	}
	strict.Between(c.Field("MaxBody"), s.MaxBody, 1, MaxBody)
	strict.Between(c.Field("MaxConnections"), s.MaxConnections, 1, MaxConnections)
	strict.Between(c.Field("LongSlotShare"), s.LongSlotShare, 0, 1)
	CheckDuration(c.Field("LongRun"), s.LongRun, MinDeadline, MaxDeadline)
	CheckDuration(c.Field("StreamGrace"), s.StreamGrace, 0, MaxStreamGrace)
	seen := make(map[Route]bool, len(s.Routes))
	for i, r := range s.Routes {
		r.check(c.Field("Routes").Index(i), seen)
	}
}

func (r Route) check(c strict.Check, seen map[Route]bool) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# \t\r\n") {
		c.Field("Path").Fail(r.Path, "a path that starts with / and has no query")
	}
	if strings.ContainsFunc(r.Method, func(c rune) bool { return c < 'A' || c > 'Z' }) {
		c.Field("Method").Fail(r.Method, "a method in capital letters such as POST, or nothing for every method")
	}
	key := Route{Method: r.Method, Path: r.Path}
	if seen[key] {
		c.Fail(r, "one route for each method and path")
	}
	seen[key] = true
}
