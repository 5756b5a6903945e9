package entry

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/owner"
	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// agentSession adapts a session with an agent to the owner of batch work; it implements owner.Agent.
type agentSession struct{ session *sess.Session }

// Info implements owner.Agent.
func (a agentSession) Info() owner.AgentInfo {
	p := a.session.Peer()
	return owner.AgentInfo{
		Worker: ident.Worker(p.Name), Incarnation: p.Incarnation, Zone: p.Zone, Rack: p.Rack, Capacity: p.Capacity,
	}
}

// Send implements owner.Agent.
func (a agentSession) Send(m wire.Message) error { return a.session.Send(m) }

func memberOf(p wire.Hello) head.Member { return head.Member{Role: p.Role, Name: p.Name, Zone: p.Zone} }

// handleOpened registers a new session with all components and sends the state that its peer needs. It runs before the
// first message is handled.
func (e *Entry) handleOpened(s *sess.Session) {
	p := s.Peer()
	e.holder.NoticeVersion(p.ConfigVersion)
	e.tracker.Remove(memberOf(p)) // a restarted process may apply an older version at first
	e.tracker.SetVersion(memberOf(p), p.ConfigVersion)
	if p.Role == wire.RoleEntry {
		e.directory.addPeer(s)
		e.network.roster.AddPeer(p)
		e.send(s, e.directory.summary(e.holder.Version()))
		e.network.sendRoster(s)
		return
	}
	e.directory.addAgent(s)
	e.owner.SessionOpened(agentSession{s})
	e.network.sendRoster(s)
	e.sendConfig(s)
}

// HandleMessage implements sess.Handler.
func (e *Entry) HandleMessage(s *sess.Session, m wire.Message) {
	e.register(s)
	if s.Peer().Role == wire.RoleAgent {
		e.handleAgent(s, m)
		return
	}
	e.handlePeer(s, m)
}

func (e *Entry) handleAgent(s *sess.Session, m wire.Message) {
	switch m := m.(type) {
	case *wire.Targets:
		e.directory.setTargets(s, m, time.Now())
		e.sendConfig(s)
		return
	case *wire.Leaving:
		e.directory.markLeaving(s)
		return
	case *wire.ConfigApplied:
		e.directory.setConfigVersion(s, m.Version)
		e.tracker.SetVersion(memberOf(s.Peer()), m.Version)
		return
	case *wire.Heartbeat:
		e.directory.applyHeartbeat(s, m, time.Now())
		e.holder.NoticeVersion(m.ConfigVersion)
	}
	e.owner.HandleAgent(agentSession{s}, m)
}

func (e *Entry) handlePeer(s *sess.Session, m wire.Message) {
	switch m := m.(type) {
	case *wire.Summary:
		e.directory.setSummary(s, m, time.Now())
		e.holder.NoticeVersion(m.ConfigVersion)
		e.tracker.SetVersion(memberOf(s.Peer()), m.ConfigVersion)
	case *wire.ConfigChanged:
		e.holder.NoticeVersion(m.Version)
	case *wire.Leaving:
		e.directory.markLeaving(s)
	case *wire.Roster:
		e.network.updateRoster(s, m)
	default:
		e.owner.HandlePeer(m)
	}
}

// HandleStream implements sess.Handler.
func (e *Entry) HandleStream(s *sess.Session, st *sess.Stream) {
	switch m := st.Head().(type) {
	case *wire.RequestHead:
		e.front.ServeStream(s, st)
	case *wire.ConfigFetch:
		e.answerConfig(st, m)
	case *wire.JobSubmit, *wire.JobQuery, *wire.JobCancel:
		e.answerJob(st)
	default:
		st.Reset("unknown request")
	}
}

// HandleClosed implements sess.Handler.
func (e *Entry) HandleClosed(s *sess.Session, _ error) {
	e.directory.remove(s)
	if s.Peer().Role == wire.RoleAgent {
		e.owner.SessionClosed(agentSession{s})
	}
	e.unregister(s)
}

// send queues a message; a failure means that the session is ending.
func (e *Entry) send(s *sess.Session, m wire.Message) {
	if err := s.Send(m); err != nil {
		e.cfg.Log.Debug("message was not queued", zap.Stringer("Kind", m.Kind()), zap.Error(err))
	}
}

// sendConfig sends an agent its part of the configuration in force.
func (e *Entry) sendConfig(s *sess.Session) {
	c := e.holder.Current()
	if c == nil {
		return
	}
	e.send(s, c.AgentConfig(s.Peer().Capacity, e.directory.servicesOf(s)))
}
