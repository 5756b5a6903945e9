package head

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// Pauses between repetitions of a transaction.
const (
	minPause = 20 * time.Millisecond
	maxPause = time.Second
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
	p, err := h.propose(c, old.Revision, rowVersion)
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

func (h *Holder) propose(c Change, old Revision, rowVersion uint64) (proposal, error) {
	compact, err := compactOf(c.Document)
	if err != nil {
		return proposal{}, err
	}
	r := Revision{Version: old.Version + 1, Hash: model.Hash(compact), Author: c.Author, Accepted: h.now().UTC()}
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

// commit repeats the same transaction until its outcome is known. A repetition cannot take effect twice, because the
// first effect changes the version of the head row. The document row shows whose effect it was: unlike the head row, no
// other operator replaces it.
func (h *Holder) commit(ctx context.Context, p proposal) error {
	unsure := false // whether an earlier try may have taken effect
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		result, err := h.store.Transact(ctx, p.transaction)
		if err == nil {
			return p.outcome(result)
		}
		unsure = unsure || errors.Is(err, table.ErrUnknown)
		if !unsure && !errors.Is(err, table.ErrOverBudget) {
			return fmt.Errorf("write configuration: %w", err)
		}
		if !sleep(ctx, pause/2+rand.N(pause/2)) {
			if unsure {
				err = table.ErrUnknown
			}
			return fmt.Errorf("write configuration: %w", err)
		}
	}
}

// outcome returns nil when r, or an earlier try whose response was lost, committed the proposal.
func (p proposal) outcome(r table.Result) error {
	if r.Committed {
		return nil
	}
	conflict := &ConflictError{Base: p.base}
	for _, row := range r.Conflicts {
		var v headRow
		if row.Version == 0 {
			continue
		}
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return fmt.Errorf("decode %s: %w", row.Key, err)
		}
		if row.Key == docKey(p.current.Version) && v.Txn == p.transaction.Txn {
			return nil
		}
		if v.Version > conflict.Actual.Version {
			conflict.Actual = v.Revision
		}
	}
	return conflict
}

// sleep waits for d and reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
