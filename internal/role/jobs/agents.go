package jobs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	dialTimeout    = 1200 * time.Millisecond // for a connection with its handshake, or a request of another entry
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	stableAfter    = 2 * time.Second // duration of a session after which the next one is dialed without delay
)

// agentNetwork maintains the leader's sessions to the agents of a cell; it implements lead.Network.
type agentNetwork struct {
	cfg sess.Config
	log *zap.Logger

	mu    sync.Mutex
	conns map[string]*agentConn
	wg    sync.WaitGroup
}

type agentConn struct {
	cancel context.CancelFunc
}

func newAgentNetwork(cfg sess.Config, log *zap.Logger) *agentNetwork {
	return &agentNetwork{cfg: cfg, log: log, conns: make(map[string]*agentConn)}
}

// Connect implements lead.Network.
func (n *agentNetwork) Connect(t *lead.Term, a rows.Agent) {
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.conns[a.Name]; old != nil {
		old.cancel()
	}
	n.conns[a.Name] = &agentConn{cancel: cancel}
	n.wg.Go(func() { n.maintain(ctx, t, a) })
}

// Disconnect implements lead.Network.
func (n *agentNetwork) Disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[name]; c != nil {
		c.cancel()
		delete(n.conns, name)
	}
}

// maintain keeps a session to an agent open until ctx ends, and reports its messages to the term. It dials again with
// exponential backoff.
func (n *agentNetwork) maintain(ctx context.Context, t *lead.Term, a rows.Agent) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		dialedAt := time.Now()
		l, err := n.open(ctx, t, a)
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		for l != nil {
			l = n.awaitEnd(ctx, t, a, l)
		}
		if time.Since(dialedAt) >= stableAfter {
			delay = minRedialDelay
			continue
		}
		pause.For(ctx, delay) // the agent closes sessions at once, for example because it follows another leader
		delay = min(2*delay, maxRedialDelay)
	}
}

// open opens a session to an agent and reports it to the term.
func (n *agentNetwork) open(ctx context.Context, t *lead.Term, a rows.Agent) (*link, error) {
	h := &agentHandler{term: t, name: a.Name, ready: make(chan struct{})}
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := sess.Dial(limited, a.Address, n.cfg, h)
	if err != nil {
		return nil, err
	}
	h.link = &link{session: s}
	t.Opened(a.Name, h.link)
	close(h.ready)
	return h.link, nil
}

// awaitEnd waits until a session has ended and returns nil. While the agent does not answer, it dials the agent again, since
// the connection may be silent although the agent is in reach, and returns a session that replaces the silent one.
func (n *agentNetwork) awaitEnd(ctx context.Context, t *lead.Term, a rows.Agent, l *link) *link {
	for {
		select {
		case <-l.session.Done():
		case <-ctx.Done():
			l.session.Close(nil)
		case <-l.session.Unanswered():
			next, err := n.open(ctx, t, a)
			if err != nil {
				continue
			}
			event.Log(n.log, event.SessionReplaced, zap.String("Agent", a.Name))
			l.session.Close(sess.ErrIdle)
			n.wg.Go(func() { n.finish(t, a, l) })
			return next
		}
		n.finish(t, a, l)
		return nil
	}
}

// finish waits for the last message of a session that is ending, and reports the end to the term.
func (n *agentNetwork) finish(t *lead.Term, a rows.Agent, l *link) {
	l.session.Wait()
	t.Closed(a.Name, l)
}

// link sends messages on a session; it implements lead.Link and driver.Leader.
type link struct {
	session *sess.Session
}

// Send implements lead.Link.
func (l *link) Send(m wire.Message) error { return l.session.Send(m) }

// Close implements lead.Link.
func (l *link) Close(err error) { l.session.Close(err) }

// agentHandler delivers the messages of an agent to the term, the first one after Term.Opened has returned.
type agentHandler struct {
	term  *lead.Term
	name  string
	link  *link
	ready chan struct{} // closed when link is set
}

// HandleMessage implements sess.Handler. It waits while the queue of the term is full, which slows the agent down.
func (h *agentHandler) HandleMessage(_ *sess.Session, m wire.Message) {
	<-h.ready
	h.term.Message(h.name, h.link, m)
}

// HandleStream implements sess.Handler. It resets the stream, since agents open none.
func (h *agentHandler) HandleStream(_ *sess.Session, st *sess.Stream) {
	st.Reset("no streams are served")
}

// HandleClosed implements sess.Handler.
func (h *agentHandler) HandleClosed(*sess.Session, error) {}
