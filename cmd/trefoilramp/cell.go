package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/ops/logs"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/role/jobs"
	"trefoilramp.org/trefoilramp/platform"
)

const cellEntryUsage = `trefoilramp cell entry --settings FILE [--check] [--json]

Accepts multi-step jobs on the users' platform and leads the cell when no other entry does. SIGTERM hands leadership
over and finishes the requests in progress. SIGHUP validates /etc/trefoilramp/local.json and logs the result, without
applying it. The log is written to standard output as JSON.`

const cellAgentUsage = `trefoilramp cell agent --settings FILE [--check] [--json]

Executes the commands of the cell's leader on the worker of the same instance. SIGTERM stops it at once; runs continue
under the worker's lease, for the agent that replaces it. SIGHUP validates /etc/trefoilramp/local.json and logs the
result, without applying it. The log is written to standard output as JSON.`

const (
	drainTime         = 2 * time.Second  // for which a draining entry serves requests on open connections
	droppedInterval   = 10 * time.Second // between updates of the gauges of log lines that are not written
	memoryShare       = 0.7              // of the memory limit of the process that the Go runtime may use
	minMemoryShare    = 0.25
	outsideHeap       = 24  // MiB of the process outside the Go runtime, most of it the program itself
	gcPercent         = 300 // heap growth that triggers a collection; processors are scarcer than memory
	maxTakeoverDelay  = 300 * time.Millisecond
	noDelayProcessors = 0.5                    // with which an entry takes a cell over without delay except its offset
	takeoverSpread    = 100 * time.Millisecond // range of the offset
	metricsBytes      = 1 << 20                // of the text of all metrics and the values that it is made of
)

func cellCommand() *cli.Command {
	return group("cell", "run multi-step jobs on the users' platform",
		roleCommand("entry", "accept jobs and lead the cell", cellEntryUsage, setup.LoadCellEntry, runCellEntry),
		roleCommand("agent", "execute commands of the leader on a worker", cellAgentUsage, setup.LoadCellAgent, runCellAgent),
		cellExplainCommand(),
	)
}

// limitMemory sets a soft limit for the Go runtime below the memory limit of the process, given in MiB.
func limitMemory(mib int64) {
	debug.SetGCPercent(gcPercent)
	limitHeap(mib)
}

func runCellEntry(ctx context.Context, s setup.CellEntry, _ *zap.Logger) error {
	limitMemory(s.Process.MemoryMiB)
	log, out := cellLog(zap.String("Instance", s.Process.Name))
	set := metric.New(log)
	g := newGuard(s.Process, set, log)
	store := rows.NewMonitor(platform.NewStore(s.Process.Store), log, jobs.StoreMeter(set))
	cfg := jobs.EntryConfig{
		Cell: s.Process.Cell, Name: s.Process.Name, Zone: s.Process.AvailabilityZone, Address: s.Process.PeerAddress(),
		Listen: s.Process.Sessions, Key: s.Process.Key.Bytes(),
		Lease: workerLease(s.Process), LeaseLimit: time.Duration(s.Process.Lease), Retention: time.Duration(s.Retention),
		TakeoverDelay: takeoverDelay(s), Store: store,
		Source:    &jobs.RowSource{Store: store, Ref: platform.ConfigRef, Decode: platform.DecodeConfig, Metrics: set, Log: log},
		Admission: s.Admission == setup.On, Guard: g, Metrics: set, Log: log,
	}
	if s.Order == setup.On {
		cfg.Order = order.AllRules()
	}
	if s.Policies != "" {
		cfg.Advisor = platform.NewAdvisor(s.Policies)
	}
	if s.EvacuationBound != nil {
		cfg.Evacuations, cfg.EvacuationBound = platform.NewEvacuations(store), s.EvacuationBound.Std()
	}
	e, err := jobs.NewEntry(ctx, cfg)
	if err != nil {
		return err
	}
	callers := &platform.JobHandler{Jobs: e.Intake(), Queues: e.Queues(), Log: log}
	d := &drainer{ready: e.IsReady}
	servers := []*server{
		{name: "callers", address: s.Callers, handler: d.wrap(callers)},
		{name: "readiness", address: s.Readiness, handler: platform.ReadinessHandler(d.isReady)},
	}
	explain := &platform.ExplainHandler{Explainer: e, Queues: e.Queues()}
	servers = append(servers, administrationServer(s.Process.Administration, set, explain)...)
	return runCell(ctx, cellProcess{
		log: log, out: out, set: set, guard: g, role: "entry", run: e.Run, servers: servers, drainer: d,
		grace:  time.Duration(s.Process.Grace),
		reload: func() error { _, err := setup.LoadCellEntry(settingsPath); return err },
	})
}

// workerLease caps the lease of the settings, the longest that a worker accepts, at lead.MaxLease. Entries and agents must
// use the same lease.
func workerLease(s setup.CellProcess) time.Duration {
	return min(time.Duration(s.Lease), lead.MaxLease)
}

// takeoverDelay returns the delay before an entry takes a cell over. It is longer for entries with few processors, so
// that larger ones come first, and includes an offset by the hash of the name, so that equal entries do not race.
func takeoverDelay(s setup.CellEntry) func() time.Duration {
	var hash uint32
	for _, b := range []byte(s.Process.Name) {
		hash = hash*31 + uint32(b)
	}
	delay := time.Duration(float64(maxTakeoverDelay)*max(0, 1-s.Processors/noDelayProcessors)) +
		time.Duration(hash%16)*takeoverSpread/16
	return func() time.Duration { return delay }
}

func runCellAgent(ctx context.Context, s setup.CellAgent, _ *zap.Logger) error {
	limitMemory(s.Process.MemoryMiB)
	log, out := cellLog(zap.String("Instance", s.Process.Name))
	set := metric.New(log)
	g := newGuard(s.Process, set, log)
	a, err := jobs.NewAgent(ctx, jobs.AgentConfig{
		Cell: s.Process.Cell, Name: s.Process.Name, Zone: s.Process.AvailabilityZone, Address: s.Process.PeerAddress(),
		Listen: s.Process.Sessions, Key: s.Process.Key.Bytes(),
		Lease: workerLease(s.Process), Worker: platform.NewWorker(s.Worker),
		Store: rows.NewMonitor(platform.NewStore(s.Process.Store), log, jobs.StoreMeter(set)), Guard: g, Metrics: set, Log: log,
	})
	if err != nil {
		return err
	}
	servers := []*server{{name: "announcements", address: s.Announcements, handler: platform.AnnouncementHandler(a.Driver(), s.Service, log)}}
	servers = append(servers, administrationServer(s.Process.Administration, set, nil)...)
	return runCell(ctx, cellProcess{
		log: log, out: out, set: set, guard: g, role: "agent", run: a.Run, servers: servers, grace: time.Duration(s.Process.Grace),
		reload: func() error { _, err := setup.LoadCellAgent(settingsPath); return err },
	})
}

// newGuard returns the guard of the listeners of a process.
func newGuard(p setup.CellProcess, set *metric.Set, log *zap.Logger) *guard.Guard {
	limits := guard.Derive(p.MemoryMiB, p.Descriptors).With(p.Clients)
	return guard.New(guard.Config{Limits: limits, Metrics: set, Log: log})
}

// administrationServer returns a server for metrics and, unless it is nil, explain, or none if the address is empty.
func administrationServer(address string, set *metric.Set, explain http.Handler) []*server {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set.Handler())
	if explain != nil {
		mux.Handle("POST "+platform.ExplainPath, explain)
	}
	return []*server{{name: "administration", address: address, handler: mux, response: metricsBytes}}
}

// settingsPath is the file in which the platform places the settings; SIGHUP validates it.
const settingsPath = "/etc/trefoilramp/local.json"

var _ lead.Advisor = (*platform.Advisor)(nil)

// server is one HTTP listener of a process.
type server struct {
	name     string // in logs and metrics
	address  string
	handler  http.Handler
	response int64 // bytes that a response may use; 0 for little
	http     *http.Server
}

// drainer makes an entry unready once it drains, and closes each connection after its next response.
type drainer struct {
	ready    func() bool
	mu       sync.Mutex
	draining bool
}

func (d *drainer) drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

func (d *drainer) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drainer) isReady() bool { return !d.isDraining() && d.ready() }

func (d *drainer) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isDraining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// cellProcess is an entry or agent of a cell with what runCell needs to run and stop it.
type cellProcess struct {
	log     *zap.Logger
	out     *logs.Writer
	set     *metric.Set
	guard   *guard.Guard
	role    string
	run     func(context.Context) error
	servers []*server
	drainer *drainer // nil for a process that stops at once
	grace   time.Duration
	reload  func() error
}

// runCell runs a process of a cell until SIGTERM, SIGINT or a failure; SIGHUP validates the settings.
func runCell(ctx context.Context, p cellProcess) error {
	defer p.out.Flush()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, len(p.servers)+1)
	for _, s := range p.servers {
		if err := s.start(ctx, p.guard, failed); err != nil {
			return err
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := p.run(ctx); err != nil {
			failed <- err
		}
	}()
	go p.guard.Run(ctx)
	go pause.Every(ctx, droppedInterval, func() {
		p.set.Gauge(metric.LogDropped).Update(float64(p.out.Dropped()))
		p.set.Gauge(metric.LogSuppressed).Update(float64(p.out.Suppressed()))
	})
	event.Log(p.log, event.ProcessStarted, zap.String("Role", p.role))
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				event.Log(p.log, event.SettingsChecked, zap.Error(p.reload()))
				continue
			}
		}
		break
	}
	event.Log(p.log, event.ProcessStopped, zap.String("Role", p.role))
	if p.drainer != nil {
		p.drainer.drain()
	}
	cancel() // hands leadership over before the listeners close
	if p.drainer != nil {
		pause.For(context.Background(), min(drainTime, p.grace/2))
	}
	for _, s := range p.servers {
		limited, stop := context.WithTimeout(context.Background(), p.grace/3)
		if err := s.http.Shutdown(limited); err != nil {
			s.http.Close()
		}
		stop()
	}
	<-ended
	return nil
}

func (s *server) start(ctx context.Context, g *guard.Guard, failed chan<- error) error {
	ln, err := g.Listen(ctx, s.name, s.address)
	if err != nil {
		return err
	}
	s.http = g.Server(guard.ServerConfig{Handler: s.handler, Response: s.response})
	go func() {
		if err := s.http.Serve(ln); err != nil && err != http.ErrServerClosed {
			failed <- err
		}
	}()
	return nil
}
