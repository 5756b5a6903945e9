package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// ErrReplaced means that another incarnation of this entry has taken over its row.
var ErrReplaced = errors.New("another incarnation of this entry is running")

const (
	callLimit = Interval // of one store request
	rowLimit  = 1000     // rows of one read; far more than the entries of all zones
	tries     = 3        // of one write that learns the row's version from a conflict
)

// MemberConfig describes the membership of this entry.
type MemberConfig struct {
	Self   wire.EntryInfo
	Store  table.Store
	Roster *Roster
	Zones  func() []ident.AvailabilityZone // all zones of the configuration; nil or an empty result reads all rows
	Log    *zap.Logger
}

// Member keeps the own row of an entry in the store and reads the rows of others.
type Member struct {
	cfg      MemberConfig
	draining atomic.Bool
	beatNow  chan struct{}

	mu      sync.Mutex
	failed  bool // a beat failed since the last read
	beat    uint64
	version uint64 // of the own row as far as known
	started bool   // this incarnation has written the row
}

// NewMember returns a Member; Run does its work.
func NewMember(cfg MemberConfig) *Member {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	m := &Member{cfg: cfg, beatNow: make(chan struct{}, 1)}
	m.draining.Store(cfg.Self.Draining)
	return m
}

// SetDraining tells the other entries that this one leaves.
func (m *Member) SetDraining() {
	m.draining.Store(true)
	select {
	case m.beatNow <- struct{}{}:
	default:
	}
}

// Run does both duties until ctx ends and then deletes the own row. It returns ErrReplaced at once when another process
// with the same name has started.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m.cfg.Roster.Update(SourceStore, wire.Roster{Entries: []wire.EntryInfo{m.self()}})
	var duties sync.WaitGroup
	duties.Go(func() {
		if err := m.runBeat(ctx); err != nil {
			cancel(err)
		}
	})
	duties.Go(func() { m.runWatch(ctx) })
	duties.Wait()
	if err := context.Cause(ctx); errors.Is(err, ErrReplaced) {
		event.Log(m.cfg.Log, event.EntryReplaced, zap.String("Entry", string(m.cfg.Self.Name)))
		return err
	}
	return m.leave(context.WithoutCancel(ctx))
}

func (m *Member) self() wire.EntryInfo {
	e := m.cfg.Self
	e.Draining = m.draining.Load()
	return e
}

// runBeat writes the own row every Interval.
func (m *Member) runBeat(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		err := m.writeBeat(ctx)
		if errors.Is(err, ErrReplaced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			m.mu.Lock()
			m.failed = true
			m.mu.Unlock()
			event.Log(m.cfg.Log, event.MembershipStale, zap.String("Duty", "Beat"), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.beatNow:
		}
	}
}

func (m *Member) writeBeat(ctx context.Context) error {
	m.beat++
	self := m.self()
	value, err := json.Marshal(rowValue{Address: self.Address, Incarnation: self.Incarnation, Beat: m.beat, Draining: self.Draining})
	if err != nil {
		return fmt.Errorf("encode own row: %w", err)
	}
	key := rowKey(self.Zone, self.Name)
	return m.write(ctx, table.Transaction{Puts: []table.Put{{Key: key, Value: value}}})
}

// leave deletes the own row, so that others need not wait until it counts as dead.
func (m *Member) leave(ctx context.Context) error {
	if !m.started {
		return nil
	}
	err := m.write(ctx, table.Transaction{Deletes: []string{rowKey(m.cfg.Self.Zone, m.cfg.Self.Name)}})
	if err != nil && !errors.Is(err, ErrReplaced) {
		return fmt.Errorf("delete own row: %w", err)
	}
	return nil
}

// write executes t on condition that the own row is the one this process wrote last. A response that was lost shows as
// a conflict with a row of this incarnation. Only the first write replaces the row of an earlier incarnation.
func (m *Member) write(ctx context.Context, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	key := rowKey(m.cfg.Self.Zone, m.cfg.Self.Name)
	for range tries {
		t.Txn = ident.NewTxn()
		t.Conditions = []table.Condition{{Key: key, Version: m.version}}
		res, err := m.cfg.Store.Transact(ctx, t)
		if err != nil {
			return fmt.Errorf("write own row: %w", err)
		}
		if res.Committed {
			m.version, m.started = res.Version, true
			return nil
		}
		if err := m.learn(key, res.Conflicts); err != nil {
			return err
		}
	}
	return errors.Newf("own row changed during each of %d writes", tries)
}

// learn takes the version of the own row from a conflict.
func (m *Member) learn(key string, conflicts []table.Row) error {
	i := slices.IndexFunc(conflicts, func(r table.Row) bool { return r.Key == key })
	if i < 0 {
		return errors.New("conflict does not name the own row")
	}
	row := conflicts[i]
	m.version = row.Version
	if row.Version == 0 {
		return nil // deleted by a reader to which this entry looked dead
	}
	var v rowValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return fmt.Errorf("decode own row: %w", err)
	}
	if v.Incarnation != m.cfg.Self.Incarnation && m.started {
		return ErrReplaced
	}
	m.started = m.started || v.Incarnation == m.cfg.Self.Incarnation
	return nil
}

// runWatch reads the rows every Interval and updates the roster.
func (m *Member) runWatch(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	w := &watch{rows: make(map[string]*seen)}
	last := time.Now()
	for {
		zones := m.zones()
		if err := m.readRows(ctx, w, zones); err == nil {
			last = time.Now()
			m.cfg.Roster.UpdateStore(m.withSelf(w.live()), zones)
			m.clean(ctx, w)
		} else if ctx.Err() == nil {
			w.gap()
			if time.Since(last) >= DeadAfter {
				m.cfg.Roster.LoseStore()
			}
			event.Log(m.cfg.Log, event.MembershipStale, zap.String("Duty", "Read"), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Member) readRows(ctx context.Context, w *watch, zones []ident.AvailabilityZone) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	m.mu.Lock()
	if m.failed {
		w.gap() // the store may refuse the writes of others too, whose rows then stay unchanged although they live
	}
	m.failed = false
	m.mu.Unlock()
	start := time.Now()
	var rows []table.Row
	for _, prefix := range prefixes(zones) {
		// '0' is the character after '/'.
		part, err := m.cfg.Store.Range(ctx, prefix, prefix[:len(prefix)-1]+"0", rowLimit)
		if err != nil {
			return fmt.Errorf("read %s: %w", prefix, err)
		}
		rows = append(rows, part...)
	}
	for _, e := range w.observe(rows, start, time.Now()) {
		if e.Name != m.cfg.Self.Name {
			event.Log(m.cfg.Log, event.EntryDead, zap.String("Entry", string(e.Name)), zap.String("Zone", string(e.Zone)))
		}
	}
	return nil
}

// zones returns the zones whose rows this entry reads, nil for all.
func (m *Member) zones() []ident.AvailabilityZone {
	if m.cfg.Zones == nil {
		return nil
	}
	return neighbours(m.cfg.Self.Zone, m.cfg.Zones())
}

func prefixes(zones []ident.AvailabilityZone) []string {
	if zones == nil {
		return []string{rowPrefix}
	}
	var list []string
	for _, z := range zones {
		list = append(list, rowPrefix+string(z)+"/")
	}
	return list
}

// withSelf puts this process in the list whatever its row says.
func (m *Member) withSelf(list []wire.EntryInfo) []wire.EntryInfo {
	list = slices.DeleteFunc(list, func(e wire.EntryInfo) bool { return e.Name == m.cfg.Self.Name })
	return append(list, m.self())
}

// clean deletes the rows of long-dead entries. Each row is left to one live entry, which saves the store the conflicts.
func (m *Member) clean(ctx context.Context, w *watch) {
	for _, c := range w.longDead(time.Now()) {
		first, ok := choose(m.cfg.Roster.FirstHand().Entries, c.Key)
		if !ok || first.Name != m.cfg.Self.Name {
			continue
		}
		t := table.Transaction{Txn: ident.NewTxn(), Conditions: []table.Condition{c}, Deletes: []string{c.Key}}
		call, cancel := context.WithTimeout(ctx, callLimit)
		if _, err := m.cfg.Store.Transact(call, t); err != nil && ctx.Err() == nil {
			event.Log(m.cfg.Log, event.MembershipStale, zap.String("Duty", "Clean"), zap.Error(err))
		}
		cancel()
	}
}
