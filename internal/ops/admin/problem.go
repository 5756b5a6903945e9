package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// ProblemType is the media type of error responses, as defined in RFC 9457.
const ProblemType = "application/problem+json"

// Problem is an error response; the members that RFC 9457 defines are in lower case.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Faults  []strict.Fault `json:",omitempty"` // faults in the submitted document
	Version uint64         `json:",omitempty"` // accepted configuration version, if the submitted base is outdated
}

func problem(status int, detail string) *Problem {
	return &Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
}

const retryAfter = 2 // seconds, within which the store stand-in and real stores refill their request budgets

func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	switch p.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	case http.StatusUnauthorized:
		h.Set("WWW-Authenticate", `Bearer realm="trefoilramp"`)
	}
	writeBody(w, p.Status, p)
}

func writeBody(w http.ResponseWriter, status int, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, "encode response", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	w.Write(append(b, '\n'))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, v)
}
