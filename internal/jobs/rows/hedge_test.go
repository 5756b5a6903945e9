package rows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

// Guards against a caller without a deadline that waits forever when the responses to all calls are lost.
func TestHedgeGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		res := rows.Hedge(context.Background(), 100*time.Millisecond, func(ctx context.Context) (int, error) {
			<-ctx.Done()
			return 0, rows.ErrUnknown
		})
		if !errors.Is(res.Err, rows.ErrUnknown) || !res.Sent {
			t.Errorf("error %v, sent %v", res.Err, res.Sent)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("gave up after %v", took)
		}
	})
}

// Guards against a refusal that is taken as the outcome of a request although an earlier call of it got no response.
func TestHedgeRefusalAfterUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		name  string
		first error
		sent  bool
	}{
		{"refused", rows.ErrNotDone, false},
		{"unknown", rows.ErrUnknown, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls := 0
			res := rows.Hedge(t.Context(), time.Minute, func(context.Context) (int, error) {
				if calls++; calls == 1 {
					return 0, test.first
				}
				return 0, rows.ErrNotDone
			})
			if res.Sent != test.sent || errors.Is(res.Err, rows.ErrNotDone) == test.sent {
				t.Errorf("sent %v, error %v", res.Sent, res.Err)
			}
		})
	}
}
