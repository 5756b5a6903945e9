package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// bufferBytes bounds what is under way in one direction of a connection; the sender is blocked beyond it.
const (
	bufferBytes = 1 << 20
	chunkBytes  = 16 << 10
)

// Direction is one way through the relay, or both.
type Direction uint8

// Directions through the relay.
const (
	Forward  Direction = 1 << iota // from the side that dialed the relay
	Backward                       // to it
	Both     = Forward | Backward
)

// Delays are the one-way delays between zones of the two workloads in section 1 of the design.
const (
	DelaySouss = 3 * time.Millisecond
	DelayOkul  = 5 * time.Millisecond
)

// flow is what happens to one direction of all connections.
type flow struct {
	delay   time.Duration
	jitter  time.Duration
	paused  bool
	dropped bool
}

// Relay forwards each connection that it accepts to one address.
type Relay struct {
	ln      net.Listener
	running sync.WaitGroup

	mu      sync.Mutex
	address string
	flows   [2]flow // forward, backward
	changed chan struct{}
	refuse  bool
	closed  bool
	pairs   map[*pair]struct{}
}

// pair is one connection through the relay.
type pair struct {
	near, far net.Conn
	done      chan struct{}
	once      sync.Once
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.done)
		p.near.Close()
		p.far.Close()
	})
}

// New returns a Relay that listens on a free port of the loopback address and forwards to address.
func New(ctx context.Context, address string) (*Relay, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{ln: ln, address: address, changed: make(chan struct{}), pairs: make(map[*pair]struct{})}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the host:port on which the relay listens.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// SetTarget forwards connections from now on to address, as after the replacement of a process.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = address
}

// Close closes all connections and the listener, and waits until the relay's goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.ln.Close()
	r.Cut()
	r.running.Wait()
}

// SetDelay delays what is read from now on by d plus a random time below jitter; the order of bytes does not change.
func (r *Relay) SetDelay(way Direction, d, jitter time.Duration) {
	r.set(way, func(f *flow) { f.delay, f.jitter = d, jitter })
}

// Pause holds all bytes back; what exceeds the bounded buffer waits at the sender.
func (r *Relay) Pause(way Direction) { r.set(way, func(f *flow) { f.paused = true }) }

// Resume ends a Pause; what was held back arrives late.
func (r *Relay) Resume(way Direction) { r.set(way, func(f *flow) { f.paused = false }) }

// Drop discards all bytes of a direction from now on, while connections stay open, as a one-way failure of the network
// does. Connections that lost bytes are broken for good, so Restore closes them.
func (r *Relay) Drop(way Direction) { r.set(way, func(f *flow) { f.dropped = true }) }

// Restore ends a Drop and closes the connections that it broke.
func (r *Relay) Restore() {
	r.set(Both, func(f *flow) { f.dropped = false })
	r.Cut()
}

// Cut closes all connections at once.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Refuse closes new connections at once while on is true.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = on
}

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

func (r *Relay) set(way Direction, change func(f *flow)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.flows {
		if way&(1<<i) != 0 {
			change(&r.flows[i])
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) flow(i int) (flow, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows[i], r.changed
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.running.Add(1)
		go r.open(near)
	}
}

func (r *Relay) open(near net.Conn) {
	defer r.running.Done()
	r.mu.Lock()
	refuse, address := r.refuse || r.closed, r.address
	r.mu.Unlock()
	if refuse {
		near.Close()
		return
	}
	d := net.Dialer{Timeout: time.Second}
	far, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		near.Close()
		return
	}
	p := &pair{near: near, far: far, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return
	}
	r.pairs[p] = struct{}{}
	var ways sync.WaitGroup
	ways.Go(func() { r.carry(p, 0, near, far) })
	ways.Go(func() { r.carry(p, 1, far, near) })
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		ways.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pairs, p)
	}()
}

// chunk is a piece of a connection under way.
type chunk struct {
	data []byte
	due  time.Time
}

// carry moves bytes from one connection to the other. A reader stamps each chunk with the time at which it is due; a
// writer waits for that time.
func (r *Relay) carry(p *pair, way int, from, to net.Conn) {
	chunks := make(chan chunk, bufferBytes/chunkBytes)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		r.fetch(p, way, from, chunks)
	})
	r.deliver(p, way, to, chunks)
	p.close()
	reader.Wait()
}

func (r *Relay) fetch(p *pair, way int, from net.Conn, chunks chan<- chunk) {
	var last time.Time
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			f, _ := r.flow(way)
			due := time.Now().Add(f.delay)
			if f.jitter > 0 {
				due = due.Add(rand.N(f.jitter))
			}
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case chunks <- chunk{data: b[:n:n], due: due}:
			case <-p.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes the chunks when they are due; it returns at the end of the connection, and at the end of the stream
// only after all chunks were written.
func (r *Relay) deliver(p *pair, way int, to net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		if !wait(p, time.Until(c.due)) {
			return
		}
		f, changed := r.flow(way)
		for f.paused {
			select {
			case <-changed:
			case <-p.done:
				return
			}
			f, changed = r.flow(way)
		}
		if f.dropped {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

func wait(p *pair, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}
