package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	maxDials             = 32 // concurrent; below the limit of concurrent handshakes per listener
	heartbeatInterval    = time.Second
	hintsPerHeartbeat    = 8
	renewalsPerHeartbeat = 4
)

// processorTime returns the user and system time that this process has used, or 0 if it cannot be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// agents handles the sessions of all agents of a measurement and counts acknowledgements and bytes.
type agents struct {
	acks, out, in atomic.Int64
}

func (a *agents) HandleMessage(_ *sess.Session, m wire.Message) {
	if m.Kind() == wire.KindHeartbeatAck {
		a.acks.Add(1)
	}
}

func (a *agents) HandleStream(*sess.Session, *sess.Stream) {}

func (a *agents) HandleClosed(*sess.Session, error) {}

// countingConn adds the bytes read and written on a connection to the counters of agents.
type countingConn struct {
	net.Conn
	a *agents
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.a.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.a.out.Add(int64(n))
	return n, err
}

// runAgents opens the sessions, prints readyLine, measures their cost and prints it as JSON.
func runAgents(ctx context.Context, cmd *cli.Command) error {
	a := &agents{}
	before := memoryInUse()
	sessions, err := a.open(ctx, cmd.String("address"), cmd.Int("count"))
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, readyLine)
	var senders sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if cmd.Bool("beats") {
		for _, s := range sessions {
			senders.Go(func() { sendHeartbeats(ctx, s) })
		}
	}
	time.Sleep(settleTime)
	report := cost{Memory: memoryInUse() - before}
	start, acks, out, in := processorTime(), a.acks.Load(), a.out.Load(), a.in.Load()
	time.Sleep(cmd.Duration("time"))
	report.CPU = processorTime() - start
	report.Messages = 2 * (a.acks.Load() - acks)
	report.BytesOut, report.BytesIn = a.out.Load()-out, a.in.Load()-in
	cancel()
	senders.Wait()
	for _, s := range sessions {
		select {
		case <-s.Done():
			return fmt.Errorf("session with %s ended during the measurement", s.Peer().Name)
		default:
			s.Close(nil)
		}
	}
	for _, s := range sessions {
		s.Wait()
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// open dials n sessions, at most maxDials at a time, and returns the first error by session number.
func (a *agents) open(ctx context.Context, address string, n int) ([]*sess.Session, error) {
	sessions := make([]*sess.Session, n)
	errs := make([]error, n)
	var dialing sync.WaitGroup
	slots := make(chan struct{}, maxDials)
	for i := range sessions {
		slots <- struct{}{}
		dialing.Go(func() {
			defer func() { <-slots }()
			sessions[i], errs[i] = a.dial(ctx, address, fmt.Sprintf("worker-%05d", i))
		})
	}
	dialing.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return sessions, nil
}

func (a *agents) dial(ctx context.Context, address, name string) (*sess.Session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return sess.Connect(ctx, countingConn{conn, a}, config(wire.RoleAgent, name), a)
}

// sendHeartbeats sends a heartbeat per heartbeatInterval until ctx ends. It starts after a random delay, so that the
// agents do not send all at once.
func sendHeartbeats(ctx context.Context, s *sess.Session) {
	m := &wire.Heartbeat{ConfigVersion: 1234, Free: sizes.Resources{Processors: 12500, Memory: 48 << 30, Slots: 5, Connections: 40}}
	for i := range hintsPerHeartbeat {
		m.Targets = append(m.Targets, wire.TargetHint{Target: fmt.Sprintf("booking-%s-%d", s.Peer().Zone, i), InFlight: 3,
			Queued: 1, MeanRun: int64(37 * time.Millisecond)})
	}
	for i := range renewalsPerHeartbeat {
		m.Renew = append(m.Renew, wire.PartitionEpoch{Partition: ident.Partition{Zone: "agadir", Number: uint16(i)}, Epoch: 17})
	}
	select {
	case <-time.After(rand.N(heartbeatInterval)):
	case <-ctx.Done():
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	start := time.Now()
	for ctx.Err() == nil {
		m.Seq++
		m.SentAt = time.Since(start).Nanoseconds()
		if err := s.Send(m); err != nil {
			return // runAgents reports the end of the session
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}
