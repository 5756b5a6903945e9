package store

import (
	"sync"
	"time"
)

// bucket is a token bucket. A call is admitted while the balance is positive and may overdraw it, so that a call larger
// than the burst is possible and the mean rate still holds.
type bucket struct {
	mu      sync.Mutex
	rate    float64 // tokens a second, and the largest balance; 0 for no bound
	balance float64
	at      time.Time
	spent   uint64
}

func newBucket(rate int) *bucket {
	return &bucket{rate: float64(rate), balance: float64(rate), at: time.Now()}
}

func (b *bucket) hasBalance() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		return true
	}
	now := time.Now()
	b.balance = min(b.rate, b.balance+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	return b.balance > 0
}

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
