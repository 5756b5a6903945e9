package driver

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// sequenceRestart is how long announcements must go on with lower sequence numbers until the higher one counts as false.
const sequenceRestart = time.Second

// announcement is an announced state of the worker.
type announcement struct {
	state    wire.WorkerState
	sequence uint64
}

// sequence holds the sequence number of the last announcement of an incarnation. Late announcements have lower numbers; so
// have all announcements of the worker after one with a false number.
type sequence struct {
	last   uint64
	late   uint64    // lower number received since, which later ones must exceed
	lateAt time.Time // when late was received
}

// accepts records a number and reports whether its announcement is not late.
func (s *sequence) accepts(n uint64, now time.Time) bool {
	switch {
	case n > s.last:
		s.last = n
		return true
	case n == s.last:
		return false
	case s.lateAt.IsZero() || n <= s.late:
		s.late, s.lateAt = n, now
		return false
	case now.Sub(s.lateAt) < sequenceRestart:
		return false
	}
	*s = sequence{last: n}
	return true
}

// Announce records an announcement of the worker; sequence increases with each announcement of one incarnation. It reports
// whether the announcement is of the worker's current incarnation. Any process can send an announcement, and late ones arrive
// after the end of their incarnation, so that another incarnation replaces the current one only after calls to the worker
// have shown that the current one has ended.
func (a *Agent) Announce(s wire.WorkerState, sequence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.signal()
	if s.Incarnation == a.state.Incarnation {
		a.update(s, sequence)
		return true
	}
	isNew := a.announced == nil || a.announced.state.Incarnation != s.Incarnation
	a.announced = &announcement{s, sequence}
	if isNew && s.Incarnation.ID == a.state.Incarnation.ID {
		// Calls to the former incarnation may have reached this one. If the announcement is false, only a leader that loses the
		// worker is misled, into a longer wait.
		a.restartedAt = time.Now()
		a.sendState()
	}
	if a.confirmed && !a.gone {
		return false
	}
	a.useAnnounced()
	return true
}

// update records a new state of the current incarnation. One that counted as ended must respond to a call before it counts
// again.
func (a *Agent) update(s wire.WorkerState, sequence uint64) {
	if !a.sequence.accepts(sequence, time.Now()) {
		return
	}
	hasChanged := s.Phase != a.state.Phase || a.gone
	if a.gone {
		a.gone, a.confirmed = false, false
	}
	s.Healthy = a.state.Healthy
	a.state = s
	if hasChanged {
		a.logState()
		a.sendState()
	}
}

// useAnnounced makes the announced incarnation the current one, if there is one. The leader learns of it once it has
// responded.
func (a *Agent) useAnnounced() {
	n := a.announced
	if n == nil {
		return
	}
	if n.state.Incarnation.ID != a.state.Incarnation.ID {
		a.restartedAt = time.Time{} // a worker refuses calls to another ID
	}
	a.reset()
	a.state, a.sequence = n.state, sequence{last: n.sequence}
	a.state.Healthy = true
	a.logState()
}

// refuseAnnouncement logs that an announced incarnation is not that of the process which responds at the worker's address.
func (a *Agent) refuseAnnouncement(incarnation wire.WorkerIncarnation) {
	event.Log(a.cfg.Log, event.AnnouncementRefused, zap.String("Worker", incarnation.ID),
		zap.Int64("Born", incarnation.StartedAt))
}

func (a *Agent) logState() {
	event.Log(a.cfg.Log, event.WorkerAnnounced, zap.String("Worker", a.state.Incarnation.ID),
		zap.Int64("Born", a.state.Incarnation.StartedAt), zap.Stringer("Phase", a.state.Phase),
		zap.Int64("RemainingMilliseconds", a.state.Remaining))
}

// MarkDraining marks the worker as draining, so that it gets no new runs; it counts as ended once it refuses
// connections.
func (a *Agent) MarkDraining(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Incarnation.ID != id || a.state.Phase == wire.WorkerDraining {
		return
	}
	a.state.Phase = wire.WorkerDraining
	a.logState()
	a.sendState()
}

// reset clears the state of an earlier incarnation of the worker.
func (a *Agent) reset() {
	a.gone, a.confirmed, a.announced = false, false, nil
	a.clock, a.deadline, a.acked, a.reported = 0, 0, 0, 0
	a.longestEnds, a.moreEnds = 0, false
	a.synced, a.refused, a.mayBeOther, a.hasPollFailed = false, nil, false, false
	a.resetTimeouts()
	clear(a.pending)
	clear(a.stopping)
	clear(a.pacing)
	a.pacer = newPacer()
	if a.cancelPoll != nil {
		a.cancelPoll()
	}
}
