package agent_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/role/agent"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	"trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	key         = "agent-test-shared-key"
	waitTimeout = 10 * time.Second
)

// fakeEntry accepts the session of an agent and forwards the configuration versions that the agent reports.
type fakeEntry struct {
	sessions chan *sess.Session
	versions chan uint64 // from ConfigApplied messages and heartbeats
	address  string
	route    func(address string) string // of the agent; nil for none
}

// HandleMessage implements sess.Handler.
func (e *fakeEntry) HandleMessage(s *sess.Session, m wire.Message) {
	select {
	case e.sessions <- s:
	default:
	}
	switch m := m.(type) {
	case *wire.ConfigApplied:
		e.versions <- m.Version
	case *wire.Heartbeat:
		e.versions <- m.ConfigVersion
	}
}

// HandleStream implements sess.Handler.
func (e *fakeEntry) HandleStream(*sess.Session, *sess.Stream) {}

// HandleClosed implements sess.Handler.
func (e *fakeEntry) HandleClosed(*sess.Session, error) {}

// startAgent starts an agent whose balancer address is that of the entry, and returns its session.
func startAgent(t *testing.T, e *fakeEntry) *sess.Session {
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.address = ln.Addr().String()
	w := worker.New(worker.Options{
		Worker: "w1", Total: sizes.Resources{Processors: 1000, Memory: 1000, Slots: 8, Connections: 64},
		Objects: store.New(store.Options{}),
	})
	a, err := agent.New(ctx, agent.Config{
		Settings: setup.Agent{
			Name: "w1", AvailabilityZone: "agadir", Rack: "r1", Announcements: "127.0.0.1:0", Balancer: ln.Addr().String(),
			Key: setup.Secret{Value: key},
		},
		Worker: w, Log: zap.NewNop(), Route: e.route,
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{}, 2)
	go func() {
		_ = a.Run(ctx) // ends with ctx
		ended <- struct{}{}
	}()
	go func() {
		cfg := sess.Config{Key: []byte(key), Self: wire.Hello{Role: wire.RoleEntry, Name: "e1", Zone: "agadir"}}
		_ = sess.Serve(ctx, ln, cfg, e) // ends with ctx
		ended <- struct{}{}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
		w.Close()
	})
	select {
	case s := <-e.sessions:
		return s
	case <-time.After(waitTimeout):
		t.Fatal("the agent opened no session")
		return nil
	}
}

// Guards against an agent that reverts to an older configuration, for example when a restarted entry sends one.
func TestAgentNeverAppliesOlderVersion(t *testing.T) {
	e := &fakeEntry{sessions: make(chan *sess.Session, 1), versions: make(chan uint64, 1024)}
	s := startAgent(t, e)
	for _, version := range []uint64{5, 4, 6, 1} {
		if err := s.Send(&wire.AgentConfig{Version: version}); err != nil {
			t.Fatal(err)
		}
	}
	var highest uint64
	for confirmed := 0; confirmed < 5; {
		select {
		case v := <-e.versions:
			if v < highest {
				t.Fatalf("the agent applies version %d after %d", v, highest)
			}
			highest = v
			if v == 6 {
				confirmed++
			}
		case <-time.After(waitTimeout):
			t.Fatalf("timed out at version %d before 5 reports of version 6", highest)
		}
	}
}

// Guards against two sessions of an agent that an entry uses at once, one of which the agent then closes, when the agent
// reconnects through the balancer and directly at the same time: the entry would consider the agent lost.
func TestReconnectsWithOneSession(t *testing.T) {
	var reconnecting atomic.Bool
	dialing, both := make(chan struct{}, 2), make(chan struct{})
	e := &fakeEntry{sessions: make(chan *sess.Session, 1024), versions: make(chan uint64, 1024), route: func(address string) string {
		if reconnecting.Load() {
			dialing <- struct{}{}
			<-both
		}
		return address
	}}
	first := startAgent(t, e)
	err := first.Send(&wire.Roster{Version: 1, Entries: []wire.EntryInfo{{Name: "e1", Zone: "agadir", Address: e.address}}})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the roster has arrived before the second heartbeat
		<-e.versions
	}
	reconnecting.Store(true)
	first.Close(nil)
	<-dialing
	<-dialing
	reconnecting.Store(false)
	close(both)
	used := make(map[*sess.Session]bool)
	for timeout := time.After(2 * time.Second); ; {
		select {
		case s := <-e.sessions:
			used[s] = true
			continue
		case <-timeout:
		}
		break
	}
	delete(used, first)
	if len(used) != 1 {
		t.Errorf("the agent used %d sessions with the entry, want 1", len(used))
	}
}
