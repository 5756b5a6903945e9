package runner

import (
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// Running is an attempt that runs, as of the last poll of the worker.
type Running struct {
	Class   string        // empty for an attempt whose class is not known
	Unsaved time.Duration // run time since its last checkpoint
	Ending  bool          // it is being stopped
	Status  worker.Status
}

// label is what the worker keeps for a restarted agent: the partition and, after a space, the class.
func label(p ident.Partition, class string) string {
	return strings.TrimSpace(p.String() + " " + class)
}

func parseLabel(s string) (ident.Partition, string, error) {
	name, class, _ := strings.Cut(s, " ")
	p, err := ident.ParsePartition(name)
	return p, class, err
}

// Snapshot returns the attempts that use processors.
func (r *Runner) Snapshot() []Running {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Running
	for _, t := range r.tasks {
		if t.final != nil || t.status.State != worker.Running {
			continue
		}
		list = append(list, Running{
			Class: t.class, Unsaved: t.status.RunTime - t.savedAt, Ending: t.stopping != 0, Status: t.status,
		})
	}
	return list
}

// Throttle limits the processors of an attempt, in thousandths; 0 removes the limit. It reports false when the runner
// does not hold the attempt or too many calls wait; the status in Snapshot tells later whether the worker took the limit.
func (r *Runner) Throttle(ref worker.Ref, processors int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tasks[ref.Task]
	if !ok || t.ref != ref || t.final != nil {
		return false
	}
	return r.calls.TryPut(call{kind: callThrottle, ref: ref, processors: processors})
}

// Evict asks the worker for a checkpoint of an attempt and then stops it, and reports whether the runner holds it.
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
