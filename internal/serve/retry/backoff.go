package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff computes delays with full jitter: uniform between zero and a limit that doubles with each retry. Full jitter
// spreads callers that failed at the same moment; it is safe for concurrent use.
type Backoff struct {
	base  time.Duration
	limit time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

// NewBackoff returns a backoff whose first limit is base and whose largest limit is limit, with a seeded generator.
func NewBackoff(base, limit time.Duration, seed uint64) *Backoff {
	return &Backoff{base: base, limit: limit, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Delay returns the delay before retry n, counted from 0.
func (b *Backoff) Delay(n int) time.Duration {
	top := b.limit
	if n >= 0 && n < 32 && b.base<<n < b.limit { // 32 doublings of a millisecond are 50 days
		top = b.base << n
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(top) + 1))
}
