package stall

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled is the cause of the end of a context whose exchange made no progress for too long.
var ErrStalled = errors.New("no progress")

// watchKey is the key of the innermost watch in a context.
type watchKey struct{}

// watch ends a context when its timer expires.
type watch struct {
	outer *watch // of the context from which this one is derived, or nil
	timer *time.Timer
	limit time.Duration // without progress
}

// WithTimeout returns a context that ends with the cause ErrStalled once Progress has not been called with it for
// limit, or for first in the time before the first call.
func WithTimeout(parent context.Context, first, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{limit: limit}
	w.outer, _ = parent.Value(watchKey{}).(*watch)
	w.timer = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, watchKey{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
	}
}

// Progress reports that the exchange of ctx has made progress. It extends ctx and the contexts from which it is
// derived, as far as they are from WithTimeout and have not ended.
func Progress(ctx context.Context) {
	w, _ := ctx.Value(watchKey{}).(*watch)
	for ; w != nil; w = w.outer {
		if w.timer.Stop() {
			w.timer.Reset(w.limit)
		}
	}
}

// reader reports progress with each read that returns data.
type reader struct {
	ctx context.Context
	r   io.Reader
}

// NewReader returns a reader of r that calls Progress with ctx for each read that returns data.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return reader{ctx, r} }

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Progress(r.ctx)
	}
	return n, err
}
