package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// Fault decides what happens to a request.
type Fault struct {
	Refuse bool          // nothing is done
	Lose   bool          // it is done, and the answer is lost
	Late   time.Duration // it is done after this, and the answer is lost
	Slow   time.Duration // added to the answer
	Gone   bool          // the history of changes is no longer kept
}

// Store is a store of rows. It is safe for concurrent use.
type Store struct {
	// Decide returns the fault of a request by its caller, nil for none; it is set before the first request.
	Decide func(caller string) Fault

	mu      sync.Mutex
	rows    map[rows.Ref]rows.Row
	version uint64
	log     []rows.Row
}

// New returns an empty store.
func New() *Store { return &Store{rows: make(map[rows.Ref]rows.Row)} }

// As returns the store as a caller reaches it.
func (s *Store) As(caller string) rows.Store { return view{s, caller} }

// view is the store as one caller reaches it.
type view struct {
	store  *Store
	caller string
}

const answerTime = 4 * time.Millisecond

func (v view) fault(ctx context.Context) (Fault, error) {
	var f Fault
	if v.store.Decide != nil {
		f = v.store.Decide(v.caller)
	}
	if f.Refuse {
		return f, rows.ErrNotDone
	}
	select {
	case <-time.After(answerTime + f.Slow):
		return f, nil
	case <-ctx.Done():
		return f, rows.ErrUnknown
	}
}

// Change implements rows.Store.
func (v view) Change(ctx context.Context, c rows.Change) (rows.Outcome, error) {
	f, err := v.fault(ctx)
	if err != nil {
		return rows.Outcome{}, err
	}
	if f.Late > 0 {
		time.AfterFunc(f.Late, func() { v.store.apply(c) })
	} else if out := v.store.apply(c); !f.Lose {
		return out, nil
	}
	<-ctx.Done()
	return rows.Outcome{}, rows.ErrUnknown
}

func (s *Store) apply(c rows.Change) rows.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var conflicts []rows.Row
	for _, e := range c.Conditions {
		r, ok := s.rows[e.Ref]
		holds = holds && r.Version == e.Version
		if ok {
			conflicts = append(conflicts, r)
		}
	}
	if !holds {
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
	if _, err := v.fault(ctx); err != nil {
		return rows.Page{}, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	p := rows.Page{Version: v.store.version}
	for ref, r := range v.store.rows {
		if ref.Table == span.Table && ref.Part == span.Part && ref.Key >= span.From && (span.To == "" || ref.Key < span.To) {
			p.Rows = append(p.Rows, r)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	return p, nil
}

// Changes implements rows.Store.
func (v view) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		f, err := v.fault(ctx)
		if err != nil {
			return rows.Page{}, err
		}
		if f.Gone {
			return rows.Page{}, rows.ErrHistory
		}
		if p := v.store.since(table, after); len(p.Rows) > 0 || !time.Now().Before(deadline) {
			return p, nil
		}
		select {
		case <-time.After(answerTime):
		case <-ctx.Done():
			return rows.Page{}, rows.ErrUnknown
		}
	}
}

func (s *Store) since(table string, after uint64) rows.Page {
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
