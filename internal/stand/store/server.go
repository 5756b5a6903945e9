package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/plat/remote"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

const maxBody = 64 << 20 // bytes of a request body or an object

// FaultsRequest is the body of POST /v1/faults; an empty list clears the script.
type FaultsRequest struct {
	Rules []script.Rule
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/transact", s.serveTransact)
	mux.HandleFunc("POST /v1/range", s.serveRange)
	mux.HandleFunc("GET /v1/objects/{name...}", s.serveGetObject)
	mux.HandleFunc("PUT /v1/objects/{name...}", s.servePutObject)
	mux.HandleFunc("DELETE /v1/objects/{name...}", s.serveDeleteObject)
	mux.HandleFunc("POST /v1/faults", s.serveFaults)
	return mux
}

func (s *Store) client(r *http.Request) table.Store {
	return s.Client(r.Header.Get(remote.ClientHeader))
}

func (s *Store) serveTransact(w http.ResponseWriter, r *http.Request) {
	var t table.Transaction
	if !decode(w, r, &t) {
		return
	}
	res, err := s.client(r).Transact(detach(r), t)
	out := table.TransactResponse{Committed: res.Committed, Conflicts: res.Conflicts}
	if res.Committed {
		for _, p := range t.Puts {
			out.Versions = append(out.Versions, table.RowVersion{Key: p.Key, Version: res.Version})
		}
	}
	respond(w, out, err)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	var req table.RangeRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := s.client(r).Range(r.Context(), req.From, req.To, req.Limit)
	respond(w, table.RangeResponse{Rows: rows}, err)
}

func (s *Store) serveGetObject(w http.ResponseWriter, r *http.Request) {
	b, err := s.client(r).GetObject(r.Context(), r.PathValue("name"))
	if err != nil {
		respond(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(b)
}

func (s *Store) servePutObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		respond(w, nil, fmt.Errorf("%w: %w", table.ErrMalformed, err))
		return
	}
	respond(w, struct{}{}, s.client(r).PutObject(detach(r), r.PathValue("name"), b))
}

func (s *Store) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.client(r).DeleteObject(detach(r), r.PathValue("name")))
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	if !decode(w, r, &req) {
		return
	}
	err := s.faults.Set(req.Rules...)
	if err != nil {
		err = fmt.Errorf("%w: %w", table.ErrMalformed, err)
	}
	respond(w, struct{}{}, err)
}

// detach returns a context that is not cancelled when the client disconnects: a request that has arrived takes effect.
func detach(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// decode reads the body into v. If it is malformed, decode responds with the error and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		respond(w, nil, fmt.Errorf("%w: %w", table.ErrMalformed, err))
		return false
	}
	return true
}

// respond writes v, or err with the status that belongs to it. For script.ErrLost it closes the connection instead.
func respond(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.Is(err, script.ErrLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, table.ErrRateLimited):
		status = http.StatusTooManyRequests
	case errors.Is(err, table.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, table.ErrMalformed):
		status = http.StatusBadRequest
	default:
		status = http.StatusServiceUnavailable
	}
	if err != nil {
		v = table.ErrorResponse{Error: err.Error(), NoEffect: !errors.Is(err, table.ErrUnknown)}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
