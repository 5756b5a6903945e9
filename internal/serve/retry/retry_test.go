package retry_test

import (
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/serve/retry"
)

// Guards against retries that amplify an overload: when 1000 first tries all fail, only the share of them may be
// retried.
func TestBudgetBoundsRetries(t *testing.T) {
	b := retry.NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	if retries < 100 || retries > 111 {
		t.Errorf("got %d retries for 1000 first tries, want 100 plus the burst of 10", retries)
	}
}

// Guards against callers that retry in step, delays above the limit and overflow at high retry counts.
func TestBackoffJitter(t *testing.T) {
	b := retry.NewBackoff(10*time.Millisecond, time.Second, 1)
	for n := range 70 {
		low, high := time.Hour, time.Duration(0)
		for range 200 {
			d := b.Delay(n)
			low, high = min(low, d), max(high, d)
		}
		bound := time.Second
		if n < 7 {
			bound = 10 * time.Millisecond << n
		}
		if low < 0 || high > bound || low > bound/5 || high < bound*4/5 {
			t.Errorf("retry %d: delays from %v to %v do not spread over 0 to %v", n, low, high, bound)
		}
	}
}
