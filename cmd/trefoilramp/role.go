package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// process is a role that runs until it is stopped.
type process interface {
	// Run works until ctx ends, which stops the process at once.
	Run(ctx context.Context) error
	// Drain finishes what is in progress; what has not ended with ctx is cut off.
	Drain(ctx context.Context) error
}

// roleFlags are the flags of every role.
func roleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, required"},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		&cli.BoolFlag{Name: "json", Usage: "write the outcome of --check as JSON"},
	}
}

// roleCommand returns the command of a role with settings of type S.
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
				return inputError("%s takes no argument, got %q; see %s --help", name, c.Args().First(), c.FullName())
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

// runProcess runs a role until a signal: the first SIGTERM or SIGINT drains it until the kill deadline, a second one
// stops it at once.
func runProcess(ctx context.Context, p process, killAfter time.Duration, asked <-chan struct{}) error {
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
	case <-asked:
	}
	drain, stop := context.WithDeadline(ctx, time.Now().Add(killAfter))
	defer stop()
	go func() {
		select {
		case <-signals:
			stop()
		case <-drain.Done():
		}
	}()
	drained := p.Drain(drain)
	cancel()
	if err := <-ended; err != nil {
		return err
	}
	if drained != nil {
		return fmt.Errorf("drain: %w", drained)
	}
	return nil
}
