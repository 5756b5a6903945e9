package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/retry"
)

const (
	maxClockSkew    = 10 * time.Second       // tolerated between the wall clocks of entries
	cleanupTimeout  = 30 * time.Second       // of the background cleanup of an unconfirmed claim
	maxCleanups     = 64                     // concurrent cleanups
	acquireTries    = 3                      // tries that the store rejects before the request is refused
	maxReplacements = 3                      // writes of a claim, each but the first over a released one
	backoffBase     = 20 * time.Millisecond  // first bound on the delay between store requests
	backoffLimit    = 500 * time.Millisecond // largest bound on that delay
)

// ErrStore means that the store did not confirm the claim; the request must not run.
var ErrStore = errors.New("claim is not confirmed by the store")

// Outcome is the outcome of claiming a key.
type Outcome int

// Outcomes of a claim.
const (
	Acquired     Outcome = iota + 1 // this request may run
	Replayed                        // Result.Response holds the recorded response
	InProgress                      // another request with this key is running
	Mismatch                        // the key was used for a request with different content
	ResponseLost                    // a request with this key ran or may have run, and its response is lost
)

// Result is the result of Acquire.
type Result struct {
	Outcome  Outcome
	Response *Response
	Detail   string
	Claim    *Claim // set when Outcome is Acquired
}

// Registry claims idempotency keys in the store on behalf of one entry.
type Registry struct {
	store    table.Store
	holder   ident.Entry
	backoff  *retry.Backoff
	log      *zap.Logger
	hook     point.Hook
	cleanups chan struct{} // semaphore; one item per cleanup in progress
}

// NewRegistry returns a Registry that writes claims on behalf of holder.
func NewRegistry(store table.Store, holder ident.Entry, seed uint64, log *zap.Logger, hook point.Hook) *Registry {
	return &Registry{
		store:    store,
		holder:   holder,
		backoff:  retry.NewBackoff(backoffBase, backoffLimit, seed),
		log:      log,
		hook:     hook,
		cleanups: make(chan struct{}, maxCleanups),
	}
}

// Claim is a key that this entry has acquired for a running request.
type Claim struct {
	registry *Registry
	key      string
	row      row
	version  uint64
}

// Acquire claims the key until the deadline. It returns ErrStore when the store rejects the claim or does not confirm
// it before ctx ends.
func (reg *Registry) Acquire(ctx context.Context, service, key, fingerprint string, request ident.Request,
	deadline time.Time) (Result, error) {
	r := row{
		Txn:         ident.NewTxn(),
		Holder:      reg.holder,
		Request:     request,
		Fingerprint: fingerprint,
		State:       Running,
		Until:       deadline.Add(maxClockSkew).UnixNano(),
	}
	k := Key(service, key)
	var version uint64 // of the released claim that r replaces; 0 for none
	for range maxReplacements {
		existing, v, err := reg.write(ctx, k, r, version, acquireTries)
		switch {
		case err != nil:
			if errors.Is(err, table.ErrUnknown) {
				reg.cleanUp(ctx, k, r, version)
			}
			return Result{}, fmt.Errorf("%w: %w", ErrStore, err)
		case existing == nil:
			if err := reg.hook.At(point.ClaimWritten, k); err != nil {
				return Result{}, fmt.Errorf("after the claim: %w", err)
			}
			return Result{Outcome: Acquired, Claim: &Claim{registry: reg, key: k, row: r, version: v}}, nil
		case existing.State != Released:
			return classify(*existing, fingerprint, time.Now()), nil
		}
		version = v
	}
	return Result{}, fmt.Errorf("%w: other requests have claimed and released %s meanwhile", ErrStore, k)
}

// classify returns the outcome for a request with the given fingerprint when another request has written row r.
func classify(r row, fingerprint string, now time.Time) Result {
	switch {
	case r.Fingerprint != fingerprint:
		return Result{Outcome: Mismatch, Detail: "the key was used for another request"}
	case r.State == Recorded && r.Response != nil:
		return Result{Outcome: Replayed, Response: r.Response}
	case r.State == Running && now.UnixNano() < r.Until:
		return Result{Outcome: InProgress, Detail: "a request with this key is in progress"}
	case r.Detail != "":
		return Result{Outcome: ResponseLost, Detail: r.Detail}
	}
	return Result{Outcome: ResponseLost, Detail: "the entry that ran the first request did not record its response"}
}

// write puts the row if its current version is the given one, and otherwise returns the existing row and its version.
// It returns an error after the given number of rejections by the store; table.ErrUnknown means that the row may have
// been written.
func (reg *Registry) write(ctx context.Context, key string, r row, version uint64, tries int) (*row, uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, 0, fmt.Errorf("encode claim: %w", err)
	}
	t := table.Transaction{
		Txn:        r.Txn,
		Conditions: []table.Condition{{Key: key, Version: version}},
		Puts:       []table.Put{{Key: key, Value: value}},
	}
	var res table.Result
	err = reg.withRetries(ctx, tries, func() error {
		res, err = table.Resolve(ctx, reg.store, t, key)
		return err
	})
	if err != nil {
		return nil, 0, fmt.Errorf("write claim: %w", err)
	}
	if res.Committed {
		return nil, res.Version, nil
	}
	if len(res.Conflicts) == 0 || res.Conflicts[0].Version == 0 {
		return nil, 0, errors.Newf("row %s is gone", key)
	}
	var existing row
	if err := json.Unmarshal(res.Conflicts[0].Value, &existing); err != nil {
		return nil, 0, fmt.Errorf("decode claim %s: %w", key, err)
	}
	return &existing, res.Conflicts[0].Version, nil
}

// withRetries repeats f, which calls table.Resolve, until it succeeds, the request is malformed, ctx ends, or the store
// has rejected the given number of tries. An unknown outcome, after which ctx has ended, is never followed by another
// try: its rejection would hide that outcome.
func (reg *Registry) withRetries(ctx context.Context, tries int, f func() error) error {
	for n := 0; ; n++ {
		err := f()
		if err == nil || errors.IsAny(err, table.ErrMalformed, table.ErrUnknown) || n+1 >= tries {
			return err
		}
		if !pause.For(ctx, reg.backoff.Delay(n)) {
			return err
		}
	}
}

// cleanUp determines in the background whether an unconfirmed claim was written and releases it, because its request
// did not run. Otherwise repeated requests would be refused until the claim expires, and get ResponseLost after
// that. It does nothing when maxCleanups cleanups are in progress.
func (reg *Registry) cleanUp(ctx context.Context, key string, r row, version uint64) {
	select {
	case reg.cleanups <- struct{}{}:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	go func() {
		defer func() { <-reg.cleanups }()
		defer cancel()
		existing, version, err := reg.write(ctx, key, r, version, math.MaxInt)
		if err == nil && existing == nil {
			c := &Claim{registry: reg, key: key, row: r, version: version}
			err = c.Release(ctx)
		}
		if err != nil {
			event.Log(reg.log, event.ClaimNotReleased, zap.String("Key", key), zap.Error(err))
		}
	}()
}

// Record stores the response. If its body exceeds MaxRecord, only the status is stored, as the detail of a ResponseLost
// outcome for repeated requests.
func (c *Claim) Record(ctx context.Context, resp Response) error {
	r := c.row
	r.Txn = ident.NewTxn()
	r.State, r.Response = Recorded, &resp
	if len(resp.Body) > MaxRecord {
		return c.MarkLost(ctx, fmt.Sprintf("the first request completed with status %d; its response was too large to record",
			resp.Status))
	}
	return c.replace(ctx, r)
}

// MarkLost marks the response as lost: the request ran or may have run, and no response will be recorded.
func (c *Claim) MarkLost(ctx context.Context, detail string) error {
	r := c.row
	r.Txn = ident.NewTxn()
	r.State, r.Detail = Lost, detail
	return c.replace(ctx, r)
}

func (c *Claim) replace(ctx context.Context, r row) error {
	existing, _, err := c.registry.write(ctx, c.key, r, c.version, math.MaxInt)
	if err == nil && existing != nil {
		err = errors.Newf("claim row was overwritten by entry %s", existing.Holder)
	}
	if err != nil {
		event.Log(c.registry.log, event.ClaimNotRecorded, zap.String("Key", c.key), zap.Error(err))
		return fmt.Errorf("record claim %s: %w", c.key, err)
	}
	if err := c.registry.hook.At(point.ClaimRecorded, c.key); err != nil {
		return fmt.Errorf("after the record: %w", err)
	}
	return nil
}

// Release marks the claim of a request that did not run as released, so that a repeated request can run. The row is kept:
// if it were deleted, a write of the claim without a response could still be executed. If the store does not confirm the
// release, repeated requests are refused until the claim expires.
func (c *Claim) Release(ctx context.Context) error {
	r := c.row
	r.Txn = ident.NewTxn()
	r.State = Released
	// A conflict means that an earlier try succeeded and another request has claimed the key since.
	if _, _, err := c.registry.write(ctx, c.key, r, c.version, math.MaxInt); err != nil {
		event.Log(c.registry.log, event.ClaimNotReleased, zap.String("Key", c.key), zap.Error(err))
		return fmt.Errorf("release claim %s: %w", c.key, err)
	}
	return nil
}
