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

// Times of the membership in the store.
const (
	// Interval is the time between two beats and between two reads.
	Interval = 2 * time.Second
	// DeadAfter is how long a row must stay unchanged until its entry is considered dead.
	DeadAfter = 8 * time.Second
	// deleteAfter is how long a row must stay unchanged until it is deleted.
	deleteAfter = 5 * time.Minute
	// gapLimit is the longest time between two reads that count as gapless.
	gapLimit = 2 * Interval
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

// seen is what a watch knows of one row.
type seen struct {
	info    wire.EntryInfo
	beat    uint64
	version uint64
	since   time.Time // end of the first gapless read that saw the row unchanged
	changed time.Time // end of the read that saw the row change
	present bool
	dead    bool
}

// watch judges entries by their rows. Its times are those of the reader's own monotonic clock.
type watch struct {
	rows map[string]*seen
	last time.Time // start of the last read that succeeded
}

// gap makes all rows count as unchanged only from now on, since nothing is known of the time before.
func (w *watch) gap() { w.last = time.Time{} }

// observe takes the rows of a read that lasted from start to end; it returns the entries that it found dead.
func (w *watch) observe(rows []table.Row, start, end time.Time) (died []wire.EntryInfo) {
	gapless := !w.last.IsZero() && start.Sub(w.last) <= gapLimit
	w.last = start
	for _, s := range w.rows {
		s.present = false
	}
	for _, row := range rows {
		if s := w.note(row, end); s != nil && !gapless {
			s.since = end
		}
	}
	for key, s := range w.rows {
		if !s.present {
			delete(w.rows, key) // deleted by the entry itself or after its death
			continue
		}
		// Nothing is known of the first read before its end, nor of this one after its start.
		dead := start.Sub(s.since) >= DeadAfter
		if dead && !s.dead {
			died = append(died, s.info)
		}
		s.dead = dead || s.dead
	}
	return died
}

// note records one row, and ignores rows that no entry wrote.
func (w *watch) note(row table.Row, at time.Time) *seen {
	zone, name, ok := strings.Cut(strings.TrimPrefix(row.Key, rowPrefix), "/")
	var v rowValue
	if !ok || json.Unmarshal(row.Value, &v) != nil || !ident.IsName(name) {
		return nil
	}
	s := w.rows[row.Key]
	if s == nil {
		s = &seen{}
		w.rows[row.Key] = s
	}
	s.present = true
	if s.since.IsZero() || s.beat != v.Beat || s.info.Incarnation != v.Incarnation {
		s.since, s.changed, s.dead = at, at, false
	}
	s.beat, s.version = v.Beat, row.Version
	s.info = wire.EntryInfo{Name: ident.Entry(name), Incarnation: v.Incarnation, Zone: ident.AvailabilityZone(zone),
		Address: v.Address, Draining: v.Draining}
	return s
}

// live returns the entries that are not dead. Of two rows with one name, which an entry leaves that restarts in another
// zone, only the row that changed last counts.
func (w *watch) live() []wire.EntryInfo {
	newest := make(map[ident.Entry]*seen)
	for _, s := range w.rows {
		if o := newest[s.info.Name]; !s.dead && (o == nil || s.changed.After(o.changed)) {
			newest[s.info.Name] = s
		}
	}
	list := make([]wire.EntryInfo, 0, len(newest))
	for _, s := range newest {
		list = append(list, s.info)
	}
	return list
}

// longDead returns the rows that have not changed for deleteAfter.
func (w *watch) longDead(now time.Time) []table.Condition {
	var list []table.Condition
	for key, s := range w.rows {
		if s.dead && now.Sub(s.changed) >= deleteAfter {
			list = append(list, table.Condition{Key: key, Version: s.version})
		}
	}
	return list
}

// maxDirect is the number of zones up to which every entry reads the rows of all zones.
const maxDirect = 8

// neighbours returns the zones whose rows an entry of the given zone reads: its own and the next one in a ring of all
// zones, or nil for all zones when there are few.
func neighbours(own ident.AvailabilityZone, all []ident.AvailabilityZone) []ident.AvailabilityZone {
	if len(all) <= maxDirect {
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
