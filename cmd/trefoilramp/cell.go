package main

import (
	"context"
	"net"
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
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/ops/logs"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/role/jobs"
	"trefoilramp.org/trefoilramp/platform"
)

const cellEntryUsage = `trefoilramp cell entry --settings FILE [--check] [--json]

Accepts jobs of steps on the users' platform and leads the cell when no other entry does. SIGTERM hands the cell over and
finishes the requests in progress. SIGHUP reads the settings again and reports faults. The log goes to standard output as
JSON.`

const cellAgentUsage = `trefoilramp cell agent --settings FILE [--check] [--json]

Carries out the orders of the cell's leader on the worker of the same instance. At SIGTERM it ends at once; the runs go on
under the worker's lease for the agent that replaces it. The log goes to standard output as JSON.`

const (
	leaveTime    = 2 * time.Second // for which a leaving entry answers requests on open connections
	countEvery   = 10 * time.Second
	cellIdle     = 15 * time.Second
	cellHeader   = 3 * time.Second
	memoryShare  = 0.7 // of the process's limit that the Go runtime may use
	gcPercent    = 300 // growth of the heap between collections, since processors are scarcer than memory
	slowestRank  = 300 * time.Millisecond
	fullRank     = 0.5 // processors at which an entry takes a cell over without delay
	rankedSpread = 100 * time.Millisecond
)

func cellCommand() *cli.Command {
	return group("cell", "run jobs of steps on the users' platform",
		roleCommand("entry", "accept jobs and lead the cell", cellEntryUsage, setup.LoadCellEntry, runCellEntry),
		roleCommand("agent", "carry out orders beside a worker", cellAgentUsage, setup.LoadCellAgent, runCellAgent),
	)
}

// limitMemory keeps the heap below the limit of the process.
func limitMemory(mib int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(mib<<20) * memoryShare))
}

func runCellEntry(ctx context.Context, s setup.CellEntry, _ *zap.Logger) error {
	limitMemory(s.Process.MemoryMiB)
	log, out := cellLog(zap.String("Instance", s.Process.Name))
	set := metric.New(log)
	store := rows.NewMonitor(platform.NewStore(s.Process.Store), log, jobs.StoreMeter(set))
	cfg := jobs.EntryConfig{
		Cell: s.Process.Cell, Name: s.Process.Name, Zone: s.Process.AvailabilityZone, Address: s.Process.Reach(),
		Listen: s.Process.Sessions, Key: s.Process.Key.Bytes(),
		Lease: workerLease(s.Process), Retention: time.Duration(s.Retention), Rank: entryRank(s), Store: store,
		Source:  &jobs.RowSource{Store: store, Ref: platform.ConfigRef, Decode: platform.DecodeConfig, Log: log},
		Metrics: set, Log: log,
	}
	if s.Policies != "" {
		cfg.Advisor = platform.NewAdvisor(s.Policies)
	}
	e, err := jobs.NewEntry(ctx, cfg)
	if err != nil {
		return err
	}
	callers := &platform.Callers{Jobs: e.Intake(), Queues: e.Queues(), Log: log}
	l := &leaver{ready: e.IsReady}
	servers := []*server{
		{address: s.Callers, handler: l.wrap(callers)},
		{address: s.Readiness, handler: platform.Readiness(l.isReady)},
	}
	servers = append(servers, metricServer(s.Process.Administration, set)...)
	return runCell(ctx, cellProcess{
		log: log, out: out, set: set, role: "entry", run: e.Run, servers: servers, leaver: l, grace: time.Duration(s.Process.Grace),
		reload: func() error { _, err := setup.LoadCellEntry(settingsPath); return err },
	})
}

// workerLease returns the lease that entries and agents agree on.
func workerLease(s setup.CellProcess) time.Duration {
	return min(time.Duration(s.Lease), lead.LongestLease)
}

// entryRank delays the takeover of a cell by entries with few processors, so that larger ones come first.
func entryRank(s setup.CellEntry) func() time.Duration {
	var sum uint32
	for _, b := range []byte(s.Process.Name) {
		sum = sum*31 + uint32(b)
	}
	delay := time.Duration(float64(slowestRank)*max(0, 1-s.Processors/fullRank)) +
		time.Duration(sum%16)*rankedSpread/16
	return func() time.Duration { return delay }
}

func runCellAgent(ctx context.Context, s setup.CellAgent, _ *zap.Logger) error {
	limitMemory(s.Process.MemoryMiB)
	log, out := cellLog(zap.String("Instance", s.Process.Name))
	set := metric.New(log)
	a, err := jobs.NewAgent(ctx, jobs.AgentConfig{
		Cell: s.Process.Cell, Name: s.Process.Name, Zone: s.Process.AvailabilityZone, Address: s.Process.Reach(),
		Listen: s.Process.Sessions, Key: s.Process.Key.Bytes(),
		Lease: workerLease(s.Process), Worker: platform.NewWorker(s.Worker),
		Store: rows.NewMonitor(platform.NewStore(s.Process.Store), log, jobs.StoreMeter(set)), Log: log,
	})
	if err != nil {
		return err
	}
	servers := []*server{{address: s.Announcements, handler: platform.Announcements(a.Orders(), s.Service, log)}}
	servers = append(servers, metricServer(s.Process.Administration, set)...)
	return runCell(ctx, cellProcess{
		log: log, out: out, set: set, role: "agent", run: a.Run, servers: servers, grace: time.Duration(s.Process.Grace),
		reload: func() error { _, err := setup.LoadCellAgent(settingsPath); return err },
	})
}

// metricServer serves metrics, if the settings name an address for them.
func metricServer(address string, set *metric.Set) []*server {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set.Handler())
	return []*server{{address: address, handler: mux}}
}

// settingsPath is where the platform places the settings, for SIGHUP.
const settingsPath = "/etc/trefoilramp/local.json"

var _ lead.Advisor = (*platform.Advisor)(nil)

// server is one HTTP listener of a process.
type server struct {
	address string
	handler http.Handler
	http    *http.Server
}

// leaver makes an entry unready and closes connections after their next answer once it leaves.
type leaver struct {
	ready   func() bool
	mu      sync.Mutex
	leaving bool
}

func (l *leaver) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

func (l *leaver) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

func (l *leaver) isReady() bool { return !l.isLeaving() && l.ready() }

func (l *leaver) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

type cellProcess struct {
	log     *zap.Logger
	out     *logs.Writer
	set     *metric.Set
	role    string
	run     func(context.Context) error
	servers []*server
	leaver  *leaver // nil for a process that ends at once
	grace   time.Duration
	reload  func() error
}

// runCell runs a process of a cell until SIGTERM.
func runCell(ctx context.Context, p cellProcess) error {
	defer p.out.Flush()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, len(p.servers)+1)
	for _, s := range p.servers {
		if err := s.start(ctx, failed); err != nil {
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
	go pause.Every(ctx, countEvery, func() { p.set.Gauge(metric.LogDropped).Update(float64(p.out.Dropped())) })
	event.Log(p.log, event.ProcessStarted, zap.String("Role", p.role))
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				event.Log(p.log, event.SettingsReloaded, zap.Error(p.reload()))
				continue
			}
		}
		break
	}
	event.Log(p.log, event.ProcessStopped, zap.String("Role", p.role))
	if p.leaver != nil {
		p.leaver.leave()
	}
	cancel() // hands the cell over first
	if p.leaver != nil {
		pause.For(context.Background(), min(leaveTime, p.grace/2))
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

func (s *server) start(ctx context.Context, failed chan<- error) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: cellHeader, IdleTimeout: cellIdle}
	go func() {
		if err := s.http.Serve(ln); err != nil && err != http.ErrServerClosed {
			failed <- err
		}
	}()
	return nil
}
