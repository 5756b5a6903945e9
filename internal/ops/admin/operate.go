package admin

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
)

const defaultAuditLimit = 50

// AuditList is the response with audit records, newest first.
type AuditList struct {
	Records []audit.Record
}

func (a *API) getAudit(w http.ResponseWriter, r *http.Request) *Problem {
	var before time.Time
	if s := r.URL.Query().Get("Before"); s != "" {
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return problem(http.StatusBadRequest, "Before is not a time as in RFC 3339")
		}
		before = t
	}
	limit, p := readLimit(r, defaultAuditLimit)
	if p != nil {
		return p
	}
	list, err := a.Audit.List(r.Context(), before, limit)
	if err != nil {
		return storeProblem(err, "")
	}
	writeJSON(w, http.StatusOK, AuditList{Records: list})
	return nil
}

// DrainResponse is the response to a request to drain a worker.
type DrainResponse struct {
	Worker   string
	Draining bool
}

func (a *API) drainWorker(w http.ResponseWriter, r *http.Request) *Problem {
	if a.Workers == nil {
		return problem(http.StatusNotFound, "this process knows no workers")
	}
	name, p := pathName(r, "name")
	if p != nil {
		return p
	}
	author, p := operator(r)
	if p != nil {
		return p
	}
	if !a.Workers.HasSession(name) {
		return problem(http.StatusNotFound, "no agent of this name has a session with the entry")
	}
	record := audit.New(a.Now(), author, audit.ActionDrain, "worker/"+name)
	record.Before, record.After = "in service", "draining"
	if p := a.record(r.Context(), record); p != nil {
		return p
	}
	event.Log(a.Log, event.WorkerDrainRequested, zap.String("Worker", name), zap.String("Author", author))
	if err := a.Workers.Drain(r.Context(), name); err != nil {
		return storeProblem(err, "no agent of this name has a session with the entry")
	}
	writeJSON(w, http.StatusAccepted, DrainResponse{Worker: name, Draining: true})
	return nil
}
