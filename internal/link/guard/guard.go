package guard

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

const (
	sweepInterval = time.Second
	logInterval   = 10 * time.Second // between two log lines about the same limit
	// receiveBuffer and sendBuffer bound the memory of the kernel for a connection whose client or process does not read;
	// by default Linux lets them grow to 6 and 4 MiB.
	receiveBuffer = 128 << 10
	sendBuffer    = 64 << 10
)

var reasonEvents = map[Reason]event.Number{
	Connections: event.ClientsExceeded, PerAddress: event.ClientsExceeded, Handshakes: event.ClientsExceeded,
	Bytes: event.ClientBytesExceeded, Stalled: event.ClientStalled, BodySize: event.ClientInputExceeded, ListLength: event.ClientInputExceeded,
}

// Config configures a Guard.
type Config struct {
	Limits  Limits
	Metrics *metric.Set // may be nil
	Log     *zap.Logger
}

// Guard applies the limits to all listeners of a process.
type Guard struct {
	cfg        Config
	clients    *pool
	handshakes *pool

	mu       sync.Mutex
	counters map[turned]tally.Counter
	logged   map[turned]*logState
}

// turned is a reason and the listener at which clients were turned away for it.
type turned struct {
	reason   Reason
	listener string
}

type logState struct {
	next  time.Time // of the next line
	count int       // since the last line
}

// New returns a guard and logs its limits.
func New(cfg Config) *Guard {
	g := &Guard{cfg: cfg, counters: make(map[turned]tally.Counter), logged: make(map[turned]*logState)}
	g.clients = newPool(g, cfg.Limits)
	h := cfg.Limits
	h.Connections, h.PerAddress = h.Handshakes, h.Handshakes
	g.handshakes = newPool(g, h)
	l := cfg.Limits
	event.Log(cfg.Log, event.ClientLimits, zap.Int64("Bytes", l.Bytes), zap.Int("Connections", l.Connections),
		zap.Int("PerAddress", l.PerAddress), zap.Int("Handshakes", l.Handshakes), zap.Int("HeaderBytes", l.HeaderBytes),
		zap.Duration("HeaderTimeout", l.HeaderTimeout), zap.Duration("IdleTimeout", l.IdleTimeout),
		zap.Duration("StallTimeout", l.StallTimeout))
	return g
}

// Run closes stalled connections and updates the gauges until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	pause.Every(ctx, sweepInterval, func() {
		now := time.Now()
		n, held := g.clients.sweep(now)
		h, _ := g.handshakes.sweep(now)
		if m := g.cfg.Metrics; m != nil {
			m.Gauge(metric.ClientConnections).Update(float64(n + h))
			m.Gauge(metric.ClientBytes).Update(float64(held))
		}
	})
}

// Listen opens a listener for clients, with bounded buffers of the kernel; name identifies it in logs and metrics.
func (g *Guard) Listen(ctx context.Context, name, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: boundBuffers}
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return g.Wrap(ln, name), nil
}

// boundBuffers is a net.ListenConfig.Control function; accepted connections inherit the sizes.
func boundBuffers(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		if sockErr == nil {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
		}
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return fmt.Errorf("bound socket buffers: %w", err)
	}
	return nil
}

// Wrap returns a listener for clients whose connections count against the limits.
func (g *Guard) Wrap(ln net.Listener, name string) net.Listener {
	return &listener{Listener: ln, pool: g.clients, name: name}
}

// WrapSessions returns a listener whose connections count against the limit of handshakes until Authenticated is called.
func (g *Guard) WrapSessions(ln net.Listener) net.Listener {
	return &listener{Listener: ln, pool: g.handshakes, name: "sessions"}
}

// turnAway counts clients that were turned away, and logs them at most once each logInterval.
func (g *Guard) turnAway(r Reason, name string, n int, address net.Addr, err error) {
	key := turned{r, name}
	now := time.Now()
	g.mu.Lock()
	c := g.counters[key]
	if c == nil && g.cfg.Metrics != nil {
		c = g.cfg.Metrics.Counter(metric.ClientsTurnedAway, r.String(), name)
		g.counters[key] = c
	}
	s := g.logged[key]
	if s == nil {
		s = &logState{}
		g.logged[key] = s
	}
	s.count += n
	count := s.count
	isDue := !now.Before(s.next)
	if isDue {
		s.count, s.next = 0, now.Add(logInterval)
	}
	g.mu.Unlock()
	if c != nil {
		c.Inc(int64(n))
	}
	if isDue {
		event.Log(g.cfg.Log, reasonEvents[r], zap.Stringer("Reason", r), zap.String("Listener", name),
			zap.Int("Count", count), zap.Stringer("Remote", address), zap.Error(err))
	}
}

// pool is a ledger with its connections.
type pool struct {
	guard *Guard

	mu     sync.Mutex
	ledger *Ledger
	conns  map[ID]*Conn
}

func newPool(g *Guard, l Limits) *pool {
	return &pool{guard: g, ledger: NewLedger(l), conns: make(map[ID]*Conn)}
}

// add counts a new connection and closes others for it.
func (p *pool) add(c *Conn) {
	p.mu.Lock()
	id, victims, r := p.ledger.Open(addressOf(c.Conn), time.Now())
	c.id = id
	p.conns[id] = c
	closing := p.connsOf(victims)
	p.mu.Unlock()
	if p == p.guard.handshakes {
		r = Handshakes
	}
	p.closeAll(closing, r)
}

// reserve counts bytes of a connection; it reports false if they are not granted.
func (p *pool) reserve(c *Conn, bytes int64) bool { return p.reserveIn(c, bytes, 0, 0) }

// reserveIn is like reserve, and begins and ends phases of the connection under the same lock.
func (p *pool) reserveIn(c *Conn, bytes int64, begin, end Phase) bool {
	now := time.Now()
	p.mu.Lock()
	if begin != 0 {
		p.ledger.Enter(c.id, begin, now)
	}
	if end != 0 {
		p.ledger.Leave(c.id, end)
	}
	victims := p.ledger.Reserve(c.id, bytes, now)
	if len(victims) == 0 {
		p.mu.Unlock()
		return true
	}
	granted := victims[len(victims)-1] != c.id
	if !granted {
		victims = victims[:len(victims)-1]
	}
	closing := p.connsOf(victims)
	p.mu.Unlock()
	p.closeAll(closing, Bytes)
	if !granted {
		p.guard.turnAway(Bytes, c.listener, 1, c.RemoteAddr(), nil)
	}
	return granted
}

// sweep closes the stalled connections, and returns the number of connections and the bytes held.
func (p *pool) sweep(now time.Time) (int, int64) {
	p.mu.Lock()
	closing := p.connsOf(p.ledger.Stalled(now))
	n, held := p.ledger.Len(), p.ledger.Held()
	p.mu.Unlock()
	p.closeAll(closing, Stalled)
	return n, held
}

// connsOf returns the connections with the given IDs; p.mu is held.
func (p *pool) connsOf(ids []ID) []*Conn {
	if len(ids) == 0 {
		return nil
	}
	list := make([]*Conn, 0, len(ids))
	for _, id := range ids {
		if c := p.conns[id]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

func (p *pool) closeAll(list []*Conn, r Reason) {
	for _, c := range list {
		c.abort()
		p.guard.turnAway(r, c.listener, 1, c.RemoteAddr(), nil)
	}
}

// progress records bytes that have moved, and the end of phases.
func (p *pool) progress(id ID, n int, end Phase) {
	now := time.Now()
	p.mu.Lock()
	p.ledger.Progress(id, int64(n), now)
	if end != 0 {
		p.ledger.Leave(id, end)
	}
	p.mu.Unlock()
}

func (p *pool) enter(id ID, ph Phase) {
	now := time.Now()
	p.mu.Lock()
	p.ledger.Enter(id, ph, now)
	p.mu.Unlock()
}

func (p *pool) leave(id ID, ph Phase) {
	p.mu.Lock()
	p.ledger.Leave(id, ph)
	p.mu.Unlock()
}

func (p *pool) remove(id ID) {
	p.mu.Lock()
	p.ledger.Close(id)
	delete(p.conns, id)
	p.mu.Unlock()
}

func addressOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
