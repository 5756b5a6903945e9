package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout   = time.Second // targets run on the agent's worker
	idleTimeout   = 30 * time.Second
	maxIdleConns  = 64       // per target: the number of connections that a target has in both benchmark workloads
	bufferSize    = 16 << 10 // bytes
	maxHeaderSize = 48 << 10 // bytes; the rest of the message must fit into the same frame
)

var errConnClosed = errors.New("connection to target is closed for writing")

// countingConn counts the bytes written to a target, to distinguish a request that failed from one that was never sent.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	closed  atomic.Bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return 0, errConnClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		return n, fmt.Errorf("write to target: %w", err)
	}
	return n, nil
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount closes the connection, prevents further writes and returns the number of bytes written. The transport
// may still attempt a write after RoundTrip has returned an error.
func (c *countingConn) closeAndCount() int64 {
	c.closed.Store(true)
	c.Close()
	return c.count()
}

func newTransport(keepAlive bool) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("connect to target: %w", err)
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true, // bodies are forwarded unchanged
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderSize,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
}
