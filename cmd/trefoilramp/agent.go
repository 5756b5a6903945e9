package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/role/agent"
)

const agentUsage = `trefoilramp agent --settings FILE [--check] [--json]

Runs beside the targets and tasks of one worker. SIGTERM or SIGINT drains the agent: it refuses new work, finishes the
requests in progress and checkpoints tasks so that they continue on other workers. Work that is left at KillDeadline of
the settings, or at a second signal, is aborted. The log is written to standard error as JSON.`

func agentCommand() *cli.Command {
	return roleCommand("agent", "run the agent beside a worker", agentUsage, setup.LoadAgent, runAgent)
}

func runAgent(ctx context.Context, s setup.Agent, log *zap.Logger) error {
	limitHeap(s.MemoryMiB)
	a, err := agent.New(ctx, agent.Config{
		Settings: s,
		Worker:   worker.NewClient(remote.Options{URL: s.Worker, Name: s.Name}),
		Log:      log,
	})
	if err != nil {
		return err
	}
	return runProcess(ctx, a, time.Duration(s.KillDeadline), a.DrainRequested())
}
