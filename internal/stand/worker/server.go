package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

const maxBody = 1 << 20 // bytes of a request body

// FaultsRequest is the body of POST /v1/faults; it replaces the fault script and FailStarts.
type FaultsRequest struct {
	Rules      []script.Rule
	FailStarts bool // every attempt that is started fails immediately
}

// HistoryResponse is the body of a response to GET /v1/history.
type HistoryResponse struct {
	Intervals []Interval
	Peak      sizes.Resources // see Worker.Peak
}

// Handler returns the HTTP handler of the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/means", func(rw http.ResponseWriter, r *http.Request) {
		info, err := w.Describe(r.Context())
		respond(rw, info, err)
	})
	mux.HandleFunc("GET /v1/tasks", func(rw http.ResponseWriter, r *http.Request) {
		list, err := w.Tasks(r.Context())
		respond(rw, worker.TasksResponse{Tasks: list}, err)
	})
	mux.HandleFunc("GET /v1/history", func(rw http.ResponseWriter, _ *http.Request) {
		respond(rw, HistoryResponse{w.History(), w.Peak()}, nil)
	})
	handle(mux, "start", func(ctx context.Context, s worker.Start) (struct{}, error) {
		return struct{}{}, w.Start(ctx, s)
	})
	handle(mux, "renew", func(ctx context.Context, req worker.RenewRequest) (worker.RenewResponse, error) {
		refused, err := w.Renew(ctx, req.Renewals)
		return worker.RenewResponse{Refused: refused}, err
	})
	handle(mux, "stop", func(ctx context.Context, req worker.StopRequest) (worker.Status, error) {
		return w.stopOrForget(ctx, req.Ref, req.Forget)
	})
	handle(mux, "checkpoint", func(ctx context.Context, req worker.CheckpointRequest) (worker.Status, error) {
		return w.Checkpoint(ctx, req.Ref, req.Stop)
	})
	handle(mux, "throttle", func(ctx context.Context, req worker.ThrottleRequest) (struct{}, error) {
		return struct{}{}, w.Throttle(ctx, req.Ref, req.Processors)
	})
	mux.HandleFunc("POST /v1/faults", w.serveFaults)
	return mux
}

// handle registers the handler of a call on tasks. A request that has arrived takes effect even if the client has
// disconnected.
func handle[Q, R any](mux *http.ServeMux, name string, serve func(context.Context, Q) (R, error)) {
	mux.HandleFunc("POST /v1/tasks/"+name, func(rw http.ResponseWriter, r *http.Request) {
		var req Q
		if !decode(rw, r, &req) {
			return
		}
		res, err := serve(context.WithoutCancel(r.Context()), req)
		respond(rw, res, err)
	})
}

func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	if !decode(rw, r, &req) {
		return
	}
	if err := w.faults.Set(req.Rules...); err != nil {
		respond(rw, nil, fmt.Errorf("%w: %w", worker.ErrMalformed, err))
		return
	}
	w.SetFailing(req.FailStarts)
	respond(rw, struct{}{}, nil)
}

// decode reads the body into v. If it is malformed, decode responds with the error and returns false.
func decode(rw http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		respond(rw, nil, fmt.Errorf("%w: %w", worker.ErrMalformed, err))
		return false
	}
	return true
}

// respond writes v, or err with the status that belongs to it. For script.ErrLost it closes the connection instead.
func respond(rw http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.Is(err, script.ErrLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, worker.ErrMalformed):
		status = http.StatusBadRequest
	case errors.Is(err, worker.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, worker.ErrUnavailable), errors.Is(err, worker.ErrStore):
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusConflict
	}
	if err != nil {
		v = worker.ErrorResponse{Error: err.Error(), Code: worker.Code(err), NoEffect: !errors.Is(err, worker.ErrUnknown)}
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v) // fails only if the client has disconnected
}
