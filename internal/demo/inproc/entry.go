package inproc

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/role/entry"
)

const (
	partitionsPerZone = 4
	agentLease        = 5 * time.Second
)

// Entry is an entry of the demonstration.
type Entry struct {
	Name    string
	Zone    string
	Process *entry.Entry

	cancel context.CancelFunc
	done   chan struct{}
}

func (s *System) startEntry(ctx context.Context, zone string) error {
	name := fmt.Sprintf("entry-%d", len(s.Entries)+1)
	cfg := entry.Config{
		Settings: setup.Entry{
			Name: name, AvailabilityZone: zone, Callers: loopback, Administration: loopback, Console: loopback,
			Sessions: loopback, Store: s.storeURL, Key: secret(sharedKey), ReadToken: secret(ReadToken),
			ChangeToken: secret(ChangeToken),
		},
		Store: table.NewClient(table.Options{URL: s.storeURL, Name: name, Log: s.options.Log}),
		Log:   s.options.Log.With(zap.String("Process", name)),
		Seed:  uint64(len(s.Entries)) + 1,
		Route: s.links.routeFrom(zone),
	}
	if s.options.ClaimStore != nil {
		cfg.ClaimStore = s.options.ClaimStore(name)
	}
	e, err := entry.New(ctx, cfg)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	s.links.add(e.Sessions(), zone)
	runCtx, cancel := context.WithCancel(s.ctx)
	v := &Entry{Name: name, Zone: zone, Process: e, cancel: cancel, done: make(chan struct{})}
	s.Entries = append(s.Entries, v)
	s.running.Go(func() {
		defer close(v.done)
		if err := e.Run(runCtx); err != nil && runCtx.Err() == nil {
			s.options.Log.Error("entry failed", zap.Error(err))
		}
	})
	return nil
}

// Stop stops the entry at once, as a crash would, and waits until it has ended.
func (e *Entry) Stop() {
	e.cancel()
	<-e.done
}

// Callers returns the base URL of the interface for callers.
func (e *Entry) Callers() string { return "http://" + e.Process.Callers() }

// Administration returns the base URL of the administration interface.
func (e *Entry) Administration() string { return "http://" + e.Process.Administration() }

// Document returns the configuration of the demonstration.
func Document() model.Document {
	d := model.Document{
		Services:   []model.Service{model.DefaultService(ServiceName)},
		JobClasses: []model.JobClass{model.DefaultJobClass("packing")},
		Teams: []model.Team{
			{Name: "okulset", Weight: 2, Quota: model.TaskSize{Processors: 150_000, Memory: 600e9}},
			{Name: "souss", Weight: 1, Quota: model.TaskSize{Processors: 20_000, Memory: 50e9}},
		},
		Policies: model.DefaultPolicies(),
	}
	// Short leases, so that the tasks of a lost worker run again within seconds.
	d.Policies.AgentLease = model.Duration(agentLease)
	d.Policies.AgentRenewal = model.Duration(agentLease / 5)
	for _, z := range Zones() {
		zone := model.DefaultZone(z.Name, "souss-massa")
		zone.Partitions = partitionsPerZone
		zone.Capacity = []model.WorkerGroup{{Count: int64(z.Workers), Each: WorkerResources()}}
		d.AvailabilityZones = append(d.AvailabilityZones, zone)
	}
	return d
}

// applyConfiguration submits the first configuration through the administration interface.
func (s *System) applyConfiguration(ctx context.Context) error {
	b, err := s.topology.Document.Encode()
	if err != nil {
		return err
	}
	if _, err := s.API().Apply(ctx, 0, b); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	return nil
}

// API returns a client of the first entry's administration interface.
func (s *System) API() *admin.Client { return s.Entries[0].API() }

// API returns a client of the entry's administration interface.
func (e *Entry) API() *admin.Client {
	return admin.NewClient(e.Administration(), ChangeToken, "demo", nil)
}
