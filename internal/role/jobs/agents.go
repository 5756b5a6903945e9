package jobs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	dialLimit   = 1200 * time.Millisecond // for a connection and its handshake
	firstRedial = 100 * time.Millisecond
	lastRedial  = time.Second
)

// agents keeps the leader's sessions to the agents of a cell; it implements lead.Network.
type agents struct {
	cfg sess.Config
	log *zap.Logger

	mu    sync.Mutex
	conns map[string]*agentConn
	wg    sync.WaitGroup
}

type agentConn struct {
	cancel context.CancelFunc
}

func newAgents(cfg sess.Config, log *zap.Logger) *agents {
	return &agents{cfg: cfg, log: log, conns: make(map[string]*agentConn)}
}

// Connect implements lead.Network.
func (n *agents) Connect(t *lead.Term, a rows.Agent) {
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.conns[a.Name]; old != nil {
		old.cancel()
	}
	n.conns[a.Name] = &agentConn{cancel: cancel}
	n.wg.Go(func() { n.keep(ctx, t, a) })
}

// Forget implements lead.Network.
func (n *agents) Forget(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[name]; c != nil {
		c.cancel()
		delete(n.conns, name)
	}
}

// keep dials an agent until ctx ends and delivers its messages.
func (n *agents) keep(ctx context.Context, t *lead.Term, a rows.Agent) {
	wait := firstRedial
	for ctx.Err() == nil {
		h := &agentHandler{term: t, name: a.Name, ready: make(chan struct{})}
		limited, cancel := context.WithTimeout(ctx, dialLimit)
		s, err := sess.Dial(limited, a.Address, n.cfg, h)
		cancel()
		if err != nil {
			pause.For(ctx, wait)
			wait = min(2*wait, lastRedial)
			continue
		}
		wait = firstRedial
		l := &link{session: s}
		h.link = l
		t.Opened(a.Name, l)
		close(h.ready)
		select {
		case <-s.Done():
		case <-ctx.Done():
			s.Close(nil)
		}
		s.Wait()
		t.Closed(a.Name, l)
	}
}

// link is a session as the leader sees it.
type link struct {
	session *sess.Session
}

// Send implements lead.Link.
func (l *link) Send(m wire.Message) error { return l.session.Send(m) }

// Close implements lead.Link.
func (l *link) Close(err error) { l.session.Close(err) }

// agentHandler delivers what an agent sends after the term knows its session.
type agentHandler struct {
	term  *lead.Term
	name  string
	link  *link
	ready chan struct{} // closed when link is set
}

// HandleMessage implements sess.Handler.
func (h *agentHandler) HandleMessage(_ *sess.Session, m wire.Message) {
	<-h.ready
	h.term.Message(h.name, h.link, m)
}

// HandleStream implements sess.Handler; agents open no streams here.
func (h *agentHandler) HandleStream(_ *sess.Session, st *sess.Stream) {
	st.Reset("no streams are served")
}

// HandleClosed implements sess.Handler.
func (h *agentHandler) HandleClosed(*sess.Session, error) {}
