package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/role/entry"
)

const entryUsage = `trefoilramp entry --settings FILE [--check] [--json]

Serves callers, owns partitions of batch work, distributes the configuration and offers the administration API. SIGTERM
or SIGINT drains the entry: readiness fails, requests in progress finish, partitions are handed over. Work that is left
at KillDeadline of the settings, or at a second signal, is aborted. The log is written to standard error as JSON.`

func entryCommand() *cli.Command {
	return roleCommand("entry", "run an entry behind a load balancer", entryUsage, setup.LoadEntry, runEntry)
}

func runEntry(ctx context.Context, s setup.Entry, log *zap.Logger) error {
	limitHeap(s.MemoryMiB)
	e, err := entry.New(ctx, entry.Config{
		Settings: s,
		Store:    table.NewClient(table.Options{URL: s.Store, Name: s.Name, Log: log}),
		Log:      log,
		Seed:     uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	return runProcess(ctx, e, time.Duration(s.KillDeadline), nil)
}
