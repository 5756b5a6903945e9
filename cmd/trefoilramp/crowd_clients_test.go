package main_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	crowdSize      = 600                    // connections that each hold a little; more than crowdDescriptors
	crowdSizeLarge = 200                    // connections that each cost much processor time
	crowdSizeSteps = 50                     // jobs with many steps, each of which takes 12 MB to decode without a limit
	crowdTries     = 3                      // connections of one client; it reconnects when its connection is closed
	crowdStall     = 2 * time.Second        // without progress of a write, after which a client only holds its connection
	crowdSlow      = 100 * time.Millisecond // between two bytes of a slow client
	crowdSlowBytes = 20
	crowdRequests  = 1000     // pipelined on a connection
	crowdOver      = 64 << 20 // declared bytes of a body over the limit
	crowdOverSent  = 1 << 20  // bytes of it that are sent
	crowdHeader    = 15_000   // bytes of a header with many fields; the limit is 16,384
	crowdSteps     = 87_000   // empty steps; 3 bytes each fit into 256 KiB
	crowdReceive   = 4 << 10  // bytes of the receive buffer, so that unread responses soon block the server
)

// crowdTarget is a listener and the requests that a crowd sends to it.
type crowdTarget struct {
	address string
	write   string // request line of a request with a body; %016x stands for the number of the client
	read    string // request line of a request without a body
	header  string // header lines of every request
	body    int    // bytes of a body of permitted size
}

// crowdKind is one kind of misbehavior.
type crowdKind struct {
	name    string
	clients int
	act     func(c *crowdClient) error // returns when the client only holds its connection, or with an error
}

var (
	onePiece    = crowdKind{"short of the end in one piece", crowdSize, func(c *crowdClient) error { return c.stopShort(c.target.body) }}
	smallPieces = crowdKind{"short of the end in small pieces", crowdSize, func(c *crowdClient) error { return c.stopShort(4 << 10) }}
	chunked     = crowdKind{"short of the end in chunks", crowdSize, func(c *crowdClient) error { return c.sendChunks(c.target.body) }}
	overLength  = crowdKind{"over the limit with a length", crowdSize, (*crowdClient).sendOver}
	overChunks  = crowdKind{"over the limit in chunks", crowdSize, func(c *crowdClient) error { return c.sendChunks(crowdOverSent) }}
	emptySteps  = crowdKind{"empty steps", crowdSizeSteps, func(c *crowdClient) error { return c.sendBody(emptyStepsBody) }}
	longAfter   = crowdKind{"long lists of dependencies", crowdSizeSteps, func(c *crowdClient) error { return c.sendBody(longAfterBody) }}
	manyLabels  = crowdKind{"labels", crowdSize, func(c *crowdClient) error { return c.sendBody(manyLabelsBody) }}
	manyHeaders = crowdKind{"header fields", crowdSize, (*crowdClient).sendFields}
	pipelined   = crowdKind{"pipelined without reading", crowdSizeLarge, (*crowdClient).pipeline}
	slowReaders = crowdKind{"slow readers", crowdSizeLarge, (*crowdClient).readSlowly}
	slowSenders = crowdKind{"slow senders", crowdSize, (*crowdClient).sendSlowly}
	halfWay     = crowdKind{"half-way stops", crowdSize, (*crowdClient).stopHalfWay}
	garbage     = crowdKind{"garbage and silence", crowdSize, (*crowdClient).sendGarbage}

	// allKinds are those that any HTTP listener can receive.
	allKinds = []crowdKind{
		onePiece, smallPieces, chunked, overLength, overChunks, manyHeaders, pipelined, slowReaders, slowSenders, halfWay,
	}
	mixed = crowdKind{"mixed", crowdSize, func(c *crowdClient) error {
		c.variant = c.number / len(allKinds)
		return allKinds[c.number%len(allKinds)].act(c)
	}}
)

var (
	blanks         = bytes.Repeat([]byte(" "), crowdOverSent)
	emptyStepsBody = []byte(`{"steps":[{}` + strings.Repeat(",{}", crowdSteps-1) + `]}`)
	longAfterBody  = []byte(`{"steps":[{"after":[0` + strings.Repeat(",0", 130_000) + `]}]}`)
	// manyLabelsBody is of permitted size and has labels that are permitted in total length.
	manyLabelsBody = []byte(`{"service":"packing","addr":"127.0.0.1:9","zone":"` + processZone +
		`","state":"ready","capacity":{"cpu":4000,"memMb":1000},"seq":1,"born":1,"labels":[""` + strings.Repeat(`,""`, 21_000) + `]}`)
)

// crowdClient is one connection of a crowd.
type crowdClient struct {
	net.Conn
	target  *crowdTarget
	number  int
	variant int // selects one of the variants of a kind
}

// crowd is a set of clients that hold their connections until it is closed.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	reset atomic.Int64 // connections that the server closed while the client was sending
}

// runCrowd returns when every client of a crowd only holds its connection or has used all its tries.
func runCrowd(ctx context.Context, target *crowdTarget, kind crowdKind) *crowd {
	w := &crowd{}
	var wg sync.WaitGroup
	for n := range kind.clients {
		wg.Go(func() {
			for range crowdTries {
				err := w.connect(ctx, &crowdClient{target: target, number: n, variant: n}, kind)
				if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					return
				}
				w.reset.Add(1)
				time.Sleep(crowdSlow)
			}
		})
	}
	wg.Wait()
	return w
}

// connect opens the connection of a client and lets it act.
func (w *crowd) connect(ctx context.Context, c *crowdClient, kind crowdKind) error {
	d := net.Dialer{Timeout: crowdStall, Control: func(_, _ string, rc syscall.RawConn) error {
		var sockErr error
		err := rc.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdReceive)
		})
		return errors.CombineErrors(err, sockErr)
	}}
	conn, err := d.DialContext(ctx, "tcp", c.target.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.conns = append(w.conns, conn)
	w.mu.Unlock()
	c.Conn = conn
	return kind.act(c)
}

// close closes all connections.
func (w *crowd) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
}

func (c *crowdClient) send(b []byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(crowdStall)); err != nil {
		return err
	}
	_, err := c.Write(b)
	return err
}

// head returns a request up to its body, with further header lines.
func (c *crowdClient) head(line, more string) []byte {
	line = strings.Replace(line, "%016x", fmt.Sprintf("%016x", 1<<40+c.number), 1)
	return []byte(line + " HTTP/1.1\r\n" + c.target.header + more + "\r\n")
}

func (c *crowdClient) sendHead(length int) error {
	return c.send(c.head(c.target.write, fmt.Sprintf("Content-Length: %d\r\n", length)))
}

// stopShort sends a body of permitted size without its last byte.
func (c *crowdClient) stopShort(piece int) error {
	if err := c.sendHead(c.target.body); err != nil {
		return err
	}
	for left := c.target.body - 1; left > 0; left -= piece {
		if err := c.send(blanks[:min(left, piece)]); err != nil {
			return err
		}
	}
	return nil
}

// sendChunks sends n bytes in small chunks, and the end without its last byte.
func (c *crowdClient) sendChunks(n int) error {
	const size = 1 << 10
	if err := c.send(c.head(c.target.write, "Transfer-Encoding: chunked\r\n")); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat(" ", size))
	for left := n; left >= size; left -= size {
		if err := c.send(chunk); err != nil {
			return err
		}
	}
	return c.send([]byte("0\r\n\r"))
}

func (c *crowdClient) sendOver() error {
	if err := c.sendHead(crowdOver); err != nil {
		return err
	}
	return c.send(blanks)
}

func (c *crowdClient) sendBody(b []byte) error {
	if err := c.sendHead(len(b)); err != nil {
		return err
	}
	return c.send(b)
}

// sendFields sends a header of permitted size with as many fields as it can hold, and half a body.
func (c *crowdClient) sendFields() error {
	var b strings.Builder
	for n := 0; b.Len() < crowdHeader; n++ {
		fmt.Fprintf(&b, "a%x:\r\n", n)
	}
	return c.send(append(c.head(c.target.write, "Content-Length: 2\r\n"+b.String()), '{'))
}

func (c *crowdClient) pipeline() error {
	return c.send(bytes.Repeat(c.head(c.target.read, ""), crowdRequests))
}

// readSlowly reads the responses to pipelined requests a byte at a time.
func (c *crowdClient) readSlowly() error {
	err := c.pipeline()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	for range crowdSlowBytes {
		time.Sleep(crowdSlow)
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return err
		}
	}
	return nil
}

// sendSlowly sends a header or a body a byte at a time.
func (c *crowdClient) sendSlowly() error {
	var b []byte
	if c.variant%2 == 0 {
		b = c.head(c.target.write, "Content-Length: 2\r\n")
	} else {
		b = blanks[:crowdSlowBytes]
		if err := c.sendHead(c.target.body); err != nil {
			return err
		}
	}
	for i := range min(len(b), crowdSlowBytes) {
		if err := c.send(b[i : i+1]); err != nil {
			return err
		}
		time.Sleep(crowdSlow)
	}
	return nil
}

// stopHalfWay sends nothing, half a header, or a header and half a body.
func (c *crowdClient) stopHalfWay() error {
	b := c.head(c.target.write, fmt.Sprintf("Content-Length: %d\r\n", c.target.body))
	switch c.variant % 3 {
	case 0:
		return nil
	case 1:
		return c.send(b[:len(b)/2])
	}
	return c.send(append(b, blanks[:c.target.body/2]...))
}

// sendGarbage sends nothing, random bytes, or the header of the largest frame.
func (c *crowdClient) sendGarbage() error {
	b := make([]byte, 64<<10)
	rng := rand.New(rand.NewPCG(1, uint64(c.number)))
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	switch c.variant % 3 {
	case 0:
		return nil
	case 1:
		return c.send(b)
	}
	return c.send(bytes.Repeat([]byte{0xff}, 13))
}
