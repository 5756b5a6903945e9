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
	dialTimeout = time.Second // a target is beside the agent
	idleTimeout = 30 * time.Second
	idleConns   = 64 // the connections of a target in both workloads
	bufferSize  = 16 << 10
	headerLimit = 48 << 10 // leaves room for the rest of a message in a frame
)

var errSealed = errors.New("connection takes no more bytes")

// countedConn counts the bytes written to a target, so that a failed request can be told from one that never began.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  atomic.Bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed.Load() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		return n, fmt.Errorf("write to target: %w", err)
	}
	return n, nil
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes sure that no further byte is written and returns how many were. The transport may still be about to write
// when it has already returned an error.
func (c *countedConn) seal() int64 {
	c.sealed.Store(true)
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
			return &countedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true, // a body is passed on as it is
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
}
