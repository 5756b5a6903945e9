package stall_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/stall"
)

const (
	first = 2 * time.Second
	limit = 600 * time.Millisecond
)

// Guards against a limit on the whole of an exchange, and against a silent peer that is noticed late or never.
func TestEndsWithoutProgress(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps int // of 500 ms, each with progress
		want  time.Duration
	}{
		{"silent from the start", 0, first},
		{"silent after a response began", 1, 500*time.Millisecond + limit},
		{"silent after a long exchange", 100, 50*time.Second + limit},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, cancel := stall.WithTimeout(t.Context(), first, limit)
				defer cancel()
				for range test.steps {
					time.Sleep(500 * time.Millisecond)
					stall.Progress(ctx)
				}
				<-ctx.Done()
				if took := time.Since(began); took != test.want {
					t.Errorf("ended after %v, want %v", took, test.want)
				}
				if !errors.Is(context.Cause(ctx), stall.ErrStalled) {
					t.Errorf("cause %v", context.Cause(ctx))
				}
			})
		})
	}
}

// Guards against an outer limit that ends an exchange although its inner part progresses, and against progress that
// revives a context after its end.
func TestProgressOfDerivedContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := stall.WithTimeout(t.Context(), limit, limit)
		defer cancelOuter()
		inner, cancelInner := stall.WithTimeout(outer, limit/2, limit/2)
		plain, cancelPlain := context.WithCancel(inner)
		defer cancelPlain()
		for range 10 {
			time.Sleep(limit / 3)
			stall.Progress(plain)
		}
		if err := plain.Err(); err != nil {
			t.Errorf("ended in spite of progress: %v", err)
		}
		cancelInner()
		if cause := context.Cause(plain); !errors.Is(cause, context.Canceled) || outer.Err() != nil {
			t.Errorf("after the cancellation of the inner context: %v, outer %v", cause, outer.Err())
		}
		time.Sleep(2 * limit)
		stall.Progress(plain)
		if cause := context.Cause(outer); !errors.Is(cause, stall.ErrStalled) {
			t.Errorf("outer context: %v", cause)
		}
	})
}
