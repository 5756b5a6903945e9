package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	firstBuffer  = 2 << 10 // of a body of unknown length
	exactBuffer  = 4 << 10 // bodies up to this declared length get a buffer of their length at once
	streamFactor = 2       // memory of a body that a handler reads into a buffer that doubles, in lengths of the body
	decodeFactor = 2       // memory of a decoded body, in lengths of the body
	bodyShare    = 4       // a body may use at most a fourth of the byte budget
)

// ErrOverload is returned when a request is refused because the byte budget is used up.
var ErrOverload = errors.New("the byte budget for clients is used up")

type connKey struct{}

// ServerConfig configures an HTTP server for clients.
type ServerConfig struct {
	Handler http.Handler
	// Streamed is how many bytes a handler may use for a body that it reads as a stream, streamFactor for each byte read; 0 if
	// handlers use ReadBody.
	Streamed int64
	// Response is how many bytes a response may use while it is written; 0 if responses are small.
	Response int64
}

// Server returns an HTTP server with the limits of the guard, for a listener of Listen or Wrap.
func (g *Guard) Server(cfg ServerConfig) *http.Server {
	l := g.cfg.Limits
	return &http.Server{
		Handler: &handler{cfg}, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: l.HeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, withoutTLS(c))
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if conn, ok := withoutTLS(c).(*Conn); ok && s == http.StateIdle { // the response is written
				conn.pool.leave(conn.id, Handling)
			}
		},
	}
}

func withoutTLS(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// handler tracks the requests of a connection for the ledger.
type handler struct {
	cfg ServerConfig
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.cfg.Handler.ServeHTTP(w, r)
		return
	}
	isGranted := c.begin(len(r.Header))
	defer c.end()
	if !isGranted || h.cfg.Response > 0 && !c.pool.reserve(c, h.cfg.Response) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", strconv.Itoa(int(time.Second.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.ContentLength == 0 {
		h.cfg.Handler.ServeHTTP(w, r)
		return
	}
	x := &exchange{ResponseWriter: w, conn: c, body: r.Body, streamed: h.cfg.Streamed}
	r.Body = x
	h.cfg.Handler.ServeHTTP(x, r)
	x.beforeHeader()
}

// end records that a handler has returned.
func (c *Conn) end() {
	now := time.Now()
	c.pool.mu.Lock()
	c.pool.ledger.Complete(c.id, now)
	c.pool.mu.Unlock()
	c.headerHeld.Store(0) // a read during the handler may have reserved bytes for the next header
	c.requests.Add(1)
	c.isHandling.Store(false)
}

// exchange is the body of a request and the writer of its response. If the response begins before the body has ended, the
// rest of the body is not read and the connection is closed after the response, unless the handler enables full duplex.
type exchange struct {
	http.ResponseWriter
	conn     *Conn
	body     io.ReadCloser
	streamed int64       // bytes still to be charged for the body when it is read
	duplex   bool        // the handler reads the body while it writes the response
	begun    bool        // the header of the response has been written
	ended    atomic.Bool // the body has been read to its end, perhaps in another goroutine than the response is written in
}

// Read implements io.Reader for the body.
func (x *exchange) Read(p []byte) (int, error) {
	if x.conn.isRefused.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	x.conn.pool.enter(x.conn.id, Reading)
	n, err := x.body.Read(p)
	x.conn.pool.leave(x.conn.id, Reading)
	if err == io.EOF {
		x.ended.Store(true)
	}
	if charge := min(streamFactor*int64(n), x.streamed); charge > 0 {
		x.streamed -= charge
		if !x.conn.pool.reserve(x.conn, charge) {
			return 0, ErrOverload
		}
	}
	return n, err
}

// Close implements io.Closer for the body.
func (x *exchange) Close() error { return x.body.Close() }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		x.beforeHeader()
	}
	x.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.beforeHeader()
	return x.ResponseWriter.Write(p)
}

// FlushError implements the method that http.ResponseController uses.
func (x *exchange) FlushError() error {
	x.beforeHeader()
	return http.NewResponseController(x.ResponseWriter).Flush()
}

// EnableFullDuplex implements the method that http.ResponseController uses.
func (x *exchange) EnableFullDuplex() error {
	x.duplex = true
	return http.NewResponseController(x.ResponseWriter).EnableFullDuplex()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

// beforeHeader makes net/http close the connection after the response if the body has not been read.
func (x *exchange) beforeHeader() {
	if x.begun {
		return
	}
	x.begun = true
	if x.duplex || x.ended.Load() {
		return
	}
	x.conn.isRefused.Store(true)
	// A MaxBytesReader that meets its limit is the way to make net/http close the connection with a delay in which the client
	// can read the response, instead of reading the rest of the body.
	_, _ = http.MaxBytesReader(x.ResponseWriter, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// ReadBody reads the body of a request of up to limit bytes. The error is an *http.MaxBytesError for a longer one, at once if
// its declared length exceeds the limit, and ErrOverload if the byte budget is used up.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	x, _ := r.Body.(*exchange)
	if x != nil {
		limit = min(limit, x.conn.pool.guard.cfg.Limits.Bytes/bodyShare)
	}
	b, err := readBody(r, x, limit)
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		Refused(r, BodySize, err)
	}
	if x == nil {
		return b, err
	}
	if err != nil {
		x.conn.pool.leave(x.conn.id, Reading)
		return nil, err
	}
	if !x.conn.pool.reserveIn(x.conn, decodeFactor*int64(len(b)), 0, Reading) {
		return nil, ErrOverload
	}
	return b, nil
}

// readBody reads a body and leaves the connection in the phase Reading.
func readBody(r *http.Request, x *exchange, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	src := io.Reader(r.Body)
	if x != nil {
		src = x.body
	}
	size := int64(firstBuffer)
	if r.ContentLength >= 0 {
		size = min(r.ContentLength, exactBuffer)
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			if x != nil && !x.conn.pool.reserveIn(x.conn, size-int64(len(b)), Reading, 0) {
				return nil, ErrOverload
			}
			b = append(make([]byte, 0, size), b...)
			if size = min(2*size+1, limit+1); int64(len(b)) < r.ContentLength {
				size = min(size, r.ContentLength)
			}
		}
		n, err := src.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if int64(len(b)) > limit {
			return nil, &http.MaxBytesError{Limit: limit}
		}
		if err == io.EOF {
			if x != nil {
				x.ended.Store(true)
			}
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Refused counts and logs a request that was refused for a limit of its content.
func Refused(r *http.Request, reason Reason, err error) {
	if x, ok := r.Body.(*exchange); ok {
		x.conn.pool.guard.turnAway(reason, x.conn.listener, 1, x.conn.RemoteAddr(), err)
	}
}
