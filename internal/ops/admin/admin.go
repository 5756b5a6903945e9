package admin

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

// Config gives the API access to the configuration.
type Config interface {
	Current() *head.Current
	Check(ctx context.Context) error
	Accept(ctx context.Context, c head.Change) (*head.Current, error)
	Load(ctx context.Context, version uint64) (*head.Current, error)
	History(ctx context.Context, before uint64, limit int) ([]head.Revision, error)
}

// Audit gives the API access to the audit log.
type Audit interface {
	List(ctx context.Context, before time.Time, limit int) ([]audit.Record, error)
	Write(ctx context.Context, r audit.Record) error
}

// Workers drains workers through their agents.
type Workers interface {
	// HasSession reports whether the agent of the named worker has a session with this entry.
	HasSession(worker string) bool
	// Drain commands a worker's agent to accept no new work; it returns ErrNotFound when no such agent has a session.
	Drain(ctx context.Context, worker string) error
}

// Options configure the API. Jobs, Workers, Status and Metrics may be nil in a process that has none.
type Options struct {
	Tokens  Tokens
	Config  Config
	Audit   Audit
	Jobs    Jobs
	Workers Workers
	Status  Reporter
	Metrics *metric.Set
	Ready   func() error // returns nil when the process accepts work; a nil function means always ready
	Log     *zap.Logger
	Now     func() time.Time // nil means time.Now
}

// API serves the administration API.
type API struct {
	Options
	mux         *http.ServeMux
	lastRefused atomic.Int64 // time of the last log line about a refused request, in ns since 1970
}

const (
	requestTimeout  = 20 * time.Second // long enough to look up the outcome of a change whose response was lost
	maxSmallBody    = 64 << 10         // bytes in the body of a request other than a configuration
	refusedInterval = time.Second      // minimum time between two log lines about refused requests
)

// New returns the API with the given options.
func New(o Options) *API {
	a := &API{Options: o, mux: http.NewServeMux()}
	if a.Log == nil {
		a.Log = zap.NewNop()
	}
	if a.Now == nil {
		a.Now = time.Now
	}
	a.mux.HandleFunc("GET /healthz", a.getHealth)
	a.mux.HandleFunc("GET /readyz", a.getReady)
	a.handle("GET /metrics", RoleRead, a.getMetrics)
	a.handle("GET /v1/config", RoleRead, a.getConfig)
	a.handle("PUT /v1/config", RoleChange, a.putConfig)
	a.handle("GET /v1/config/history", RoleRead, a.getHistory)
	a.handle("GET /v1/jobs", RoleRead, a.listJobs)
	a.handle("POST /v1/jobs", RoleChange, a.submitJob)
	a.handle("GET /v1/jobs/{id}", RoleRead, a.getJob)
	a.handle("DELETE /v1/jobs/{id}", RoleChange, a.cancelJob)
	a.handle("GET /v1/audit", RoleRead, a.getAudit)
	a.handle("GET /v1/status", RoleRead, a.getStatus)
	a.handle("POST /v1/workers/{name}/drain", RoleChange, a.drainWorker)
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		problem(http.StatusNotFound, "no such resource: "+r.URL.Path).write(w)
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	a.mux.ServeHTTP(rec, r)
	if a.Metrics != nil {
		a.Metrics.Counter(metric.AdminRequests, knownMethod(r.Method), strconv.Itoa(rec.status)).Inc(1)
	}
}

// knownMethod returns m, or "other" for unusual methods, so that callers without a token cannot create arbitrary values
// of a metric tag.
func knownMethod(m string) string {
	switch m {
	case http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodHead:
		return m
	}
	return "other"
}

// handler writes the response to a request, or returns the problem to respond with.
type handler func(w http.ResponseWriter, r *http.Request) *Problem

func (a *API) handle(pattern string, required Role, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		p := a.authorize(r, required)
		if p == nil {
			p = h(w, r.WithContext(ctx))
		}
		if p == nil {
			return
		}
		if p.Status >= http.StatusInternalServerError {
			event.Log(a.Log, event.AdminFailed, zap.String("Method", r.Method), zap.String("Path", r.URL.Path),
				zap.Int("Status", p.Status), zap.String("Detail", p.Detail))
		}
		p.write(w)
	})
}

func (a *API) authorize(r *http.Request, required Role) *Problem {
	role := a.Tokens.Role(bearer(r))
	if role >= required {
		return nil
	}
	a.logRefused(r)
	if role == RoleNone {
		return problem(http.StatusUnauthorized, "a valid bearer token is required")
	}
	return problem(http.StatusForbidden, "this token may only read")
}

// logRefused logs at most one refused request per refusedInterval, so that a flood of requests does not flood the log.
func (a *API) logRefused(r *http.Request) {
	now, last := a.Now().UnixNano(), a.lastRefused.Load()
	if now-last < int64(refusedInterval) || !a.lastRefused.CompareAndSwap(last, now) {
		return
	}
	event.Log(a.Log, event.AdminRefused, zap.String("Remote", r.RemoteAddr), zap.String("Method", r.Method))
}

func (a *API) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Healthy bool }{true})
}

func (a *API) getReady(w http.ResponseWriter, _ *http.Request) {
	if a.Ready != nil {
		if err := a.Ready(); err != nil {
			problem(http.StatusServiceUnavailable, err.Error()).write(w)
			return
		}
	}
	writeJSON(w, http.StatusOK, struct{ Ready bool }{true})
}

func (a *API) getMetrics(w http.ResponseWriter, r *http.Request) *Problem {
	if a.Metrics == nil {
		return problem(http.StatusNotFound, "this process has no metrics")
	}
	a.Metrics.Handler().ServeHTTP(w, r)
	return nil
}

func (a *API) getStatus(w http.ResponseWriter, r *http.Request) *Problem {
	if a.Status == nil {
		return problem(http.StatusNotFound, "this process reports no status")
	}
	writeJSON(w, http.StatusOK, a.Status.Status(r.Context()))
	return nil
}

// statusRecorder records the status of a response for the metrics.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}
