package agent

import (
	"context"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// newKeeper returns the Keeper that maintains sessions with the group of entries assigned to the agent's zone.
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
	a.handleOpened(s)
	return s, nil
}

// updateRoster merges the list of live entries that an entry sent.
func (a *Agent) updateRoster(s *sess.Session, m *wire.Roster) {
	a.roster.Update(roster.SourceOf(s.Peer()), *m)
}
