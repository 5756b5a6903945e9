package target

import (
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const maxRecords = 1 << 18 // records; the oldest is evicted first

// Record counts the runs of the requests with one ID.
type Record struct {
	Request   ident.Request
	Method    string
	Path      string
	Runs      int // number of runs
	Completed int // number of runs whose whole response was written
}

// Run is the start of a request on a target.
type Run struct {
	Time    time.Time
	Request ident.Request
	Path    string
}

// Counts are the request counters of a target.
type Counts struct {
	Runs            uint64
	Completed       uint64 // runs whose whole response was written
	Corrupt         uint64 // requests whose body did not match its checksum
	InFlight        int64  // requests that wait for a slot or occupy one
	PeakInFlight    int64
	Connections     int64 // requests in flight and open streams
	PeakConnections int64
}

// records holds the counters and the latest records of a target. It is safe for concurrent use.
type records struct {
	mu     sync.Mutex
	counts Counts
	byID   map[ident.Request]*Record
	order  []ident.Request // ring buffer of the IDs in byID
	next   int             // index of the oldest ID once the ring is full
}

func newRecords() *records { return &records{byID: make(map[ident.Request]*Record)} }

// arrive counts an open request until done is called; slots is 1 if the request needs a slot and 0 for a stream.
func (r *records) arrive(slots int64) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts
	c.InFlight += slots
	c.Connections++
	c.PeakInFlight = max(c.PeakInFlight, c.InFlight)
	c.PeakConnections = max(c.PeakConnections, c.Connections)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		c.InFlight -= slots
		c.Connections--
	}
}

// countRun counts the start of a request, and records it if the request has an ID.
func (r *records) countRun(id ident.Request, method, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Runs++
	if id == "" {
		return
	}
	rec := r.byID[id]
	if rec == nil {
		rec = &Record{Request: id, Method: method, Path: path}
		r.byID[id] = rec
		if len(r.order) < maxRecords {
			r.order = append(r.order, id)
		} else {
			delete(r.byID, r.order[r.next])
			r.order[r.next] = id
			r.next = (r.next + 1) % maxRecords
		}
	}
	rec.Runs++
}

// countCompleted counts a run whose whole response was written.
func (r *records) countCompleted(id ident.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Completed++
	if rec := r.byID[id]; rec != nil {
		rec.Completed++
	}
}

func (r *records) countCorrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Corrupt++
}

func (r *records) snapshot() (Counts, []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Record, 0, len(r.byID))
	for i := range r.order {
		list = append(list, *r.byID[r.order[(r.next+i)%len(r.order)]])
	}
	return r.counts, list
}
