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

// Options holds the optional settings of a Holder.
type Options struct {
	Log   *zap.Logger   // nil for none
	Hook  point.Hook    // nil for none
	Peers Peers         // other entries, queried in an outage of the store; nil for none
	Poll  time.Duration // interval between reads of the head row; 0 means DefaultPoll
	// Accepted is called after this process has accepted a version, to notify the other entries; nil for none.
	Accepted func(version uint64)
	Now      func() time.Time // nil means time.Now
}

// Holder caches the highest version of the configuration that its process has seen; it is safe for concurrent use.
type Holder struct {
	store table.Store
	log   *zap.Logger
	hook  point.Hook
	peers Peers
	poll  time.Duration
	now   func() time.Time

	onAccepted func(uint64)

	current      atomic.Pointer[Current]
	confirmed    atomic.Bool   // the store or a peer has answered since the start
	ready        atomic.Bool   // result of IsReady; never reset
	highestKnown atomic.Uint64 // highest version that is known to exist
	wake         chan struct{} // triggers a check before the next poll

	mu          sync.Mutex // guards subscribers and writes to current
	subscribers map[chan *Current]struct{}
}

// New returns a holder without a version; Run loads versions into it.
func New(store table.Store, o Options) *Holder {
	h := &Holder{store: store, log: o.Log, hook: o.Hook, peers: o.Peers, poll: o.Poll, now: o.Now, onAccepted: o.Accepted,
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

// NoticeVersion records that version exists, for example after a ConfigChanged or Hello message, and makes Run fetch it
// if it is newer than the version in force.
func (h *Holder) NoticeVersion(version uint64) {
	for {
		old := h.highestKnown.Load()
		if version <= old {
			break
		}
		if h.highestKnown.CompareAndSwap(old, version) {
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

// IsReady reports whether this or an earlier call found that the store or a peer had answered since the start and
// that the highest known version was in force. It stays true: if each new version made it false, all entries would
// fail their readiness checks at once.
func (h *Holder) IsReady() bool {
	if h.confirmed.Load() && !h.isBehind() {
		h.ready.Store(true)
	}
	return h.ready.Load()
}

// isBehind reports whether a version above the one in force is known to exist.
func (h *Holder) isBehind() bool { return h.Version() < h.highestKnown.Load() }

// Subscribe returns a channel of the versions that come into force, starting with the current one. A slow subscriber
// misses versions but always receives the newest. Cancel ends the subscription and does not close the channel.
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

// apply puts c into force if its version is above the current one, and reports whether it did.
func (h *Holder) apply(c *Current) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed.Store(true)
	if old := h.Current(); old != nil && old.Version >= c.Version {
		if old.Version > c.Version || old.Hash == c.Hash {
			return false
		}
		event.Log(h.log, event.ConfigurationConflict, zap.Uint64("Version", c.Version),
			zap.String("Hash", c.Hash), zap.String("InForce", old.Hash))
		return false
	}
	h.current.Store(c)
	h.NoticeVersion(c.Version)
	event.Log(h.log, event.ConfigurationInForce, zap.Uint64("Version", c.Version), zap.String("Hash", c.Hash))
	for ch := range h.subscribers {
		select {
		case <-ch: // drop an older version that the subscriber has not received
		default:
		}
		ch <- c
	}
	return true
}

// Offer puts a document from another entry into force if its version is newer, after it has verified the hash.
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

// Load returns an accepted version from the store, or the newest for version 0. The error wraps table.ErrNotFound when
// the store has no such version.
func (h *Holder) Load(ctx context.Context, version uint64) (*Current, error) {
	return Load(ctx, h.store, version)
}

// History returns at most limit revisions below before, newest first; before 0 means the newest.
func (h *Holder) History(ctx context.Context, before uint64, limit int) ([]Revision, error) {
	return History(ctx, h.store, before, limit)
}

// HandleFetch returns the reply to a ConfigFetch message and its body. The reply has version 0 if the version in force
// is below f.AtLeast or there is none.
func (h *Holder) HandleFetch(f wire.ConfigFetch) (wire.ConfigDoc, []byte) {
	c := h.Current()
	if c == nil || c.Version < f.AtLeast {
		return wire.ConfigDoc{}, nil
	}
	r, err := json.Marshal(c.Revision)
	if err != nil {
		return wire.ConfigDoc{}, nil // as if there were no version; the peer queries other entries
	}
	return wire.ConfigDoc{Version: c.Version, Revision: r}, c.Compact
}
