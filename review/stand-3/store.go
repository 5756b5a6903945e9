//go:build review

package main

import (
	"context"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// pageRows is the largest number of rows in one response of the platform's store.
const pageRows = 500

// pagedStore is a store that returns at most pageRows rows at a time, as the pages say.
type pagedStore struct {
	rows.Store
}

// Read implements rows.Store.
func (s pagedStore) Read(ctx context.Context, span rows.Span) (rows.Page, error) {
	p, err := s.Store.Read(ctx, span)
	limit := pageRows
	if span.Limit > 0 {
		limit = min(limit, span.Limit)
	}
	if err == nil && len(p.Rows) > limit {
		p.Rows, p.More = p.Rows[:limit], true
	}
	return p, err
}
