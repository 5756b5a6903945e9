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

// Announce announces the target at address to the agent until ctx is done: every notice.Period, and immediately after
// Leave. It logs changes between success and failure only.
func (t *Target) Announce(ctx context.Context, agent, address string) {
	c := remote.New(remote.Options{URL: agent, Name: t.o.Target, Timeout: notice.Period})
	defer c.Close()
	tick := time.NewTicker(notice.Period)
	defer tick.Stop()
	var lastErr error
	for first := true; ; first = false {
		err := notice.Send(ctx, c, t.announcement(address))
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && (first || lastErr == nil):
			event.Log(t.o.Log, event.AnnounceFailed, zap.String("Agent", agent), zap.NamedError("Error", err))
		case err == nil && (first || lastErr != nil):
			event.Log(t.o.Log, event.AnnounceAccepted, zap.String("Agent", agent))
		}
		lastErr = err
		select {
		case <-tick.C:
		case <-t.stateChanged:
		case <-ctx.Done():
			return
		}
	}
}

// Process configures the process of a target.
type Process struct {
	Agent string        // base URL of the agent's listener for announcements
	Leave time.Duration // how long Leaving is announced before the listener closes
	Drain time.Duration // how long requests in progress may continue after that
}

// Run serves on l and announces the target until ctx is done. It then announces Leaving, waits for the requests in
// progress and returns; the error is that of serving.
func (t *Target) Run(ctx context.Context, l net.Listener, p Process) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveCtx, stopServing := context.WithCancel(runCtx)
	announceDone := make(chan struct{})
	go func() {
		defer close(announceDone)
		t.Announce(runCtx, p.Agent, l.Addr().String())
	}()
	leaveDone := make(chan struct{})
	go func() {
		defer close(leaveDone)
		defer stopServing()
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return
		}
		event.Log(t.o.Log, event.TargetLeaving, zap.String("Target", t.o.Target))
		t.Leave()
		sleep(runCtx, p.Leave)
	}()
	err := host.Serve(serveCtx, l, t.Handler(), p.Drain, t.o.Log)
	stop()
	<-leaveDone
	<-announceDone
	return err
}
