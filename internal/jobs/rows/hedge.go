package rows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxTries bounds the tries of one request that are under way together.
const maxTries = 4

// Result is the outcome of a hedged request.
type Result[T any] struct {
	Value T
	Err   error
	Sent  bool      // some try may be or become effective although Err is set
	Began time.Time // when the first try began
}

// Hedge calls f, and again beside it after each pause without an answer, until a call succeeds, all calls say ErrNotDone,
// the last call gets no answer in its time either, or ctx ends. The request must be idempotent.
func Hedge[T any](ctx context.Context, wait time.Duration, f func(context.Context) (T, error)) Result[T] {
	type answer struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxTries)
	res := Result[T]{Began: time.Now()}
	open, tries := 0, 0
	start := func() {
		open++
		tries++
		go func() {
			v, err := f(ctx)
			answers <- answer{v, err}
		}()
	}
	start()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			open--
			if a.err == nil {
				return Result[T]{Value: a.value, Began: res.Began}
			}
			res.Err = a.err
			res.Sent = res.Sent || !errors.Is(a.err, ErrNotDone)
			if open > 0 {
				continue
			}
			if !res.Sent || tries >= maxTries {
				return res
			}
			start() // a lost answer: the same request shows what became of it
		case <-timer.C:
			if tries == maxTries {
				return Result[T]{Err: ErrUnknown, Sent: true, Began: res.Began}
			}
			start()
			wait *= 2
			timer.Reset(wait)
		case <-ctx.Done():
			res.Sent = res.Sent || open > 0
			res.Err = errors.CombineErrors(ctx.Err(), res.Err)
			return res
		}
	}
}
