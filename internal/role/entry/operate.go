package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/owner"
	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/ops/cons"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/front"
)

// services looks up services in the configuration in force; it implements front.Services.
type services struct{ holder *head.Holder }

// Service implements front.Services.
func (s services) Service(name string) (front.Service, bool) {
	c := s.holder.Current()
	if c == nil {
		return front.Service{}, false
	}
	v, ok := c.Document.Service(name)
	if !ok {
		return front.Service{}, false
	}
	return front.Service{
		Name:            v.Name,
		DefaultDeadline: time.Duration(v.DefaultDeadline),
		MaxDeadline:     time.Duration(v.MaxDeadline),
		MaxBody:         v.MaxBody,
		LongAfter:       time.Duration(v.LongRun),
		ShortShare:      1 - v.LongSlotShare,
	}, true
}

// leaseSource reads the lease durations from the configuration in force; it implements lease.Source.
type leaseSource struct{ holder *head.Holder }

// GrantTerms implements lease.Source.
func (s leaseSource) GrantTerms() lease.Terms {
	c := s.holder.Current()
	if c == nil {
		return lease.Default()
	}
	p := c.Document.Policies
	return lease.Terms{Agent: p.AgentLease.Std(), Owner: p.OwnerLease.Std()}
}

// MaxTerms implements lease.Source.
func (s leaseSource) MaxTerms() lease.Terms {
	c := s.holder.Current()
	if c == nil {
		return lease.Default()
	}
	agent, owner := c.LongestLeases(time.Now())
	return lease.Terms{Agent: agent, Owner: owner}
}

// announceConfig notifies the other entries of a version that was accepted here.
func (e *Entry) announceConfig(version uint64) {
	for _, s := range e.directory.peerSessions() {
		e.send(s, &wire.ConfigChanged{Version: version})
	}
}

// distributeConfig sends every agent its part of each version that comes into force, until ctx ends.
func (e *Entry) distributeConfig(ctx context.Context) {
	versions, cancel := e.holder.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-versions:
		}
		e.tracker.SetVersion(e.self(), e.holder.Version())
		for _, s := range e.directory.agentSessions() {
			e.sendConfig(s)
		}
	}
}

func (e *Entry) self() head.Member { return memberOf(e.sessionConfig().Self) }

// sendSummaries periodically sends the other entries a summary of the services that this one reaches, until ctx ends.
func (e *Entry) sendSummaries(ctx context.Context) {
	pause.Every(ctx, summaryInterval, func() {
		m := e.directory.summary(e.holder.Version())
		for _, s := range e.directory.peerSessions() {
			e.send(s, m)
		}
	})
}

func (e *Entry) newAPI() *admin.API {
	s := e.cfg.Settings
	return admin.New(admin.Options{
		Tokens:  admin.NewTokens(s.ReadToken.Bytes(), s.ChangeToken.Bytes()),
		Config:  configStore{e.holder, e.cfg.Store},
		Audit:   audit.Log{Store: e.cfg.Store},
		Jobs:    e.jobs,
		Workers: drainer{e},
		Status:  e,
		Metrics: e.metrics,
		Ready:   e.ready,
		Log:     e.cfg.Log,
	})
}

// configStore adds reads of older versions to the holder; it implements admin.Config.
type configStore struct {
	*head.Holder
	store table.Store
}

// Load implements admin.Config.
func (c configStore) Load(ctx context.Context, version uint64) (*head.Current, error) {
	return head.Load(ctx, c.store, version)
}

// History implements admin.Config.
func (c configStore) History(ctx context.Context, before uint64, limit int) ([]head.Revision, error) {
	return head.History(ctx, c.store, before, limit)
}

// drainer drains workers at the request of operators; it implements admin.Workers.
type drainer struct{ entry *Entry }

// HasSession implements admin.Workers.
func (d drainer) HasSession(worker string) bool {
	return slices.ContainsFunc(d.entry.directory.agentSessions(), func(s *sess.Session) bool {
		return s.Peer().Name == worker
	})
}

// Drain implements admin.Workers. The error wraps table.ErrUnavailable if the command was not queued on any session.
func (d drainer) Drain(_ context.Context, worker string) error {
	sent, failure := false, table.ErrNotFound
	for _, s := range d.entry.directory.agentSessions() {
		if s.Peer().Name != worker {
			continue
		}
		if err := s.Send(&wire.Leaving{Reason: "drain asked by an operator"}); err != nil {
			failure = fmt.Errorf("%w: send to the agent: %w", table.ErrUnavailable, err)
			continue
		}
		sent = true
	}
	if sent {
		return nil
	}
	return failure
}

// consoleHandler returns the handler of the web console. Its session cookies are signed with the shared key of the
// handshake, so that every entry accepts them.
func (e *Entry) consoleHandler() http.Handler {
	s := e.cfg.Settings
	return cons.New(cons.Options{
		Tokens: admin.NewTokens(s.ReadToken.Bytes(), s.ChangeToken.Bytes()),
		Key:    s.Key.Bytes(),
		Config: configStore{e.holder, e.cfg.Store},
		Audit:  audit.Log{Store: e.cfg.Store},
		Status: e,
		Secure: s.OperatorTLS != nil,
		Log:    e.cfg.Log,
	})
}

// Status implements admin.Reporter.
func (e *Entry) Status(ctx context.Context) admin.Status {
	st := admin.Status{
		Entry:   e.cfg.Settings.Name,
		Time:    time.Now().UTC(),
		InForce: e.holder.Version(),
	}
	st.Accepted = e.holder.Version()
	if c := e.holder.Current(); c != nil {
		st.Zones = zoneStatus(c.Document, e.tracker)
	}
	readCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := e.cfg.Store.Range(readCtx, "config/head", "config/head\x00", 1)
	st.StoreAvailable = err == nil
	e.directory.addStatus(&st)
	st.Jobs = jobCounts(e.owner.Totals(readCtx))
	for i := range st.Zones {
		z := &st.Zones[i]
		for _, w := range st.Workers {
			if w.Zone == z.Name {
				z.Workers++
				z.Free = z.Free.Plus(w.Free)
			}
		}
	}
	for _, n := range e.network.entries() {
		st.Entries = append(st.Entries, admin.EntryStatus{
			Name: string(n.Name), Zone: string(n.Zone), Address: n.Address, Draining: n.Draining,
		})
	}
	for _, p := range e.owner.Partitions() {
		st.Partitions = append(st.Partitions, admin.PartitionStatus{
			Partition: p.Partition.String(), Owner: e.cfg.Settings.Name, Epoch: uint64(p.Epoch),
		})
	}
	slices.SortFunc(st.Partitions, func(a, b admin.PartitionStatus) int { return cmp.Compare(a.Partition, b.Partition) })
	return st
}

func jobCounts(t owner.Totals) admin.JobCounts {
	return admin.JobCounts{
		Jobs: t.Jobs, JobsFinished: t.Finished, Queued: int64(t.Counts.Queued), Running: int64(t.Counts.Running),
		Done: int64(t.Counts.Done), Failed: int64(t.Counts.Failed), Cancelled: int64(t.Counts.Cancelled),
		Evictions: int64(t.Counts.Evictions),
	}
}

func zoneStatus(d model.Document, t *head.Tracker) []admin.ZoneStatus {
	known := make(map[string]head.ZoneVersions)
	for _, z := range t.Zones() {
		known[string(z.Zone)] = z
	}
	list := make([]admin.ZoneStatus, 0, len(d.AvailabilityZones))
	for _, z := range d.AvailabilityZones {
		v := known[z.Name]
		list = append(list, admin.ZoneStatus{
			Name: z.Name, Region: z.Region, Entries: v.Entries, InForce: v.Lowest, Highest: v.Highest,
		})
	}
	return list
}
