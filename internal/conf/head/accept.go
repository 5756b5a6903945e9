package head

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// Change is a document that an operator submits.
type Change struct {
	Author   string
	Base     uint64 // the version that the operator changed; 0 for the first document
	Document model.Document
}

// ConflictError says that another version than the base of a change is accepted.
type ConflictError struct {
	Base   uint64
	Actual Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is accepted", e.Base, e.Actual.Version)
}

// Accept validates c and makes it the next version, if its base is still the accepted version. The errors are
// *strict.FaultsError, *ConflictError, table.ErrUnavailable and table.ErrOverBudget without an effect, and
// table.ErrUnknown when ctx ended before the outcome was known.
func (h *Holder) Accept(ctx context.Context, c Change) (*Current, error) {
	if err := c.Document.Validate().Err(); err != nil {
		return nil, err
	}
	if err := h.hook.At(point.AcceptValidated, c.Author); err != nil {
		return nil, err
	}
	mine := h.Current() // before the head is read, so that a regular head is never lower
	old, rowVersion, err := readHead(ctx, h.store)
	if err != nil {
		return nil, err
	}
	if mine != nil && mine.Version > old.Version {
		// The store was restored from an older state. The next version must still be above the one in force.
		old.Revision = mine.Revision
	}
	if old.Version != c.Base {
		return nil, &ConflictError{Base: c.Base, Actual: old.Revision}
	}
	leases, err := h.earlierLeases(ctx, mine, old.Revision)
	if err != nil {
		return nil, err
	}
	p, err := h.propose(c, old.Revision, rowVersion, leases)
	if err != nil {
		return nil, err
	}
	if err := h.commit(ctx, p); err != nil {
		if errors.Is(err, table.ErrUnknown) {
			event.Log(h.log, event.ConfigurationUnresolved, zap.Uint64("Version", p.current.Version), zap.Error(err))
		}
		return nil, err
	}
	event.Log(h.log, event.ConfigurationAccepted, zap.Uint64("Version", p.current.Version),
		zap.String("Author", c.Author))
	h.apply(p.current)
	if h.accepted != nil {
		h.accepted(p.current.Version)
	}
	return p.current, h.hook.At(point.AcceptCommitted, c.Author)
}

// proposal is a change with the transaction that makes it durable.
type proposal struct {
	base        uint64
	current     *Current
	transaction table.Transaction
}

func (h *Holder) propose(c Change, old Revision, rowVersion uint64, leases []Leases) (proposal, error) {
	compact, err := compactOf(c.Document)
	if err != nil {
		return proposal{}, err
	}
	r := Revision{Version: old.Version + 1, Hash: model.Hash(compact), Author: c.Author, Accepted: h.now().UTC(),
		Leases: leases}
	current, err := newCurrent(r, compact)
	if err != nil {
		return proposal{}, err
	}
	txn := ident.NewTxn()
	record := audit.New(r.Accepted, c.Author, audit.ActionAccept, "configuration")
	record.Version, record.Before, record.After = r.Version, describe(old), describe(r)
	auditPut, err := record.Put()
	if err != nil {
		return proposal{}, err
	}
	headValue, err := json.Marshal(headRow{r, txn})
	if err != nil {
		return proposal{}, fmt.Errorf("encode head row: %w", err)
	}
	docValue, err := json.Marshal(docRow{r, txn, compact})
	if err != nil {
		return proposal{}, fmt.Errorf("encode document row: %w", err)
	}
	t := table.Transaction{
		Txn:        txn,
		Conditions: []table.Condition{{Key: headKey, Version: rowVersion}, {Key: docKey(r.Version)}},
		Puts:       []table.Put{{Key: headKey, Value: headValue}, {Key: docKey(r.Version), Value: docValue}, auditPut},
	}
	if r.Version > keepVersions {
		t.Deletes = []string{docKey(r.Version - keepVersions)}
	}
	return proposal{c.Base, current, t}, nil
}

func describe(r Revision) string {
	if r.Version == 0 {
		return ""
	}
	return fmt.Sprintf("version %d, SHA-256 %s", r.Version, r.Hash)
}

// commit makes p durable. The document row resolves a lost response: unlike the head row, no other operator replaces it.
func (h *Holder) commit(ctx context.Context, p proposal) error {
	result, err := table.Resolve(ctx, h.store, p.transaction, docKey(p.current.Version))
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	if result.Committed {
		return nil
	}
	conflict := &ConflictError{Base: p.base}
	for _, row := range result.Conflicts {
		var v headRow
		if row.Version == 0 {
			continue
		}
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return fmt.Errorf("decode %s: %w", row.Key, err)
		}
		if v.Version > conflict.Actual.Version {
			conflict.Actual = v.Revision
		}
	}
	return conflict
}
