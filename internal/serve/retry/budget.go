package retry

import "sync"

// Budget is a token bucket that limits retries to a share of first tries; it is safe for concurrent use. Without it,
// the retries of refused requests would amplify an overload.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a Budget that gains share tokens per first try and accumulates at most burst tokens. It starts
// full, so that failures right after a start can be retried.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Deposit adds the tokens for a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Withdraw takes one token and reports false when less than one is left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
