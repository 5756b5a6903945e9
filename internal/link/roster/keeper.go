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

// Backoff of dials. The jitter spreads the agents of a zone, which all lose an entry at the same moment.
const (
	firstPause  = 100 * time.Millisecond
	longPause   = 5 * time.Second
	steadyAfter = 10 * time.Second // a session that lasted so long starts the backoff anew
	reviewEvery = time.Second
)

// Session is the part of *sess.Session that a Keeper uses.
type Session interface {
	Peer() wire.Hello
	Done() <-chan struct{}
	Close(err error)
}

// Dial opens a session with the process at address.
type Dial func(ctx context.Context, address string) (Session, error)

// KeeperConfig describes the sessions that a process dials.
type KeeperConfig struct {
	Roster   *Roster
	Wanted   func() []wire.EntryInfo // see GroupOf, PeersOf and MeshOf
	Balancer string                  // address tried while there is no session; empty for none
	Dial     Dial
	Log      *zap.Logger
}

// GroupOf returns what an agent wants sessions with: the group of its zone.
func GroupOf(r *Roster, zone ident.AvailabilityZone) func() []wire.EntryInfo {
	return func() []wire.EntryInfo { return r.Group(zone) }
}

// PeersOf returns what an entry dials when every entry reads the rows of all zones: all entries with a higher name, so
// that each pair has one session.
func PeersOf(r *Roster, self ident.Entry) func() []wire.EntryInfo {
	return MeshOf(r, wire.EntryInfo{Name: self}, nil)
}

// MeshOf returns what an entry dials for any number of zones. Of two entries, the one with the lower name dials; but when
// only one of their zones reads the rows of the other, the reader dials, because at the start the other does not know it.
func MeshOf(r *Roster, self wire.EntryInfo, zones func() []ident.AvailabilityZone) func() []wire.EntryInfo {
	return func() []wire.EntryInfo {
		var all []ident.AvailabilityZone
		if zones != nil {
			all = zones()
		}
		var list []wire.EntryInfo
		for _, e := range r.Snapshot().Entries {
			if e.Name != self.Name && dials(self, e, all) {
				list = append(list, e)
			}
		}
		return list
	}
}

func dials(self, peer wire.EntryInfo, zones []ident.AvailabilityZone) bool {
	if reads, isRead := readsOther(self, peer, zones), readsOther(peer, self, zones); reads != isRead {
		return reads
	}
	return self.Name < peer.Name
}

// readsOther reports whether an entry reads the rows of a peer's zone.
func readsOther(e, peer wire.EntryInfo, zones []ident.AvailabilityZone) bool {
	read := neighbours(e.Zone, zones)
	return read == nil || slices.Contains(read, peer.Zone)
}

// Keeper keeps one session with each wanted entry.
type Keeper struct {
	cfg KeeperConfig

	mu   sync.Mutex
	open map[ident.Entry]Session
}

// NewKeeper returns a Keeper; Run does its work.
func NewKeeper(cfg KeeperConfig) *Keeper {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Keeper{cfg: cfg, open: make(map[ident.Entry]Session)}
}

// Open returns the number of open sessions.
func (k *Keeper) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.open)
}

// link is the duty that keeps the session with one entry.
type link struct {
	address string
	cancel  context.CancelFunc
}

// Run keeps the sessions until ctx ends, and closes them.
func (k *Keeper) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	if k.cfg.Balancer != "" {
		duties.Go(func() { k.runBalancer(ctx) })
	}
	links := make(map[ident.Entry]link)
	for ctx.Err() == nil {
		changed := k.cfg.Roster.Changed()
		wanted := make(map[ident.Entry]string)
		for _, e := range k.cfg.Wanted() {
			wanted[e.Name] = e.Address
		}
		for name, l := range links {
			if wanted[name] != l.address {
				l.cancel()
				delete(links, name)
			}
		}
		for name, address := range wanted {
			if _, ok := links[name]; !ok {
				dialing, cancel := context.WithCancel(ctx)
				links[name] = link{address: address, cancel: cancel}
				duties.Go(func() { k.runLink(dialing, name, address) })
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

// runLink keeps the session with one entry until ctx ends.
func (k *Keeper) runLink(ctx context.Context, name ident.Entry, address string) {
	var b backoff
	for ctx.Err() == nil {
		if s := k.session(name); s != nil { // opened through the balancer
			k.hold(ctx, s)
			b.pause(ctx)
			continue
		}
		s := k.dial(ctx, address, &b)
		switch {
		case s == nil:
		case ident.Entry(s.Peer().Name) != name:
			s.Close(nil) // the address belongs to another process now
			b.failures++
		case k.add(name, s):
			start := time.Now()
			k.hold(ctx, s)
			k.remove(name, s)
			b.ended(time.Since(start))
		}
		b.pause(ctx)
	}
}

// runBalancer dials the balancer's address while there is no session. The session is closed when its entry is not
// wanted and another session is open.
func (k *Keeper) runBalancer(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		if k.Open() > 0 {
			b = backoff{}
			pause.For(ctx, reviewEvery)
			continue
		}
		if s := k.dial(ctx, k.cfg.Balancer, &b); s != nil {
			name := ident.Entry(s.Peer().Name)
			if k.add(name, s) {
				k.holdGuest(ctx, name, s)
				k.remove(name, s)
			}
		}
		b.pause(ctx)
	}
}

// holdGuest waits until s ends or is superfluous.
func (k *Keeper) holdGuest(ctx context.Context, name ident.Entry, s Session) {
	for !k.superfluous(name) {
		select {
		case <-s.Done():
			return
		case <-ctx.Done():
			s.Close(nil)
			return
		case <-time.After(reviewEvery):
		}
	}
	s.Close(nil)
}

func (k *Keeper) superfluous(name ident.Entry) bool {
	if k.Open() < 2 {
		return false
	}
	for _, e := range k.cfg.Wanted() {
		if e.Name == name {
			return false
		}
	}
	return true
}

// dial logs the first failure of a row of them.
func (k *Keeper) dial(ctx context.Context, address string, b *backoff) Session {
	s, err := k.cfg.Dial(ctx, address)
	if err == nil {
		return s
	}
	if ctx.Err() == nil && b.failures == 0 {
		event.Log(k.cfg.Log, event.DialFailed, zap.String("Address", address), zap.Error(err))
	}
	b.failures++
	return nil
}

// hold waits until s ends, and closes it when ctx ends first.
func (k *Keeper) hold(ctx context.Context, s Session) {
	select {
	case <-s.Done():
	case <-ctx.Done():
		s.Close(nil)
	}
}

func (k *Keeper) session(name ident.Entry) Session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open[name]
}

// add registers s, and closes it when there is a session with the entry already.
func (k *Keeper) add(name ident.Entry, s Session) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[name] != nil {
		s.Close(nil)
		return false
	}
	k.open[name] = s
	return true
}

func (k *Keeper) remove(name ident.Entry, s Session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[name] == s {
		delete(k.open, name)
	}
}

// backoff doubles the pause between dials, with jitter.
type backoff struct {
	failures int
}

func (b *backoff) ended(lasted time.Duration) {
	b.failures++
	if lasted >= steadyAfter {
		b.failures = 0
	}
}

func (b *backoff) pause(ctx context.Context) {
	p := longPause
	if b.failures < 6 {
		p = min(p, firstPause<<b.failures)
	}
	pause.For(ctx, p/2+rand.N(p/2))
}
