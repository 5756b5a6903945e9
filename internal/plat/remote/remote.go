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
)

// Errors of requests without a complete response.
var (
	ErrNotSent = errors.New("request was not sent")      // no byte of it was written
	ErrCut     = errors.New("response did not arrive")   // the request may have arrived
	ErrInvalid = errors.New("request cannot be written") // for example an invalid URL
)

// ClientHeader names the HTTP request header in which a client of the platform gives its name.
const ClientHeader = "Trefoilramp-Client"

// Limits of a client.
const (
	DefaultTimeout = 3 * time.Second // of one request
	maxConnections = 32              // idle connections kept to one service
	maxResponse    = 256 << 20       // bytes of a response; a snapshot of a partition is far smaller
)

// Options describes a service to its client.
type Options struct {
	URL     string        // http://host:port
	Name    string        // sent as ClientHeader
	Timeout time.Duration // of one request; 0 for DefaultTimeout
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
	t := &http.Transport{MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: time.Minute}
	return &Client{o: o, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one request and reads the whole response. An error is ErrNotSent, ErrCut or ErrInvalid.
func (c *Client) Do(ctx context.Context, method, path string, body []byte) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	var connected atomic.Bool // false proves that no byte of the request was written
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, c.o.URL+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrInvalid, err)
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
		return Response{}, fmt.Errorf("%w: %w", ErrCut, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrCut, err)
	}
	return Response{Status: res.StatusCode, Body: b}, nil
}
