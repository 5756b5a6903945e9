package jobs

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

// readyGrace is how long the store may fail before an entry says that it is not ready.
const readyGrace = 1200 * time.Millisecond

// Source delivers the operator's configuration of queues.
type Source interface {
	// Watch calls apply with each newer document until ctx ends.
	Watch(ctx context.Context, apply func(queues.Document))
}

// EntryConfig is what an entry needs.
type EntryConfig struct {
	Cell      string
	Name      string
	Zone      string
	Address   string // at which others open sessions, HOST:PORT
	Listen    string // where it accepts them; empty for Address
	Key       []byte // shared key of the handshake
	Lease     time.Duration
	Retention time.Duration
	Rank      func() time.Duration // delay before it takes a cell over
	Store     *rows.Monitor
	Source    Source
	Advisor   lead.Advisor
	Metrics   *metric.Set
	Log       *zap.Logger
}

// Entry accepts jobs and leads the cell when no other entry does.
type Entry struct {
	cfg      EntryConfig
	queues   *queues.Holder
	leader   *lead.Leader
	toLeader *toLeader
	intake   *intake.Intake
	network  *agents
	listener net.Listener
	sessions sess.Config
}

// NewEntry opens the listener of sessions.
func NewEntry(ctx context.Context, cfg EntryConfig) (*Entry, error) {
	e := &Entry{cfg: cfg, queues: &queues.Holder{}}
	e.sessions = sess.Config{
		Self: wire.Hello{
			Role: wire.RoleEntry, Name: cfg.Name, Incarnation: ident.NewIncarnation(),
			Zone: ident.AvailabilityZone(cfg.Zone), Address: cfg.Address,
		},
		Key: cfg.Key, Log: cfg.Log,
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", cmp.Or(cfg.Listen, cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for sessions: %w", err)
	}
	e.listener = ln
	e.network = newAgents(e.sessions, cfg.Log)
	e.leader = lead.NewLeader(lead.Config{
		Cell: cfg.Cell, Name: cfg.Name, Address: cfg.Address, Store: cfg.Store, Patience: cfg.Store.Patience, Lease: cfg.Lease,
		Retention: cfg.Retention, Queues: e.queues, Network: e.network, Advisor: cfg.Advisor, Meter: meter{cfg.Metrics},
		Log: cfg.Log,
	}, cfg.Rank)
	e.toLeader = newToLeader(cfg.Address, e.leader, e.sessions)
	e.intake = intake.New(intake.Config{
		Cell: cfg.Cell, Store: cfg.Store, Failing: cfg.Store.FailingSince, Patience: cfg.Store.Patience,
		Leader: e.toLeader, Taken: meter{cfg.Metrics}.taken, Log: cfg.Log,
	})
	return e, nil
}

// Intake returns what accepts jobs.
func (e *Entry) Intake() *intake.Intake { return e.intake }

// Queues returns the configuration in force.
func (e *Entry) Queues() *queues.Holder { return e.queues }

// IsReady reports whether the entry can serve callers: it has a configuration and reaches the store.
func (e *Entry) IsReady() bool {
	since := e.cfg.Store.FailingSince()
	return e.queues.Table() != nil && (since.IsZero() || time.Since(since) < readyGrace)
}

// Run works until ctx ends, and then hands the cell over.
func (e *Entry) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { e.cfg.Source.Watch(ctx, e.apply) })
	wg.Go(func() { e.leader.Run(ctx) })
	wg.Go(func() { e.toLeader.run(ctx) })
	err := sess.Serve(ctx, e.listener, e.sessions, e)
	wg.Wait()
	return err
}

// apply puts a newer configuration in force.
func (e *Entry) apply(d queues.Document) {
	t, err := queues.NewTable(d)
	if err != nil {
		event.Log(e.cfg.Log, event.QueuesRefused, zap.Uint64("Version", d.Version), zap.Error(err))
		return
	}
	if e.queues.Put(t) {
		event.Log(e.cfg.Log, event.QueuesApplied, zap.Uint64("Version", d.Version), zap.Int("Queues", len(d.Queues)))
	}
}

// HandleMessage implements sess.Handler for sessions of other entries.
func (e *Entry) HandleMessage(s *sess.Session, m wire.Message) {
	ask, ok := m.(*wire.JobAsk)
	if !ok {
		return
	}
	l := &link{session: s}
	if ask.Action == wire.JobStore || ask.Action == wire.JobRevoke {
		go e.serve(l, ask)
		return
	}
	if t := e.leader.Term(); t != nil {
		t.Ask(l, ask)
		return
	}
	if ask.Number > 0 && !e.leader.IsLeading() {
		e.reply(l, &wire.JobTell{Number: ask.Number, Verdict: wire.VerdictNotReady})
	}
}

func (e *Entry) serve(l *link, ask *wire.JobAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	e.reply(l, e.intake.Serve(ctx, ask))
}

func (e *Entry) reply(l *link, m *wire.JobTell) {
	if err := l.Send(m); err != nil {
		l.Close(err)
	}
}

// HandleStream implements sess.Handler; entries open no streams here.
func (e *Entry) HandleStream(_ *sess.Session, st *sess.Stream) { st.Reset("no streams are served") }

// HandleClosed implements sess.Handler.
func (e *Entry) HandleClosed(*sess.Session, error) {}
