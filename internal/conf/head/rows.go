package head

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

const (
	headKey   = "config/head"
	docPrefix = "config/doc/"
)

// maxStoredVersions is the number of documents that the store retains: at 13,000 changes a day and 242 KB each, all of
// them would add 3 GB a day.
const maxStoredVersions = 500

func docKey(version uint64) string { return fmt.Sprintf("%s%012d", docPrefix, version) }

// Revision describes an accepted version of the document without its content.
type Revision struct {
	Version  uint64 // starts at 1
	Hash     string // model.Hash of the document as compact JSON
	Author   string
	Accepted time.Time // UTC
	Leases   []Leases  // leases of earlier versions that may still be in use
}

// Current is an accepted version with its document; it is immutable.
type Current struct {
	Revision
	Document model.Document
	Compact  []byte // the document as compact JSON, from which Hash is computed
}

// headRow is the value of the head row. Its Txn, like that of docRow, identifies the transaction that wrote it, so that
// a writer recognizes its own transaction after a lost response.
type headRow struct {
	Revision
	Txn ident.Txn
}

// docRow is the value of a document row.
type docRow struct {
	Revision
	Txn      ident.Txn
	Document json.RawMessage
}

// newCurrent decodes a document and verifies its hash.
func newCurrent(r Revision, compact []byte) (*Current, error) {
	var buf bytes.Buffer // the store may have changed the white space
	if err := json.Compact(&buf, compact); err != nil {
		return nil, fmt.Errorf("document %d: %w", r.Version, err)
	}
	if h := model.Hash(buf.Bytes()); h != r.Hash {
		return nil, errors.Newf("document %d has hash %s, its head says %s", r.Version, h, r.Hash)
	}
	c := &Current{Revision: r, Compact: buf.Bytes()}
	// The document was validated when it was accepted. Fields from a newer version of the program are ignored, so that
	// entries can be upgraded one by one.
	if err := json.Unmarshal(c.Compact, &c.Document); err != nil {
		return nil, fmt.Errorf("decode document %d: %w", r.Version, err)
	}
	return c, nil
}

// encodeCompact returns d as compact JSON.
func encodeCompact(d model.Document) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return b, nil
}

// readHead returns the head row and its row version in the store, or zeros when no configuration was ever accepted.
func readHead(ctx context.Context, s table.Store) (headRow, uint64, error) {
	row, err := table.Get(ctx, s, headKey)
	if errors.Is(err, table.ErrNotFound) {
		return headRow{}, 0, nil
	}
	if err != nil {
		return headRow{}, 0, fmt.Errorf("read configuration head: %w", err)
	}
	var h headRow
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return headRow{}, 0, fmt.Errorf("decode configuration head: %w", err)
	}
	return h, row.Version, nil
}

// readDoc returns the document row of a version.
func readDoc(ctx context.Context, s table.Store, version uint64) (docRow, error) {
	row, err := table.Get(ctx, s, docKey(version))
	if err != nil {
		return docRow{}, fmt.Errorf("read document %d: %w", version, err)
	}
	var d docRow
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return docRow{}, fmt.Errorf("decode document row %d: %w", version, err)
	}
	return d, nil
}

// Load returns an accepted version from the store, or the newest for version 0. The error wraps table.ErrNotFound when
// the store has no such version.
func Load(ctx context.Context, s table.Store, version uint64) (*Current, error) {
	if version == 0 {
		h, _, err := readHead(ctx, s)
		if err != nil {
			return nil, err
		}
		if h.Version == 0 {
			return nil, table.ErrNotFound
		}
		version = h.Version
	}
	d, err := readDoc(ctx, s, version)
	if err != nil {
		return nil, err
	}
	return newCurrent(d.Revision, d.Document)
}

const historyPage = 10 // documents per read, each up to model.MaxDocument

// History returns at most limit revisions below before, newest first; before 0 means the newest.
func History(ctx context.Context, s table.Store, before uint64, limit int) ([]Revision, error) {
	if before == 0 {
		h, _, err := readHead(ctx, s)
		if err != nil {
			return nil, err
		}
		before = h.Version + 1
	}
	var list []Revision
	for len(list) < limit && before > 1 {
		n := uint64(min(historyPage, limit-len(list)))
		from := before - min(n, before-1)
		rows, err := s.Range(ctx, docKey(from), docKey(before), historyPage)
		if err != nil {
			return nil, fmt.Errorf("list documents: %w", err)
		}
		if len(rows) == 0 { // older versions are deleted
			break
		}
		for i := len(rows) - 1; i >= 0; i-- {
			var r Revision
			if err := json.Unmarshal(rows[i].Value, &r); err != nil {
				return nil, fmt.Errorf("decode %s: %w", rows[i].Key, err)
			}
			list = append(list, r)
		}
		before = from
	}
	return list, nil
}
