package sess

import (
	"context"
	"fmt"
	"time"
)

const flushPoll = 2 * time.Millisecond

// Flush waits until all queued frames, including the end frames of streams, are written to the connection. It returns
// ErrClosed when the session ends first, or the cause of ctx.
func (s *Session) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for !s.isFlushed() {
		select {
		case <-s.done:
			return ErrClosed
		case <-ctx.Done():
			return fmt.Errorf("flush session: %w", context.Cause(ctx))
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Session) isFlushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.writing && s.control.Len() == 0 && len(s.urgent) == 0 && len(s.ready) == 0
}
