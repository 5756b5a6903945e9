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
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	leaderPollInterval = 200 * time.Millisecond // between checks of the head row
	pollsPerProbe      = 3                      // checks of the head row per probe of the leader
	probeTimeout       = 500 * time.Millisecond // for the response to a probe
)

// leaderClient sends requests to the leader of the cell, which may be this entry; it implements intake.Leader.
type leaderClient struct {
	self   string // address of this entry
	leader *lead.Leader
	cfg    sess.Config
	// admission receives the forecasts of the leader; nil if none are needed.
	admission *intake.Admission

	mu         sync.Mutex
	session    *sess.Session
	epoch      uint64                        // of the leader at the other end of session
	lastNumber uint64                        // of a request
	pending    map[uint64]chan *wire.JobTell // requests without a reply, by number
	forecast   *wire.JobForecast             // last received
	explained  *wire.JobExplained            // last received
}

func newLeaderClient(self string, l *lead.Leader, cfg sess.Config) *leaderClient {
	return &leaderClient{self: self, leader: l, cfg: cfg, pending: make(map[uint64]chan *wire.JobTell)}
}

// Epoch implements intake.Leader.
func (c *leaderClient) Epoch() uint64 {
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
func (c *leaderClient) IsSelf() bool { return c.leader.Term() != nil }

// Notify implements intake.Leader. It does not repeat a lost message, and sends none that exceeds a frame, since the leader
// reads its content from the store.
func (c *leaderClient) Notify(epoch uint64, m *wire.JobAsk) {
	if t := c.leader.Term(); t != nil {
		if t.Epoch() == epoch {
			t.Request(localLink{c}, m)
		}
		return
	}
	c.mu.Lock()
	s, reached := c.session, c.epoch
	c.mu.Unlock()
	if s == nil || reached != epoch {
		return
	}
	if err := s.Send(m); err != nil && !errors.Is(err, frame.ErrTooLarge) {
		s.Close(err)
	}
}

// Request implements intake.Leader.
func (c *leaderClient) Request(ctx context.Context, m *wire.JobAsk) (*wire.JobTell, error) {
	reply := make(chan *wire.JobTell, 1)
	t := c.leader.Term()
	c.mu.Lock()
	s := c.session
	if t == nil && s == nil {
		c.mu.Unlock()
		return nil, intake.ErrNoLeader
	}
	c.lastNumber++
	m.Number = c.lastNumber
	c.pending[m.Number] = reply
	c.mu.Unlock()
	defer c.forget(m.Number)
	if t != nil {
		t.Request(localLink{c}, m)
	} else if err := s.Send(m); err != nil {
		return nil, errors.Mark(err, intake.ErrNoLeader)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the leader's reply: %w", ctx.Err())
	}
}

func (c *leaderClient) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func (c *leaderClient) reply(m *wire.JobTell) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.pending[m.Number]; ch != nil {
		delete(c.pending, m.Number)
		ch <- m
	}
}

// run maintains a session to the leader while another entry leads, until ctx ends.
func (c *leaderClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.leader.Head()
		if h == nil || h.Address == "" || h.Address == c.self {
			if c.IsSelf() {
				c.requestForecast(ctx)
			}
			pause.For(ctx, leaderPollInterval)
			continue
		}
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		s, err := sess.Dial(limited, h.Address, c.cfg, c)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.leader.ReportDown(h.Epoch, false) // its process has exited, or a network partition refuses connections
		}
		if err != nil {
			c.leader.SetSuspected(true)
			pause.For(ctx, leaderPollInterval)
			continue
		}
		c.setSession(s, h.Epoch)
		c.watch(ctx, s, h.Epoch)
		c.setSession(nil, 0)
		s.Close(nil)
		c.leader.Recheck()
	}
}

// watch probes the leader until the session has ended or is silent, another entry leads or ctx ends. The leader may answer on a
// new session while this one is silent.
func (c *leaderClient) watch(ctx context.Context, s *sess.Session, epoch uint64) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%pollsPerProbe == 0 {
			c.probe(ctx, epoch)
		}
		select {
		case <-s.Done():
			return
		case <-s.Unanswered():
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

// probe checks that the leader responds and still leads, which it does not after a restart of its process.
func (c *leaderClient) probe(ctx context.Context, epoch uint64) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt, m := time.Now(), c.probeRequest()
	t, err := c.Request(limited, m)
	if err == nil && t.Verdict == wire.VerdictNotReady {
		c.leader.ReportDown(epoch, true)
	}
	if err == nil && c.admission != nil {
		c.applyForecast(m.Number, sentAt)
	}
	c.leader.SetSuspected(err != nil)
}

// probeRequest returns a request that any leader answers, and that asks for a forecast if one is needed.
func (c *leaderClient) probeRequest() *wire.JobAsk {
	m := &wire.JobAsk{Action: wire.QueueLength}
	if c.admission != nil {
		m.Packed = []byte(c.self)
	}
	return m
}

// requestForecast requests a forecast from this entry's own term.
func (c *leaderClient) requestForecast(ctx context.Context) {
	if c.admission == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt, m := time.Now(), c.probeRequest()
	if _, err := c.Request(limited, m); err == nil {
		c.applyForecast(m.Number, sentAt)
	}
}

// applyForecast passes on the forecast that came with the reply to a request; a leader of an older version sends none.
func (c *leaderClient) applyForecast(number uint64, sentAt time.Time) {
	c.mu.Lock()
	f := c.forecast
	c.mu.Unlock()
	if f != nil && f.Number == number {
		c.admission.Update(f.Packed, sentAt)
	}
}

func (c *leaderClient) receiveForecast(f *wire.JobForecast) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forecast = f
}

func (c *leaderClient) setSession(s *sess.Session, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.epoch = s, epoch
}

// HandleMessage implements sess.Handler.
func (c *leaderClient) HandleMessage(_ *sess.Session, m wire.Message) {
	switch m := m.(type) {
	case *wire.JobTell:
		c.reply(m)
	case *wire.JobForecast:
		c.receiveForecast(m)
	case *wire.JobExplained:
		c.mu.Lock()
		c.explained = m
		c.mu.Unlock()
	}
}

// HandleStream implements sess.Handler. It resets the stream, since the leader opens none.
func (c *leaderClient) HandleStream(_ *sess.Session, st *sess.Stream) {
	st.Reset("no streams are served")
}

// HandleClosed implements sess.Handler.
func (c *leaderClient) HandleClosed(*sess.Session, error) {}

// localLink delivers the replies of this entry's own term; it implements lead.Link.
type localLink struct {
	c *leaderClient
}

// Send implements lead.Link.
func (l localLink) Send(m wire.Message) error {
	l.c.HandleMessage(nil, m)
	return nil
}

// Close implements lead.Link; it does nothing, since there is no session.
func (l localLink) Close(error) {}
