package target

import (
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const maxRecords = 1 << 18 // requests remembered; the oldest is forgotten first

// Record tells what happened to the requests with one identity.
type Record struct {
	Request   ident.Request
	Method    string
	Path      string
	Runs      int // times that the request ran
	Completed int // times that the whole response was written
}

// Run is the start of a request on a target.
type Run struct {
	Time    time.Time
	Request ident.Request
	Path    string
}

// Counts sums up what a target did.
type Counts struct {
	Runs            uint64
	Completed       uint64
	Corrupt         uint64 // requests whose body did not match its checksum
	InFlight        int64  // requests that wait for a slot or hold one
	PeakInFlight    int64
	Connections     int64 // requests in flight and open streams
	PeakConnections int64
}

// records is safe for concurrent use.
type records struct {
	mu     sync.Mutex
	counts Counts
	byID   map[ident.Request]*Record
	order  []ident.Request // ring of the identities in byID
	next   int
}

func newRecords() *records { return &records{byID: make(map[ident.Request]*Record)} }

// arrive counts an open request; slots is 1 if it needs a slot and 0 for a stream.
func (r *records) arrive(slots int64) (leave func()) {
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

// run notes that a request runs.
func (r *records) run(id ident.Request, method, path string) {
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

// complete notes that a whole response was written.
func (r *records) complete(id ident.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Completed++
	if rec := r.byID[id]; rec != nil {
		rec.Completed++
	}
}

func (r *records) noteCorrupt() {
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
