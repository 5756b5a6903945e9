package target

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	silentAfter = 2 * time.Second  // without an announcement; targets announce themselves every 500 ms
	removeAfter = 60 * time.Second // how long a silent target stays visible to operators
	maxTargets  = 64               // limits the memory of an agent and the size of its heartbeats
)

// Target is an announced target.
type Target struct {
	Info    wire.TargetInfo
	Address string    // host:port
	SeenAt  time.Time // last announcement
	ReadyAt time.Time // when it last entered TargetReady; its load ramps up from then on
}

// Registry tracks the targets on the machine of one agent; it is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	targets map[string]*Target
	version uint64
	changed chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: make(map[string]*Target), changed: make(chan struct{}, 1)}
}

// Announce records an announcement made at the given time and reports whether the target is new; it returns an error
// that names the first invalid field, or one when the registry is full.
//
// A target that announced TargetLeaving stays in that state until it has been silent for 2 s: announcements that
// arrive late do not make it ready again.
func (r *Registry) Announce(info wire.TargetInfo, address string, at time.Time) (isNew bool, err error) {
	if err := validate(info, address); err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[info.Target]
	if !ok {
		if len(r.targets) >= maxTargets {
			return false, errors.Newf("there are already %d targets beside this agent", maxTargets)
		}
		t = &Target{ReadyAt: at}
		r.targets[info.Target] = t
	}
	if t.Info.State == wire.TargetLeaving && info.State == wire.TargetReady {
		if at.Sub(t.SeenAt) < silentAfter {
			return false, nil
		}
	}
	if t.Info.State != wire.TargetReady && info.State == wire.TargetReady {
		t.ReadyAt = at
	}
	if t.Info != info || t.Address != address {
		t.Info, t.Address = info, address
		r.markChanged()
	}
	t.SeenAt = at
	return !ok, nil
}

func validate(info wire.TargetInfo, address string) error {
	switch {
	case !ident.IsName(info.Target):
		return errors.Newf("Target %q is not a name", info.Target)
	case !ident.IsName(info.Service):
		return errors.Newf("Service %q is not a name", info.Service)
	case info.State != wire.TargetReady && info.State != wire.TargetLeaving:
		return errors.Newf("State %v is neither Ready nor Leaving", info.State)
	case info.Slots < 0 || info.Connections < 0:
		return errors.Newf("Slots %d and Connections %d must not be negative", info.Slots, info.Connections)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Newf("Address %q is not an IP address with a port", address)
	}
	return nil
}

// Expire marks targets as silent after 2 s without an announcement and removes them after 60 s.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, t := range r.targets {
		switch silence := now.Sub(t.SeenAt); {
		case silence >= removeAfter:
			delete(r.targets, name)
			r.markChanged()
		case silence >= silentAfter && t.Info.State == wire.TargetReady:
			t.Info.State = wire.TargetSilent
			r.markChanged()
		}
	}
}

func (r *Registry) markChanged() {
	r.version++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value after one or more changes of the list.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// List returns all targets sorted by name, with the version of the list.
func (r *Registry) List() *wire.Targets {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &wire.Targets{Version: r.version}
	for _, t := range r.targets {
		m.Targets = append(m.Targets, t.Info)
	}
	slices.SortFunc(m.Targets, func(a, b wire.TargetInfo) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return m
}

// Lookup returns the named target of a service, or any ready one when target is empty; it reports false when none
// accepts new work at the given time.
func (r *Registry) Lookup(service, target string, now time.Time) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, t := range r.targets {
		if target != "" && name != target || t.Info.Service != service || t.Info.State != wire.TargetReady {
			continue
		}
		if now.Sub(t.SeenAt) < silentAfter {
			return *t, true
		}
	}
	return Target{}, false
}
