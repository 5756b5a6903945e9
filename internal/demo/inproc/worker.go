package inproc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/role/agent"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/target"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// ServiceName is the name of the service that all targets of the demonstration serve.
const ServiceName = "booking"

// Worker is a worker with its agent and its targets.
type Worker struct {
	Name    string
	Zone    string
	Rack    string
	StandIn *standworker.Worker
	Target  *target.Target // of the first service
	// Targets holds the base URL of the target of each service.
	Targets map[string]string

	system *System
	url    string // of the worker's interface

	mu             sync.Mutex
	agent          *agent.Agent
	cancel         context.CancelFunc // stops the agent at once
	cancelInstance context.CancelFunc // stops the targets and the interface of the worker
	done           chan struct{}      // closed when the agent has ended
}

func (w *Worker) start(ctx context.Context) error {
	ln, err := listen(ctx)
	if err != nil {
		return fmt.Errorf("start worker %s: %w", w.Name, err)
	}
	w.url = "http://" + ln.Addr().String()
	runCtx, cancelInstance := context.WithCancel(w.system.ctx)
	w.cancelInstance = cancelInstance
	w.system.running.Go(func() {
		if err := host.Serve(runCtx, ln, w.StandIn.Handler(), shutdownTimeout, w.system.options.Log); err != nil {
			w.system.options.Log.Error("worker failed", zap.Error(err))
		}
	})
	if err := w.StartAgent(ctx); err != nil {
		return err
	}
	w.Targets = make(map[string]string)
	for _, v := range w.system.topology.Services {
		if err := w.startTarget(ctx, runCtx, v); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts an agent on the worker; it may replace one that was stopped.
func (w *Worker) StartAgent(ctx context.Context) error {
	var platform worker.Platform = worker.NewClient(remote.Options{URL: w.url, Name: w.Name})
	if f := w.system.options.Worker; f != nil {
		platform = f(w.Name, platform)
	}
	announcements := loopback
	if w.agent != nil {
		announcements = w.agent.Announcements() // the targets continue to announce themselves there
	}
	balancer := w.system.Entries[len(w.Name)%len(w.system.Entries)].Process.Sessions()
	a, err := agent.New(ctx, agent.Config{
		Settings: setup.Agent{
			Name: w.Name, AvailabilityZone: w.Zone, Rack: w.Rack, Announcements: announcements, Balancer: balancer,
			Worker: w.url, Key: secret(sharedKey),
		},
		Worker: platform,
		Route:  w.system.links.routeFrom(w.Zone),
		Log:    w.system.options.Log.With(zap.String("Process", "agent "+w.Name)),
	})
	if err != nil {
		return fmt.Errorf("start agent %s: %w", w.Name, err)
	}
	runCtx, cancel := context.WithCancel(w.system.ctx)
	done := make(chan struct{})
	w.mu.Lock()
	w.agent, w.cancel, w.done = a, cancel, done
	w.mu.Unlock()
	w.system.running.Go(func() {
		defer close(done)
		if err := a.Run(runCtx); err != nil && runCtx.Err() == nil {
			w.system.options.Log.Error("agent failed", zap.Error(err))
		}
	})
	w.system.running.Go(func() {
		select {
		case <-runCtx.Done():
		case <-a.DrainRequested():
			w.drainOnRequest(runCtx)
		}
	})
	return nil
}

// drainOnRequest drains the worker at the request of an operator, as the agent process does.
func (w *Worker) drainOnRequest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := w.Drain(ctx); err != nil {
		w.system.options.Log.Warn("drain did not finish in time", zap.Error(err))
	}
}

func (w *Worker) startTarget(ctx, runCtx context.Context, v Service) error {
	ln, err := listen(ctx)
	if err != nil {
		return fmt.Errorf("start target of %s: %w", w.Name, err)
	}
	each := w.system.topology.Each
	t := target.New(target.Options{
		Target: v.Name + "-" + w.Name, Service: v.Name, Slots: each.Slots, Connections: each.Connections, Times: v.Times,
	})
	if w.Target == nil {
		w.Target = t
	}
	w.Targets[v.Name] = "http://" + ln.Addr().String()
	w.system.running.Go(func() {
		p := target.Process{Agent: "http://" + w.agent.Announcements(), Leave: 3 * time.Second, Drain: shutdownTimeout}
		if err := t.Run(runCtx, ln, p); err != nil && runCtx.Err() == nil {
			w.system.options.Log.Error("target failed", zap.Error(err))
		}
	})
	return nil
}

// StopAgent stops the agent at once, as a crash would, and waits until it has ended.
func (w *Worker) StopAgent() {
	w.mu.Lock()
	cancel, done := w.cancel, w.done
	w.mu.Unlock()
	cancel()
	<-done
}

// Kill stops the agent at once and shuts down the targets and the interface of the worker, to simulate the loss of the
// instance. Tasks in the stand-in continue under their leases, so that a check can detect whether they overlap with
// their successors.
func (w *Worker) Kill() {
	w.cancelInstance()
	w.StopAgent()
}

// Drain shuts the agent down gracefully.
func (w *Worker) Drain(ctx context.Context) error {
	w.mu.Lock()
	a := w.agent
	w.mu.Unlock()
	if err := a.Drain(ctx); err != nil {
		return fmt.Errorf("drain %s: %w", w.Name, err)
	}
	w.StopAgent()
	return nil
}
