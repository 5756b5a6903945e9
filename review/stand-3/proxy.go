//go:build review

package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to an address. While it is cut, it forwards nothing and answers nothing, as a network
// partition without a reset; bytes that are held up on older connections are forwarded afterwards.
type proxy struct {
	target string
	delay  time.Duration // one way
	ln     net.Listener

	mu     sync.Mutex
	cut    chan struct{}                 // closed when the cut ends; nil without a cut
	conns  map[*net.TCPConn]*net.TCPConn // by the connection of the client, that to the target
	silent map[*net.TCPConn]bool         // ends of connections on which nothing arrives any more
}

func newProxy(ctx context.Context, target string, delay time.Duration) (*proxy, error) {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, delay: delay, ln: ln, conns: make(map[*net.TCPConn]*net.TCPConn), silent: make(map[*net.TCPConn]bool)}
	context.AfterFunc(ctx, func() { ln.Close() })
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

// setCut begins or ends a cut of all connections, present and future.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && p.cut == nil:
		p.cut = make(chan struct{})
	case !cut && p.cut != nil:
		close(p.cut)
		p.cut = nil
	}
}

// silence makes all connections that are open silent for good, without a reset, and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for client, server := range p.conns {
		p.silent[client], p.silent[server] = true, true
	}
	return len(p.conns)
}

func (p *proxy) isSilent(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// resetConns resets a share of the connections that are open, at both ends, and returns their number.
func (p *proxy) resetConns(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for client, server := range p.conns {
		if rand.Float64() < share {
			n++
			for _, c := range []*net.TCPConn{client, server} {
				_ = c.SetLinger(0) // the connection is closed next
				_ = c.Close()      // a reset is all that counts
			}
		}
	}
	return n
}

// wait waits until there is no cut, and reports false if ctx ends first.
func (p *proxy) wait(ctx context.Context) bool {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == nil {
			return true
		}
		select {
		case <-cut:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *proxy) accept(ctx context.Context) {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok {
			go p.serve(ctx, t)
		}
	}
}

func (p *proxy) serve(ctx context.Context, client *net.TCPConn) {
	defer func() { _ = client.Close() }() // it may be closed already
	p.mu.Lock()
	isCut := p.cut != nil
	p.mu.Unlock()
	if isCut { // no connection is made through a partition; this one stays silent for good
		awaitClose(ctx, client)
		return
	}
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0) // so that the peer sees a reset, as from a port without a listener
		return
	}
	server, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	defer func() { _ = server.Close() }() // it may be closed already
	p.mu.Lock()
	p.conns[client] = server
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		delete(p.silent, client)
		delete(p.silent, server)
		p.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(ctx, server, client) })
	wg.Go(func() { p.pump(ctx, client, server) })
	wg.Wait()
}

// awaitClose waits until the peer has closed a connection, or ctx ends.
func awaitClose(ctx context.Context, c *net.TCPConn) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	_, _ = io.Copy(io.Discard, c) // what arrives is lost
}

// chunk is data on its way through a proxy.
type chunk struct {
	data []byte
	at   time.Time // when it is due at the other side
}

// pump forwards what one side sends to the other side, each chunk after the delay of the link.
func (p *proxy) pump(ctx context.Context, to, from *net.TCPConn) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case chunks <- chunk{b[:n], time.Now().Add(p.delay)}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at))
		if !p.wait(ctx) {
			return
		}
		if p.isSilent(to) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = from.Close() // it may be closed already
			return
		}
	}
	if p.wait(ctx) && !p.isSilent(to) {
		_ = to.CloseWrite() // it may be closed already
	}
}
