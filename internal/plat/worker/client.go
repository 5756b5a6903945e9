package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/plat/remote"
)

// Client implements Platform over HTTP; it is safe for concurrent use.
type Client struct {
	remote *remote.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the worker at o.URL.
func NewClient(o remote.Options) *Client { return &Client{remote.New(o)} }

// Close closes idle connections.
func (c *Client) Close() { c.remote.Close() }

// Describe implements Platform.
func (c *Client) Describe(ctx context.Context) (Info, error) {
	var info Info
	err := c.get(ctx, "/v1/means", &info)
	return info, err
}

// Tasks implements Platform.
func (c *Client) Tasks(ctx context.Context) ([]Status, error) {
	var res TasksResponse
	err := c.get(ctx, "/v1/tasks", &res)
	return res.Tasks, err
}

// Start implements Platform.
func (c *Client) Start(ctx context.Context, s Start) error {
	return c.post(ctx, "/v1/tasks/start", s, &struct{}{})
}

// Renew implements Platform.
func (c *Client) Renew(ctx context.Context, r []Renewal) ([]Ref, error) {
	var res RenewResponse
	err := c.post(ctx, "/v1/tasks/renew", RenewRequest{r}, &res)
	return res.Refused, err
}

// Stop implements Platform.
func (c *Client) Stop(ctx context.Context, r Ref) (Status, error) {
	var s Status
	err := c.post(ctx, "/v1/tasks/stop", StopRequest{Ref: r}, &s)
	return s, err
}

// Forget implements Platform.
func (c *Client) Forget(ctx context.Context, r Ref) error {
	err := c.post(ctx, "/v1/tasks/stop", StopRequest{r, true}, &Status{})
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Checkpoint implements Platform.
func (c *Client) Checkpoint(ctx context.Context, r Ref, stop bool) (Status, error) {
	var s Status
	err := c.post(ctx, "/v1/tasks/checkpoint", CheckpointRequest{r, stop}, &s)
	return s, err
}

// Throttle implements Platform.
func (c *Client) Throttle(ctx context.Context, r Ref, processors int64) error {
	return c.post(ctx, "/v1/tasks/throttle", ThrottleRequest{r, processors}, &struct{}{})
}

func (c *Client) get(ctx context.Context, path string, res any) error {
	return c.do(ctx, http.MethodGet, path, nil, ErrUnavailable, res)
}

func (c *Client) post(ctx context.Context, path string, req, res any) error {
	b, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request of %s: %w: %w", path, ErrMalformed, err)
	}
	return c.do(ctx, http.MethodPost, path, b, ErrUnknown, res)
}

// do sends one request; ambiguous is the error returned when the request may have reached the worker without a valid
// response.
func (c *Client) do(ctx context.Context, method, path string, body []byte, ambiguous error, res any) error {
	r, err := c.remote.Do(ctx, method, path, body)
	switch {
	case errors.Is(err, remote.ErrNotSent):
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, remote.ErrInvalid):
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	case err != nil:
		err = fmt.Errorf("%w: %w", ambiguous, err)
	case r.Status >= http.StatusMultipleChoices:
		err = statusError(r, ambiguous)
	default:
		if err = json.Unmarshal(r.Body, res); err != nil {
			err = fmt.Errorf("decode response: %w: %w", ambiguous, err)
		}
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

func statusError(r remote.Response, ambiguous error) error {
	var e ErrorResponse
	_ = json.Unmarshal(r.Body, &e) // a body of another form leaves Code empty
	if err, ok := errorsByCode[e.Code]; ok && e.NoEffect {
		return fmt.Errorf("%w: %s", err, e.Error)
	}
	return fmt.Errorf("%w: status %d", ambiguous, r.Status)
}
