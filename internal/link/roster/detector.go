package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// Membership timing.
const (
	// Interval is the time between two heartbeats and between two reads.
	Interval = 2 * time.Second
	// DeadAfter is the time after which an entry with an unchanged row is considered dead.
	DeadAfter = 8 * time.Second
	// deleteAfter is the time after which the unchanged row of a dead entry is deleted.
	deleteAfter = 5 * time.Minute
	// maxReadGap is the longest time between the starts of two successive reads that count as continuous.
	maxReadGap = 2 * Interval
)

const rowPrefix = "entry/"

// rowValue is the value of the row entry/{zone}/{name}.
type rowValue struct {
	Address     string
	Incarnation ident.Incarnation
	Beat        uint64
	Draining    bool
}

func rowKey(zone ident.AvailabilityZone, name ident.Entry) string {
	return rowPrefix + string(zone) + "/" + string(name)
}

// rowState is what a detector has observed about one row.
type rowState struct {
	info           wire.EntryInfo
	heartbeat      uint64
	version        uint64
	unchangedSince time.Time // end of the first read in the current continuous series that saw the row unchanged
	changedAt      time.Time // end of the last read that saw the row change
	present        bool
	dead           bool
}

// detector is a failure detector based on the entries' rows. All times are on the reader's own monotonic clock.
type detector struct {
	rows     map[string]*rowState
	lastRead time.Time // start of the last successful read; zero after markGap
}

// markGap makes the next read restart the timers of all rows, because nothing is known about the time before it.
func (d *detector) markGap() { d.lastRead = time.Time{} }

// observe processes the rows of a read that lasted from start to end and returns the entries newly found dead.
func (d *detector) observe(rows []table.Row, start, end time.Time) (died []wire.EntryInfo) {
	continuous := !d.lastRead.IsZero() && start.Sub(d.lastRead) <= maxReadGap
	d.lastRead = start
	for _, s := range d.rows {
		s.present = false
	}
	for _, row := range rows {
		if s := d.record(row, end); s != nil && !continuous {
			s.unchangedSince = end
		}
	}
	for key, s := range d.rows {
		if !s.present {
			delete(d.rows, key) // deleted by the entry itself or because it was dead
			continue
		}
		// The row is known to be unchanged only from the end of the first read to the start of this one.
		dead := start.Sub(s.unchangedSince) >= DeadAfter
		if dead && !s.dead {
			died = append(died, s.info)
		}
		s.dead = dead || s.dead
	}
	return died
}

// record updates the state of one row; it returns nil for a row that no entry wrote.
func (d *detector) record(row table.Row, at time.Time) *rowState {
	zone, name, ok := strings.Cut(strings.TrimPrefix(row.Key, rowPrefix), "/")
	var v rowValue
	if !ok || json.Unmarshal(row.Value, &v) != nil || !ident.IsName(name) {
		return nil
	}
	s := d.rows[row.Key]
	if s == nil {
		s = &rowState{}
		d.rows[row.Key] = s
	}
	s.present = true
	if s.unchangedSince.IsZero() || s.heartbeat != v.Beat || s.info.Incarnation != v.Incarnation {
		s.unchangedSince, s.changedAt, s.dead = at, at, false
	}
	s.heartbeat, s.version = v.Beat, row.Version
	s.info = wire.EntryInfo{Name: ident.Entry(name), Incarnation: v.Incarnation, Zone: ident.AvailabilityZone(zone),
		Address: v.Address, Draining: v.Draining}
	return s
}

// live returns the entries that are not dead. An entry that restarts in another zone can leave its old row behind; of
// two rows with one name, only the row that changed last counts.
func (d *detector) live() []wire.EntryInfo {
	newest := make(map[ident.Entry]*rowState)
	for _, s := range d.rows {
		if o := newest[s.info.Name]; !s.dead && (o == nil || s.changedAt.After(o.changedAt)) {
			newest[s.info.Name] = s
		}
	}
	list := make([]wire.EntryInfo, 0, len(newest))
	for _, s := range newest {
		list = append(list, s.info)
	}
	return list
}

// expired returns the rows of dead entries that have not changed for deleteAfter.
func (d *detector) expired(now time.Time) []table.Condition {
	var list []table.Condition
	for key, s := range d.rows {
		if s.dead && now.Sub(s.changedAt) >= deleteAfter {
			list = append(list, table.Condition{Key: key, Version: s.version})
		}
	}
	return list
}

// maxReadAllZones is the largest number of zones for which every entry reads the rows of all zones.
const maxReadAllZones = 8

// zonesToRead returns the zones whose rows an entry of the given zone reads: its own and the next one in a sorted ring
// of all zones, or nil for all zones if there are at most maxReadAllZones.
func zonesToRead(own ident.AvailabilityZone, all []ident.AvailabilityZone) []ident.AvailabilityZone {
	if len(all) <= maxReadAllZones {
		return nil
	}
	ring := slices.Clone(all)
	slices.Sort(ring)
	i, found := slices.BinarySearch(ring, own)
	if found {
		i++
	}
	return []ident.AvailabilityZone{own, ring[i%len(ring)]}
}
