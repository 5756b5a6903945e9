package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// workerCommand drains workers:
//
//	trefoilramp worker drain NAME    let a worker refuse new work, finish requests and checkpoint tasks
func workerCommand() *cli.Command {
	return group("worker", "drain workers",
		apiCommand("drain", "let a worker refuse new work, finish requests and checkpoint tasks", "NAME", nil,
			func(ctx context.Context, c *cli.Command, api *admin.Client) error {
				d, err := api.Drain(ctx, c.Args().First())
				if err != nil {
					return changeError(err, "repeat the command")
				}
				if c.Bool("json") {
					return printJSON(out(c), d)
				}
				fmt.Fprintf(out(c), "worker %s was told to take no new work; trefoilramp status shows its state\n", d.Worker)
				return nil
			}))
}
