package store

import (
	"sync"
	"time"
)

// bucket is a token bucket. A call is admitted while the balance is positive and may overdraw it, so that calls larger
// than the burst are possible while the mean rate is still enforced.
type bucket struct {
	mu       sync.Mutex
	rate     float64 // tokens per second, and the maximum balance (burst); 0 for no limit
	balance  float64
	refilled time.Time
	spent    uint64 // tokens spent since the start
}

// newBucket returns a full bucket.
func newBucket(rate int) *bucket {
	return &bucket{rate: float64(rate), balance: float64(rate), refilled: time.Now()}
}

// hasBalance refills the bucket and reports whether a call is admitted.
func (b *bucket) hasBalance() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		return true
	}
	now := time.Now()
	b.balance = min(b.rate, b.balance+b.rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	return b.balance > 0
}

// spend removes n tokens; the balance may become negative.
func (b *bucket) spend(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance -= float64(n)
	b.spent += uint64(n)
}

func (b *bucket) total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}
