package rows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxCalls is the maximum number of calls of one request, which may be in flight together.
const maxCalls = 4

// Result is the outcome of a hedged request.
type Result[T any] struct {
	Value T
	Err   error     // ErrNotDone only if no call has taken effect or still may
	Sent  bool      // a call may have taken effect, or may still do so, although Err is set
	Began time.Time // start of the first call
}

// Hedge calls f, and starts another call in parallel when there is no response within wait, which doubles each time. It
// returns when a call succeeds, all calls fail with ErrNotDone, maxCalls calls have failed, the last call times out
// (ErrUnknown) or ctx ends. The request must be idempotent.
func Hedge[T any](ctx context.Context, wait time.Duration, f func(context.Context) (T, error)) Result[T] {
	type response struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan response, maxCalls)
	res := Result[T]{Began: time.Now()}
	inFlight, calls := 0, 0
	start := func() {
		inFlight++
		calls++
		go func() {
			v, err := f(ctx)
			responses <- response{v, err}
		}()
	}
	start()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case r := <-responses:
			inFlight--
			if r.err == nil {
				return Result[T]{Value: r.value, Began: res.Began}
			}
			isRefused := errors.Is(r.err, ErrNotDone)
			if !isRefused || !res.Sent {
				res.Err = r.err
			}
			res.Sent = res.Sent || !isRefused
			if inFlight > 0 {
				continue
			}
			if !res.Sent || calls >= maxCalls {
				return res
			}
			start() // the outcome is unknown; repeating the request reveals it
		case <-timer.C:
			if calls == maxCalls {
				return Result[T]{Err: ErrUnknown, Sent: true, Began: res.Began}
			}
			start()
			wait *= 2
			timer.Reset(wait)
		case <-ctx.Done():
			res.Sent = res.Sent || inFlight > 0
			res.Err = errors.CombineErrors(ctx.Err(), res.Err)
			return res
		}
	}
}
