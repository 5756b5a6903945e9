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
	"trefoilramp.org/trefoilramp/internal/core/point"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/serve/retry"
)

const (
	clockMargin = 10 * time.Second       // difference of wall clocks between entries that a claim tolerates
	cleanTime   = 30 * time.Second       // how long a claim that was not confirmed is cleaned up in the background
	cleanLimit  = 64                     // such clean-ups at the same time
	fastTries   = 3                      // tries while the store refuses, before the request is refused too
	firstDelay  = 20 * time.Millisecond  // first limit of the backoff between store requests
	longDelay   = 500 * time.Millisecond // longest
)

// ErrStore means that the claim could not be confirmed; the request must not run.
var ErrStore = errors.New("claim is not confirmed by the store")

// Outcome is what the claim of a key found.
type Outcome int

// Outcomes of a claim.
const (
	Acquired   Outcome = iota + 1 // this request runs
	Repeated                      // Found.Response holds the recorded response
	InProgress                    // another request with this key runs
	Mismatch                      // the key was used for a request with another content
	RunLost                       // a request with this key ran or may have run, and its response is gone
)

// Found is the result of Acquire.
type Found struct {
	Outcome  Outcome
	Response *Response
	Detail   string
	Claim    *Claim // for Acquired
}

// Book claims keys in the store for one entry.
type Book struct {
	store   table.Store
	holder  ident.Entry
	backoff *retry.Backoff
	log     *zap.Logger
	hook    point.Hook
	cleans  chan struct{} // one item for each clean-up in progress
}

// NewBook returns a book that writes claims in the name of holder.
func NewBook(store table.Store, holder ident.Entry, seed uint64, log *zap.Logger, hook point.Hook) *Book {
	return &Book{
		store:   store,
		holder:  holder,
		backoff: retry.NewBackoff(firstDelay, longDelay, seed),
		log:     log,
		hook:    hook,
		cleans:  make(chan struct{}, cleanLimit),
	}
}

// Claim is a key that this entry holds while the request runs.
type Claim struct {
	book    *Book
	key     string
	row     row
	version uint64
}

// Acquire claims the key until the deadline. It returns ErrStore when the store does not confirm the claim before ctx
// ends.
func (b *Book) Acquire(ctx context.Context, service, key, fingerprint string, request ident.Request,
	deadline time.Time) (Found, error) {
	r := row{
		Txn:         ident.NewTxn(),
		Holder:      b.holder,
		Request:     request,
		Fingerprint: fingerprint,
		State:       Running,
		Until:       deadline.Add(clockMargin).UnixNano(),
	}
	k := Key(service, key)
	found, version, err := b.write(ctx, k, r, 0, fastTries)
	switch {
	case err != nil:
		if errors.Is(err, table.ErrUnknown) {
			b.clean(ctx, k, r)
		}
		return Found{}, fmt.Errorf("%w: %w", ErrStore, err)
	case found == nil:
		if err := b.hook.At(point.ClaimWritten, k); err != nil {
			return Found{}, fmt.Errorf("after the claim: %w", err)
		}
		return Found{Outcome: Acquired, Claim: &Claim{book: b, key: k, row: r, version: version}}, nil
	}
	return judge(*found, fingerprint, time.Now()), nil
}

// judge says what a row written by another request means for a request with the given fingerprint.
func judge(r row, fingerprint string, now time.Time) Found {
	switch {
	case r.Fingerprint != fingerprint:
		return Found{Outcome: Mismatch, Detail: "the key was used for another request"}
	case r.State == Recorded && r.Response != nil:
		return Found{Outcome: Repeated, Response: r.Response}
	case r.State == Running && now.UnixNano() < r.Until:
		return Found{Outcome: InProgress, Detail: "a request with this key is in progress"}
	case r.Detail != "":
		return Found{Outcome: RunLost, Detail: r.Detail}
	}
	return Found{Outcome: RunLost, Detail: "the entry that ran the first request did not record its response"}
}

// write puts the row on condition of its version. It returns the row of another writer when that one was first. A
// refusal by the store is final unless patient is set; the error is table.ErrUnknown when the row may exist.
func (b *Book) write(ctx context.Context, key string, r row, version uint64, tries int) (*row, uint64, error) {
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
	err = b.persist(ctx, tries, func() error {
		res, err = table.Resolve(ctx, b.store, t, key)
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
	var other row
	if err := json.Unmarshal(res.Conflicts[0].Value, &other); err != nil {
		return nil, 0, fmt.Errorf("decode claim %s: %w", key, err)
	}
	return &other, res.Conflicts[0].Version, nil
}

// persist repeats f until it succeeds, the given number of tries had no effect, or ctx ends.
func (b *Book) persist(ctx context.Context, tries int, f func() error) error {
	for n := 0; ; n++ {
		err := f()
		if err == nil || errors.Is(err, table.ErrMalformed) || n+1 >= tries && !errors.Is(err, table.ErrUnknown) {
			return err
		}
		timer := time.NewTimer(b.backoff.Delay(n))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// clean finds out whether a claim that was given up exists, and deletes it, because its request did not run. Without
// this, repeated requests would be refused until the claim expires, and get Unknown after that.
func (b *Book) clean(ctx context.Context, key string, r row) {
	select {
	case b.cleans <- struct{}{}:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanTime)
	go func() {
		defer func() { <-b.cleans }()
		defer cancel()
		other, version, err := b.write(ctx, key, r, 0, math.MaxInt)
		if err == nil && other == nil {
			c := &Claim{book: b, key: key, row: r, version: version}
			err = c.Release(ctx)
		}
		if err != nil {
			event.Log(b.log, event.ClaimNotReleased, zap.String("Key", key), zap.Error(err))
		}
	}()
}

// Record stores the response. A body over MaxRecord is not stored: a repeated request then gets RunLost with a detail
// that names the status.
func (c *Claim) Record(ctx context.Context, resp Response) error {
	r := c.row
	r.Txn = ident.NewTxn()
	r.State, r.Response = Recorded, &resp
	if len(resp.Body) > MaxRecord {
		return c.Lose(ctx, fmt.Sprintf("the first request completed with status %d; its response was too large to record",
			resp.Status))
	}
	return c.replace(ctx, r)
}

// Lose marks the run as lost: it may have run, and no response will be recorded.
func (c *Claim) Lose(ctx context.Context, detail string) error {
	r := c.row
	r.Txn = ident.NewTxn()
	r.State, r.Detail = Lost, detail
	return c.replace(ctx, r)
}

func (c *Claim) replace(ctx context.Context, r row) error {
	other, _, err := c.book.write(ctx, c.key, r, c.version, math.MaxInt)
	if err == nil && other != nil {
		err = errors.Newf("row was replaced by %s", other.Holder)
	}
	if err != nil {
		event.Log(c.book.log, event.ClaimNotRecorded, zap.String("Key", c.key), zap.Error(err))
		return fmt.Errorf("record claim %s: %w", c.key, err)
	}
	if err := c.book.hook.At(point.ClaimRecorded, c.key); err != nil {
		return fmt.Errorf("after the record: %w", err)
	}
	return nil
}

// Release deletes the claim of a request that did not run, so that a repeated one can run. When the store does not
// confirm it, repeated requests are refused until the claim expires.
func (c *Claim) Release(ctx context.Context) error {
	t := table.Transaction{
		Txn:        ident.NewTxn(),
		Conditions: []table.Condition{{Key: c.key, Version: c.version}},
		Deletes:    []string{c.key},
	}
	err := c.book.persist(ctx, math.MaxInt, func() error {
		_, err := c.book.store.Transact(ctx, t) // a conflict means that an earlier try took effect
		return err
	})
	if err != nil {
		event.Log(c.book.log, event.ClaimNotReleased, zap.String("Key", c.key), zap.Error(err))
		return fmt.Errorf("release claim %s: %w", c.key, err)
	}
	return nil
}
