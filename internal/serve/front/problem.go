package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Outcome reports to a caller whether its request ran.
type Outcome string

// Outcomes of requests: Complete with a response, NotRun if no target ran the request, else Unknown.
const (
	Complete Outcome = "Complete"
	NotRun   Outcome = "NotRun"
	Unknown  Outcome = "Unknown"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"Outcome"`
	Reason  string  `json:"Reason,omitempty"`
}

// verdictProblem returns the problem that describes a verdict.
func verdictProblem(v wire.Verdict) Problem {
	p := Problem{
		Type:    "about:blank",
		Status:  http.StatusGatewayTimeout,
		Detail:  v.Detail,
		Outcome: Unknown,
		Reason:  v.Reason.String(),
	}
	if v.NotRun {
		p.Outcome, p.Status = NotRun, http.StatusServiceUnavailable
	}
	switch v.Reason {
	case wire.ReasonQuota:
		if v.NotRun {
			p.Status = http.StatusTooManyRequests
		}
	case wire.ReasonTooLarge:
		p.Status = http.StatusRequestEntityTooLarge
	case wire.ReasonUnknownService:
		p.Status = http.StatusNotFound
	}
	p.Title = http.StatusText(p.Status)
	return p
}

// requestProblem returns a problem with the request itself, which did not run.
func requestProblem(status int, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Outcome: NotRun}
}

// write sends the problem. It rounds retryAfter up to whole seconds, as the Retry-After field requires.
func (p Problem) write(w http.ResponseWriter, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests {
		seconds := max(1, int(math.Ceil(retryAfter.Seconds())))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	b, err := json.Marshal(p)
	if err != nil { // cannot happen: all fields are strings or integers
		b = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(p.Status)
	w.Write(b)
}
