package owner

import (
	"sync"
	"time"
)

// session is a session with an agent and the state of its heartbeats.
type session struct {
	agent Agent
	info  AgentInfo

	mu           sync.Mutex
	heardAt      time.Time // when the last heartbeat arrived, or the session opened if there was none
	sentAt       int64     // when the last heartbeat was sent, on the agent's clock
	hasHeartbeat bool
}

func newSession(a Agent) *session { return &session{agent: a, info: a.Info(), heardAt: time.Now()} }

// recordHeartbeat records a heartbeat that the agent sent at sentAt on its own clock.
func (s *session) recordHeartbeat(sentAt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasHeartbeat || sentAt > s.sentAt { // the agent's clock may start at a negative value
		s.sentAt = sentAt
	}
	s.heardAt, s.hasHeartbeat = time.Now(), true
}

// isResponsive reports whether the last heartbeat, or the opening of the session if there was none, is at most d ago.
func (s *session) isResponsive(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardAt) <= d
}

// lastHeartbeat returns when the agent sent its last heartbeat, on its own clock, and false if it has sent none.
func (s *session) lastHeartbeat() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentAt, s.hasHeartbeat
}
