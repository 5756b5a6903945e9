package runner

import (
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// RunningTask is a running attempt, as of the last poll of the worker.
type RunningTask struct {
	Class   string        // empty if unknown
	Unsaved time.Duration // run time since its last checkpoint
	Ending  bool          // true while it is being stopped or evicted
	Status  worker.Status
}

// label encodes the partition and the class of an attempt, separated by a space. The worker stores it with the attempt,
// so that a restarted agent can read both again.
func label(p ident.Partition, class string) string {
	return strings.TrimSpace(p.String() + " " + class)
}

func parseLabel(s string) (ident.Partition, string, error) {
	name, class, _ := strings.Cut(s, " ")
	p, err := ident.ParsePartition(name)
	return p, class, err
}

// Snapshot returns the attempts that are running, without paused ones.
func (r *Runner) Snapshot() []RunningTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []RunningTask
	for _, t := range r.tasks {
		if t.final != nil || t.status.State != worker.Running {
			continue
		}
		list = append(list, RunningTask{
			Class: t.class, Unsaved: t.status.RunTime - t.savedRunTime, Ending: t.stopping != 0, Status: t.status,
		})
	}
	return list
}

// Throttle limits the processors of an attempt, in thousandths; 0 removes the limit. It reports false when the runner
// does not have the attempt or the call queue is full; whether the worker applied the limit shows in a later Snapshot.
func (r *Runner) Throttle(ref worker.Ref, processors int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tasks[ref.Task]
	if !ok || t.ref != ref || t.final != nil {
		return false
	}
	return r.calls.TryPut(call{kind: callThrottle, ref: ref, processors: processors})
}

// Evict makes the worker checkpoint and stop an attempt, and reports whether the runner has the attempt.
func (r *Runner) Evict(ref worker.Ref) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tasks[ref.Task]
	if !ok || t.ref != ref || t.final != nil {
		return false
	}
	r.stop(t, wire.StopEvict)
	return true
}
