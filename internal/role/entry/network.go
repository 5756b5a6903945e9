package entry

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// network maintains the entry's membership and its sessions with other entries; it implements liveEntries.
type network struct {
	entry     *Entry
	roster    *roster.Roster
	member    *roster.Member
	connector *roster.Connector
}

func newNetwork(e *Entry) *network {
	s := e.cfg.Settings
	n := &network{entry: e, roster: roster.New()}
	self := wire.EntryInfo{
		Name: ident.Entry(s.Name), Incarnation: e.incarnation, Zone: ident.AvailabilityZone(s.AvailabilityZone),
		Address: e.Sessions(),
	}
	n.member = roster.NewMember(roster.MemberConfig{
		Self: self, Store: e.cfg.Store, Roster: n.roster, Zones: n.zones, Log: e.cfg.Log,
	})
	n.connector = roster.NewConnector(roster.ConnectorConfig{
		Roster: n.roster, Peers: roster.MeshOf(n.roster, self, n.zones), Dial: n.dial, Opened: n.handleOpened, Log: e.cfg.Log,
	})
	return n
}

// run maintains the membership and the sessions until ctx ends; it calls onReplaced when another process with the same
// name has replaced this entry.
func (n *network) run(ctx context.Context, onReplaced func(error)) {
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := n.member.Run(ctx); err != nil {
			onReplaced(err)
		}
	})
	wg.Go(func() { n.connector.Run(ctx) })
	wg.Go(func() { n.broadcastRoster(ctx) })
	wg.Wait()
}

// broadcastRoster sends every change of the roster to agents and other entries until ctx ends.
func (n *network) broadcastRoster(ctx context.Context) {
	for {
		changed := n.roster.Changed()
		for _, s := range n.entry.directory.agentSessions() {
			n.sendRoster(s)
		}
		for _, s := range n.entry.directory.peerSessions() {
			n.sendRoster(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sendRoster sends the roster to the peer of a session: to an agent all entries, so that it can connect to another zone
// when its own has none, and to an entry only those that this one has read from the store or has a session with.
func (n *network) sendRoster(s *sess.Session) {
	list := n.roster.Snapshot()
	if s.Peer().Role == wire.RoleEntry {
		list = n.roster.Observed()
	}
	n.entry.send(s, &list)
}

// dial opens a session with another entry.
func (n *network) dial(ctx context.Context, address string) (roster.Session, error) {
	if f := n.entry.cfg.Route; f != nil {
		address = f(address)
	}
	s, err := sess.Dial(ctx, address, n.entry.sessionConfig(), n.entry)
	if err != nil {
		return nil, err // not s: a nil *sess.Session is no nil Session
	}
	return s, nil
}

// handleOpened registers a session that this entry has dialed.
func (n *network) handleOpened(opened roster.Session) {
	if s, ok := opened.(*sess.Session); ok { // dial returns no other type
		n.entry.register(s)
	}
}

// zones returns all zones of the configuration.
func (n *network) zones() []ident.AvailabilityZone {
	c := n.entry.holder.Current()
	if c == nil {
		return nil
	}
	var list []ident.AvailabilityZone
	for _, z := range c.Document.AvailabilityZones {
		list = append(list, ident.AvailabilityZone(z.Name))
	}
	return list
}

// OwnerOf implements liveEntries.
func (n *network) OwnerOf(p ident.Partition) (ident.Entry, bool) {
	e, ok := n.roster.Owner(p)
	return e.Name, ok
}

// IsAlive implements liveEntries.
func (n *network) IsAlive(name ident.Entry, inc ident.Incarnation) bool {
	e, ok := n.roster.Entry(name)
	return ok && e.Incarnation == inc
}

// entries returns all live entries.
func (n *network) entries() []wire.EntryInfo { return n.roster.Snapshot().Entries }

// announceDraining publishes to the other entries that this one is draining.
func (n *network) announceDraining() { n.member.SetDraining() }

// updateRoster merges the roster that another entry sent.
func (n *network) updateRoster(s *sess.Session, m *wire.Roster) {
	if !n.roster.Update(roster.SourceOf(s.Peer()), *m) {
		return
	}
	n.entry.cfg.Log.Debug("roster changed", zap.String("Peer", s.Peer().Name))
}

// forgetPeer removes the roster that another entry sent, after its session has ended.
func (n *network) forgetPeer(s *sess.Session) { n.roster.Forget(roster.SourceOf(s.Peer())) }
