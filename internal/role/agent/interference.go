package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/host/interf"
)

// decideInterval is the interval at which interference is evaluated; a shorter one would gain nothing, since the
// measurements are older than that.
const decideInterval = time.Second

// lockedController guards the interference controller, which is not safe for concurrent use, with a mutex.
type lockedController struct {
	mu         sync.Mutex
	controller *interf.Controller
}

// observeRequest records the run time of a finished request.
func (c *lockedController) observeRequest(service string, started, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.Observe(time.Now(), interf.Request{Service: service, Started: started, Ended: ended})
}

func (c *lockedController) decide(now time.Time, tasks []interf.Task) []interf.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.SetTasks(now, tasks)
	return c.controller.Decide(now)
}

// limitInterference throttles and evicts tasks that slow down the services on this worker, until ctx ends.
func (a *Agent) limitInterference(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, act := range a.interference.decide(now, a.runningTasks()) {
				a.perform(act)
			}
		}
	}
}

// runningTasks returns the tasks of the worker in the form that the controller needs. A task without a job class is
// classed by its job.
func (a *Agent) runningTasks() []interf.Task {
	var list []interf.Task
	for _, r := range a.runner.Snapshot() {
		class := r.Class
		if class == "" {
			class = string(r.Status.Task.Job)
		}
		list = append(list, interf.Task{
			Ref: r.Status.Ref, Class: class, Need: max(r.Status.Size.Processors, r.Status.Peak.Processors),
			Limit: r.Status.Limit, Used: r.Status.Used.Processors, Measured: r.Status.Measured, Unsaved: r.Unsaved,
			Ending: r.Ending,
		})
	}
	return list
}

// actionEvents maps each kind of action to the event that is logged for it.
var actionEvents = map[interf.Kind]event.Number{
	interf.Throttle: event.TaskThrottled,
	interf.Restore:  event.TaskRestored,
	interf.Measure:  event.TaskThrottledForBaseline,
	interf.Evict:    event.TaskEvictedForService,
}

func (a *Agent) perform(act interf.Action) {
	if act.Kind == interf.Evict {
		if !a.runner.Evict(act.Ref) {
			return // the task has ended
		}
	} else if !a.runner.Throttle(act.Ref, act.Processors) {
		return // the task has ended, or the call was not queued; the controller then repeats the action
	}
	event.Log(a.cfg.Log, actionEvents[act.Kind], zap.Stringer("Task", act.Ref.Task), zap.String("Class", act.Class),
		zap.String("Service", act.Service), zap.Int64("Processors", act.Processors), zap.Float64("Slowdown", act.Slowdown))
}
