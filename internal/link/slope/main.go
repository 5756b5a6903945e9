// Command slope measures the cost of sessions: processor time per message, memory per session and bytes per agent.
//
// It runs the entry side and starts itself a second time as the process that runs all agents, so that the cost of each
// side is measured separately.
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
	settleTime   = 3 * time.Second // until the first pings of a session, which come at shorter intervals, are over
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
			Usage:  "run the agents of one measurement",
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

// entry acknowledges heartbeats and counts them.
type entry struct {
	heartbeats atomic.Int64
}

func (e *entry) HandleMessage(s *sess.Session, m wire.Message) {
	if b, ok := m.(*wire.Heartbeat); ok {
		e.heartbeats.Add(1)
		_ = s.Send(&wire.HeartbeatAck{Seq: b.Seq, Until: b.SentAt + int64(20*time.Second), Granted: b.Renew})
	}
}

func (e *entry) HandleStream(*sess.Session, *sess.Stream) {}

func (e *entry) HandleClosed(*sess.Session, error) {}

// cost is the resource usage of one side in one measurement.
type cost struct {
	CPU      time.Duration // during the measurement
	Memory   int64         // heap and stacks in bytes, less those before the sessions opened
	Messages int64         // heartbeats and acknowledgements
	BytesOut int64         // sent by the agents, without TCP and IP headers
	BytesIn  int64         // received by the agents, likewise
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC() // the second one empties sync.Pool
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// measureAll measures idle sessions and sessions with heartbeats for each number of sessions.
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

// perMessage returns the processor time per message in µs, less that of idle sessions.
func perMessage(idle, busy cost) float64 {
	return float64((busy.CPU - idle.CPU).Nanoseconds()) / 1e3 / float64(max(busy.Messages, 1))
}

// measure runs n sessions, measures both sides for d and prints a line of the table.
func measure(
	ctx context.Context, n int, heartbeats bool, d time.Duration, out io.Writer,
) (entryCost, agentCost cost, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return entryCost, agentCost, fmt.Errorf("listen: %w", err)
	}
	e := &entry{}
	served := make(chan error, 1)
	before := memoryInUse()
	go func() { served <- sess.Serve(ctx, ln, config(wire.RoleEntry, "entry"), e) }()
	agentCost, err = runChild(ctx, ln.Addr().String(), n, heartbeats, d, func() {
		time.Sleep(settleTime)
		entryCost.Memory = memoryInUse() - before
		start, count := processorTime(), e.heartbeats.Load()
		time.Sleep(d)
		entryCost.CPU = processorTime() - start
		entryCost.Messages = 2 * (e.heartbeats.Load() - count)
	})
	cancel()
	if serr := <-served; err == nil {
		err = serr
	}
	if err != nil {
		return entryCost, agentCost, err
	}
	seconds := d.Seconds()
	perSession := func(v int64) float64 { return float64(v) / float64(n) }
	fmt.Fprintf(out, "%8d%14.0f%12.1f%13.1f%19.1f%19.1f%15.0f%14.0f\n", n, float64(entryCost.Messages)/2/seconds,
		float64(entryCost.CPU.Milliseconds())/seconds, float64(agentCost.CPU.Milliseconds())/seconds,
		perSession(entryCost.Memory)/1024, perSession(agentCost.Memory)/1024,
		perSession(agentCost.BytesOut)/seconds, perSession(agentCost.BytesIn)/seconds)
	return entryCost, agentCost, nil
}

// runChild starts the process of the agents, calls opened when their sessions are open and returns their cost.
func runChild(ctx context.Context, address string, n int, heartbeats bool, d time.Duration, opened func()) (cost, error) {
	self, err := os.Executable()
	if err != nil {
		return cost{}, fmt.Errorf("find own program: %w", err)
	}
	cmd := exec.CommandContext(ctx, self, agentCommand, "--address", address, "--count", fmt.Sprint(n),
		fmt.Sprintf("--beats=%v", heartbeats), "--time", d.String())
	cmd.Stderr = os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return cost{}, fmt.Errorf("open output of agents process: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return cost{}, fmt.Errorf("start agents process: %w", err)
	}
	r := bufio.NewReader(pipe)
	var report cost
	line, err := r.ReadString('\n')
	if err == nil && strings.TrimSpace(line) == readyLine {
		opened()
		err = json.NewDecoder(r).Decode(&report)
	}
	if werr := cmd.Wait(); werr != nil {
		return cost{}, fmt.Errorf("run agents process: %w", werr)
	}
	if err != nil {
		return cost{}, fmt.Errorf("read report of agents: %w", err)
	}
	return report, nil
}

func config(role wire.Role, name string) sess.Config {
	return sess.Config{Self: wire.Hello{Role: role, Name: name, Zone: "agadir", Incarnation: ident.NewIncarnation()}, Key: key}
}
