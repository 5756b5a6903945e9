package agent

import (
	"context"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// newConnector returns the Connector that maintains sessions with the group of entries assigned to the agent's zone.
func (a *Agent) newConnector() *roster.Connector {
	s := a.cfg.Settings
	return roster.NewConnector(roster.ConnectorConfig{
		Roster:   a.roster,
		Peers:    roster.GroupOf(a.roster, ident.AvailabilityZone(s.AvailabilityZone)),
		Balancer: s.Balancer,
		Dial:     a.dial,
		Opened:   a.handleOpened,
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
		return nil, err // not s: a nil *sess.Session is no nil Session
	}
	return s, nil
}

// updateRoster merges the list of live entries that an entry sent.
func (a *Agent) updateRoster(s *sess.Session, m *wire.Roster) {
	a.roster.Update(roster.SourceOf(s.Peer()), *m)
}
