package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/host/noise"
)

// decideEvery is the interval at which interference is judged; measurements are older than that anyway.
const decideEvery = time.Second

// interference guards the controller, which is not safe for concurrent use.
type interference struct {
	mu         sync.Mutex
	controller *noise.Controller
}

// finished takes over the run time of a request.
func (i *interference) finished(service string, started, ended time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.controller.Observe(time.Now(), noise.Request{Service: service, Started: started, Ended: ended})
}

func (i *interference) decide(now time.Time, tasks []noise.Task) []noise.Action {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.controller.SetTasks(now, tasks)
	return i.controller.Decide(now)
}

// control throttles and evicts tasks that slow the services on this worker.
func (a *Agent) control(ctx context.Context) {
	ticker := time.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, act := range a.noise.decide(now, a.running()) {
				a.perform(act)
			}
		}
	}
}

// running describes the tasks of the worker to the controller.
func (a *Agent) running() []noise.Task {
	var list []noise.Task
	for _, r := range a.runner.Snapshot() {
		class := r.Class
		if class == "" {
			class = string(r.Status.Task.Job)
		}
		list = append(list, noise.Task{
			Ref: r.Status.Ref, Class: class, Need: max(r.Status.Size.Processors, r.Status.Peak.Processors),
			Limit: r.Status.Limit, Used: r.Status.Used.Processors, Measured: r.Status.Measured, Unsaved: r.Unsaved,
			Ending: r.Ending,
		})
	}
	return list
}

// actionEvents are the events by which actions are logged.
var actionEvents = map[noise.Kind]event.Number{
	noise.Throttle: event.TaskThrottled,
	noise.Restore:  event.TaskRestored,
	noise.Measure:  event.TaskHeldBack,
	noise.Evict:    event.TaskMadeWay,
}

func (a *Agent) perform(act noise.Action) {
	if act.Kind == noise.Evict {
		if !a.runner.Evict(act.Ref) {
			return // it has ended
		}
	} else if !a.runner.Throttle(act.Ref, act.Processors) {
		return // it has ended, or the controller repeats the action
	}
	event.Log(a.cfg.Log, actionEvents[act.Kind], zap.Stringer("Task", act.Ref.Task), zap.String("Class", act.Class),
		zap.String("Service", act.Service), zap.Int64("Processors", act.Processors), zap.Float64("Slowdown", act.Slowdown))
}
