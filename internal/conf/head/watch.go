package head

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// DefaultPoll is the interval at which every entry reads the head row. It bounds the delay of a change whose
// notification was lost, within the goal of 5 s.
const DefaultPoll = time.Second

// pollTimeout is the longest time without progress of a read; a silent store must not delay reactions to newer versions.
const pollTimeout = 2 * time.Second

// Peers fetches the configuration from other entries.
type Peers interface {
	// FetchConfig returns a version of at least atLeast, and its document as JSON, from any entry that has one. It calls
	// stall.Progress during the transfer.
	FetchConfig(ctx context.Context, atLeast uint64) (wire.ConfigDoc, []byte, error)
}

// Run checks the head row at the poll interval, and at once when NoticeVersion reports a newer version, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	storeDown := false
	for ctx.Err() == nil {
		err := h.Check(ctx)
		switch {
		case err != nil && !storeDown && ctx.Err() == nil:
			event.Log(h.log, event.ConfigurationStoreUnreachable, zap.Error(err))
		case err == nil && storeDown:
			event.Log(h.log, event.ConfigurationStoreReachable, zap.Uint64("Version", h.Version()))
		}
		storeDown = err != nil
		h.wait(ctx)
	}
}

// wait returns after a poll interval, or earlier when a newer version becomes known. The interval has jitter to spread
// the reads of entries that started together.
func (h *Holder) wait(ctx context.Context) {
	t := time.NewTimer(h.poll*9/10 + rand.N(h.poll/5+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.wake:
	}
}

// Check reads the head row once and puts a newer version into force. If the store fails, it fetches the highest known
// version from the peers, and any version if neither store nor peer has answered yet.
func (h *Holder) Check(ctx context.Context) error {
	readCtx, cancel := stall.WithTimeout(ctx, pollTimeout, pollTimeout)
	defer cancel()
	err := h.checkStore(readCtx)
	if err != nil && (h.isBehind() || !h.confirmed.Load()) {
		h.fetchFromPeers(ctx)
	}
	return err
}

// checkStore reads the head row and puts a newer version into force. It logs an unreadable document and returns no
// error for it.
func (h *Holder) checkStore(ctx context.Context) error {
	row, _, err := readHead(ctx, h.store)
	if err != nil {
		return err
	}
	if local := h.Version(); row.Version < local {
		event.Log(h.log, event.ConfigurationConflict, zap.Uint64("Version", row.Version), zap.Uint64("InForce", local))
		return nil
	}
	if row.Version == h.Version() {
		h.confirmed.Store(true)
		return nil
	}
	h.NoticeVersion(row.Version)
	c, err := Load(ctx, h.store, row.Version)
	switch {
	case errors.Is(err, table.ErrNotFound):
		// This version was deleted because many newer ones followed; the next check reads a newer head.
		return err
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrRateLimited), errors.Is(err, table.ErrUnknown):
		return err
	case err != nil:
		event.Log(h.log, event.ConfigurationUnreadable, zap.Uint64("Version", row.Version), zap.Error(err))
		return nil
	}
	h.apply(c)
	return nil
}

// fetchFromPeers puts the highest known version into force if a peer has it.
func (h *Holder) fetchFromPeers(ctx context.Context) {
	if h.peers == nil {
		return
	}
	ctx, cancel := stall.WithTimeout(ctx, pollTimeout, pollTimeout)
	defer cancel()
	d, body, err := h.peers.FetchConfig(ctx, max(h.highestKnown.Load(), 1))
	if err != nil {
		return // the next check tries again
	}
	if err := h.Offer(d, body); err != nil {
		event.Log(h.log, event.ConfigurationUnreadable, zap.Uint64("Version", d.Version), zap.Error(err))
	}
}
