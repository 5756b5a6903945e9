package commit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

const (
	callTimeout = 5 * time.Second // of one store request; a later response counts as lost
	firstPause  = 50 * time.Millisecond
	lastPause   = 2 * time.Second
)

// settled is the known outcome of a transaction.
type settled struct {
	version    uint64
	sent       time.Time // of the request whose response settled it
	overBudget bool      // the store refused at least once because of its budget
}

// settle repeats a transaction until its outcome is known. A transaction whose response was lost may have taken effect or
// may still do so; repeating it is safe, because at most one of the repetitions can find the rows at the versions in
// its conditions. A conflict with a row that carries the transaction's own Txn means that it was committed.
func settle(ctx context.Context, s table.Store, t table.Transaction) (settled, error) {
	var out settled
	for delay := firstPause; ; delay = min(2*delay, lastPause) {
		out.sent = time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := s.Transact(call, t)
		cancel()
		switch {
		case err == nil && res.Committed:
			out.version = res.Version
			return out, nil
		case err == nil:
			v, ok := ownEffect(t, res.Conflicts)
			if ok {
				out.version = v
				return out, nil
			}
			return out, ErrDeposed
		case errors.Is(err, table.ErrOverBudget):
			out.overBudget = true
		}
		if !pause.For(ctx, delay/2+rand.N(delay/2)) {
			return out, context.Cause(ctx)
		}
	}
}

// ownEffect returns the version of the rows that the transaction wrote, if the conflicts show that it was committed.
// A head row of another epoch means that the owner was deposed since; what it wrote before is in the journal that the
// new owner replays, so the deposed owner must not act on it.
func ownEffect(t table.Transaction, conflicts []table.Row) (uint64, bool) {
	var version uint64
	for _, r := range conflicts {
		var v struct{ Txn ident.Txn }
		own := json.Unmarshal(r.Value, &v) == nil && v.Txn == t.Txn
		if strings.HasPrefix(r.Key, "part/") && !own {
			return 0, false
		}
		if own {
			version = r.Version
		}
	}
	return version, version != 0
}
