package agent

import (
	"context"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// newKeeper returns the duty that keeps sessions with the entries of the zone's group.
func (a *Agent) newKeeper() *roster.Keeper {
	s := a.cfg.Settings
	return roster.NewKeeper(roster.KeeperConfig{
		Roster:   a.roster,
		Wanted:   roster.GroupOf(a.roster, ident.AvailabilityZone(s.AvailabilityZone)),
		Balancer: s.Balancer,
		Dial:     a.dial,
		Log:      a.cfg.Log,
	})
}

// dial opens a session with an entry.
func (a *Agent) dial(ctx context.Context, address string) (roster.Session, error) {
	if f := a.cfg.Route; f != nil {
		address = f(address)
	}
	s, err := sess.Dial(ctx, address, sess.Config{
		Self: a.hello(), Key: a.cfg.Settings.Key.Bytes(), TLS: a.cfg.Settings.TLS.Config(), Log: a.cfg.Log,
	}, a)
	if err != nil {
		return nil, err
	}
	a.opened(s)
	return s, nil
}

// heardRoster takes over which entries live.
func (a *Agent) heardRoster(s *sess.Session, m *wire.Roster) {
	a.roster.Update(roster.SourceOf(s.Peer()), *m)
}
