package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/ledger"
	"trefoilramp.org/trefoilramp/internal/host/target"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/relay"
)

// requestLedger reserves slots and connections for requests; it implements relay.Ledger.
type requestLedger struct{ ledger *ledger.Ledger }

// Reserve implements relay.Ledger.
func (l requestLedger) Reserve(need sizes.Resources) (release func(), ok bool) {
	h := ledger.Holder("request/" + string(ident.NewRequest()))
	if !l.ledger.Reserve(h, need) {
		return nil, false
	}
	return func() { l.ledger.Release(h) }, true
}

// targets looks up the targets that have announced themselves; it implements relay.Targets.
type targets struct{ registry *target.Registry }

// Lookup implements relay.Targets.
func (t targets) Lookup(service, name string) (relay.Target, bool) {
	found, ok := t.registry.Lookup(service, name, time.Now())
	return relay.Target{Name: found.Info.Target, Address: found.Address, Slots: found.Info.Slots}, ok
}

// activeConfig holds the part of the configuration that is in force in this agent; it implements relay.Limits.
type activeConfig struct {
	mu      sync.Mutex // serializes apply
	current atomic.Pointer[wire.AgentConfig]
}

// apply puts m into force unless a newer version is in force.
func (a *activeConfig) apply(m *wire.AgentConfig) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Version >= a.version() {
		a.current.Store(m)
	}
}

// version returns the version in force, or 0 if there is none yet.
func (a *activeConfig) version() uint64 {
	if c := a.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// LongSlots implements relay.Limits.
func (a *activeConfig) LongSlots(service string) int64 {
	c := a.current.Load()
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
