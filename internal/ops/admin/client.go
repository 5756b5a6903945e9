package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
)

// Client calls the administration API.
type Client struct {
	address  string // base URL
	token    string
	operator string
	http     *http.Client
}

const clientTimeout = requestTimeout + 5*time.Second // longer than requestTimeout, so that the API times out first

// NewClient returns a client of the API at a base URL; nil authorities mean those of the system.
func NewClient(address, token, operator string, authorities *x509.CertPool) *Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}}
	return &Client{
		address:  strings.TrimSuffix(address, "/"),
		token:    token,
		operator: operator,
		http:     &http.Client{Timeout: clientTimeout, Transport: transport},
	}
}

// ProblemError is the error for a request to which the API responded with a problem.
type ProblemError struct {
	Problem Problem
}

// Error implements error.
func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Detail
}

// errNoResponse means that a request may have reached the API, but no valid response arrived.
var errNoResponse = errors.New("no valid response")

// IsUnknown reports whether a change that failed with err may have taken effect or may still do so.
func IsUnknown(err error) bool {
	if pe := (*ProblemError)(nil); errors.As(err, &pe) {
		return pe.Problem.Status == http.StatusGatewayTimeout || pe.Problem.Status == http.StatusBadGateway
	}
	return errors.Is(err, errNoResponse)
}

const maxResponse = 64 << 20 // bytes

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, http.Header, error) {
	var connected atomic.Bool // while false, no byte of the request has been written
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if c.operator != "" {
		r.Header.Set(OperatorHeader, c.operator)
	}
	w, err := c.http.Do(r)
	if err != nil {
		err = fmt.Errorf("call the administration API: %w", err)
		if connected.Load() {
			err = fmt.Errorf("%w: %w", errNoResponse, err)
		}
		return nil, nil, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxResponse))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: read response: %w", errNoResponse, err)
	}
	if w.StatusCode < http.StatusBadRequest {
		return b, w.Header, nil
	}
	p := Problem{Status: w.StatusCode, Title: http.StatusText(w.StatusCode)}
	if w.Header.Get("Content-Type") == ProblemType {
		if err := json.Unmarshal(b, &p); err != nil {
			return nil, nil, fmt.Errorf("decode problem: %w", err)
		}
	}
	return nil, nil, &ProblemError{Problem: p}
}

func call[T any](ctx context.Context, c *Client, method, path string, body []byte, header http.Header) (T, error) {
	var v T
	b, _, err := c.do(ctx, method, path, body, header)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("%w: decode response of %s %s: %w", errNoResponse, method, path, err)
	}
	return v, nil
}

// Config returns the document with the given version, and its version; 0 requests the newest version.
func (c *Client) Config(ctx context.Context, version uint64) (model.Document, uint64, error) {
	path := "/v1/config"
	if version > 0 {
		path += "?Version=" + strconv.FormatUint(version, 10)
	}
	b, header, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return model.Document{}, 0, err
	}
	got, err := ParseETag(header.Get("ETag"))
	if err != nil {
		return model.Document{}, 0, err
	}
	var d model.Document // unknown fields are allowed: the entry may run a newer version of the program
	if err := json.Unmarshal(b, &d); err != nil {
		return model.Document{}, 0, fmt.Errorf("decode document: %w", err)
	}
	return d, got, nil
}

// Apply submits a document that is based on version base.
func (c *Client) Apply(ctx context.Context, base uint64, document []byte) (AcceptResponse, error) {
	header := http.Header{"If-Match": {ETag(base)}, "Content-Type": {"application/json"}}
	return call[AcceptResponse](ctx, c, http.MethodPut, "/v1/config", document, header)
}

// History returns up to limit accepted versions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]head.Revision, error) {
	v, err := call[struct{ Revisions []head.Revision }](ctx, c, http.MethodGet,
		"/v1/config/history?Limit="+strconv.Itoa(limit), nil, nil)
	return v.Revisions, err
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, job []byte) (Job, error) {
	return call[Job](ctx, c, http.MethodPost, "/v1/jobs", job, nil)
}

// Jobs lists all jobs.
func (c *Client) Jobs(ctx context.Context) (JobList, error) {
	return call[JobList](ctx, c, http.MethodGet, "/v1/jobs", nil, nil)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (Job, error) {
	return call[Job](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (Job, error) {
	return call[Job](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil)
}

// Audit lists up to limit audit records older than before, newest first; a zero before starts at the newest record.
func (c *Client) Audit(ctx context.Context, before time.Time, limit int) (AuditList, error) {
	q := url.Values{"Limit": {strconv.Itoa(limit)}}
	if !before.IsZero() {
		q.Set("Before", before.Format(time.RFC3339Nano))
	}
	return call[AuditList](ctx, c, http.MethodGet, "/v1/audit?"+q.Encode(), nil, nil)
}

// Status returns the status that the entry reports.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil, nil)
}

// Drain requests the drain of a worker.
func (c *Client) Drain(ctx context.Context, worker string) (DrainResponse, error) {
	return call[DrainResponse](ctx, c, http.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil, nil)
}
