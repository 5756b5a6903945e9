//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target. Connections that are open when silence is called deliver nothing further, without
// a reset; later ones work.
type proxy struct {
	address string
	target  string

	mu     sync.Mutex
	age    int       // number of calls of silence
	opened time.Time // when the last connection was opened
}

func newProxy(target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{address: ln.Addr().String(), target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

// silence makes all open connections silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.age++
}

func (p *proxy) lastOpened() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *proxy) isSilent(age int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.age != age
}

func (p *proxy) forward(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	age := p.age
	p.opened = time.Now()
	p.mu.Unlock()
	go p.copy(c, t, age)
	p.copy(t, c, age)
}

func (p *proxy) copy(to, from net.Conn, age int) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if p.isSilent(age) {
			if err != nil {
				from.Close() // the end isn't passed on
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
