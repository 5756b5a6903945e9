package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	"trefoilramp.org/trefoilramp/internal/stand/target"
	"trefoilramp.org/trefoilramp/internal/stand/worker"
)

const standinUsage = `trefoilramp standin store|worker|target --settings FILE [--check] [--json]

Runs a stand-in for a service of the platform, for tests and demonstrations. The settings file is one JSON object in
Pascal case; --check reads it, reports every fault with its path, and exits. SIGTERM or SIGINT stops the stand-in; a
target announces Leaving first and finishes its requests. The log is written to standard error as JSON.`

// standinDrainTime limits how long a store or worker that stops waits for requests in progress.
const standinDrainTime = 5 * time.Second

func standinCommand() *cli.Command {
	c := group("standin", "run a stand-in for a service of the platform",
		standinKind("store", "the transactional table service and object store", &store.Settings{}, runStore),
		standinKind("worker", "a worker that runs simulated tasks", &worker.Settings{}, runWorker),
		standinKind("target", "a target of a service", &target.Settings{}, runTarget))
	c.Description = standinUsage
	return c
}

// standinKind returns the command that runs one kind of stand-in with settings of type S.
func standinKind[S host.Settings](name, usage string, s S, run func(context.Context, S, *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, required"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			jsonFlag(),
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkArgs(c, ""); err != nil {
				return err
			}
			if c.String("settings") == "" {
				return inputError("standin %s needs --settings FILE; see %s --help", name, c.FullName())
			}
			err := host.Load(c.String("settings"), s)
			if c.Bool("check") {
				return reportCheck(c.Root().Writer, c.Bool("json"), err)
			}
			if err != nil {
				return settingsError(err)
			}
			log, err := processLog(zap.String("StandIn", name))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, s, log)
		},
	}
}

// checkOutcome is the output of --check --json.
type checkOutcome struct {
	Valid  bool
	Faults strict.Faults
}

// reportCheck prints the outcome of --check and returns an error with exit code 2 if err is set.
func reportCheck(w io.Writer, asJSON bool, err error) error {
	if asJSON {
		if e := json.NewEncoder(w).Encode(checkOutcome{err == nil, strict.FaultsOf(err)}); e != nil {
			return fmt.Errorf("write outcome: %w", e)
		}
	} else if err == nil {
		fmt.Fprintln(w, "valid")
	}
	if err != nil {
		return settingsError(err)
	}
	return nil
}

// settingsError returns an error with exit code 2 for a file that is unreadable or invalid.
func settingsError(err error) error {
	if pe := (*fs.PathError)(nil); errors.As(err, &pe) {
		return inputError("%v; name a readable file", err)
	}
	return inputError("%v; correct it and check it again with --check", err)
}

func runStore(ctx context.Context, s *store.Settings, log *zap.Logger) error {
	st := store.New(store.Options{
		WritesPerSecond: s.WritesPerSecond, ReadsPerSecond: s.ReadsPerSecond, Latency: s.Latency.Std(),
	})
	if err := st.Faults().Set(s.Faults...); err != nil {
		return err
	}
	l, err := host.Listen(ctx, s.Address)
	if err != nil {
		return err
	}
	return host.Serve(ctx, l, st.Handler(), standinDrainTime, log)
}

func runWorker(ctx context.Context, s *worker.Settings, log *zap.Logger) error {
	objects := table.NewClient(table.Options{URL: s.Store, Name: s.Worker, Log: log})
	defer objects.Close()
	w := worker.New(worker.Options{
		Worker: ident.Worker(s.Worker), Zone: ident.AvailabilityZone(s.AvailabilityZone), Rack: s.Rack,
		Total: s.Total, Lag: s.Lag.Std(), Objects: objects,
	})
	defer w.Close()
	w.SetFailing(s.FailStarts)
	if err := w.Faults().Set(s.Faults...); err != nil {
		return err
	}
	l, err := host.Listen(ctx, s.Address)
	if err != nil {
		return err
	}
	return host.Serve(ctx, l, w.Handler(), standinDrainTime, log)
}

// logRun writes a run to standard error in one call. It bypasses the logger, whose sampling would drop runs.
func logRun(r target.Run) {
	b, err := json.Marshal(r)
	if err == nil {
		_, _ = os.Stderr.Write(append(b, '\n')) // a target that can't write its log continues to serve
	}
}

func runTarget(ctx context.Context, s *target.Settings, log *zap.Logger) error {
	var runs func(target.Run)
	if s.LogRuns {
		runs = logRun
	}
	t := target.New(target.Options{
		Target: s.Target, Service: s.Service, Slots: s.Slots, Connections: s.Connections,
		Times: s.Times.Times(), Seed: uint64(s.Seed), Log: log, Runs: runs,
	})
	if err := t.Faults().Set(s.Faults...); err != nil {
		return err
	}
	l, err := host.Listen(ctx, s.Address)
	if err != nil {
		return err
	}
	return t.Run(ctx, l, target.Process{Agent: s.Agent, Leave: s.Leave.Std(), Drain: s.Drain.Std()})
}
