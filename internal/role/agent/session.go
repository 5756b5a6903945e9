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

const closeTimeout = time.Second // for the runner to accept the end of a session

// entrySession is a session with an entry and the state of what was sent on it.
type entrySession struct {
	session     *sess.Session
	sentTargets uint64 // version of the last list of targets sent, plus one; 0 for none
	heartbeats  uint64 // number of heartbeats sent, which is the Seq of the last one
}

// send queues a message; a failure means that the session is ending, and the next one starts with the full state.
func (es *entrySession) send(log *zap.Logger, m wire.Message) {
	if err := es.session.Send(m); err != nil {
		log.Debug("message to an entry was not queued", zap.Stringer("Kind", m.Kind()), zap.Error(err))
	}
}

// hello returns the description of this agent for the handshake.
func (a *Agent) hello() wire.Hello {
	s := a.cfg.Settings
	return wire.Hello{
		Role:          wire.RoleAgent,
		Name:          s.Name,
		Incarnation:   a.incarnation,
		Zone:          ident.AvailabilityZone(s.AvailabilityZone),
		Rack:          s.Rack,
		ConfigVersion: a.activeConfig.version(),
		Capacity:      a.workerInfo.Total,
	}
}

// handleOpened registers a new session with an entry and sends the full state on it.
func (a *Agent) handleOpened(opened roster.Session) {
	s, ok := opened.(*sess.Session)
	if !ok {
		return // dial returns no other type
	}
	es := &entrySession{session: s}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-s.Done():
		return // HandleClosed has been called already
	default:
	}
	a.sessions[s] = es
	a.sendState(es)
}

// HandleMessage implements sess.Handler.
func (a *Agent) HandleMessage(s *sess.Session, m wire.Message) {
	switch m := m.(type) {
	case *wire.AgentConfig:
		a.activeConfig.apply(m)
		es := &entrySession{session: s}
		es.send(a.cfg.Log, &wire.ConfigApplied{Version: a.activeConfig.version()})
	case *wire.Leaving:
		a.requestDrain()
	case *wire.Roster:
		a.updateRoster(s, m)
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
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	a.runner.HandleClosed(ctx, s)
}

// entrySessions returns all open sessions.
func (a *Agent) entrySessions() []*entrySession {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*entrySession, 0, len(a.sessions))
	for _, es := range a.sessions {
		list = append(list, es)
	}
	return list
}

func (a *Agent) closeSessions() {
	list := a.entrySessions()
	for _, es := range list {
		es.session.Close(nil)
	}
	for _, es := range list {
		es.session.Wait() // the session bounds the wait; the process must not exit before the last messages are written
	}
}
