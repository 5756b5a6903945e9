package rows

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/pause"
)

// Errors of a store.
var (
	// ErrNotDone means that the store has not applied the request and never will.
	ErrNotDone = errors.New("store has not applied the request")
	// ErrUnknown means that the request may have been applied, or may still be as long as its conditions hold.
	ErrUnknown = errors.New("outcome of the store request is unknown")
	// ErrHistoryTruncated means that the store no longer retains the changes since the requested version.
	ErrHistoryTruncated = errors.New("history of changes is no longer available")
)

// Ref identifies a row.
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
	Removed bool // set only in the result of Changes
}

// Condition requires that a row has a version; 0 requires that it does not exist.
type Condition struct {
	Ref
	Version uint64
}

// Change is an atomic transaction. All rows that it names are in the same part.
type Change struct {
	Conditions []Condition
	Puts       []Row
	Deletes    []Ref
}

// Outcome is the result of a change.
type Outcome struct {
	Applied   bool
	Version   uint64 // of the rows written
	Conflicts []Row  // current rows of the conditions if the change was not applied
}

// Span selects rows of one part by key.
type Span struct {
	Table string
	Part  string
	From  string // inclusive
	To    string // exclusive; empty for no bound
	Limit int    // maximum number of rows; 0 for the store's limit
}

// Page is a list of rows at one version.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
}

// Store is a linearizable store of rows. Its methods call stall.Progress while a request or a response is transferred.
type Store interface {
	// Change applies c. The error is or wraps ErrNotDone or ErrUnknown.
	Change(ctx context.Context, c Change) (Outcome, error)
	// Read returns the rows of a span.
	Read(ctx context.Context, s Span) (Page, error)
	// Changes returns the rows of a table that changed after a version. It waits up to wait for the first change. The
	// error is ErrHistoryTruncated if the store no longer retains those changes.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// ReadParts returns all rows of a table in the given parts, read in parallel. The version is that of the oldest page.
func ReadParts(ctx context.Context, st Store, table string, parts []string) (Page, error) {
	pages := make([]Page, len(parts))
	errs := make([]error, len(parts))
	var wg sync.WaitGroup
	for i, part := range parts {
		wg.Go(func() { pages[i], errs[i] = ReadAll(ctx, st, Span{Table: table, Part: part}) })
	}
	wg.Wait()
	all := Page{Version: pages[0].Version}
	for i, p := range pages {
		if errs[i] != nil {
			return Page{}, errs[i]
		}
		all.Rows = append(all.Rows, p.Rows...)
		all.Version = min(all.Version, p.Version)
	}
	return all, nil
}

// pageRetry is the delay after a failed read of a page.
const pageRetry = 50 * time.Millisecond

// ReadAll returns all rows of a span, read page by page, with the version of the first page. It repeats the read of a page
// that fails until ctx ends, and keeps the pages before.
func ReadAll(ctx context.Context, st Store, s Span) (Page, error) {
	var all Page
	for {
		p, err := st.Read(ctx, s)
		if err != nil {
			if pause.For(ctx, pageRetry) {
				continue
			}
			return Page{}, err
		}
		all.Rows = append(all.Rows, p.Rows...)
		if all.Version == 0 {
			all.Version = p.Version // changes after the first page arrive again through Changes
		}
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
		s.From = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}
