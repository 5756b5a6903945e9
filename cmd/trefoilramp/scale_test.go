package main_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

const (
	scaleWarmUp  = 5 * time.Second
	scaleTime    = 15 * time.Second
	scaleTargets = 8 // per agent
	dialers      = 32
)

// idleAgents simulates agents without tasks and requests by in-process sessions with one entry.
type idleAgents struct {
	bytes    atomic.Int64
	mu       sync.Mutex
	applied  map[*sess.Session]uint64
	sessions []*sess.Session
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// HandleMessage implements sess.Handler.
func (a *idleAgents) HandleMessage(s *sess.Session, m wire.Message) {
	if c, ok := m.(*wire.AgentConfig); ok {
		a.mu.Lock()
		a.applied[s] = c.Version
		a.mu.Unlock()
		_ = s.Send(&wire.ConfigApplied{Version: c.Version})
	}
}

// HandleStream implements sess.Handler.
func (a *idleAgents) HandleStream(*sess.Session, *sess.Stream) {}

// HandleClosed implements sess.Handler.
func (a *idleAgents) HandleClosed(*sess.Session, error) {}

// dial starts the session of agent i and sends its targets.
func (a *idleAgents) dial(ctx context.Context, address string, i int) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s, err := sess.Connect(ctx, countingConn{conn, &a.bytes}, sess.Config{Key: []byte(processKey), Self: wire.Hello{
		Role: wire.RoleAgent, Name: fmt.Sprintf("w%d", i), Incarnation: ident.NewIncarnation(), Zone: processZone,
		Rack:     fmt.Sprintf("rack-%d", i/40),
		Capacity: sizes.Resources{Processors: 16000, Memory: 60e9, Slots: 8, Connections: 64},
	}}, a)
	if err != nil {
		return err
	}
	list := &wire.Targets{Version: 1}
	for t := range scaleTargets {
		list.Targets = append(list.Targets, wire.TargetInfo{
			Target: fmt.Sprintf("w%d-%d", i, t), Service: fmt.Sprintf("service-%d", t), State: wire.TargetReady, Slots: 8,
			Connections: 64,
		})
	}
	a.mu.Lock()
	a.sessions = append(a.sessions, s)
	a.mu.Unlock()
	return s.Send(list)
}

// sendHeartbeats sends a heartbeat per agent and second, spread evenly over the second.
func (a *idleAgents) sendHeartbeats(ctx context.Context) {
	start := time.Now()
	for seq := uint64(1); ; seq++ {
		for i, s := range a.sessions {
			at := start.Add(time.Duration(seq)*time.Second + time.Duration(i)*time.Second/time.Duration(len(a.sessions)))
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(at)):
			}
			h := &wire.Heartbeat{Seq: seq, SentAt: int64(time.Since(start)), ConfigVersion: 1, Free: s.Peer().Capacity}
			for t := range scaleTargets {
				h.Targets = append(h.Targets, wire.TargetHint{Target: fmt.Sprintf("w%d-%d", i, t), InFlight: 3})
			}
			_ = s.Send(h)
		}
	}
}

func (a *idleAgents) allApplied(version uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if a.applied[s] < version {
			return false
		}
	}
	return true
}

// BenchmarkEntryAgents measures processor time, memory and traffic of an entry for agents without requests and tasks,
// and the time until a configuration change is in force in all of them.
func BenchmarkEntryAgents(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { measureAgents(b, n) })
	}
}

func measureAgents(b *testing.B, n int) {
	p := &basicCluster{deployment: newDeployment(b)}
	_, l := p.start("store", event.StandInStarted, object{"Address": "127.0.0.1:0"}, "standin", "store")
	p.store = "http://" + l.Address
	p.addEntry("entry")
	d := model.Default()
	d.AvailabilityZones[0].Name = processZone
	d.Services = nil
	for i := range scaleTargets {
		d.Services = append(d.Services, model.DefaultService(fmt.Sprintf("service-%d", i)))
	}
	apply(b, p.api[0], 0, d)
	pid := p.entries[0].cmd.Process.Pid
	_, empty := usage(b, pid)
	a := dialAll(b, p.session, n)
	ctx, stop := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() { a.sendHeartbeats(ctx) })
	time.Sleep(scaleWarmUp)
	cpu0, _ := usage(b, pid)
	bytes0, start := a.bytes.Load(), time.Now()
	time.Sleep(scaleTime)
	took := time.Since(start)
	cpu, resident := usage(b, pid)
	sent := a.bytes.Load() - bytes0
	inForce := measureChange(b, p.api[0], d, a)
	stop()
	wg.Wait()
	for _, s := range a.sessions {
		s.Close(nil)
	}
	b.ReportMetric(100*(cpu-cpu0).Seconds()/took.Seconds(), "%core")
	b.ReportMetric(float64(resident)/1e6, "MB-resident")
	b.ReportMetric(float64(resident-empty)/float64(n)/1e3, "kB/agent")
	b.ReportMetric(float64(sent)/took.Seconds()/float64(n), "B/s/agent")
	b.ReportMetric(float64(inForce.Milliseconds()), "ms-in-force")
}

// dialAll starts the sessions of n agents.
func dialAll(b *testing.B, address string, n int) *idleAgents {
	a := &idleAgents{applied: make(map[*sess.Session]uint64)}
	var wg sync.WaitGroup
	for g := range dialers {
		wg.Go(func() {
			for i := g; i < n; i += dialers {
				if err := a.dial(b.Context(), address, i); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if b.Failed() {
		b.FailNow()
	}
	return a
}

// measureChange returns the time until a configuration change is in force in all agents.
func measureChange(b *testing.B, api *admin.Client, d model.Document, a *idleAgents) time.Duration {
	d.Services[0].DefaultDeadline = model.Duration(time.Second)
	start := time.Now()
	apply(b, api, 1, d)
	for !a.allApplied(2) {
		if time.Since(start) > startTimeout {
			b.Fatal("the configuration is not in force in all agents")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}
