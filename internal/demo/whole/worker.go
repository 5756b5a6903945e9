package whole

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

// ServiceName is the service that all targets of the demonstration belong to.
const ServiceName = "booking"

// Worker is a worker with the agent and the target beside it.
type Worker struct {
	Name   string
	Zone   string
	Rack   string
	Stand  *standworker.Worker
	Target *target.Target // of the first service
	// Targets holds the base URL of the target of each service.
	Targets map[string]string

	system *System
	url    string // of the worker's interface

	mu     sync.Mutex
	agent  *agent.Agent
	cancel context.CancelFunc // ends the agent at once
	lost   context.CancelFunc // ends target and worker interface
	done   chan struct{}      // closed when the agent has ended
}

func (w *Worker) start(ctx context.Context) error {
	ln, err := listen(ctx)
	if err != nil {
		return fmt.Errorf("start worker %s: %w", w.Name, err)
	}
	w.url = "http://" + ln.Addr().String()
	life, lost := context.WithCancel(w.system.ctx)
	w.lost = lost
	w.system.running.Go(func() {
		if err := host.Serve(life, ln, w.Stand.Handler(), standDrain, w.system.options.Log); err != nil {
			w.system.options.Log.Error("worker failed", zap.Error(err))
		}
	})
	if err := w.StartAgent(ctx); err != nil {
		return err
	}
	w.Targets = make(map[string]string)
	for _, v := range w.system.topology.Services {
		if err := w.startTarget(ctx, life, v); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts an agent beside the worker, also in place of one that was stopped.
func (w *Worker) StartAgent(ctx context.Context) error {
	var platform worker.Platform = worker.NewClient(remote.Options{URL: w.url, Name: w.Name})
	if f := w.system.options.Worker; f != nil {
		platform = f(w.Name, platform)
	}
	announcements := loopback
	if w.agent != nil {
		announcements = w.agent.Announcements() // targets keep the address
	}
	balancer := w.system.Entries[len(w.Name)%len(w.system.Entries)].Role.Sessions()
	a, err := agent.New(ctx, agent.Config{
		Settings: setup.Agent{
			Name: w.Name, AvailabilityZone: w.Zone, Rack: w.Rack, Announcements: announcements, Balancer: balancer,
			Worker: w.url, Key: secret(sharedKey),
		},
		Worker: platform,
		Route:  w.system.links.from(w.Zone),
		Log:    w.system.options.Log.With(zap.String("Process", "agent "+w.Name)),
	})
	if err != nil {
		return fmt.Errorf("start agent %s: %w", w.Name, err)
	}
	life, cancel := context.WithCancel(w.system.ctx)
	done := make(chan struct{})
	w.mu.Lock()
	w.agent, w.cancel, w.done = a, cancel, done
	w.mu.Unlock()
	w.system.running.Go(func() {
		defer close(done)
		if err := a.Run(life); err != nil && life.Err() == nil {
			w.system.options.Log.Error("agent failed", zap.Error(err))
		}
	})
	w.system.running.Go(func() {
		select {
		case <-life.Done():
		case <-a.DrainAsked():
			w.drainAsked(life)
		}
	})
	return nil
}

// drainAsked drains the worker at the request of an operator, as the process of an agent does.
func (w *Worker) drainAsked(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	if err := w.Drain(ctx); err != nil {
		w.system.options.Log.Warn("drain was cut off", zap.Error(err))
	}
}

func (w *Worker) startTarget(ctx, life context.Context, v Service) error {
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
		p := target.Process{Agent: "http://" + w.agent.Announcements(), Leave: 3 * time.Second, Drain: standDrain}
		if err := t.Run(life, ln, p); err != nil && life.Err() == nil {
			w.system.options.Log.Error("target failed", zap.Error(err))
		}
	})
	return nil
}

// StopAgent ends the agent at once, as a crash does, and waits for its end.
func (w *Worker) StopAgent() {
	w.mu.Lock()
	cancel, done := w.cancel, w.done
	w.mu.Unlock()
	cancel()
	<-done
}

// Lose ends the agent, the target and the interface of the worker at once, as the loss of the instance does. Tasks in the
// stand-in go on under their leases, so that a check can see whether they overlap with their successors.
func (w *Worker) Lose() {
	w.lost()
	w.StopAgent()
}

// Drain ends the agent gracefully.
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
