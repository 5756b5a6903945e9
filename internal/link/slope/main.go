// Command slope measures what sessions cost: processor time per message, memory per session and bytes per agent.
//
// It is the entry side; it starts itself once more as the process that holds all agents, so that the costs of the two
// sides do not mix.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	settleTime   = 3 * time.Second // the first pings come at shorter intervals
	maxSessions  = 5000
	readyLine    = "ready"
	agentCommand = "agents"
)

var key = []byte("key of the measurement")

func main() {
	app := &cli.Command{
		Name:  "slope",
		Usage: "measure the cost of sessions between agents and one entry on loopback",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "time", Value: 15 * time.Second, Usage: "duration of each measurement"},
			&cli.IntSliceFlag{Name: "sessions", Value: []int{100, 400, 1600}, Usage: "numbers of sessions"},
		},
		Action: measureAll,
		Commands: []*cli.Command{{
			Name:   agentCommand,
			Hidden: true,
			Usage:  "hold the agents of one measurement",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "address", Required: true},
				&cli.IntFlag{Name: "count", Required: true},
				&cli.BoolFlag{Name: "beats"},
				&cli.DurationFlag{Name: "time", Required: true},
			},
			Action: runAgents,
		}},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "slope: "+err.Error())
		os.Exit(2)
	}
}

// entry answers heartbeats.
type entry struct {
	beats atomic.Int64
}

func (e *entry) HandleMessage(s *sess.Session, m wire.Message) {
	if b, ok := m.(*wire.Heartbeat); ok {
		e.beats.Add(1)
		_ = s.Send(&wire.HeartbeatAck{Seq: b.Seq, Until: b.SentAt + int64(20*time.Second), Granted: b.Renew})
	}
}

func (e *entry) HandleStream(*sess.Session, *sess.Stream) {}

func (e *entry) HandleClosed(*sess.Session, error) {}

// cost is what one side spent in one measurement.
type cost struct {
	CPU      time.Duration // in the measured time
	Memory   int64         // heap and stacks with all sessions, less those without, bytes
	Messages int64         // heartbeats and acknowledgements
	BytesOut int64         // of the agents, without the headers of TCP and IP
	BytesIn  int64
}

func memory() int64 {
	runtime.GC()
	runtime.GC() // the second empties the pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func measureAll(ctx context.Context, cmd *cli.Command) error {
	out := os.Stdout
	fmt.Fprintln(out, "Sessions  Heartbeats/s  Entry ms/s  Agents ms/s  Entry KiB/session  Agent KiB/session  Agent out B/s  Agent in B/s")
	for _, n := range cmd.IntSlice("sessions") {
		if n < 1 || n > maxSessions {
			return fmt.Errorf("sessions %d is not between 1 and %d", n, maxSessions)
		}
		var idle, busy, idleAgents, busyAgents cost
		var err error
		if idle, idleAgents, err = measure(ctx, n, false, cmd.Duration("time"), out); err != nil {
			return err
		}
		if busy, busyAgents, err = measure(ctx, n, true, cmd.Duration("time"), out); err != nil {
			return err
		}
		fmt.Fprintf(out, "%8d  per message, µs:%7.1f%13.1f\n", n, perMessage(idle, busy), perMessage(idleAgents, busyAgents))
	}
	return nil
}

// perMessage returns the microseconds that each message added to the cost of idle sessions.
func perMessage(idle, busy cost) float64 {
	return float64((busy.CPU - idle.CPU).Nanoseconds()) / 1e3 / float64(max(busy.Messages, 1))
}

func measure(ctx context.Context, n int, beats bool, d time.Duration, out io.Writer) (own, agents cost, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return own, agents, fmt.Errorf("listen: %w", err)
	}
	e := &entry{}
	served := make(chan error, 1)
	before := memory()
	go func() { served <- sess.Serve(ctx, ln, config(wire.RoleEntry, "entry"), e) }()
	agents, err = runChild(ctx, ln.Addr().String(), n, beats, d, func() {
		time.Sleep(settleTime)
		own.Memory = memory() - before
		start, count := cpu(), e.beats.Load()
		time.Sleep(d)
		own.CPU = cpu() - start
		own.Messages = 2 * (e.beats.Load() - count)
	})
	cancel()
	if serr := <-served; err == nil {
		err = serr
	}
	if err != nil {
		return own, agents, err
	}
	sec := d.Seconds()
	per := func(v int64) float64 { return float64(v) / float64(n) }
	fmt.Fprintf(out, "%8d%14.0f%12.1f%13.1f%19.1f%19.1f%15.0f%14.0f\n", n, float64(own.Messages)/2/sec,
		float64(own.CPU.Milliseconds())/sec, float64(agents.CPU.Milliseconds())/sec, per(own.Memory)/1024,
		per(agents.Memory)/1024, per(agents.BytesOut)/sec, per(agents.BytesIn)/sec)
	return own, agents, nil
}

// runChild starts the agents, calls opened when their sessions are open and returns what they report.
func runChild(ctx context.Context, address string, n int, beats bool, d time.Duration, opened func()) (cost, error) {
	self, err := os.Executable()
	if err != nil {
		return cost{}, fmt.Errorf("find own program: %w", err)
	}
	cmd := exec.CommandContext(ctx, self, agentCommand, "--address", address, "--count", fmt.Sprint(n),
		fmt.Sprintf("--beats=%v", beats), "--time", d.String())
	cmd.Stderr = os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return cost{}, fmt.Errorf("agents: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return cost{}, fmt.Errorf("agents: %w", err)
	}
	r := bufio.NewReader(pipe)
	var report cost
	line, err := r.ReadString('\n')
	if err == nil && strings.TrimSpace(line) == readyLine {
		opened()
		err = json.NewDecoder(r).Decode(&report)
	}
	if werr := cmd.Wait(); werr != nil {
		return cost{}, fmt.Errorf("agents: %w", werr)
	}
	if err != nil {
		return cost{}, fmt.Errorf("read report of agents: %w", err)
	}
	return report, nil
}

func config(role wire.Role, name string) sess.Config {
	return sess.Config{Self: wire.Hello{Role: role, Name: name, Zone: "agadir", Incarnation: ident.NewIncarnation()}, Key: key}
}
