package head

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// DefaultPoll is the interval at which every entry reads the head row. It bounds the delay of a change whose notice was
// lost, within the goal of 5 s.
const DefaultPoll = time.Second

const pollTimeout = 2 * time.Second // a slow store must not hold up notices of newer versions

// Peers are the other entries.
type Peers interface {
	// FetchConfig returns a version of at least the given number from any entry that has one.
	FetchConfig(ctx context.Context, atLeast uint64) (wire.ConfigDoc, []byte, error)
}

// Run reads the head row at every interval and at once when a newer version is heard of, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := h.Check(ctx)
		switch {
		case err != nil && !lost && ctx.Err() == nil:
			event.Log(h.log, event.ConfigurationStoreLost, zap.Error(err))
		case err == nil && lost:
			event.Log(h.log, event.ConfigurationStoreBack, zap.Uint64("Version", h.Version()))
		}
		lost = err != nil
		h.wait(ctx)
	}
}

// wait ends after an interval with jitter, which keeps entries that started together from reading together, or when a
// newer version is heard of.
func (h *Holder) wait(ctx context.Context) {
	t := time.NewTimer(h.poll*9/10 + rand.N(h.poll/5+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.wake:
	}
}

// Check reads the head row once and brings a newer version into force. When the store does not answer, it asks the peers
// for a version that was heard of.
func (h *Holder) Check(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := h.checkStore(readCtx)
	if err != nil && (h.isBehind() || !h.confirmed.Load()) {
		h.askPeers(ctx)
	}
	return err
}

func (h *Holder) checkStore(ctx context.Context) error {
	row, _, err := readHead(ctx, h.store)
	if err != nil {
		return err
	}
	if mine := h.Version(); row.Version < mine {
		event.Log(h.log, event.ConfigurationContradicts, zap.Uint64("Version", row.Version), zap.Uint64("InForce", mine))
		return nil
	}
	if row.Version == h.Version() {
		h.confirmed.Store(true)
		return nil
	}
	h.Heard(row.Version)
	c, err := Load(ctx, h.store, row.Version)
	switch {
	case errors.Is(err, table.ErrNotFound):
		// So many versions followed that this one is deleted; the next check reads a newer head.
		return err
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrOverBudget), errors.Is(err, table.ErrUnknown):
		return err
	case err != nil:
		event.Log(h.log, event.ConfigurationUnreadable, zap.Uint64("Version", row.Version), zap.Error(err))
		return nil
	}
	h.apply(c)
	return nil
}

func (h *Holder) askPeers(ctx context.Context) {
	if h.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	d, body, err := h.peers.FetchConfig(ctx, max(h.heard.Load(), 1))
	if err != nil {
		return // tried again at the next check
	}
	if err := h.Offer(d, body); err != nil {
		event.Log(h.log, event.ConfigurationUnreadable, zap.Uint64("Version", d.Version), zap.Error(err))
	}
}
