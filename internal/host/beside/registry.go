package beside

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
	silentAfter = 2 * time.Second  // a target announces itself every 500 ms
	forgetAfter = 60 * time.Second // time for which a silent target stays visible to operators
	maxTargets  = 64               // bounds the memory and the heartbeats of an agent
)

// Target is a target that announced itself.
type Target struct {
	Info    wire.TargetInfo
	Address string    // host:port
	SeenAt  time.Time // last announcement
	ReadyAt time.Time // start of the current time in state TargetReady, from which its load is raised gradually
}

// Registry holds the targets beside one agent; it is safe for concurrent use.
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

// Announce records an announcement made at the given time and reports whether the target was not known; it returns an
// error that names the first invalid field.
//
// A target that announced TargetLeaving stays in that state until it has been silent: announcements that arrive late
// must not bring it back.
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
		r.noteChange()
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

// Expire marks targets that have been silent and removes those that have been silent for long.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, t := range r.targets {
		switch silence := now.Sub(t.SeenAt); {
		case silence >= forgetAfter:
			delete(r.targets, name)
			r.noteChange()
		case silence >= silentAfter && t.Info.State == wire.TargetReady:
			t.Info.State = wire.TargetSilent
			r.noteChange()
		}
	}
}

func (r *Registry) noteChange() {
	r.version++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value after one or more changes.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// List returns all targets in the order of their names, with the version of the list.
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

// Lookup returns the named target of a service, or any ready one when target is empty; it reports false when there is
// none that takes new work at the given time.
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
