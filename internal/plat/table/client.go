package table

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
)

// Options configures a Client.
type Options struct {
	URL     string        // http://host:port
	Name    string        // sent as remote.ClientHeader
	Timeout time.Duration // without progress of a request; 0 for remote.DefaultTimeout
	Log     *zap.Logger   // nil for no logging
}

// Client implements Store over HTTP; it is safe for concurrent use.
type Client struct {
	remote *remote.Client
	log    *zap.Logger
	down   atomic.Bool // the last request failed with ErrUnavailable or ErrUnknown
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at o.URL.
func NewClient(o Options) *Client {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Client{remote: remote.New(remote.Options{URL: o.URL, Name: o.Name, Timeout: o.Timeout}), log: o.Log}
}

// Close closes idle connections.
func (c *Client) Close() { c.remote.Close() }

// Transact implements Store.
func (c *Client) Transact(ctx context.Context, t Transaction) (Result, error) {
	var res TransactResponse
	if err := c.post(ctx, "/v1/transact", ErrUnknown, t, &res); err != nil {
		return Result{}, err
	}
	r := Result{Committed: res.Committed, Conflicts: res.Conflicts}
	if len(res.Versions) > 0 {
		r.Version = res.Versions[0].Version // all rows written by a transaction have the same version
	}
	return r, nil
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, from, to string, limit int) ([]Row, error) {
	var res RangeResponse
	err := c.post(ctx, "/v1/range", ErrUnavailable, RangeRequest{from, to, limit}, &res)
	return res.Rows, err
}

// GetObject implements Store.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, objectPath(name), ErrUnavailable, nil)
}

// PutObject implements Store.
func (c *Client) PutObject(ctx context.Context, name string, b []byte) error {
	_, err := c.do(ctx, http.MethodPut, objectPath(name), ErrUnknown, b)
	return err
}

// DeleteObject implements Store.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(name), ErrUnknown, nil)
	return err
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }

func (c *Client) post(ctx context.Context, path string, ambiguous error, req, res any) error {
	b, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request of %s: %w: %w", path, ErrMalformed, err)
	}
	b, err = c.do(ctx, http.MethodPost, path, ambiguous, b)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, res); err != nil {
		return fmt.Errorf("decode response of %s: %w: %w", path, ambiguous, err)
	}
	return nil
}

// do sends one request; ambiguous is the error returned when the request may have reached the store without a valid
// response.
func (c *Client) do(ctx context.Context, method, path string, ambiguous error, body []byte) ([]byte, error) {
	b, err := c.exchange(ctx, method, path, ambiguous, body)
	if err != nil {
		err = fmt.Errorf("%s %s: %w", method, path, err)
	}
	c.logTransition(err)
	return b, err
}

func (c *Client) exchange(ctx context.Context, method, path string, ambiguous error, body []byte) ([]byte, error) {
	res, err := c.remote.Do(ctx, method, path, body)
	switch {
	case errors.Is(err, remote.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, remote.ErrInvalid):
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ambiguous, err)
	}
	return res.Body, statusError(res.Status, res.Body, ambiguous)
}

// statusError returns the error for a status, or nil. A 429 or 503 whose body does not set NoEffect may come from a
// proxy that had forwarded the request, so its error is ambiguous.
func statusError(status int, body []byte, ambiguous error) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	var e ErrorResponse
	_ = json.Unmarshal(body, &e) // a body of another form leaves NoEffect false
	switch {
	case status == http.StatusNotFound && e.NoEffect:
		return ErrNotFound
	case status == http.StatusBadRequest && e.NoEffect:
		return fmt.Errorf("%w: %s", ErrMalformed, e.Error)
	case status == http.StatusTooManyRequests && e.NoEffect:
		return ErrRateLimited
	case e.NoEffect:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, e.Error)
	}
	return fmt.Errorf("%w: status %d", ambiguous, status)
}

// logTransition logs when the store becomes unavailable or available again.
func (c *Client) logTransition(err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	if c.down.Swap(failed) == failed {
		return
	}
	if failed {
		event.Log(c.log, event.StoreUnavailable, zap.NamedError("Error", err))
		return
	}
	event.Log(c.log, event.StoreAvailable)
}
