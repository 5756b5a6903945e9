package admin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// ErrNotFound means that the object named in a request does not exist.
var ErrNotFound = errors.New("not found")

// ETag returns the entity tag of a version; version 0 means that there is no configuration.
func ETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseETag returns the version of an entity tag in the format of ETag.
func ParseETag(s string) (uint64, error) {
	unquoted, ok := strings.CutPrefix(s, `"`)
	if ok {
		unquoted, ok = strings.CutSuffix(unquoted, `"`)
	}
	v, err := strconv.ParseUint(unquoted, 10, 64)
	if !ok || err != nil {
		return 0, errors.Newf("entity tag %q is not a version in quotes", s)
	}
	return v, nil
}

// AcceptResponse is the response to an accepted configuration.
type AcceptResponse struct {
	Version uint64
	Hash    string
}

func (a *API) getConfig(w http.ResponseWriter, r *http.Request) *Problem {
	c, p := a.requestedConfig(r)
	if p != nil {
		return p
	}
	b, err := c.Document.Encode()
	if err != nil {
		return problem(http.StatusInternalServerError, err.Error())
	}
	w.Header().Set("ETag", ETag(c.Version))
	w.Header().Set("Content-Type", "application/json")
	w.Write(b)
	return nil
}

// requestedConfig returns the version in the query, or else the newest one available to this entry.
func (a *API) requestedConfig(r *http.Request) (*head.Current, *Problem) {
	if s := r.URL.Query().Get("Version"); s != "" {
		version, err := strconv.ParseUint(s, 10, 64)
		if err != nil || version == 0 {
			return nil, problem(http.StatusBadRequest, "Version is not a number from 1")
		}
		c, err := a.Config.Load(r.Context(), version)
		if err != nil {
			return nil, storeProblem(err, fmt.Sprintf("version %d is not kept or was never accepted", version))
		}
		return c, nil
	}
	checkErr := a.Config.Check(r.Context()) // a late notification must not make operators edit an outdated version
	if c := a.Config.Current(); c != nil {
		return c, nil
	}
	if checkErr != nil {
		return nil, storeProblem(checkErr, "")
	}
	return nil, problem(http.StatusNotFound, `no configuration is accepted yet; submit the first with If-Match: "0"`)
}

func (a *API) putConfig(w http.ResponseWriter, r *http.Request) *Problem {
	p := a.acceptConfig(w, r)
	if a.Metrics != nil {
		status := http.StatusOK
		if p != nil {
			status = p.Status
		}
		a.Metrics.Counter(metric.ConfigChanges, strconv.Itoa(status)).Inc(1)
	}
	return p
}

func (a *API) acceptConfig(w http.ResponseWriter, r *http.Request) *Problem {
	author, p := operator(r)
	if p != nil {
		return p
	}
	base, p := baseVersion(r)
	if p != nil {
		return p
	}
	b, p := readBody(w, r, model.MaxDocument)
	if p != nil {
		return p
	}
	d, err := model.Parse(b)
	if err != nil {
		return faultsProblem(err)
	}
	c, err := a.Config.Accept(r.Context(), head.Change{Author: author, Base: base, Document: d})
	if err != nil {
		return AcceptProblem(err)
	}
	w.Header().Set("ETag", ETag(c.Version))
	writeJSON(w, http.StatusOK, AcceptResponse{Version: c.Version, Hash: c.Hash})
	return nil
}

func baseVersion(r *http.Request) (uint64, *Problem) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, problem(http.StatusPreconditionRequired,
			`If-Match must name the version that was changed, as in the ETag of GET; "0" when there is none`)
	}
	base, err := ParseETag(tag)
	if err != nil {
		return 0, problem(http.StatusBadRequest, "If-Match: "+err.Error())
	}
	return base, nil
}

// AcceptProblem returns the problem for an error of Config.Accept.
func AcceptProblem(err error) *Problem {
	if ce := (*head.ConflictError)(nil); errors.As(err, &ce) {
		next := "; read it, repeat the change on it and submit again"
		if ce.Earlier != 0 {
			next = "; read it before you submit the change again"
		}
		p := problem(http.StatusPreconditionFailed, ce.Error()+next)
		p.Version = ce.Actual.Version
		return p
	}
	if strict.FaultsOf(err) != nil {
		return faultsProblem(err)
	}
	return storeProblem(err, "")
}

func faultsProblem(err error) *Problem {
	p := problem(http.StatusUnprocessableEntity, err.Error())
	p.Faults = strict.FaultsOf(err)
	if n := len(p.Faults); n > 0 {
		p.Detail = fmt.Sprintf("%d faults", n)
	}
	if len(p.Faults) == 1 {
		p.Detail = p.Faults[0].String()
	}
	return p
}

// storeProblem returns the problem for an error of the store; notFound is the detail for an object that does not exist.
func storeProblem(err error, notFound string) *Problem {
	switch {
	case errors.Is(err, table.ErrNotFound), errors.Is(err, ErrNotFound):
		return problem(http.StatusNotFound, notFound)
	case errors.Is(err, table.ErrUnknown):
		return problem(http.StatusGatewayTimeout, "the outcome is unknown; read the state again before repeating: "+err.Error())
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrRateLimited):
		return problem(http.StatusServiceUnavailable, "nothing was changed; try again later: "+err.Error())
	}
	return problem(http.StatusInternalServerError, err.Error())
}

const defaultHistoryLimit = 20

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) *Problem {
	before, limit := uint64(0), defaultHistoryLimit
	if s := r.URL.Query().Get("Before"); s != "" {
		v, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return problem(http.StatusBadRequest, "Before is not a version")
		}
		before = v
	}
	limit, p := readLimit(r, limit)
	if p != nil {
		return p
	}
	list, err := a.Config.History(r.Context(), before, limit)
	if err != nil {
		return storeProblem(err, "")
	}
	writeJSON(w, http.StatusOK, struct{ Revisions []head.Revision }{list})
	return nil
}

const maxLimit = 200 // elements of a list in one response

func readLimit(r *http.Request, fallback int) (int, *Problem) {
	s := r.URL.Query().Get("Limit")
	if s == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxLimit {
		return 0, problem(http.StatusBadRequest, fmt.Sprintf("Limit is not a number from 1 to %d", maxLimit))
	}
	return n, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Problem) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, problem(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body has more than %d bytes", limit))
	}
	if err != nil {
		return nil, problem(http.StatusBadRequest, "the body could not be read: "+err.Error())
	}
	return b, nil
}
