package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to a worker. While it is cut, nothing passes and nobody learns of it.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[*proxied]struct{}
}

type proxied struct {
	client, server net.Conn
	stale          bool // opened before or during a cut
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: make(map[*proxied]struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut begins or ends a cut. Connections from before the end of a cut are dead; they are reset when the client sends
// on them after it.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for c := range p.conns {
		c.stale = true
	}
}

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	c := &proxied{client: client, stale: p.cut}
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = client.Close()
	}()
	if !c.stale {
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		defer server.Close()
		c.server = server
		go p.back(c)
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := client.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		stale, cut := c.stale, p.cut
		p.mu.Unlock()
		switch {
		case cut || c.server == nil: // lost
		case stale:
			return
		default:
			if _, err := c.server.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

// back passes what the worker answers.
func (p *proxy) back(c *proxied) {
	buf := make([]byte, 32<<10)
	for {
		n, err := c.server.Read(buf)
		p.mu.Lock()
		lost := c.stale || p.cut
		p.mu.Unlock()
		if lost {
			_, _ = io.Copy(io.Discard, c.server)
			return // the client isn't told
		}
		if n > 0 {
			if _, err := c.client.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = c.client.Close()
			return
		}
	}
}
