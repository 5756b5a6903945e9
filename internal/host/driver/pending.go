package driver

import (
	"maps"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// pendingRun is a run that the worker may still start because of a command whose outcome is not known.
type pendingRun struct {
	token       uint64 // fencing token of the command
	isCancelled bool   // a stop of the run was sent, which the worker may execute late too
}

// pendingRuns returns a copy of the pending runs.
func (a *Agent) pendingRuns() map[wire.Run]pendingRun {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.pending)
}

// resolvePending removes the pending runs whose outcome follows from a poll with the given token: the worker lists a run
// that has started, never starts a run again that has ended, and refuses commands with a lower token. It removes them from
// before too, the runs that were pending before the poll.
func (a *Agent) resolvePending(token uint64, response PollResponse, before map[wire.Run]pendingRun) {
	for _, pending := range []map[wire.Run]pendingRun{a.pending, before} {
		for i := range response.Running {
			if r := response.Running[i].Run; !pending[r].isCancelled {
				delete(pending, r)
			}
		}
		for i := range response.Ended {
			delete(pending, response.Ended[i].Run)
		}
		maps.DeleteFunc(pending, func(_ wire.Run, p pendingRun) bool { return p.token < token })
	}
	for i := range response.Ended {
		delete(a.stopping, response.Ended[i].Run)
	}
}
