package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// process is a role that runs until it is stopped.
type process interface {
	// Run runs the process until ctx ends; it then stops at once, without draining.
	Run(ctx context.Context) error
	// Drain refuses new work and finishes work in progress; it aborts what is left when ctx ends.
	Drain(ctx context.Context) error
}

// roleFlags returns the flags that every role accepts.
func roleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, required"},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		&cli.BoolFlag{Name: "json", Usage: "print the outcome of --check as JSON"},
	}
}

// roleCommand returns the command that loads the settings of a role, of type S, and runs it.
func roleCommand[S any](name, usage, description string, load func(string) (S, error),
	run func(context.Context, S, *zap.Logger) error,
) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		Description:  description,
		Flags:        roleFlags(),
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return inputError("%s accepts no argument, got %q; see %s --help", name, c.Args().First(), c.FullName())
			}
			if c.String("settings") == "" {
				return inputError("%s needs --settings FILE; see %s --help", name, c.FullName())
			}
			s, err := load(c.String("settings"))
			if c.Bool("check") {
				return reportCheck(c.Root().Writer, c.Bool("json"), err)
			}
			if err != nil {
				return settingsError(err)
			}
			log, err := processLog(zap.String("Role", name))
			if err != nil {
				return err
			}
			return run(ctx, s, log)
		},
	}
}

// limitHeap sets a soft limit for the Go runtime below the memory limit of the process, given in MiB; 0 sets none.
func limitHeap(mib int64) {
	if mib > 0 {
		limit := min(float64(mib)*memoryShare, float64(mib-outsideHeap))
		debug.SetMemoryLimit(int64(max(limit, float64(mib)*minMemoryShare) * (1 << 20)))
	}
}

// runProcess runs a role until it ends, drainRequested is closed, or SIGTERM or SIGINT arrives. The channel and the
// signals drain it for at most killDeadline; a further signal stops it at once.
func runProcess(ctx context.Context, p process, killDeadline time.Duration, drainRequested <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-signals:
	case <-drainRequested:
	}
	drainCtx, stop := context.WithDeadline(ctx, time.Now().Add(killDeadline))
	defer stop()
	go func() {
		select {
		case <-signals:
			stop()
		case <-drainCtx.Done():
		}
	}()
	drainErr := p.Drain(drainCtx)
	cancel()
	if err := <-ended; err != nil {
		return err
	}
	if drainErr != nil {
		return fmt.Errorf("drain: %w", drainErr)
	}
	return nil
}
