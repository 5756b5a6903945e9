package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff computes delays with full jitter, uniform between zero and a bound that doubles with each retry, so that
// callers that failed at the same time do not retry in step; it is safe for concurrent use.
type Backoff struct {
	base  time.Duration
	limit time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

// NewBackoff returns a Backoff whose bound grows from base to limit, with a random generator seeded by seed.
func NewBackoff(base, limit time.Duration, seed uint64) *Backoff {
	return &Backoff{base: base, limit: limit, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Delay returns a random delay before retry n, counted from 0.
func (b *Backoff) Delay(n int) time.Duration {
	bound := b.limit
	if n >= 0 && n < 32 && b.base<<n < b.limit { // avoids overflow; 32 doublings of 1 ms are 50 days
		bound = b.base << n
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(bound) + 1))
}
