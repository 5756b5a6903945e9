package jobs

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

const (
	// readyGrace is how long the store may fail before an entry reports that it is not ready.
	readyGrace = 1200 * time.Millisecond
	// forecastAgeEvery is the interval between updates of the gauge of the forecast's age.
	forecastAgeEvery = 500 * time.Millisecond
)

// Source delivers the operator's configuration of queues.
type Source interface {
	// Watch calls apply with each newer document until ctx ends.
	Watch(ctx context.Context, apply func(queues.Document))
}

// EntryConfig configures an Entry.
type EntryConfig struct {
	Cell          string
	Name          string
	Zone          string
	Address       string // at which other entries open sessions, HOST:PORT
	Listen        string // address of the listener, HOST:PORT; empty for Address
	Key           []byte // shared key of the session handshake
	Lease         time.Duration
	LeaseLimit    time.Duration        // longest lease that a worker accepts
	Retention     time.Duration        // how long callers may query a job after its end
	TakeoverDelay func() time.Duration // delay before the entry takes over a cell without a leader
	Store         *rows.Monitor
	Source        Source
	Advisor       lead.Advisor
	// Evacuations and EvacuationBound are those of lead.Config.
	Evacuations     lead.Evacuations
	EvacuationBound time.Duration
	Order           order.Policy // rules for waiting jobs while capacity is insufficient
	Admission       bool         // jobs that cannot be done before they have lost all value are rejected
	Guard           *guard.Guard // of the listener for sessions; nil for no limits
	Metrics         *metric.Set
	Log             *zap.Logger
}

// Entry accepts jobs, and leads the cell while no other entry does.
type Entry struct {
	cfg          EntryConfig
	queues       *queues.Holder
	leader       *lead.Leader
	leaderClient *leaderClient
	admission    *intake.Admission // nil if all jobs are accepted
	intake       *intake.Intake
	network      *agentNetwork
	listener     net.Listener
	sessions     sess.Config
	explaining   sync.Mutex // held while a request of Explain is in progress
}

// NewEntry returns an entry and opens its listener for sessions; it returns an error if the address cannot be bound.
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
	if cfg.Guard != nil {
		ln = cfg.Guard.WrapSessions(ln)
	}
	e.listener = ln
	e.network = newAgentNetwork(e.sessions, cfg.Log)
	e.leader = lead.NewLeader(lead.Config{
		Cell: cfg.Cell, Name: cfg.Name, Address: cfg.Address, Store: cfg.Store, HedgeDelay: cfg.Store.HedgeDelay,
		Lease: cfg.Lease, LeaseLimit: cfg.LeaseLimit, Retention: cfg.Retention, Queues: e.queues, Network: e.network, Advisor: cfg.Advisor,
		Evacuations: cfg.Evacuations, EvacuationBound: cfg.EvacuationBound,
		Order: cfg.Order,
		Meter: meter{cfg.Metrics}, Log: cfg.Log,
	}, cfg.TakeoverDelay)
	e.leaderClient = newLeaderClient(cfg.Address, e.leader, e.sessions)
	if cfg.Admission {
		e.admission = intake.NewAdmission(intake.AdmissionConfig{
			Random: rand.Float64, OnReject: meter{cfg.Metrics}.jobRejected, Log: cfg.Log,
		})
		e.leaderClient.admission = e.admission
	}
	e.intake = intake.New(intake.Config{
		Cell: cfg.Cell, Store: cfg.Store, FailingSince: cfg.Store.FailingSince, HedgeDelay: cfg.Store.HedgeDelay,
		Leader: e.leaderClient, OnSubmit: meter{cfg.Metrics}.jobSubmitted, Admission: e.admission, Log: cfg.Log,
	})
	return e, nil
}

// Intake returns the intake of the entry, which accepts jobs.
func (e *Entry) Intake() *intake.Intake { return e.intake }

// Admission returns the admission control of the entry, or nil if it accepts all jobs.
func (e *Entry) Admission() *intake.Admission { return e.admission }

// Queues returns the holder of the configuration in force.
func (e *Entry) Queues() *queues.Holder { return e.queues }

// IsReady reports whether the entry can serve callers: it has a configuration, and the store has not failed for longer
// than readyGrace.
func (e *Entry) IsReady() bool {
	since := e.cfg.Store.FailingSince()
	return e.queues.Table() != nil && (since.IsZero() || time.Since(since) < readyGrace)
}

// Run serves until ctx ends, and then hands over the cell if this entry leads it; it returns an error if the listener
// fails.
func (e *Entry) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { e.cfg.Source.Watch(ctx, e.apply) })
	wg.Go(func() { e.leader.Run(ctx) })
	wg.Go(func() { e.leaderClient.run(ctx) })
	if e.admission != nil {
		age := e.cfg.Metrics.Gauge(metric.ForecastAge)
		wg.Go(func() { pause.Every(ctx, forecastAgeEvery, func() { age.Update(e.admission.ForecastAge(time.Now())) }) })
	}
	err := sess.Serve(ctx, e.listener, e.sessions, e)
	wg.Wait()
	return err
}

// apply puts a configuration in force if it is valid and newer than the current one.
func (e *Entry) apply(d queues.Document) {
	began := time.Now()
	t, err := queues.NewTable(d)
	if err != nil {
		event.Log(e.cfg.Log, event.QueuesRefused, zap.Uint64("Version", d.Version), zap.Error(err))
		return
	}
	if e.queues.Put(t) {
		e.cfg.Metrics.Gauge(metric.ConfigVersion).Update(float64(d.Version))
		event.Log(e.cfg.Log, event.QueuesApplied, zap.Uint64("Version", d.Version), zap.Int("Queues", len(d.Queues)),
			zap.Duration("Indexing", time.Since(began)))
	} else if current := e.queues.Table().Document.Version; d.Version < current {
		event.Log(e.cfg.Log, event.QueuesOutdated, zap.Uint64("Version", d.Version), zap.Uint64("InForce", current))
	}
}

// HandleMessage implements sess.Handler for sessions that other entries opened. While this entry takes over the cell it
// leaves requests to the leader unanswered, since a sender that receives VerdictNotReady considers this entry down.
func (e *Entry) HandleMessage(s *sess.Session, m wire.Message) {
	req, ok := m.(*wire.JobAsk)
	if !ok {
		return
	}
	l := &link{session: s}
	if req.Action == wire.JobStore || req.Action == wire.JobRevoke {
		go e.serve(l, req)
		return
	}
	if t := e.leader.Term(); t != nil {
		t.Request(l, req)
		return
	}
	if req.Number > 0 && !e.leader.IsLeading() {
		e.reply(l, &wire.JobTell{Number: req.Number, Verdict: wire.VerdictNotReady})
	}
}

func (e *Entry) serve(l *link, req *wire.JobAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	e.reply(l, e.intake.Serve(ctx, req))
}

func (e *Entry) reply(l *link, m *wire.JobTell) {
	if err := l.Send(m); err != nil {
		l.Close(err)
	}
}

// HandleStream implements sess.Handler. It resets the stream, since entries open none here.
func (e *Entry) HandleStream(_ *sess.Session, st *sess.Stream) { st.Reset("no streams are served") }

// HandleClosed implements sess.Handler.
func (e *Entry) HandleClosed(*sess.Session, error) {}
