package netsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferBytes = 1 << 20  // in flight per direction of a connection; the sender blocks beyond it
	chunkBytes  = 16 << 10 // largest single read
)

// Direction selects one or both directions of the connections through a Relay.
type Direction uint8

// Directions through the relay.
const (
	Forward  Direction = 1 << iota // from the client that dialed the relay to the target
	Backward                       // from the target to the client
	Both     = Forward | Backward
)

// One-way delays between zones in the two workloads of section 1 of the design.
const (
	DelaySouss = 3 * time.Millisecond
	DelayOkul  = 5 * time.Millisecond
)

// impairment is the network condition applied to one direction of all connections.
type impairment struct {
	rate    int // bytes per second of all connections together; 0 for no limit
	delay   time.Duration
	jitter  time.Duration
	paused  bool
	dropped bool
}

// Relay forwards each connection that it accepts to one address.
type Relay struct {
	ln      net.Listener
	running sync.WaitGroup

	mu          sync.Mutex
	address     string
	impairments [2]impairment // forward, backward
	sentAt      [2]time.Time  // when the link has sent all bytes so far, with a limited rate
	changed     chan struct{}
	reject      bool
	closed      bool
	pairs       map[*pair]struct{}
}

// pair holds the two connections that carry one connection through the relay.
type pair struct {
	client, upstream net.Conn
	done             chan struct{}
	once             sync.Once
	silent           atomic.Bool
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.done)
		p.client.Close()
		p.upstream.Close()
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

// SetTarget forwards new connections to address, as when the target process has been replaced.
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
	r.CloseConnections()
	r.running.Wait()
}

// SetDelay delays bytes read after the call by d plus a random duration below jitter; their order does not change.
func (r *Relay) SetDelay(dir Direction, d, jitter time.Duration) {
	r.update(dir, func(imp *impairment) { imp.delay, imp.jitter = d, jitter })
}

// SetRate limits all connections together to a number of bytes per second; 0 removes the limit.
func (r *Relay) SetRate(dir Direction, rate int) {
	r.update(dir, func(imp *impairment) { imp.rate = rate })
}

// Pause stops delivery in a direction; the sender blocks once the buffers of the relay and the connections are full.
func (r *Relay) Pause(dir Direction) { r.update(dir, func(imp *impairment) { imp.paused = true }) }

// Resume ends a Pause and delivers the buffered bytes.
func (r *Relay) Resume(dir Direction) { r.update(dir, func(imp *impairment) { imp.paused = false }) }

// Drop discards all bytes of a direction while connections stay open, as in a one-way network partition. A connection
// that lost bytes cannot recover, so Restore closes it.
func (r *Relay) Drop(dir Direction) { r.update(dir, func(imp *impairment) { imp.dropped = true }) }

// Restore ends a Drop and closes all connections.
func (r *Relay) Restore() {
	r.update(Both, func(imp *impairment) { imp.dropped = false })
	r.CloseConnections()
}

// Silence discards all later bytes and the ends of the open connections, without a reset; connections opened later work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// RejectConnections sets whether new connections are closed as soon as they are accepted.
func (r *Relay) RejectConnections(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reject = on
}

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// update changes the impairments of the selected directions and wakes the goroutines that wait for a change.
func (r *Relay) update(dir Direction, change func(imp *impairment)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.impairments {
		if dir&(1<<i) != 0 {
			change(&r.impairments[i])
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// impairment returns the impairment of a direction and a channel that is closed when any impairment changes.
func (r *Relay) impairment(i int) (impairment, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.impairments[i], r.changed
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		client, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.running.Add(1)
		go r.connect(client)
	}
}

func (r *Relay) connect(client net.Conn) {
	defer r.running.Done()
	r.mu.Lock()
	reject, address := r.reject || r.closed, r.address
	r.mu.Unlock()
	if reject {
		client.Close()
		return
	}
	d := net.Dialer{Timeout: time.Second}
	upstream, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		client.Close()
		return
	}
	p := &pair{client: client, upstream: upstream, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return
	}
	r.pairs[p] = struct{}{}
	var wg sync.WaitGroup
	wg.Go(func() { r.pipe(p, 0, client, upstream) })
	wg.Go(func() { r.pipe(p, 1, upstream, client) })
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		wg.Wait()
		p.close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pairs, p)
	}()
}

// chunk is data in flight and the time at which it is delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe copies bytes from one connection to the other. readChunks stamps each chunk with the time at which it is due,
// and writeChunks waits for that time.
func (r *Relay) pipe(p *pair, dir int, from, to net.Conn) {
	chunks := make(chan chunk, bufferBytes/chunkBytes)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		r.readChunks(p, dir, from, chunks)
	})
	r.writeChunks(p, dir, to, chunks)
	if !p.silent.Load() {
		p.close()
	}
	reader.Wait()
}

func (r *Relay) readChunks(p *pair, dir int, from net.Conn, chunks chan<- chunk) {
	var last time.Time
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			imp, _ := r.impairment(dir)
			due := time.Now().Add(imp.delay)
			if imp.jitter > 0 {
				due = due.Add(rand.N(imp.jitter))
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

// writeChunks writes chunks when they are due. It returns when the pair is closed, a write fails, or the source has
// ended and all chunks are written.
func (r *Relay) writeChunks(p *pair, dir int, to net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		if !wait(p, time.Until(c.due)) {
			return
		}
		imp, changed := r.impairment(dir)
		for imp.paused {
			select {
			case <-changed:
			case <-p.done:
				return
			}
			imp, changed = r.impairment(dir)
		}
		if imp.dropped || p.silent.Load() {
			continue
		}
		if imp.rate > 0 && !wait(p, time.Until(r.transmit(dir, len(c.data), imp.rate))) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// transmit returns when the link has sent n more bytes at a limited rate.
func (r *Relay) transmit(dir, n, rate int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.sentAt[dir].Before(now) {
		r.sentAt[dir] = now
	}
	r.sentAt[dir] = r.sentAt[dir].Add(time.Duration(n) * time.Second / time.Duration(rate))
	return r.sentAt[dir]
}

// wait sleeps for d and reports false if the pair is closed first.
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
