package retry_test

import (
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/serve/retry"
)

// Guards against retries that multiply an overload: of 1000 first tries that all fail, only the share may be retried.
func TestBudgetBoundsRetries(t *testing.T) {
	b := retry.NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Try()
		for b.Retry() {
			retries++
		}
	}
	if retries < 100 || retries > 111 {
		t.Errorf("got %d retries for 1000 first tries, want 100 and the burst of 10", retries)
	}
}

// Guards against callers that return in step, and against delays over the limit or an overflow at high counts.
func TestBackoffJitter(t *testing.T) {
	b := retry.NewBackoff(10*time.Millisecond, time.Second, 1)
	for n := range 70 {
		low, high := time.Hour, time.Duration(0)
		for range 200 {
			d := b.Delay(n)
			low, high = min(low, d), max(high, d)
		}
		top := time.Second
		if n < 7 {
			top = 10 * time.Millisecond << n
		}
		if low < 0 || high > top || low > top/5 || high < top*4/5 {
			t.Errorf("retry %d: delays from %v to %v do not spread over 0 to %v", n, low, high, top)
		}
	}
}
