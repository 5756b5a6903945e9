package guard

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
)

const (
	writeChunk = 64 << 10 // longer writes are split, so that their progress is seen
	// A connection is charged for its header only beyond freeLines and freeHeader; less is part of connectionBytes.
	freeLines  = 64
	freeHeader = 4 << 10 // the read buffer of net/http
	lineCost   = 200     // bytes that net/http allocates for a header field, however short (measured: 157 to 209)
)

type listener struct {
	net.Listener
	pool *pool
	name string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: c, pool: l.pool, listener: l.name}
	l.pool.add(conn)
	return conn, nil
}

// Conn is a connection that counts against the limits of a Guard.
type Conn struct {
	net.Conn
	pool       *pool
	id         ID
	listener   string
	isExempt   atomic.Bool  // the peer has authenticated
	isRefused  atomic.Bool  // the rest of the body is not read
	isClosed   atomic.Bool  // removed from the ledger
	isHandling atomic.Bool  // a handler runs; unlike the phase Handling, it ends before the response is written
	requests   atomic.Int64 // handled requests
	headerHeld atomic.Int64 // bytes reserved for the header that is being read

	// Used by the one reader at a time that net/http allows.
	seen     int64 // value of requests at the last read of a header
	lines    int   // of the header that is being read
	size     int   // its bytes
	lastFill int   // lines of the last read; they may belong to the next header
}

// Read implements net.Conn. It counts the lines of headers, since net/http allocates a map entry for each field before any
// handler sees the request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isExempt.Load() {
		return c.Conn.Read(p)
	}
	if c.isRefused.Load() {
		return 0, net.ErrClosed
	}
	isHeader := !c.isHandling.Load()
	if n := c.requests.Load(); isHeader && n != c.seen {
		c.seen = n
		c.lines, c.size = c.lastFill, 0
		if !c.chargeHeader() {
			return 0, c.refuseHeader()
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pool.progress(c.id, n, 0)
		c.lastFill = 0
		if len(p) <= freeHeader {
			c.lastFill = bytes.Count(p[:n], []byte{'\n'})
		}
		if isHeader {
			c.lines += c.lastFill
			c.size += n
			if !c.chargeHeader() {
				return 0, c.refuseHeader()
			}
		}
	}
	return n, err
}

// refuseHeader closes the connection, so that net/http can't respond with 400, which is false for a header within the limits.
func (c *Conn) refuseHeader() error {
	c.abort()
	return ErrOverload
}

// chargeHeader reserves the memory of a header with many lines or bytes.
func (c *Conn) chargeHeader() bool {
	var want int64
	if c.lines > freeLines {
		want = int64(c.lines) * lineCost
	}
	if c.size > freeHeader {
		want += 2 * int64(c.size)
	}
	held := c.headerHeld.Load()
	if want <= held {
		return true
	}
	c.headerHeld.Store(want)
	return c.pool.reserve(c, want-held)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isExempt.Load() {
		return c.Conn.Write(p)
	}
	c.pool.enter(c.id, Writing)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunk)])
		written += n
		if err != nil || written == len(p) {
			c.pool.progress(c.id, n, Writing)
			return written, err
		}
		c.pool.progress(c.id, n, 0)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// CloseWrite closes the direction to the client, after which net/http waits before it closes the connection, so that the
// client can read a response that it gets before it has sent its whole request.
func (c *Conn) CloseWrite() error {
	c.pool.leave(c.id, Handling)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return fmt.Errorf("close for writing: %w", err)
		}
	}
	return nil
}

// Authenticated removes the connection from the limits, since its peer has the shared key.
func (c *Conn) Authenticated() {
	c.isExempt.Store(true)
	c.leave()
}

func (c *Conn) leave() {
	if !c.isClosed.Swap(true) {
		c.pool.remove(c.id)
	}
}

// abort closes the connection and discards what the kernel has buffered for it; the reader or writer then removes it.
func (c *Conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is already closed
	}
	c.Conn.Close()
}

// begin records that a handler runs. It reserves the memory of the header's fields, which stays in use meanwhile, and reports
// false if it is not granted. Less may be held for a header that arrived with the request before it.
func (c *Conn) begin(fields int) bool {
	c.isHandling.Store(true)
	c.pool.enter(c.id, Handling)
	var want int64
	if fields > freeLines {
		want = int64(fields) * lineCost
	}
	held := c.headerHeld.Swap(0)
	if want > held {
		return c.pool.reserve(c, want-held)
	}
	if want < held {
		c.pool.mu.Lock()
		c.pool.ledger.Release(c.id, held-want)
		c.pool.mu.Unlock()
	}
	return true
}
