package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
)

const (
	watchWait  = time.Second            // of a request for changes
	watchLimit = 600 * time.Millisecond // beyond the wait, after which a request has no answer
	watchRetry = 120 * time.Millisecond // after a failure
	rereadEach = 5                      // requests for changes after which the row itself is read
)

// RowSource watches the row in which the operator keeps the configuration of queues; it implements Source.
type RowSource struct {
	Store  rows.Store
	Ref    rows.Ref
	Decode func([]byte) (queues.Document, error)
	Log    *zap.Logger
}

// Watch implements Source. It reads the row now and then, since changes may be withheld.
func (s *RowSource) Watch(ctx context.Context, apply func(queues.Document)) {
	var after uint64
	for n := 0; ctx.Err() == nil; n++ {
		var err error
		if after == 0 || n%rereadEach == 0 {
			after, err = s.read(ctx, apply)
		} else {
			after, err = s.changes(ctx, after, apply)
		}
		if err != nil {
			after = 0
			pause.For(ctx, watchRetry)
		}
	}
}

func (s *RowSource) read(ctx context.Context, apply func(queues.Document)) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	p, err := s.Store.Read(limited, s.Ref.One())
	if err != nil {
		return 0, err
	}
	s.take(p.Rows, apply)
	return p.Version, nil
}

func (s *RowSource) changes(ctx context.Context, after uint64, apply func(queues.Document)) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, watchWait+watchLimit)
	defer cancel()
	p, err := s.Store.Changes(limited, s.Ref.Table, after, watchWait)
	if errors.Is(err, rows.ErrHistory) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s.take(p.Rows, apply)
	return max(after, p.Version), nil
}

func (s *RowSource) take(list []rows.Row, apply func(queues.Document)) {
	for _, r := range list {
		if r.Ref != s.Ref || r.Removed {
			continue
		}
		d, err := s.Decode(r.Value)
		if err != nil {
			event.Log(s.Log, event.QueuesRefused, zap.Uint64("RowVersion", r.Version), zap.Error(err))
			continue
		}
		apply(d)
	}
}
