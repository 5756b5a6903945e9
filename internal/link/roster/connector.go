package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Reconnect backoff. It has jitter because all agents of a zone lose a failed entry at the same moment.
const (
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	stableAfter    = 10 * time.Second // a session that lasted this long resets the backoff
	reviewInterval = time.Second      // between checks of whether the balancer session is redundant
)

// Session is the subset of *sess.Session that Connector uses.
type Session interface {
	Peer() wire.Hello
	Done() <-chan struct{}
	Close(err error)
}

// Dial opens a session with the process at address, a host:port, and sends no messages on it.
type Dial func(ctx context.Context, address string) (Session, error)

// ConnectorConfig holds the settings of a Connector.
type ConnectorConfig struct {
	Roster   *Roster
	Peers    func() []wire.EntryInfo // entries to connect to; see GroupOf, PeersOf and MeshOf
	Balancer string                  // address dialed while no session is open; empty for none
	Dial     Dial
	Opened   func(s Session) // called for each session that is kept, which may send messages from then on; nil for none
	Log      *zap.Logger
}

// GroupOf returns a ConnectorConfig.Peers for an agent: it lists the entries that serve the agent's zone.
func GroupOf(r *Roster, zone ident.AvailabilityZone) func() []wire.EntryInfo {
	return func() []wire.EntryInfo { return r.Group(zone) }
}

// PeersOf returns a ConnectorConfig.Peers for an entry when all entries read the rows of all zones: it lists the
// entries with a higher name, so that each pair has one session.
func PeersOf(r *Roster, self ident.Entry) func() []wire.EntryInfo {
	return MeshOf(r, wire.EntryInfo{Name: self}, nil)
}

// MeshOf returns a ConnectorConfig.Peers for an entry, for any number of zones. Of two entries, the one with the lower
// name dials, unless only one of them reads the rows of the other's zone: then the reader dials, because the other one
// does not know it at startup.
func MeshOf(r *Roster, self wire.EntryInfo, zones func() []ident.AvailabilityZone) func() []wire.EntryInfo {
	return func() []wire.EntryInfo {
		var all []ident.AvailabilityZone
		if zones != nil {
			all = zones()
		}
		var list []wire.EntryInfo
		for _, e := range r.Snapshot().Entries {
			if e.Name != self.Name && shouldDial(self, e, all) {
				list = append(list, e)
			}
		}
		return list
	}
}

// shouldDial reports whether self, rather than peer, dials the session between the two.
func shouldDial(self, peer wire.EntryInfo, zones []ident.AvailabilityZone) bool {
	if reads, peerReads := readsZoneOf(self, peer, zones), readsZoneOf(peer, self, zones); reads != peerReads {
		return reads
	}
	return self.Name < peer.Name
}

// readsZoneOf reports whether e reads the rows of the peer's zone.
func readsZoneOf(e, peer wire.EntryInfo, zones []ident.AvailabilityZone) bool {
	read := zonesToRead(e.Zone, zones)
	return read == nil || slices.Contains(read, peer.Zone)
}

// Connector maintains one session with each entry that ConnectorConfig.Peers lists.
type Connector struct {
	cfg ConnectorConfig

	mu       sync.Mutex
	sessions map[ident.Entry]Session
}

// NewConnector returns a Connector that opens no session until Run is called.
func NewConnector(cfg ConnectorConfig) *Connector {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Connector{cfg: cfg, sessions: make(map[ident.Entry]Session)}
}

// SessionCount returns the number of open sessions.
func (c *Connector) SessionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

// link is a running goroutine that maintains the session with one entry.
type link struct {
	address string
	cancel  context.CancelFunc
}

// Run maintains the sessions until ctx ends and then closes them.
func (c *Connector) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if c.cfg.Balancer != "" {
		wg.Go(func() { c.runBalancer(ctx) })
	}
	links := make(map[ident.Entry]link)
	for ctx.Err() == nil {
		changed := c.cfg.Roster.Changed()
		peers := make(map[ident.Entry]string)
		for _, e := range c.cfg.Peers() {
			peers[e.Name] = e.Address
		}
		for name, l := range links {
			if peers[name] != l.address {
				l.cancel()
				delete(links, name)
			}
		}
		for name, address := range peers {
			if _, ok := links[name]; !ok {
				linkCtx, cancel := context.WithCancel(ctx)
				links[name] = link{address: address, cancel: cancel}
				wg.Go(func() { c.runLink(linkCtx, name, address) })
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	for _, l := range links {
		l.cancel()
	}
}

// runLink maintains the session with one entry until ctx ends.
func (c *Connector) runLink(ctx context.Context, name ident.Entry, address string) {
	var b backoff
	for ctx.Err() == nil {
		if s := c.session(name); s != nil { // opened through the balancer
			c.waitDone(ctx, s)
			b.pause(ctx)
			continue
		}
		s := c.dial(ctx, address, &b)
		switch {
		case s == nil:
		case ident.Entry(s.Peer().Name) != name:
			s.Close(nil) // another process now listens on the address
			b.failures++
		case c.add(name, s):
			start := time.Now()
			c.waitDone(ctx, s)
			c.remove(name, s)
			b.ended(time.Since(start))
		}
		b.pause(ctx)
	}
}

// runBalancer dials the balancer's address while no session is open. It closes that session once Peers does not list
// its entry and another session is open.
func (c *Connector) runBalancer(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		if c.SessionCount() > 0 {
			b = backoff{}
			pause.For(ctx, reviewInterval)
			continue
		}
		if s := c.dial(ctx, c.cfg.Balancer, &b); s != nil {
			name := ident.Entry(s.Peer().Name)
			if c.add(name, s) {
				c.waitRedundant(ctx, name, s)
				c.remove(name, s)
			}
		}
		b.pause(ctx)
	}
}

// waitRedundant waits until s ends or becomes redundant, and closes it in the latter case or when ctx ends.
func (c *Connector) waitRedundant(ctx context.Context, name ident.Entry, s Session) {
	for !c.redundant(name) {
		select {
		case <-s.Done():
			return
		case <-ctx.Done():
			s.Close(nil)
			return
		case <-time.After(reviewInterval):
		}
	}
	s.Close(nil)
}

// redundant reports whether another session is open and Peers does not list the named entry.
func (c *Connector) redundant(name ident.Entry) bool {
	if c.SessionCount() < 2 {
		return false
	}
	for _, e := range c.cfg.Peers() {
		if e.Name == name {
			return false
		}
	}
	return true
}

// dial opens a session, or returns nil. Only the first of consecutive failures is logged.
func (c *Connector) dial(ctx context.Context, address string, b *backoff) Session {
	s, err := c.cfg.Dial(ctx, address)
	if err == nil {
		return s
	}
	if ctx.Err() == nil && b.failures == 0 {
		event.Log(c.cfg.Log, event.DialFailed, zap.String("Address", address), zap.Error(err))
	}
	b.failures++
	return nil
}

// waitDone waits until s ends and closes it if ctx ends first.
func (c *Connector) waitDone(ctx context.Context, s Session) {
	select {
	case <-s.Done():
	case <-ctx.Done():
		s.Close(nil)
	}
}

func (c *Connector) session(name ident.Entry) Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions[name]
}

// add registers s and reports it as opened, or closes it and returns false if there is already a session with the entry.
func (c *Connector) add(name ident.Entry, s Session) bool {
	if !c.register(name, s) {
		s.Close(nil)
		return false
	}
	if c.cfg.Opened != nil {
		c.cfg.Opened(s)
	}
	return true
}

func (c *Connector) register(name ident.Entry, s Session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[name] != nil {
		return false
	}
	c.sessions[name] = s
	return true
}

func (c *Connector) remove(name ident.Entry, s Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[name] == s {
		delete(c.sessions, name)
	}
}

// backoff doubles the delay between dials, with jitter.
type backoff struct {
	failures int
}

// ended counts the end of a session as a failure, or resets the count if the session was stable.
func (b *backoff) ended(lasted time.Duration) {
	b.failures++
	if lasted >= stableAfter {
		b.failures = 0
	}
}

func (b *backoff) pause(ctx context.Context) {
	p := maxBackoff
	if b.failures < 6 {
		p = min(p, minBackoff<<b.failures)
	}
	pause.For(ctx, p/2+rand.N(p/2))
}
