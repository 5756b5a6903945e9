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

// ErrReplaced is returned when another incarnation of this entry has overwritten its row.
var ErrReplaced = errors.New("another incarnation of this entry is running")

const (
	callTimeout      = Interval // per store request
	maxRows          = 1000     // per prefix read; far more than the entries of all zones
	maxWriteAttempts = 3        // per write; a conflict yields the row version for the next attempt
)

// MemberConfig holds the settings of a Member.
type MemberConfig struct {
	Self   wire.EntryInfo
	Store  table.Store
	Roster *Roster
	Zones  func() []ident.AvailabilityZone // all configured zones; nil or an empty result makes the member read all rows
	Log    *zap.Logger
}

// Member writes an entry's own row in the store and reads the rows of other entries.
type Member struct {
	cfg          MemberConfig
	draining     atomic.Bool
	heartbeatNow chan struct{}

	mu          sync.Mutex
	writeFailed bool   // a heartbeat failed since the last read; only this field needs mu
	heartbeat   uint64 // number of the last heartbeat
	version     uint64 // last known version of the own row
	registered  bool   // this incarnation has written the row
}

// NewMember returns a Member that does not access the store until Run is called.
func NewMember(cfg MemberConfig) *Member {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	m := &Member{cfg: cfg, heartbeatNow: make(chan struct{}, 1)}
	m.draining.Store(cfg.Self.Draining)
	return m
}

// SetDraining marks this entry as draining and writes that to its row at once.
func (m *Member) SetDraining() {
	m.draining.Store(true)
	select {
	case m.heartbeatNow <- struct{}{}:
	default:
	}
}

// Run writes the own row and reads the others until ctx ends, and then deletes the own row. It returns ErrReplaced as
// soon as another process with the same name has started, and an error if the row cannot be deleted.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m.cfg.Roster.Update(SourceStore, wire.Roster{Entries: []wire.EntryInfo{m.self()}})
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := m.runHeartbeat(ctx); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { m.runReader(ctx) })
	wg.Wait()
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

// runHeartbeat writes the own row every Interval and when SetDraining is called.
func (m *Member) runHeartbeat(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		err := m.writeHeartbeat(ctx)
		if errors.Is(err, ErrReplaced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			m.mu.Lock()
			m.writeFailed = true
			m.mu.Unlock()
			event.Log(m.cfg.Log, event.MembershipStale, zap.String("Duty", "Beat"), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.heartbeatNow:
		}
	}
}

func (m *Member) writeHeartbeat(ctx context.Context) error {
	m.heartbeat++
	self := m.self()
	value, err := json.Marshal(rowValue{Address: self.Address, Incarnation: self.Incarnation, Beat: m.heartbeat,
		Draining: self.Draining})
	if err != nil {
		return fmt.Errorf("encode own row: %w", err)
	}
	key := rowKey(self.Zone, self.Name)
	return m.write(ctx, table.Transaction{Puts: []table.Put{{Key: key, Value: value}}})
}

// leave deletes the own row, so that other entries need not wait for DeadAfter.
func (m *Member) leave(ctx context.Context) error {
	if !m.registered {
		return nil
	}
	err := m.write(ctx, table.Transaction{Deletes: []string{rowKey(m.cfg.Self.Zone, m.cfg.Self.Name)}})
	if err != nil && !errors.Is(err, ErrReplaced) {
		return fmt.Errorf("delete own row: %w", err)
	}
	return nil
}

// write commits t on the condition that the own row still has its last known version. If the response to an earlier
// write was lost, this shows as a conflict with a row of this incarnation. Only the first write may replace the row of
// an earlier incarnation.
func (m *Member) write(ctx context.Context, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := rowKey(m.cfg.Self.Zone, m.cfg.Self.Name)
	for range maxWriteAttempts {
		t.Txn = ident.NewTxn()
		t.Conditions = []table.Condition{{Key: key, Version: m.version}}
		res, err := m.cfg.Store.Transact(ctx, t)
		if err != nil {
			return fmt.Errorf("write own row: %w", err)
		}
		if res.Committed {
			m.version, m.registered = res.Version, true
			return nil
		}
		if err := m.resolveConflict(key, res.Conflicts); err != nil {
			return err
		}
	}
	return errors.Newf("own row changed concurrently in each of %d write attempts", maxWriteAttempts)
}

// resolveConflict sets the version of the own row from a conflict. It returns ErrReplaced if another incarnation has
// written the row since this one registered.
func (m *Member) resolveConflict(key string, conflicts []table.Row) error {
	i := slices.IndexFunc(conflicts, func(r table.Row) bool { return r.Key == key })
	if i < 0 {
		return errors.New("conflict does not include the own row")
	}
	row := conflicts[i]
	m.version = row.Version
	if row.Version == 0 {
		return nil // deleted by another entry that considered this one dead
	}
	var v rowValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return fmt.Errorf("decode own row: %w", err)
	}
	if v.Incarnation != m.cfg.Self.Incarnation && m.registered {
		return ErrReplaced
	}
	m.registered = m.registered || v.Incarnation == m.cfg.Self.Incarnation
	return nil
}

// runReader reads the rows every Interval and updates the roster.
func (m *Member) runReader(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	d := &detector{rows: make(map[string]*rowState)}
	lastRead := time.Now()
	for {
		zones := m.zonesToRead()
		if err := m.readRows(ctx, d, zones); err == nil {
			lastRead = time.Now()
			m.cfg.Roster.UpdateStore(m.withSelf(d.live()), zones)
			m.deleteExpired(ctx, d)
		} else if ctx.Err() == nil {
			d.markGap()
			if time.Since(lastRead) >= DeadAfter {
				m.cfg.Roster.UsePeerLists()
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

func (m *Member) readRows(ctx context.Context, d *detector, zones []ident.AvailabilityZone) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	if m.writeFailed {
		d.markGap() // the store may reject heartbeats of other entries too, so an unchanged row does not prove death
	}
	m.writeFailed = false
	m.mu.Unlock()
	start := time.Now()
	var rows []table.Row
	for _, prefix := range prefixes(zones) {
		// '0' is the character after '/'.
		part, err := m.cfg.Store.Range(ctx, prefix, prefix[:len(prefix)-1]+"0", maxRows)
		if err != nil {
			return fmt.Errorf("read %s: %w", prefix, err)
		}
		rows = append(rows, part...)
	}
	for _, e := range d.observe(rows, start, time.Now()) {
		if e.Name != m.cfg.Self.Name {
			event.Log(m.cfg.Log, event.EntryDead, zap.String("Entry", string(e.Name)), zap.String("Zone", string(e.Zone)))
		}
	}
	return nil
}

// zonesToRead returns the zones whose rows this entry reads, or nil for all.
func (m *Member) zonesToRead() []ident.AvailabilityZone {
	if m.cfg.Zones == nil {
		return nil
	}
	return zonesToRead(m.cfg.Self.Zone, m.cfg.Zones())
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

// withSelf puts this process in the list regardless of its own row.
func (m *Member) withSelf(list []wire.EntryInfo) []wire.EntryInfo {
	list = slices.DeleteFunc(list, func(e wire.EntryInfo) bool { return e.Name == m.cfg.Self.Name })
	return append(list, m.self())
}

// deleteExpired deletes the rows of entries that died long ago. One live entry is chosen to delete each row, which
// avoids conflicts in the store.
func (m *Member) deleteExpired(ctx context.Context, d *detector) {
	for _, c := range d.expired(time.Now()) {
		deleter, ok := choose(m.cfg.Roster.Observed().Entries, c.Key)
		if !ok || deleter.Name != m.cfg.Self.Name {
			continue
		}
		t := table.Transaction{Txn: ident.NewTxn(), Conditions: []table.Condition{c}, Deletes: []string{c.Key}}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if _, err := m.cfg.Store.Transact(callCtx, t); err != nil && ctx.Err() == nil {
			event.Log(m.cfg.Log, event.MembershipStale, zap.String("Duty", "Clean"), zap.Error(err))
		}
		cancel()
	}
}
