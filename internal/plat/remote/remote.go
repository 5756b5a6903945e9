package remote

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/stall"
)

// Errors of requests that did not get a complete response.
var (
	ErrNotSent    = errors.New("request was not sent")      // no byte of the request was written
	ErrNoResponse = errors.New("response did not arrive")   // the request may have reached the service
	ErrInvalid    = errors.New("request cannot be written") // for example an invalid URL
)

// ClientHeader is the name of the HTTP request header with the name of the client.
const ClientHeader = "Trefoilramp-Client"

// Limits of a client.
const (
	DefaultTimeout = 3 * time.Second // without progress of a request
	maxIdleConns   = 32              // idle connections to one service
	maxResponse    = 256 << 20       // bytes of a response body; a partition snapshot is far smaller
)

// Options configures a Client.
type Options struct {
	URL     string        // http://host:port
	Name    string        // sent as ClientHeader
	Timeout time.Duration // without progress of a request; 0 for DefaultTimeout
}

// Client sends requests to one service; it is safe for concurrent use.
type Client struct {
	o    Options
	http *http.Client
}

// Response is a complete response.
type Response struct {
	Status int
	Body   []byte
}

// New returns a client of the service at o.URL.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	o.URL = strings.TrimRight(o.URL, "/")
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
	return &Client{o: o, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one request and reads the whole response; its errors wrap ErrNotSent, ErrNoResponse or ErrInvalid. It reports
// the transfer of the bodies to stall.Progress.
func (c *Client) Do(ctx context.Context, method, path string, body []byte) (Response, error) {
	ctx, cancel := stall.WithTimeout(ctx, c.o.Timeout, c.o.Timeout)
	defer cancel()
	var connected atomic.Bool // while false, no byte of the request has been written
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, c.o.URL+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(stall.NewReader(ctx, bytes.NewReader(body))), nil }
		if req.Body, err = req.GetBody(); err != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	req.Header.Set("Content-Type", "application/json")
	if c.o.Name != "" {
		req.Header.Set(ClientHeader, c.o.Name)
	}
	res, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Response{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	defer res.Body.Close()
	stall.Progress(ctx)
	b, err := io.ReadAll(stall.NewReader(ctx, io.LimitReader(res.Body, maxResponse)))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return Response{Status: res.StatusCode, Body: b}, nil
}
