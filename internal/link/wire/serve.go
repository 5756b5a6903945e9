package wire

import (
	"net/http"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Reason -trimprefix Reason -output serve_string.go

// RequestHead opens the stream of a caller's request; the body follows.
type RequestHead struct {
	Request       ident.Request
	Service       string
	Target        string // target chosen by the sender; if empty, the receiver chooses
	Method        string
	Path          string // path and query sent to the target
	Host          string // of the caller's request
	Header        http.Header
	Trailer       []string // names of announced trailer fields
	Deadline      int64    // ns since 1970 on the sender's wall clock; the receiver converts it to its own
	Idempotent    bool
	Long          bool // expected to be long-running
	Hops          uint8
	ContentLength int64 // -1 when unknown
}

// ResponseHead opens the response to a request; the body follows.
type ResponseHead struct {
	Status        int // heads with a 1xx status precede the final head
	Header        http.Header
	Trailer       []string // names of announced trailer fields
	ContentLength int64    // -1 when unknown
}

// Reason is why a request did not run or why its outcome is unknown.
type Reason uint8

// Reasons of a Verdict.
const (
	ReasonNone Reason = iota
	ReasonNoTarget
	ReasonOverloaded
	ReasonDeadline
	ReasonLeaving
	ReasonDraining
	ReasonQuota
	ReasonStore
	ReasonUnknownService
	ReasonTooLarge
	ReasonUnreachable
	ReasonBrokenOff
	ReasonConfig
)

// Verdict ends a stream in place of a response.
type Verdict struct {
	NotRun     bool // true: the request did not run; false: the outcome is unknown
	Reason     Reason
	Detail     string
	RetryAfter int64 // ns
}

// Trailers holds the trailer fields that follow the body of a request or response.
type Trailers struct {
	Header http.Header
}

// Kind implements Message.
func (*RequestHead) Kind() Kind { return KindRequestHead }

// Kind implements Message.
func (*ResponseHead) Kind() Kind { return KindResponseHead }

// Kind implements Message.
func (*Verdict) Kind() Kind { return KindVerdict }

// Kind implements Message.
func (*Trailers) Kind() Kind { return KindTrailers }

func init() {
	register(&RequestHead{}, &ResponseHead{}, &Verdict{}, &Trailers{})
}
