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

// network is the entry's membership and its sessions with other entries.
type network struct {
	entry  *Entry
	roster *roster.Roster
	member *roster.Member
	keeper *roster.Keeper
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
	n.keeper = roster.NewKeeper(roster.KeeperConfig{
		Roster: n.roster, Wanted: roster.MeshOf(n.roster, self, n.zones), Dial: n.dial, Log: e.cfg.Log,
	})
	return n
}

// run keeps the membership and the sessions until ctx ends; replaced is called when another process with the same name
// has taken this entry's place.
func (n *network) run(ctx context.Context, replaced func(error)) {
	var duties sync.WaitGroup
	duties.Go(func() {
		if err := n.member.Run(ctx); err != nil {
			replaced(err)
		}
	})
	duties.Go(func() { n.keeper.Run(ctx) })
	duties.Go(func() { n.spread(ctx) })
	duties.Wait()
}

// spread sends agents and other entries every change of the roster.
func (n *network) spread(ctx context.Context) {
	for {
		changed := n.roster.Changed()
		for _, s := range n.entry.directory.agentSessions() {
			n.send(s)
		}
		for _, s := range n.entry.directory.peerSessions() {
			n.send(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// send sends what the peer of a session needs of the roster: agents all entries, so that they can leave a zone without
// any, and entries what this one has read itself.
func (n *network) send(s *sess.Session) {
	list := n.roster.Snapshot()
	if s.Peer().Role == wire.RoleEntry {
		list = n.roster.FirstHand()
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
		return nil, err
	}
	n.entry.introduce(s)
	return s, nil
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

// leave tells the other entries that this one drains.
func (n *network) leave() { n.member.SetDraining() }

// heard takes over what another entry has read.
func (n *network) heard(s *sess.Session, m *wire.Roster) {
	if !n.roster.Update(roster.SourceOf(s.Peer()), *m) {
		return
	}
	n.entry.cfg.Log.Debug("roster changed", zap.String("Peer", s.Peer().Name))
}

// lost drops what an entry had read, after its session has ended.
func (n *network) lost(s *sess.Session) { n.roster.Forget(roster.SourceOf(s.Peer())) }
