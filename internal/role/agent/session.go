package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/roster"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const closedLimit = time.Second // for the end of a session to reach the runner

// link is a session with an entry and what was sent on it.
type link struct {
	session *sess.Session
	targets uint64 // version of the list of targets that was sent, plus one; 0 for none
	beats   uint64
}

// send queues a message; a failure means that the session is ending, after which a new one starts from the beginning.
func (l *link) send(log *zap.Logger, m wire.Message) {
	if err := l.session.Send(m); err != nil {
		log.Debug("message to an entry was not queued", zap.Stringer("Kind", m.Kind()), zap.Error(err))
	}
}

// hello describes this agent to entries.
func (a *Agent) hello() wire.Hello {
	s := a.cfg.Settings
	return wire.Hello{
		Role:          wire.RoleAgent,
		Name:          s.Name,
		Incarnation:   a.incarnation,
		Zone:          ident.AvailabilityZone(s.AvailabilityZone),
		Rack:          s.Rack,
		ConfigVersion: a.limits.version(),
		Means:         a.means.Total,
	}
}

// opened notes a new session with an entry and introduces the targets on it.
func (a *Agent) opened(s *sess.Session) {
	l := &link{session: s}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-s.Done():
		return // HandleClosed came first
	default:
	}
	a.sessions[s] = l
	a.sendState(l)
}

// HandleMessage implements sess.Handler.
func (a *Agent) HandleMessage(s *sess.Session, m wire.Message) {
	switch m := m.(type) {
	case *wire.AgentConfig:
		a.limits.apply(m)
		l := &link{session: s}
		l.send(a.cfg.Log, &wire.ConfigApplied{Version: a.limits.version()})
	case *wire.Leaving:
		a.askDrain()
	case *wire.Roster:
		a.heardRoster(s, m)
	default:
		if !a.runner.HandleMessage(s, m) {
			s.Close(errOverloaded)
		}
	}
}

// HandleStream implements sess.Handler.
func (a *Agent) HandleStream(s *sess.Session, st *sess.Stream) { a.relay.Serve(s, st) }

// HandleClosed implements sess.Handler.
func (a *Agent) HandleClosed(s *sess.Session, _ error) {
	a.mu.Lock()
	delete(a.sessions, s)
	a.mu.Unlock()
	a.roster.Forget(roster.SourceOf(s.Peer()))
	ctx, cancel := context.WithTimeout(context.Background(), closedLimit)
	defer cancel()
	a.runner.HandleClosed(ctx, s)
}

// links returns all open sessions.
func (a *Agent) links() []*link {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*link, 0, len(a.sessions))
	for _, l := range a.sessions {
		list = append(list, l)
	}
	return list
}

func (a *Agent) closeSessions() {
	list := a.links()
	for _, l := range list {
		l.session.Close(nil)
	}
	for _, l := range list {
		l.session.Wait() // bounded by the session; the process must not end before the last messages are written
	}
}
