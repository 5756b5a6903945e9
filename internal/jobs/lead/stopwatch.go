package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

// slowTurn is the time of a turn of the event loop from which it is logged; agents request leases every 450 ms.
const slowTurn = 200 * time.Millisecond

// stopwatch measures the parts of a turn of the event loop.
type stopwatch struct {
	began, last                             time.Time
	events, leases, starts, watch, commands time.Duration
}

func newStopwatch() *stopwatch {
	now := time.Now()
	return &stopwatch{began: now, last: now}
}

// lap records the time since the last lap as that of a part, and returns the current time.
func (s *stopwatch) lap(part *time.Duration) time.Time {
	now := time.Now()
	*part = now.Sub(s.last)
	s.last = now
	return now
}

// logSlow logs the turn if it took slowTurn or longer.
func (s *stopwatch) logSlow(log *zap.Logger) {
	if took := s.last.Sub(s.began); took >= slowTurn {
		event.Log(log, event.TurnSlow, zap.Duration("Took", took), zap.Duration("Events", s.events), zap.Duration("Leases", s.leases),
			zap.Duration("Starts", s.starts), zap.Duration("Watch", s.watch), zap.Duration("Commands", s.commands))
	}
}
