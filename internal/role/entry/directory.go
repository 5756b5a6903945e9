package entry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/front"
	"trefoilramp.org/trefoilramp/internal/serve/route"
)

// rebuildInterval is the minimum interval between rebuilds of a service's candidates for new load hints; changes of
// state take effect at once. With 850 agents that each send a heartbeat per second, rebuilding for every one would
// occupy a whole core.
const rebuildInterval = 50 * time.Millisecond

var errNoSession = errors.New("no session with the candidate")

// directory records the sessions of this entry with agents and other entries, and the state that they reported; it
// implements front.Directory.
type directory struct {
	zone ident.AvailabilityZone

	mu                sync.Mutex
	agents            map[*sess.Session]*agent
	peers             map[*sess.Session]*peer
	sets              map[string]*cachedSet    // by service
	candidateSessions map[string]*sess.Session // by candidate name
}

// agent is a session with an agent and the state that the agent reported.
type agent struct {
	session *sess.Session
	hello   wire.Hello
	targets map[string]*target
	free    sizes.Resources
	version uint64 // of the configuration in force at the agent
	leaving bool
}

// target is a target that an agent announced.
type target struct {
	info    wire.TargetInfo
	hint    wire.TargetHint
	hintAt  time.Time // when hint was received
	readyAt time.Time // when the agent reported the change to Ready
}

// peer is a session with another entry and the state that it reported.
type peer struct {
	session    *sess.Session
	hello      wire.Hello
	summary    wire.Summary
	receivedAt time.Time
	leaving    bool
}

// cachedSet holds the candidates of a service.
type cachedSet struct {
	set     route.Set
	builtAt time.Time
	stale   bool // set when the state of an agent, target or entry has changed
}

func newDirectory(zone ident.AvailabilityZone) *directory {
	return &directory{
		zone:              zone,
		agents:            make(map[*sess.Session]*agent),
		peers:             make(map[*sess.Session]*peer),
		sets:              make(map[string]*cachedSet),
		candidateSessions: make(map[string]*sess.Session),
	}
}

// addAgent registers a session with an agent.
func (d *directory) addAgent(s *sess.Session) {
	a := &agent{session: s, hello: s.Peer(), targets: make(map[string]*target)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[s] = a
}

// addPeer registers a session with another entry.
func (d *directory) addPeer(s *sess.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[s] = &peer{session: s, hello: s.Peer()}
}

// remove removes a session, so that no more requests are routed to it.
func (d *directory) remove(s *sess.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.agents, s)
	delete(d.peers, s)
	maps.DeleteFunc(d.candidateSessions, func(_ string, session *sess.Session) bool { return session == s })
	d.markStale()
}

// markStale makes the next lookup of each service rebuild its candidates; the caller holds d.mu.
func (d *directory) markStale() {
	for _, c := range d.sets {
		c.stale = true
	}
}

// setTargets replaces the targets of an agent.
func (d *directory) setTargets(s *sess.Session, m *wire.Targets, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.agents[s]
	if !ok {
		return
	}
	next := make(map[string]*target, len(m.Targets))
	for _, info := range m.Targets {
		t := &target{info: info, readyAt: now}
		if old, ok := a.targets[info.Target]; ok {
			t.hint, t.hintAt = old.hint, old.hintAt
			if old.info.State == wire.TargetReady {
				t.readyAt = old.readyAt
			}
		}
		next[info.Target] = t
	}
	a.targets = next
	d.markStale()
}

// applyHeartbeat records the free resources, configuration version and load hints of a heartbeat.
func (d *directory) applyHeartbeat(s *sess.Session, m *wire.Heartbeat, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.agents[s]
	if !ok {
		return
	}
	a.free = m.Free
	a.version = max(a.version, m.ConfigVersion)
	if m.Leaving && !a.leaving {
		a.leaving = true
		d.markStale()
	}
	for _, h := range m.Targets {
		if t, ok := a.targets[h.Target]; ok {
			t.hint, t.hintAt = h, now
		}
	}
}

// markLeaving stops routing new work to the peer of a session.
func (d *directory) markLeaving(s *sess.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.agents[s]; ok {
		a.leaving = true
	}
	if p, ok := d.peers[s]; ok {
		p.leaving = true
	}
	d.markStale()
}

// setConfigVersion records the version of the configuration in force at an agent; an older one is ignored.
func (d *directory) setConfigVersion(s *sess.Session, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.agents[s]; ok {
		a.version = max(a.version, version)
	}
}

// setSummary records the latest summary of another entry.
func (d *directory) setSummary(s *sess.Session, m *wire.Summary, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[s]; ok {
		p.summary, p.receivedAt = *m, now
	}
}

// Candidates implements front.Directory.
func (d *directory) Candidates(service string) route.Set {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.sets[service]
	if ok && !c.stale && now.Sub(c.builtAt) < rebuildInterval {
		return c.set
	}
	c = &cachedSet{set: d.build(service), builtAt: now}
	d.sets[service] = c
	return c.set
}

// build returns the targets of a service at the agents that this entry has sessions with, and the other entries that
// reach targets of it; the caller holds d.mu.
func (d *directory) build(service string) route.Set {
	var set route.Set
	for _, a := range d.agents {
		for _, t := range a.targets {
			if t.info.Service != service || t.info.State == wire.TargetSilent {
				continue
			}
			c := targetCandidate(a, t)
			d.candidateSessions[c.Name] = a.session
			if c.Zone == d.zone {
				set.Local = append(set.Local, c)
			} else {
				set.Remote = append(set.Remote, c)
			}
		}
	}
	for _, p := range d.peers {
		for _, s := range p.summary.Services {
			if s.Service == service && s.Targets > 0 {
				c := peerCandidate(p, s)
				d.candidateSessions[c.Name] = p.session
				set.Remote = append(set.Remote, c)
			}
		}
	}
	byName := func(a, b route.Candidate) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(set.Local, byName)
	slices.SortFunc(set.Remote, byName)
	return set
}

func targetCandidate(a *agent, t *target) route.Candidate {
	return route.Candidate{
		Name:     a.hello.Name + "/" + t.info.Target,
		Target:   t.info.Target,
		Zone:     a.hello.Zone,
		Slots:    t.info.Slots,
		InFlight: t.hint.InFlight,
		MeanRun:  time.Duration(t.hint.MeanRun),
		HintAt:   t.hintAt,
		ReadyAt:  t.readyAt,
		Leaving:  a.leaving || t.info.State == wire.TargetLeaving,
		Delay:    a.session.RoundTrip() / 2,
	}
}

func peerCandidate(p *peer, s wire.ServiceSummary) route.Candidate {
	return route.Candidate{
		Name:    "entry/" + p.hello.Name,
		Zone:    p.hello.Zone,
		Slots:   s.FreeSlots,
		MeanRun: time.Duration(s.MeanRun),
		HintAt:  p.receivedAt,
		Leaving: p.leaving,
		Delay:   p.session.RoundTrip() / 2,
	}
}

// Open implements front.Directory.
func (d *directory) Open(ctx context.Context, c route.Candidate, head *wire.RequestHead) (front.Stream, error) {
	s := d.sessionOf(c)
	if s == nil {
		return nil, fmt.Errorf("%s: %w", c.Name, errNoSession)
	}
	return s.Open(ctx, head)
}

func (d *directory) sessionOf(c route.Candidate) *sess.Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.candidateSessions[c.Name]
}

// summary returns, for other entries, the services that this one reaches in its own zone, and the free resources of its
// agents.
func (d *directory) summary(configVersion uint64) *wire.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &wire.Summary{ConfigVersion: configVersion}
	services := make(map[string]*wire.ServiceSummary)
	for _, a := range d.agents {
		m.Free = m.Free.Plus(a.free)
		if a.leaving || a.hello.Zone != d.zone {
			continue
		}
		for _, t := range a.targets {
			if t.info.State != wire.TargetReady {
				continue
			}
			s, ok := services[t.info.Service]
			if !ok {
				s = &wire.ServiceSummary{Service: t.info.Service}
				services[t.info.Service] = s
			}
			s.Targets++
			s.FreeSlots += max(0, t.info.Slots-t.hint.InFlight)
		}
	}
	for _, s := range services {
		m.Services = append(m.Services, *s)
	}
	return m
}

// freeIn returns the free resources of the workers of a zone: those reported by agents with a session to this entry or,
// if there are none, those in the summaries of entries of that zone.
func (d *directory) freeIn(zone ident.AvailabilityZone) sizes.Resources {
	d.mu.Lock()
	defer d.mu.Unlock()
	var free sizes.Resources
	for _, a := range d.agents {
		if a.hello.Zone == zone && !a.leaving {
			free = free.Plus(a.free)
		}
	}
	if free != (sizes.Resources{}) {
		return free
	}
	for _, p := range d.peers {
		if p.hello.Zone == zone {
			free = free.Plus(p.summary.Free)
		}
	}
	return free
}

// peerSessions returns the sessions with other entries, by name.
func (d *directory) peerSessions() map[ident.Entry]*sess.Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[ident.Entry]*sess.Session, len(d.peers))
	for s := range d.peers {
		m[ident.Entry(s.Peer().Name)] = s
	}
	return m
}

// agentSessions returns the sessions with agents.
func (d *directory) agentSessions() []*sess.Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*sess.Session, 0, len(d.agents))
	for s := range d.agents {
		list = append(list, s)
	}
	return list
}

// servicesOf returns the service of each target that an agent announced, with repetitions.
func (d *directory) servicesOf(s *sess.Session) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.agents[s]
	if !ok {
		return nil
	}
	var list []string
	for _, t := range a.targets {
		list = append(list, t.info.Service)
	}
	return list
}
