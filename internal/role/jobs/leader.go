package jobs

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	leaderPoll = 200 * time.Millisecond // between looks at who leads
	probeEach  = 3                      // looks between questions whether the leader answers
	probeLimit = 500 * time.Millisecond // for its answer
)

// toLeader reaches the leader of the cell, which may be this entry; it implements intake.Leader.
type toLeader struct {
	self   string // address of this entry
	leader *lead.Leader
	cfg    sess.Config

	mu      sync.Mutex
	session *sess.Session
	epoch   uint64 // of the leader that session reaches
	next    uint64
	waiting map[uint64]chan *wire.JobTell
}

func newToLeader(self string, l *lead.Leader, cfg sess.Config) *toLeader {
	return &toLeader{self: self, leader: l, cfg: cfg, waiting: make(map[uint64]chan *wire.JobTell)}
}

// Epoch implements intake.Leader.
func (c *toLeader) Epoch() uint64 {
	if t := c.leader.Term(); t != nil {
		return t.Epoch()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		return c.epoch
	}
	if h := c.leader.Head(); h != nil {
		return h.Epoch
	}
	return 0
}

// IsSelf implements intake.Leader.
func (c *toLeader) IsSelf() bool { return c.leader.Term() != nil }

// Tell implements intake.Leader. The leader reads from the store what a lost message would have told.
func (c *toLeader) Tell(epoch uint64, m *wire.JobAsk) {
	if t := c.leader.Term(); t != nil {
		if t.Epoch() == epoch {
			t.Ask(replies{c}, m)
		}
		return
	}
	c.mu.Lock()
	s, reached := c.session, c.epoch
	c.mu.Unlock()
	if s == nil || reached != epoch {
		return
	}
	if err := s.Send(m); err != nil {
		s.Close(err)
	}
}

// Ask implements intake.Leader.
func (c *toLeader) Ask(ctx context.Context, m *wire.JobAsk) (*wire.JobTell, error) {
	reply := make(chan *wire.JobTell, 1)
	t := c.leader.Term()
	c.mu.Lock()
	s := c.session
	if t == nil && s == nil {
		c.mu.Unlock()
		return nil, intake.ErrNoLeader
	}
	c.next++
	m.Number = c.next
	c.waiting[m.Number] = reply
	c.mu.Unlock()
	defer c.forget(m.Number)
	if t != nil {
		t.Ask(replies{c}, m)
	} else if err := s.Send(m); err != nil {
		return nil, errors.Mark(err, intake.ErrNoLeader)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("ask the leader: %w", ctx.Err())
	}
}

func (c *toLeader) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

func (c *toLeader) reply(m *wire.JobTell) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.waiting[m.Number]; ch != nil {
		delete(c.waiting, m.Number)
		ch <- m
	}
}

// run keeps a session to the leader while another entry leads.
func (c *toLeader) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.leader.Head()
		if h == nil || h.Address == "" || h.Address == c.self {
			pause.For(ctx, leaderPoll)
			continue
		}
		limited, cancel := context.WithTimeout(ctx, dialLimit)
		s, err := sess.Dial(limited, h.Address, c.cfg, c)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.leader.Vacate(h.Epoch, false) // its process has ended, or a cut refuses connections
		}
		if err != nil {
			c.leader.Suspect(true)
			pause.For(ctx, leaderPoll)
			continue
		}
		c.set(s, h.Epoch)
		c.watch(ctx, s, h.Epoch)
		c.set(nil, 0)
		s.Close(nil)
		c.leader.Check()
	}
}

// watch returns when the session has ended or another entry leads.
func (c *toLeader) watch(ctx context.Context, s *sess.Session, epoch uint64) {
	ticker := time.NewTicker(leaderPoll)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%probeEach == 0 {
			c.probe(ctx, epoch)
		}
		select {
		case <-s.Done():
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			if h := c.leader.Head(); h == nil || h.Epoch != epoch {
				return
			}
		}
	}
}

// probe asks the leader whether it leads: a process that was restarted does not.
func (c *toLeader) probe(ctx context.Context, epoch uint64) {
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	t, err := c.Ask(limited, &wire.JobAsk{Action: wire.QueueLength})
	if err == nil && t.Verdict == wire.VerdictNotReady {
		c.leader.Vacate(epoch, true)
	}
	c.leader.Suspect(err != nil)
}

func (c *toLeader) set(s *sess.Session, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.epoch = s, epoch
}

// HandleMessage implements sess.Handler.
func (c *toLeader) HandleMessage(_ *sess.Session, m wire.Message) {
	if t, ok := m.(*wire.JobTell); ok {
		c.reply(t)
	}
}

// HandleStream implements sess.Handler; the leader opens no streams.
func (c *toLeader) HandleStream(_ *sess.Session, st *sess.Stream) { st.Reset("no streams are served") }

// HandleClosed implements sess.Handler.
func (c *toLeader) HandleClosed(*sess.Session, error) {}

// replies is the link of this entry to its own term.
type replies struct {
	c *toLeader
}

// Send implements lead.Link.
func (r replies) Send(m wire.Message) error {
	if t, ok := m.(*wire.JobTell); ok {
		r.c.reply(t)
	}
	return nil
}

// Close implements lead.Link; there is no session to close.
func (r replies) Close(error) {}
