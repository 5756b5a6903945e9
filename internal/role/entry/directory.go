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

// rebuildEvery bounds how often the candidates of a service are rebuilt because of hints; changes of state are seen at
// once. With 850 agents that send a heartbeat a second, a rebuild for each of them would cost a core.
const rebuildEvery = 50 * time.Millisecond

var errNoSession = errors.New("no session with the candidate")

// directory knows the sessions of this entry with agents and other entries, and what they told; it implements
// front.Directory.
type directory struct {
	zone ident.AvailabilityZone

	mu     sync.Mutex
	agents map[*sess.Session]*agent
	peers  map[*sess.Session]*peer
	sets   map[string]*cachedSet
	reach  map[string]*sess.Session // by name of the candidate
}

// agent is a session with an agent.
type agent struct {
	session *sess.Session
	peer    wire.Hello
	targets map[string]*announced
	free    sizes.Resources
	version uint64 // of the configuration in force there
	leaving bool
}

// announced is a target of an agent.
type announced struct {
	info    wire.TargetInfo
	hint    wire.TargetHint
	hintAt  time.Time
	readyAt time.Time
}

// peer is a session with another entry.
type peer struct {
	session *sess.Session
	peer    wire.Hello
	summary wire.Summary
	heardAt time.Time
	leaving bool
}

type cachedSet struct {
	set     route.Set
	builtAt time.Time
	stale   bool // a state has changed
}

func newDirectory(zone ident.AvailabilityZone) *directory {
	return &directory{
		zone:   zone,
		agents: make(map[*sess.Session]*agent),
		peers:  make(map[*sess.Session]*peer),
		sets:   make(map[string]*cachedSet),
		reach:  make(map[string]*sess.Session),
	}
}

// addAgent notes a session with an agent.
func (d *directory) addAgent(s *sess.Session) *agent {
	a := &agent{session: s, peer: s.Peer(), targets: make(map[string]*announced)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[s] = a
	return a
}

// addPeer notes a session with another entry.
func (d *directory) addPeer(s *sess.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[s] = &peer{session: s, peer: s.Peer()}
}

// remove forgets a session; requests go to it no more.
func (d *directory) remove(s *sess.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.agents, s)
	delete(d.peers, s)
	maps.DeleteFunc(d.reach, func(_ string, reached *sess.Session) bool { return reached == s })
	d.markStale()
}

// markStale makes the next look-up of each service rebuild its candidates; d.mu is held.
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
	next := make(map[string]*announced, len(m.Targets))
	for _, info := range m.Targets {
		t := &announced{info: info, readyAt: now}
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

// beat takes over the hints of a heartbeat.
func (d *directory) beat(s *sess.Session, m *wire.Heartbeat, now time.Time) {
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

// leave stops new work for the peer of a session.
func (d *directory) leave(s *sess.Session) {
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

// applied notes the version of the configuration in force at an agent.
func (d *directory) applied(s *sess.Session, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.agents[s]; ok {
		a.version = max(a.version, version)
	}
}

// summarize takes over what another entry can reach.
func (d *directory) summarize(s *sess.Session, m *wire.Summary, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[s]; ok {
		p.summary, p.heardAt = *m, now
	}
}

// Candidates implements front.Directory.
func (d *directory) Candidates(service string) route.Set {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.sets[service]
	if ok && !c.stale && now.Sub(c.builtAt) < rebuildEvery {
		return c.set
	}
	c = &cachedSet{set: d.build(service), builtAt: now}
	d.sets[service] = c
	return c.set
}

// build lists the targets of a service beside agents with a session, and the other entries that reach more of them.
func (d *directory) build(service string) route.Set {
	var set route.Set
	for _, a := range d.agents {
		for _, t := range a.targets {
			if t.info.Service != service || t.info.State == wire.TargetSilent {
				continue
			}
			c := candidate(a, t)
			d.reach[c.Name] = a.session
			if c.Zone == d.zone {
				set.Own = append(set.Own, c)
			} else {
				set.Other = append(set.Other, c)
			}
		}
	}
	for _, p := range d.peers {
		for _, s := range p.summary.Services {
			if s.Service == service && s.Targets > 0 {
				c := relayed(p, s)
				d.reach[c.Name] = p.session
				set.Other = append(set.Other, c)
			}
		}
	}
	byName := func(a, b route.Candidate) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(set.Own, byName)
	slices.SortFunc(set.Other, byName)
	return set
}

func candidate(a *agent, t *announced) route.Candidate {
	return route.Candidate{
		Name:     a.peer.Name + "/" + t.info.Target,
		Target:   t.info.Target,
		Zone:     a.peer.Zone,
		Slots:    t.info.Slots,
		InFlight: t.hint.InFlight,
		MeanRun:  time.Duration(t.hint.MeanRun),
		HintAt:   t.hintAt,
		ReadyAt:  t.readyAt,
		Leaving:  a.leaving || t.info.State == wire.TargetLeaving,
		Delay:    a.session.RoundTrip() / 2,
	}
}

func relayed(p *peer, s wire.ServiceSummary) route.Candidate {
	return route.Candidate{
		Name:    "entry/" + p.peer.Name,
		Zone:    p.peer.Zone,
		Slots:   s.FreeSlots,
		MeanRun: time.Duration(s.MeanRun),
		HintAt:  p.heardAt,
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
	return d.reach[c.Name]
}

// summary tells other entries what this one reaches in its own zone.
func (d *directory) summary(configVersion uint64) *wire.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &wire.Summary{ConfigVersion: configVersion}
	services := make(map[string]*wire.ServiceSummary)
	for _, a := range d.agents {
		m.Free = m.Free.Plus(a.free)
		if a.leaving || a.peer.Zone != d.zone {
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

// freeIn returns what the workers of a zone could still hold, as far as this entry has been told.
func (d *directory) freeIn(zone ident.AvailabilityZone) sizes.Resources {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum sizes.Resources
	for _, a := range d.agents {
		if a.peer.Zone == zone && !a.leaving {
			sum = sum.Plus(a.free)
		}
	}
	if sum != (sizes.Resources{}) {
		return sum
	}
	for _, p := range d.peers {
		if p.peer.Zone == zone {
			sum = sum.Plus(p.summary.Free)
		}
	}
	return sum
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

// servicesOf returns the services that the targets of an agent announced.
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
