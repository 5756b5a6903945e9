package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// Fault describes how one request fails; the zero value means that it succeeds.
type Fault struct {
	Refuse      bool          // the request has no effect and returns rows.ErrNotDone
	LoseAfter   bool          // the change is applied but its response is lost
	LoseLate    time.Duration // if positive, the change is applied after this time and its response is lost
	Slow        time.Duration // extra latency of the request
	HistoryLost bool          // Changes returns rows.ErrHistoryTruncated, as if older changes had been discarded
}

// Store is an in-memory store of rows. It is safe for concurrent use.
type Store struct {
	// NextFault returns the fault of the next request by caller. A nil NextFault injects no faults. It must be set
	// before the first request.
	NextFault func(caller string) Fault

	mu      sync.Mutex
	rows    map[rows.Ref]rows.Row
	version uint64
	log     []rows.Row
	rate    int                  // of SetRate
	sentAt  map[string]time.Time // when the link to a caller has sent all responses so far, with a limited rate
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: make(map[rows.Ref]rows.Row), sentAt: make(map[string]time.Time)}
}

// SetRate limits the transfer of rows to each caller to a number of bytes per second; 0 removes the limit.
func (s *Store) SetRate(rate int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

// Client returns a view of the store whose requests are made by caller.
func (s *Store) Client(caller string) rows.Store { return view{store: s, caller: caller} }

// Operator returns a view of the store for the operator, whose changes may have any size.
func (s *Store) Operator() rows.Store { return view{store: s, caller: "operator", unlimited: true} }

// view implements rows.Store for one caller.
type view struct {
	store     *Store
	caller    string
	unlimited bool // accepts changes of any size
}

// latency is the time that each request takes without a fault, and the pause between two polls of Changes.
const latency = 4 * time.Millisecond

// nextFault returns the fault of a request after its latency. It returns rows.ErrNotDone if the request is refused, and
// rows.ErrUnknown if ctx ends first.
func (v view) nextFault(ctx context.Context) (Fault, error) {
	var f Fault
	if v.store.NextFault != nil {
		f = v.store.NextFault(v.caller)
	}
	if f.Refuse {
		return f, rows.ErrNotDone
	}
	select {
	case <-time.After(latency + f.Slow):
		return f, nil
	case <-ctx.Done():
		return f, rows.ErrUnknown
	}
}

// MaxRowBytes is the largest value of a row, except for the operator.
const MaxRowBytes = 64 << 10

const (
	maxEntries     = 100             // conditions, puts and deletes of a change
	maxChangeBytes = 1 << 20 * 3 / 4 // of all values of a change; their encoding in base64 is a third larger
)

func isTooLarge(c rows.Change) bool {
	size, largest := 0, 0
	for _, r := range c.Puts {
		size, largest = size+len(r.Value), max(largest, len(r.Value))
	}
	return len(c.Conditions)+len(c.Puts)+len(c.Deletes) > maxEntries || largest > MaxRowBytes || size > maxChangeBytes
}

// Change implements rows.Store. It refuses changes that are too large. When the response is lost, it blocks until ctx
// ends and returns rows.ErrUnknown.
func (v view) Change(ctx context.Context, c rows.Change) (rows.Outcome, error) {
	f, err := v.nextFault(ctx)
	if err != nil {
		return rows.Outcome{}, err
	}
	if !v.unlimited && isTooLarge(c) {
		return rows.Outcome{}, rows.ErrNotDone
	}
	if f.LoseLate > 0 {
		time.AfterFunc(f.LoseLate, func() { v.store.apply(c) })
	} else if out := v.store.apply(c); !f.LoseAfter {
		return out, nil
	}
	<-ctx.Done()
	return rows.Outcome{}, rows.ErrUnknown
}

func (s *Store) apply(c rows.Change) rows.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	satisfied := true
	var conflicts []rows.Row
	for _, e := range c.Conditions {
		r, ok := s.rows[e.Ref]
		satisfied = satisfied && r.Version == e.Version
		if ok {
			conflicts = append(conflicts, r)
		}
	}
	if !satisfied {
		return rows.Outcome{Conflicts: conflicts, Version: s.version}
	}
	s.version++
	for _, p := range c.Puts {
		p.Version = s.version
		s.rows[p.Ref] = p
		s.log = append(s.log, p)
	}
	for _, d := range c.Deletes {
		if _, ok := s.rows[d]; ok {
			delete(s.rows, d)
			s.log = append(s.log, rows.Row{Ref: d, Version: s.version, Removed: true})
		}
	}
	return rows.Outcome{Applied: true, Version: s.version}
}

// Read implements rows.Store.
func (v view) Read(ctx context.Context, span rows.Span) (rows.Page, error) {
	if _, err := v.nextFault(ctx); err != nil {
		return rows.Page{}, err
	}
	p := v.store.page(span)
	return p, v.transfer(ctx, p)
}

func (s *Store) page(span rows.Span) rows.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := rows.Page{Version: s.version}
	for ref, r := range s.rows {
		if ref.Table == span.Table && ref.Part == span.Part && ref.Key >= span.From && (span.To == "" || ref.Key < span.To) {
			p.Rows = append(p.Rows, r)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	return p
}

// segment is the number of bytes of a transfer between two reports of progress.
const segment = 1 << 10

// transfer takes the time in which the link to the caller sends the rows of a page. It returns rows.ErrUnknown if ctx
// ends first.
func (v view) transfer(ctx context.Context, p rows.Page) error {
	size := 0
	for _, r := range p.Rows {
		size += len(r.Value)
	}
	for ; size > 0; size -= segment {
		sentAt, limited := v.store.transmit(v.caller, min(size, segment))
		if !limited {
			return nil
		}
		if !pause.For(ctx, time.Until(sentAt)) {
			return rows.ErrUnknown
		}
		stall.Progress(ctx)
	}
	return nil
}

// transmit returns when the link to a caller has sent n more bytes, and whether its rate is limited.
func (s *Store) transmit(caller string, n int) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 {
		return time.Time{}, false
	}
	at := s.sentAt[caller]
	if now := time.Now(); at.Before(now) {
		at = now
	}
	s.sentAt[caller] = at.Add(time.Duration(n) * time.Second / time.Duration(s.rate))
	return s.sentAt[caller], true
}

// Changes implements rows.Store.
func (v view) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		f, err := v.nextFault(ctx)
		if err != nil {
			return rows.Page{}, err
		}
		if f.HistoryLost {
			return rows.Page{}, rows.ErrHistoryTruncated
		}
		if p := v.store.changesAfter(table, after); len(p.Rows) > 0 || !time.Now().Before(deadline) {
			return p, v.transfer(ctx, p)
		}
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return rows.Page{}, rows.ErrUnknown
		}
	}
}

func (s *Store) changesAfter(table string, after uint64) rows.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := rows.Page{Version: s.version}
	for _, r := range s.log {
		if r.Table == table && r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}
