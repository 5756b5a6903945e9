package owner

import (
	"sync"
	"time"
)

// session is an agent's session with what its heartbeats told.
type session struct {
	agent Agent
	info  AgentInfo

	mu     sync.Mutex
	heard  time.Time // arrival of the last heartbeat; of the session itself before the first
	sentAt int64     // of the last heartbeat, on the agent's clock
	beat   bool
}

func newSession(a Agent) *session { return &session{agent: a, info: a.Info(), heard: time.Now()} }

func (s *session) hear(sentAt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beat || sentAt > s.sentAt { // the agent's clock may start below zero
		s.sentAt = sentAt
	}
	s.heard, s.beat = time.Now(), true
}

// isHeard reports whether the agent was heard within d.
func (s *session) isHeard(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heard) <= d
}

// lastBeat returns when the agent sent its last heartbeat, on its own clock.
func (s *session) lastBeat() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentAt, s.beat
}
