package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/beside"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

// requestLedger lets requests reserve slots and connections.
type requestLedger struct{ ledger *ledger.Ledger }

// Reserve implements relay.Ledger.
func (l requestLedger) Reserve(need sizes.Resources) (release func(), ok bool) {
	h := ledger.Holder("request/" + string(ident.NewRequest()))
	if !l.ledger.Reserve(h, need) {
		return nil, false
	}
	return func() { l.ledger.Release(h) }, true
}

// targets looks up announced targets.
type targets struct{ registry *beside.Registry }

// Lookup implements relay.Targets.
func (t targets) Lookup(service, name string) (relay.Target, bool) {
	found, ok := t.registry.Lookup(service, name, time.Now())
	return relay.Target{Name: found.Info.Target, Address: found.Address, Slots: found.Info.Slots}, ok
}

// limits holds the part of the configuration that is in force in this agent.
type limits struct {
	mu      sync.Mutex // held while a newer version replaces the present one
	current atomic.Pointer[wire.AgentConfig]
}

// apply brings m into force unless a newer version is.
func (l *limits) apply(m *wire.AgentConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Version >= l.version() {
		l.current.Store(m)
	}
}

// version returns the version in force, or 0 before the first.
func (l *limits) version() uint64 {
	if c := l.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// LongSlots implements relay.Limits.
func (l *limits) LongSlots(service string) int64 {
	c := l.current.Load()
	if c == nil {
		return 0
	}
	for _, s := range c.Services {
		if s.Name == service {
			return s.LongSlots
		}
	}
	return 0
}
