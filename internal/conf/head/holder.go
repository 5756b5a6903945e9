package head

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// Options are the parts of a Holder that have defaults.
type Options struct {
	Log   *zap.Logger
	Hook  point.Hook
	Peers Peers         // other entries, asked in an outage of the store
	Poll  time.Duration // interval of reading the head row; 0 means DefaultPoll
	// Accepted is called when this process has accepted a version, to tell the other entries.
	Accepted func(version uint64)
	Now      func() time.Time // nil means time.Now
}

// Holder keeps the highest version of the configuration that its process has seen; it is safe for concurrent use.
type Holder struct {
	store table.Store
	log   *zap.Logger
	hook  point.Hook
	peers Peers
	poll  time.Duration
	now   func() time.Time

	accepted func(uint64)

	current   atomic.Pointer[Current]
	confirmed atomic.Bool   // whether the store or a peer has answered since the start
	ready     atomic.Bool   // set once and never cleared
	heard     atomic.Uint64 // highest version that anyone spoke of
	wake      chan struct{}

	mu          sync.Mutex // guards the change of current and the subscribers
	subscribers map[chan *Current]struct{}
}

// New returns a holder without a version; Run fills it.
func New(store table.Store, o Options) *Holder {
	h := &Holder{store: store, log: o.Log, hook: o.Hook, peers: o.Peers, poll: o.Poll, now: o.Now, accepted: o.Accepted,
		wake: make(chan struct{}, 1), subscribers: make(map[chan *Current]struct{})}
	if h.log == nil {
		h.log = zap.NewNop()
	}
	if h.poll == 0 {
		h.poll = DefaultPoll
	}
	if h.now == nil {
		h.now = time.Now
	}
	return h
}

// Current returns the version in force in this process, or nil when there is none.
func (h *Holder) Current() *Current { return h.current.Load() }

// Version returns the number of the version in force in this process, or 0.
func (h *Holder) Version() uint64 {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Heard notes that version exists, for example from a ConfigChanged or Hello message, and fetches it if it is newer.
func (h *Holder) Heard(version uint64) {
	for {
		old := h.heard.Load()
		if version <= old {
			break
		}
		if h.heard.CompareAndSwap(old, version) {
			break
		}
	}
	if version > h.Version() {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// IsReady reports whether the holder has had, since its start, a version at least as high as the highest it had heard of
// then. It stays true: if it turned false with each new version, all entries would fail their readiness checks at once.
func (h *Holder) IsReady() bool {
	if h.confirmed.Load() && !h.isBehind() {
		h.ready.Store(true)
	}
	return h.ready.Load()
}

func (h *Holder) isBehind() bool { return h.Version() < h.heard.Load() }

// Subscribe returns a channel of versions as they come into force, starting with the present one. A subscriber that is
// slow misses versions but always gets the newest. Cancel ends the subscription.
func (h *Holder) Subscribe() (versions <-chan *Current, cancel func()) {
	ch := make(chan *Current, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers[ch] = struct{}{}
	if c := h.Current(); c != nil {
		ch <- c
	}
	return ch, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, ch)
	}
}

// apply brings c into force unless the present version is at least as high.
func (h *Holder) apply(c *Current) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed.Store(true)
	if old := h.Current(); old != nil && old.Version >= c.Version {
		if old.Version > c.Version || old.Hash == c.Hash {
			return false
		}
		event.Log(h.log, event.ConfigurationContradicts, zap.Uint64("Version", c.Version),
			zap.String("Hash", c.Hash), zap.String("InForce", old.Hash))
		return false
	}
	h.current.Store(c)
	h.Heard(c.Version)
	event.Log(h.log, event.ConfigurationInForce, zap.Uint64("Version", c.Version), zap.String("Hash", c.Hash))
	for ch := range h.subscribers {
		select {
		case <-ch: // the version before, which the subscriber has not taken yet
		default:
		}
		ch <- c
	}
	return true
}

// Offer brings a document from another entry into force if it is newer.
func (h *Holder) Offer(d wire.ConfigDoc, body []byte) error {
	if d.Version == 0 {
		return errors.New("peer has no such version")
	}
	var r Revision
	if err := json.Unmarshal(d.Revision, &r); err != nil {
		return fmt.Errorf("decode revision from a peer: %w", err)
	}
	c, err := newCurrent(r, body)
	if err != nil {
		return err
	}
	if h.apply(c) {
		event.Log(h.log, event.ConfigurationFromPeer, zap.Uint64("Version", c.Version))
	}
	return nil
}

// Load returns an accepted version from the store, the newest for version 0, or table.ErrNotFound.
func (h *Holder) Load(ctx context.Context, version uint64) (*Current, error) {
	return Load(ctx, h.store, version)
}

// History returns at most limit revisions below before, newest first; before 0 means the newest.
func (h *Holder) History(ctx context.Context, before uint64, limit int) ([]Revision, error) {
	return History(ctx, h.store, before, limit)
}

// Answer returns the reply to a ConfigFetch message and the body that follows it.
func (h *Holder) Answer(f wire.ConfigFetch) (wire.ConfigDoc, []byte) {
	c := h.Current()
	if c == nil || c.Version < f.AtLeast {
		return wire.ConfigDoc{}, nil
	}
	r, err := json.Marshal(c.Revision)
	if err != nil {
		return wire.ConfigDoc{}, nil // as if it had none; the peer asks others
	}
	return wire.ConfigDoc{Version: c.Version, Revision: r}, c.Compact
}
