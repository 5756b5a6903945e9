package target

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/plat/notice"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
	"trefoilramp.org/trefoilramp/internal/stand/host"
)

// Announce announces the target at address to the agent until ctx ends, every notice.Period and at once after Leave.
func (t *Target) Announce(ctx context.Context, agent, address string) {
	c := remote.New(remote.Options{URL: agent, Name: t.o.Target, Timeout: notice.Period})
	defer c.Close()
	tick := time.NewTicker(notice.Period)
	defer tick.Stop()
	var last error
	for first := true; ; first = false {
		err := notice.Send(ctx, c, t.announcement(address))
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && (first || last == nil):
			event.Log(t.o.Log, event.AnnounceFailed, zap.String("Agent", agent), zap.NamedError("Error", err))
		case err == nil && (first || last != nil):
			event.Log(t.o.Log, event.AnnounceWorks, zap.String("Agent", agent))
		}
		last = err
		select {
		case <-tick.C:
		case <-t.wake:
		case <-ctx.Done():
			return
		}
	}
}

// Process describes the process of a target.
type Process struct {
	Agent string        // base URL of the agent's listener for announcements
	Leave time.Duration // for which Leaving is announced before the listener closes
	Drain time.Duration // for which requests in progress may go on after that
}

// Run serves on l and announces the target until ctx ends; then it announces Leaving, finishes its requests and
// returns.
func (t *Target) Run(ctx context.Context, l net.Listener, p Process) error {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serving, stopServing := context.WithCancel(live)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.Announce(live, p.Agent, l.Addr().String())
	}()
	left := make(chan struct{})
	go func() {
		defer close(left)
		defer stopServing()
		select {
		case <-ctx.Done():
		case <-live.Done():
			return
		}
		event.Log(t.o.Log, event.TargetLeaving, zap.String("Target", t.o.Target))
		t.Leave()
		pause(live, p.Leave)
	}()
	err := host.Serve(serving, l, t.Handler(), p.Drain, t.o.Log)
	stop()
	<-left
	<-announced
	return err
}
