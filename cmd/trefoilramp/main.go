// Command trefoilramp schedules latency-critical and batch work that share instances.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	commands := append([]*cli.Command{
		entryCommand(), agentCommand(), standinCommand(), demoCommand(), loadCommand(), cellCommand(),
	}, operatorCommands()...)
	app := group("trefoilramp", "schedule latency-critical and batch work that share instances", commands...)
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trefoilramp: "+err.Error())
		os.Exit(exitFailure) // app.Run has already exited for errors with an exit code of their own
	}
}
