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
	callTimeout = 5 * time.Second // of one store request; a later response is treated as lost
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// result is the known outcome of a committed transaction.
type result struct {
	version     uint64
	sent        time.Time // of the request whose response revealed the outcome
	rateLimited bool      // the store refused at least once because of its rate limit
}

// transact repeats a transaction until its outcome is known and returns ErrDeposed on a conflict. A transaction whose
// response was lost may have taken effect or may still do so. Repeating it is safe, because at most one of the attempts
// can find the rows at the versions in its conditions. A conflict with a row that carries the transaction's own Txn
// means that an earlier attempt was committed.
func transact(ctx context.Context, s table.Store, t table.Transaction) (result, error) {
	var out result
	for delay := minBackoff; ; delay = min(2*delay, maxBackoff) {
		out.sent = time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := s.Transact(call, t)
		cancel()
		switch {
		case err == nil && res.Committed:
			out.version = res.Version
			return out, nil
		case err == nil:
			v, ok := committedVersion(t, res.Conflicts)
			if ok {
				out.version = v
				return out, nil
			}
			return out, ErrDeposed
		case errors.Is(err, table.ErrRateLimited):
			out.rateLimited = true
		}
		if !pause.For(ctx, delay/2+rand.N(delay/2)) {
			return out, context.Cause(ctx)
		}
	}
}

// committedVersion returns the version of the rows that the transaction wrote, if the conflicts show that it was
// committed. A head row written by another transaction means that the owner was deposed in the meantime. The new owner
// replays what the deposed owner wrote before, so the deposed owner must not act on it.
func committedVersion(t table.Transaction, conflicts []table.Row) (uint64, bool) {
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
