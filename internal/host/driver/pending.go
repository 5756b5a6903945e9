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

// keepPending records the runs that are pending before a poll. The response need not list one that starts meanwhile.
func (a *Agent) keepPending() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingBefore = maps.Clone(a.pending)
}

// resolvePending removes the pending runs whose outcome follows from a poll with the given token: the worker lists a run
// that has started, never starts a run again that has ended, and refuses commands with a lower token.
func (a *Agent) resolvePending(token uint64, response PollResponse) {
	for _, pending := range []map[wire.Run]pendingRun{a.pending, a.pendingBefore} {
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
