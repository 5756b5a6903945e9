package retry

import "sync"

// Budget allows retries as a share of first tries; it is safe for concurrent use. Without it, an overload would multiply
// itself, because every refused request would come back as another one.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that adds share retries for each first try and saves at most burst of them. It starts full,
// so that the first failures after a start can be retried.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Try records a first try.
func (b *Budget) Try() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Retry takes one retry from the budget and reports false when none is left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
