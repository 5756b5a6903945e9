package main_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	crowdSize       = 600                    // connections that each hold a little; more than crowdDescriptors
	crowdSizeMedium = 200                    // connections that each send many requests
	crowdSizeSmall  = 50                     // connections that each send many steps, which take 16 MB or more to decode
	crowdTries      = 3                      // connections of one client, which reconnects if its connection is closed
	crowdStall      = 2 * time.Second        // without progress of a write, after which a client only holds its connection
	crowdSlow       = 100 * time.Millisecond // between two bytes of a slow client
	crowdSlowBytes  = 20
	crowdRequests   = 1000     // pipelined on a connection
	crowdOver       = 64 << 20 // declared bytes of a body over the limit
	crowdOverSent   = 5 << 18  // bytes of it that are sent; over all limits except that of the console, 4 MiB
	crowdReceive    = 4 << 10  // bytes of the receive buffer, so that unread responses soon block the server
)

var (
	blanks = bytes.Repeat([]byte(" "), crowdOverSent)
	// Bodies of permitted size: 256 KiB for jobs, 64 KiB for announcements.
	emptyStepsBody = []byte(`{"steps":[{}` + strings.Repeat(",{}", 86_999) + `]}`)
	longAfterBody  = []byte(`{"steps":[{"after":[0` + strings.Repeat(",0", 130_000) + `]}]}`)
	manyLabelsBody = []byte(`{"service":"packing","addr":"127.0.0.1:9","zone":"` + processZone + `","state":"ready","seq":1,` +
		`"capacity":{"cpu":4000,"memMb":1000},"labels":[""` + strings.Repeat(`,""`, 21_000) + `]}`)
)

// crowdTarget is a listener with the crowds that it receives.
type crowdTarget struct {
	name     string
	listener string // name in the settings
	method   string // of requests with a body; others are GET
	path     string // %016x stands for the number of the client; empty for a listener of sessions
	body     int    // bytes of a body of permitted size
	kinds    []crowdKind
	address  string
}

// crowdClient is a connection of a crowd.
type crowdClient struct {
	net.Conn
	target  *crowdTarget
	number  int
	variant int // selects one of the variants of a kind
}

// crowdKind is one kind of misbehavior.
type crowdKind struct {
	name    string
	clients int
	act     func(c *crowdClient) error // returns when the client only holds its connection, or with an error
}

var (
	onePiece    = crowdKind{"short body in one piece", crowdSize, func(c *crowdClient) error { return c.stopShort(c.target.body) }}
	smallPieces = crowdKind{"short body in small pieces", crowdSize, func(c *crowdClient) error { return c.stopShort(4 << 10) }}
	chunked     = crowdKind{"short body in chunks", crowdSize, func(c *crowdClient) error { return c.sendChunks(c.target.body) }}
	overLength  = crowdKind{"body over the limit", crowdSize, func(c *crowdClient) error { return c.send(c.post(crowdOver, ""), blanks) }}
	overChunks  = crowdKind{"chunks over the limit", crowdSize, func(c *crowdClient) error { return c.sendChunks(crowdOverSent) }}
	emptySteps  = crowdKind{"empty steps", crowdSizeSmall, func(c *crowdClient) error { return c.sendBody(emptyStepsBody) }}
	longAfter   = crowdKind{"long lists of dependencies", crowdSize, func(c *crowdClient) error { return c.sendBody(longAfterBody) }}
	manyLabels  = crowdKind{"labels", crowdSize, func(c *crowdClient) error { return c.sendBody(manyLabelsBody) }}
	manyFields  = crowdKind{"header fields", crowdSize, (*crowdClient).sendFields}
	pipelined   = crowdKind{"pipelined without reading", crowdSizeMedium, (*crowdClient).pipeline}
	slowReaders = crowdKind{"slow readers", crowdSizeMedium, (*crowdClient).readSlowly}
	slowSenders = crowdKind{"slow senders", crowdSize, (*crowdClient).sendSlowly}
	halfWay     = crowdKind{"half-way stops", crowdSize, (*crowdClient).stopHalfWay}
	garbage     = crowdKind{"garbage and silence", crowdSize, (*crowdClient).sendGarbage}

	// httpKinds are those that any HTTP listener can receive.
	httpKinds = []crowdKind{onePiece, smallPieces, chunked, overLength, overChunks, manyFields, pipelined, slowReaders, slowSenders, halfWay}
	mixed     = crowdKind{"mixed", crowdSize, func(c *crowdClient) error {
		c.variant = c.number / len(httpKinds)
		return httpKinds[c.number%len(httpKinds)].act(c)
	}}
)

// runCrowd returns when every client of a crowd only holds its connection, until ctx ends, or has used all its tries.
func runCrowd(ctx context.Context, target *crowdTarget, kind crowdKind) {
	var wg sync.WaitGroup
	for n := range kind.clients {
		wg.Go(func() {
			for range crowdTries {
				err := connectCrowd(ctx, &crowdClient{target: target, number: n, variant: n}, kind.act)
				if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					return
				}
				time.Sleep(crowdSlow)
			}
		})
	}
	wg.Wait()
}

// connectCrowd opens the connection of a client, which is closed when ctx ends, and lets it act.
func connectCrowd(ctx context.Context, c *crowdClient, act func(*crowdClient) error) (err error) {
	d := net.Dialer{Timeout: crowdStall}
	if c.Conn, err = d.DialContext(ctx, "tcp", c.target.address); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { c.Close() })
	return errors.CombineErrors(c.Conn.(*net.TCPConn).SetReadBuffer(crowdReceive), act(c))
}

// send sends pieces of bytes one at a time.
func (c *crowdClient) send(pieces ...[]byte) error {
	for _, b := range pieces {
		if err := c.SetWriteDeadline(time.Now().Add(crowdStall)); err != nil {
			return err
		}
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// head returns the head of a request. It states the type of a form, which only the console needs.
func (c *crowdClient) head(method, more string) []byte {
	path := strings.Replace(c.target.path, "%016x", fmt.Sprintf("%016x", 1<<40+c.number), 1)
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: " + cellHost + "\r\nContent-Type: application/x-www-form-urlencoded\r\n" + more + "\r\n")
}

// post returns the head of a request with a body and further header lines.
func (c *crowdClient) post(length int, more string) []byte {
	return c.head(c.target.method, fmt.Sprintf("Content-Length: %d\r\n%s", length, more))
}

func (c *crowdClient) sendBody(b []byte) error { return c.send(c.post(len(b), ""), b) }

// stopShort sends a body of permitted size in pieces, without its last byte.
func (c *crowdClient) stopShort(size int) error {
	pieces := slices.Collect(slices.Chunk(blanks[:c.target.body-1], size))
	return c.send(append([][]byte{c.post(c.target.body, "")}, pieces...)...)
}

// sendChunks sends a body of n bytes in chunks, without the last byte of the encoding.
func (c *crowdClient) sendChunks(n int) error {
	const size = 1 << 10 // bytes
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, blanks[:size])
	pieces := append([][]byte{c.head(c.target.method, "Transfer-Encoding: chunked\r\n")}, slices.Repeat([][]byte{chunk}, n/size)...)
	return c.send(append(pieces, []byte("0\r\n\r"))...)
}

// sendFields sends a header with as many fields as fit into 15,000 bytes, where 16,384 are permitted, and half a body.
func (c *crowdClient) sendFields() error {
	var b strings.Builder
	for n := 0; b.Len() < 15_000; n++ {
		fmt.Fprintf(&b, "a%x:\r\n", n)
	}
	return c.send(c.post(2, b.String()), []byte("{"))
}

func (c *crowdClient) read() error {
	if err := c.SetReadDeadline(time.Now().Add(crowdStall)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// ask sends one request and returns nil if it is answered, with any status.
func (c *crowdClient) ask() error { return errors.CombineErrors(c.send(c.head("GET", "")), c.read()) }

func (c *crowdClient) pipeline() error { return c.send(bytes.Repeat(c.head("GET", ""), crowdRequests)) }

// readSlowly reads the responses to pipelined requests a byte at a time.
func (c *crowdClient) readSlowly() error {
	err := c.pipeline()
	for range crowdSlowBytes {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		time.Sleep(crowdSlow)
		err = c.read()
	}
	return err
}

// sendSlowly sends a header or a body a byte at a time.
func (c *crowdClient) sendSlowly() error {
	first, slow := c.post(c.target.body, ""), blanks
	if c.variant%2 == 0 {
		first, slow = nil, first
	}
	err := c.send(first)
	for i := 0; err == nil && i < crowdSlowBytes; i++ {
		err = c.send(slow[i : i+1])
		time.Sleep(crowdSlow)
	}
	return err
}

// stopHalfWay sends nothing, half a header, or a header and half a body.
func (c *crowdClient) stopHalfWay() error {
	b := c.post(c.target.body, "")
	return c.send([][]byte{nil, b[:len(b)/2], append(b, blanks[:c.target.body/2]...)}[c.variant%3])
}

// sendGarbage sends nothing, text, the header of the largest frame, or empty frames.
func (c *crowdClient) sendGarbage() error {
	return c.send([][]byte{nil, emptyStepsBody, bytes.Repeat([]byte{0xff}, 13), make([]byte, 4<<10)}[c.variant%4])
}
