package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/demo/check"
	"trefoilramp.org/trefoilramp/internal/demo/inproc"
)

const demoUsage = `trefoilramp demo [--once] [--json] [--break NAME] [--log]

Runs the whole system in one process on loopback: a store, three availability zones, two entries, 11 workers with targets
and agents. Without flags it prints the addresses and a status line until it is interrupted. --once runs a fixed
scenario, prints which guarantees held, and exits with 1 if one did not. --break injects a fault that violates one.`

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the whole system on loopback",
		Description: demoUsage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "run the fixed scenario and exit"},
			&cli.BoolFlag{Name: "json", Usage: "print the summary of --once as one JSON document"},
			&cli.StringFlag{Name: "break", Usage: "inject the fault `NAME`: " + strings.Join(check.Breaks(), ", ")},
			&cli.BoolFlag{Name: "log", Usage: "write the log of all processes to standard error"},
		},
		OnUsageError: usageError,
		Action:       runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return inputError("demo accepts no argument, got %q; see %s --help", c.Args().First(), c.FullName())
	}
	o := inproc.Options{Log: zap.NewNop()}
	if err := check.Seed(&o, c.String("break")); err != nil {
		return inputError("%v", err)
	}
	if c.Bool("log") {
		log, err := processLog()
		if err != nil {
			return err
		}
		o.Log = log
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := inproc.Start(ctx, o)
	if err != nil {
		return err
	}
	defer s.Close()
	if c.Bool("once") {
		return demoOnce(ctx, c, s)
	}
	printAddresses(c.Root().Writer, s)
	return watchDemo(ctx, c.Root().Writer, s)
}

func demoOnce(ctx context.Context, c *cli.Command, s *inproc.System) error {
	report, err := check.Run(ctx, s)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		enc := json.NewEncoder(c.Root().Writer)
		enc.SetIndent("", "  ")
		if err := enc.Encode(report); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	} else {
		report.Print(c.Root().Writer)
	}
	if !report.Held {
		return cli.Exit("trefoilramp: a guarantee did not hold", exitFailure)
	}
	return nil
}

func printAddresses(w io.Writer, s *inproc.System) {
	for _, e := range s.Entries {
		fmt.Fprintf(w, "%s  callers         %s/services/%s/\n", e.Name, e.Callers(), inproc.ServiceName)
		fmt.Fprintf(w, "%s  administration  %s\n", e.Name, e.Administration())
		fmt.Fprintf(w, "%s  console         http://%s/\n", e.Name, e.Process.Console())
	}
	fmt.Fprintf(w, "token for reading %s, for changes %s\n", inproc.ReadToken, inproc.ChangeToken)
	fmt.Fprintf(w, "try: curl -i %s/services/%s/parts\n", s.Entries[0].Callers(), inproc.ServiceName)
}

// watchDemo submits a packing job and prints a status line every second until ctx ends.
func watchDemo(ctx context.Context, w io.Writer, s *inproc.System) error {
	job := []byte(`{"Job":"packing-plan","Team":"okulset","Class":"packing","Command":"run=20s","Tasks":1000}`)
	if _, err := s.API().Submit(ctx, job); err != nil {
		return fmt.Errorf("submit job: %w", err)
	}
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintln(w)
			return nil
		case <-time.After(time.Second):
		}
		fmt.Fprintf(w, "\r%s", statusLine(ctx, s))
	}
}

func statusLine(ctx context.Context, s *inproc.System) string {
	var queued, running, done uint32
	if jobs, err := s.API().Jobs(ctx); err == nil {
		for _, j := range jobs.Jobs {
			queued, running, done = queued+j.Queued, running+j.Running, done+j.Done
		}
	}
	st := s.Entries[0].Process.Status(ctx)
	return fmt.Sprintf("configuration %d, %d workers known to %s, tasks: %d queued, %d running, %d done      ", st.InForce,
		len(st.Workers), st.Entry, queued, running, done)
}
