package rows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a store.
var (
	// ErrNotDone says that the store has not carried out the request and never will.
	ErrNotDone = errors.New("store has not carried out the request")
	// ErrUnknown says that the request may have been carried out, or may still be while its conditions hold.
	ErrUnknown = errors.New("outcome of the store request is unknown")
	// ErrHistory says that the changes since the version asked for are no longer kept.
	ErrHistory = errors.New("history of changes is no longer available")
)

// Ref names a row.
type Ref struct {
	Table string
	Part  string
	Key   string
}

// Row is a row with its value.
type Row struct {
	Ref
	Value   []byte
	Version uint64
	Removed bool // only in a feed of changes
}

// Condition requires that a row has a version; 0 requires that it does not exist.
type Condition struct {
	Ref
	Version uint64
}

// Change is applied as a whole or not at all. All rows that it names have the same part.
type Change struct {
	Conditions []Condition
	Puts       []Row
	Deletes    []Ref
}

// Outcome is the answer to a change.
type Outcome struct {
	Applied   bool
	Version   uint64 // of the rows written
	Conflicts []Row  // current rows of the conditions when not applied
}

// Span selects rows of one part by key.
type Span struct {
	Table string
	Part  string
	From  string // inclusive
	To    string // exclusive; empty for no bound
	Limit int    // 0 for the store's limit
}

// Page is a list of rows as of one version.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
}

// Store is a linearizable store of rows.
type Store interface {
	// Change applies c. The error is or wraps ErrNotDone or ErrUnknown.
	Change(ctx context.Context, c Change) (Outcome, error)
	// Read returns the rows of a span.
	Read(ctx context.Context, s Span) (Page, error)
	// Changes returns the rows of a table that changed after a version, waiting up to wait for the first.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// ReadParts returns all rows of a table in several parts, which it reads beside each other. The version is that of the
// oldest page.
func ReadParts(ctx context.Context, st Store, table string, parts []string) (Page, error) {
	pages := make([]Page, len(parts))
	failed := make([]error, len(parts))
	var wg sync.WaitGroup
	for i, part := range parts {
		wg.Go(func() { pages[i], failed[i] = ReadAll(ctx, st, Span{Table: table, Part: part}) })
	}
	wg.Wait()
	all := Page{Version: pages[0].Version}
	for i, p := range pages {
		if failed[i] != nil {
			return Page{}, failed[i]
		}
		all.Rows = append(all.Rows, p.Rows...)
		all.Version = min(all.Version, p.Version)
	}
	return all, nil
}

// ReadAll returns all rows of a span, page by page.
func ReadAll(ctx context.Context, st Store, s Span) (Page, error) {
	var all Page
	for {
		p, err := st.Read(ctx, s)
		if err != nil {
			return Page{}, err
		}
		all.Rows = append(all.Rows, p.Rows...)
		if all.Version == 0 {
			all.Version = p.Version // changes since the first page are read again from the feed
		}
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
		s.From = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}
