package inproc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// Tokens and key of the demonstration; they are not secret, since everything listens on loopback.
const (
	ReadToken   = "demonstration-read-token"
	ChangeToken = "demonstration-change-token"
	sharedKey   = "demonstration-shared-key"
)

const (
	loopback        = "127.0.0.1:0"
	shutdownTimeout = time.Second
	drainTimeout    = 30 * time.Second
	startTimeout    = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// Options configures the system; the zero value starts the plain demonstration.
type Options struct {
	Log *zap.Logger
	// Worker wraps the platform of a worker, to seed a fault; nil leaves it unchanged.
	Worker func(name string, p worker.Platform) worker.Platform
	// ClaimStore returns the claim store of an entry, to seed a fault; nil uses the common store.
	ClaimStore func(entry string) table.Store
	// IgnoreLeave makes leaving targets keep announcing that they are ready, to seed a fault.
	IgnoreLeave bool
	// Topology is the topology of the system; nil uses that of Demonstration.
	Topology *Topology
}

// System is a running system.
type System struct {
	Store   *store.Store
	Entries []*Entry
	Workers []*Worker

	options  Options
	topology Topology
	links    *links
	storeURL string
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Zone is an availability zone of the demonstration.
type Zone struct {
	Name    string
	Workers int
	Entries int
}

// Zones returns the zones of the booking service: 11 workers, three to a rack, and two entries.
func Zones() []Zone {
	return []Zone{{"agadir", 4, 1}, {"taroudant", 4, 1}, {"tiznit", 3, 0}}
}

// WorkerResources returns the resources of each worker: 16 processors, 60 GB of memory, 8 slots and 64 connections.
func WorkerResources() sizes.Resources {
	return sizes.Resources{Processors: 16_000, Memory: 60e9, Slots: 8, Connections: 64}
}

// Start starts the system and returns when all its processes are connected and the first configuration is in force.
func Start(ctx context.Context, o Options) (*System, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	s := &System{options: o, Store: store.New(store.Options{
		WritesPerSecond: 300, ReadsPerSecond: 2000, Latency: 2 * time.Millisecond,
	})}
	s.topology = Demonstration()
	if o.Topology != nil {
		s.topology = *o.Topology
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.links = newLinks(s.ctx, s.topology.LinkDelay, o.Log)
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
	defer cancel()
	ln, err := host.Listen(ctx, loopback)
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	s.storeURL = "http://" + ln.Addr().String()
	s.running.Go(func() {
		if err := host.Serve(s.ctx, ln, s.Store.Handler(), shutdownTimeout, s.options.Log); err != nil {
			s.options.Log.Error("store failed", zap.Error(err))
		}
	})
	for _, z := range s.topology.Zones {
		for range z.Entries {
			if err := s.startEntry(ctx, z.Name); err != nil {
				return err
			}
		}
	}
	if err := s.applyConfiguration(ctx); err != nil {
		return err
	}
	for _, z := range s.topology.Zones {
		for i := range z.Workers {
			if err := s.startWorker(ctx, z.Name, i); err != nil {
				return err
			}
		}
	}
	return s.waitReady(ctx)
}

func (s *System) startWorker(ctx context.Context, zone string, i int) error {
	w := &Worker{system: s, Name: fmt.Sprintf("%s-%d", zone, i+1), Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, i/3+1)}
	w.StandIn = standworker.New(standworker.Options{
		Worker: ident.Worker(w.Name), Zone: ident.AvailabilityZone(zone), Rack: w.Rack, Total: s.topology.Each,
		Lag: 500 * time.Millisecond, Objects: s.Store,
	})
	s.Workers = append(s.Workers, w)
	return w.start(ctx)
}

// waitReady waits until each agent and each ready target is reported by at least one entry, and every partition has an
// owner.
func (s *System) waitReady(ctx context.Context) error {
	for {
		missing := s.missing(ctx)
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("the system did not become ready: %s", missing)
		case <-time.After(pollInterval):
		}
	}
}

// missing describes what waitReady still waits for; it returns an empty string if there is nothing.
func (s *System) missing(ctx context.Context) string {
	workers, targets := make(map[string]bool), make(map[string]bool)
	partitions := make(map[string]bool)
	for _, e := range s.Entries {
		st := e.Process.Status(ctx)
		for _, w := range st.Workers {
			if w.InForce > 0 {
				workers[w.Name] = true
			}
		}
		for _, v := range st.Services {
			for _, t := range v.Targets {
				if t.State == "Ready" {
					targets[t.Name] = true
				}
			}
		}
		for _, p := range st.Partitions {
			partitions[p.Partition] = true
		}
	}
	want := len(s.Workers)
	wantTargets := want * len(s.topology.Services)
	if len(workers) < want || len(targets) < wantTargets || len(partitions) < s.topology.partitions() {
		return fmt.Sprintf("%d workers of %d, %d targets of %d, %d partitions of %d", len(workers), want, len(targets),
			wantTargets, len(partitions), s.topology.partitions())
	}
	return ""
}

// Close stops all processes at once and waits until they have ended.
func (s *System) Close() {
	s.cancel()
	s.links.close()
	s.running.Wait()
	for _, w := range s.Workers {
		w.StandIn.Close()
	}
}

// secret returns a secret with an inline value.
func secret(v string) setup.Secret { return setup.Secret{Value: v} }

// listen opens a listener on loopback.
func listen(ctx context.Context) (net.Listener, error) { return host.Listen(ctx, loopback) }

// IgnoresLeave reports whether leaving targets keep announcing that they are ready, as set by Options.IgnoreLeave.
func (s *System) IgnoresLeave() bool { return s.options.IgnoreLeave }
