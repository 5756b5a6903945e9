package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// auditCommand lists the records of the audit log, newest first:
//
//	trefoilramp audit [--limit N] [--before TIME]
func auditCommand() *cli.Command {
	return apiCommand("audit", "list changes with their authors, newest first", "", []cli.Flag{
		&cli.IntFlag{Name: "limit", Usage: "list at most `N` records", Value: 50},
		&cli.StringFlag{Name: "before", Usage: "list only records older than `TIME`, in RFC 3339 format"},
	}, listAudit)
}

func listAudit(ctx context.Context, c *cli.Command, api *admin.Client) error {
	var before time.Time
	if s := c.String("before"); s != "" {
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return inputError("--before %q is no time; use RFC 3339, such as 2027-01-31T18:00:00Z", s)
		}
		before = t
	}
	list, err := api.Audit(ctx, before, c.Int("limit"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(out(c), list)
	}
	rows := make([][]string, len(list.Records))
	for i, r := range list.Records {
		from, to := r.Brief()
		rows[i] = []string{r.Time.Format(time.RFC3339Nano), r.Author, r.Action.String(), r.Object, from, to}
	}
	return printTable(out(c), []string{"TIME", "AUTHOR", "ACTION", "OBJECT", "BEFORE", "AFTER"}, rows)
}
