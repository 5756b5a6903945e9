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

// Change is a new document that an operator submits.
type Change struct {
	Author   string
	Base     uint64 // version that the operator changed; 0 for the first document
	Document model.Document
}

// ConflictError reports that the accepted version is not the base of a change.
type ConflictError struct {
	Base    uint64
	Actual  Revision // the accepted version
	Earlier uint64   // replaced version that an earlier attempt of the same change created; 0 if there is none
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Earlier != 0 {
		return fmt.Sprintf("the change was accepted as version %d, which version %d has replaced", e.Earlier, e.Actual.Version)
	}
	return fmt.Sprintf("the change is based on version %d, but version %d is accepted", e.Base, e.Actual.Version)
}

// Accept validates c and stores it as the next version if its base is still the accepted version. The errors
// *strict.FaultsError, *ConflictError, table.ErrUnavailable and table.ErrRateLimited mean that the change had no
// effect; table.ErrUnknown means that ctx ended before the outcome was known. A repeated change that an earlier attempt
// has stored as the accepted version succeeds without another effect.
func (h *Holder) Accept(ctx context.Context, c Change) (*Current, error) {
	if err := c.Document.Validate().Err(); err != nil {
		return nil, err
	}
	current, err := h.accept(ctx, c)
	if conflict := (*ConflictError)(nil); errors.As(err, &conflict) {
		return h.findEarlier(ctx, c, conflict)
	}
	return current, err
}

// findEarlier returns the accepted version if an earlier attempt of c created it, and otherwise the conflict.
func (h *Holder) findEarlier(ctx context.Context, c Change, conflict *ConflictError) (*Current, error) {
	compact, err := encodeCompact(c.Document)
	if err != nil {
		return nil, err
	}
	hash := model.Hash(compact)
	isOwn := func(r Revision) bool { return r.Version == c.Base+1 && r.Author == c.Author && r.Hash == hash }
	if isOwn(conflict.Actual) {
		current, err := newCurrent(conflict.Actual, compact)
		if err != nil {
			return nil, err
		}
		h.putInForce(current)
		return current, nil
	}
	if conflict.Actual.Version > c.Base+1 {
		// Without the document row, the conflict is reported without the earlier version.
		if d, err := readDoc(ctx, h.store, c.Base+1); err == nil && isOwn(d.Revision) {
			conflict.Earlier = d.Version
		}
	}
	return nil, conflict
}

// putInForce applies a version that this process has accepted and notifies the other entries.
func (h *Holder) putInForce(c *Current) {
	h.apply(c)
	if h.onAccepted != nil {
		h.onAccepted(c.Version)
	}
}

func (h *Holder) accept(ctx context.Context, c Change) (*Current, error) {
	if err := h.hook.At(point.AcceptValidated, c.Author); err != nil {
		return nil, err
	}
	local := h.Current() // read before the head, so that the head is lower only after a restoration
	old, rowVersion, err := readHead(ctx, h.store)
	if err != nil {
		return nil, err
	}
	if local != nil && local.Version > old.Version {
		// The store was restored from a backup. The next version must still be above the one in force.
		old.Revision = local.Revision
	}
	if old.Version != c.Base {
		return nil, &ConflictError{Base: c.Base, Actual: old.Revision}
	}
	leases, err := h.earlierLeases(ctx, local, old.Revision)
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
	h.putInForce(p.current)
	return p.current, h.hook.At(point.AcceptCommitted, c.Author)
}

// proposal is a change together with the transaction that stores it.
type proposal struct {
	base        uint64
	current     *Current
	transaction table.Transaction
}

// propose builds the next version from c and the transaction that writes its head, document and audit rows.
func (h *Holder) propose(c Change, old Revision, rowVersion uint64, leases []Leases) (proposal, error) {
	compact, err := encodeCompact(c.Document)
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
	if r.Version > maxStoredVersions {
		t.Deletes = []string{docKey(r.Version - maxStoredVersions)}
	}
	return proposal{c.Base, current, t}, nil
}

// describe returns the text for r in the audit log, empty for no version.
func describe(r Revision) string {
	if r.Version == 0 {
		return ""
	}
	return fmt.Sprintf("version %d, SHA-256 %s", r.Version, r.Hash)
}

// commit stores p. It resolves a lost response by reading the document row, which, unlike the head row, other operators
// do not replace.
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
