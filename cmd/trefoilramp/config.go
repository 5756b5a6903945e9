package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// configCommand checks, reads, compares and submits the configuration document:
//
//	trefoilramp config check FILE             validate a document, without an entry
//	trefoilramp config get [--version N]      print the accepted document; its version goes to standard error
//	trefoilramp config diff FILE              compare a document with the accepted one
//	trefoilramp config apply --base N FILE    submit a document that is based on version N
//	trefoilramp config history [--limit N]    list accepted versions, newest first
func configCommand() *cli.Command {
	return group("config", "check, read, compare and submit the configuration document",
		&cli.Command{
			Name: "check", Usage: "validate a document, without an entry", ArgsUsage: "FILE",
			Flags: []cli.Flag{jsonFlag()}, OnUsageError: usageError, Action: checkConfig,
		},
		apiCommand("get", "print the accepted document", "", []cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "print version `N` instead of the newest"},
		}, getConfig),
		apiCommand("diff", "compare a document with the accepted one", "FILE", nil, diffConfig),
		apiCommand("apply", "submit a document", "FILE", []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "version `N` that the document is based on; 0 if no version is accepted yet"},
		}, applyConfig),
		apiCommand("history", "list accepted versions, newest first", "", []cli.Flag{
			&cli.IntFlag{Name: "limit", Usage: "list at most `N` versions", Value: 20},
		}, listHistory),
	)
}

// readDocument reads and validates the document of the first argument. It prints every fault and returns an error with
// exit code 2 for an invalid document.
func readDocument(c *cli.Command) (model.Document, error) {
	path := c.Args().First()
	b, err := os.ReadFile(path)
	if err != nil {
		return model.Document{}, inputError("%v; name a readable file", err)
	}
	d, err := model.Parse(b)
	if err == nil {
		return d, nil
	}
	faults := strict.FaultsOf(err)
	if c.Bool("json") {
		err = printJSON(out(c), struct{ Faults []strict.Fault }{faults})
	} else {
		for _, f := range faults {
			fmt.Fprintln(out(c), f)
		}
		err = nil
	}
	if err != nil {
		return d, withExitCode(err)
	}
	if len(faults) == 1 {
		return d, inputError("%s has 1 fault; correct it and run trefoilramp config check %s", path, path)
	}
	return d, inputError("%s has %d faults; correct them and run trefoilramp config check %s", path, len(faults), path)
}

func checkConfig(_ context.Context, c *cli.Command) error {
	if err := checkArgs(c, "FILE"); err != nil {
		return err
	}
	d, err := readDocument(c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return withExitCode(printJSON(out(c), struct{ Faults []strict.Fault }{[]strict.Fault{}}))
	}
	fmt.Fprintf(out(c), "valid: %d services, %d job classes, %d teams, %d zones\n", len(d.Services), len(d.JobClasses),
		len(d.Teams), len(d.AvailabilityZones))
	return nil
}

// versioned is a document with its version, as config get --json prints it.
type versioned struct {
	Version  uint64
	Document model.Document
}

// readAccepted returns an accepted document and its version; version 0 stands for the newest.
func readAccepted(ctx context.Context, api *admin.Client, version uint64) (model.Document, uint64, error) {
	d, got, err := api.Config(ctx, version)
	if pe := (*admin.ProblemError)(nil); version == 0 && errors.As(err, &pe) && pe.Problem.Status == http.StatusNotFound {
		return d, 0, inputError("no configuration is accepted yet; submit the first with trefoilramp config apply --base 0 FILE")
	}
	return d, got, err
}

func getConfig(ctx context.Context, c *cli.Command, api *admin.Client) error {
	d, version, err := readAccepted(ctx, api, c.Uint64("version"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(out(c), versioned{version, d})
	}
	b, err := d.Encode()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().ErrWriter, "version %d; submit a changed copy with: trefoilramp config apply --base %d FILE\n",
		version, version)
	_, err = out(c).Write(b)
	return errors.Wrap(err, "write output")
}

func diffConfig(ctx context.Context, c *cli.Command, api *admin.Client) error {
	proposed, err := readDocument(c)
	if err != nil {
		return err
	}
	accepted, version, err := readAccepted(ctx, api, 0)
	if err != nil {
		return err
	}
	list, err := model.Diff(accepted, proposed)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(out(c), struct {
			Version     uint64
			Differences []model.Difference
		}{version, list})
	}
	for _, d := range list {
		fmt.Fprintln(out(c), d)
	}
	fmt.Fprintf(out(c), "%d differences from version %d\n", len(list), version)
	return nil
}

func applyConfig(ctx context.Context, c *cli.Command, api *admin.Client) error {
	if !c.IsSet("base") {
		return inputError("apply needs --base N, the version that the document is based on; config get prints it")
	}
	d, err := readDocument(c)
	if err != nil {
		return err
	}
	b, err := d.Encode()
	if err != nil {
		return err
	}
	a, err := api.Apply(ctx, c.Uint64("base"), b)
	if err != nil {
		return changeError(err, "repeat the command, which changes nothing if this change is accepted")
	}
	if c.Bool("json") {
		return printJSON(out(c), a)
	}
	fmt.Fprintf(out(c), "version %d is accepted\n", a.Version)
	return nil
}

func listHistory(ctx context.Context, c *cli.Command, api *admin.Client) error {
	list, err := api.History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(out(c), list)
	}
	rows := make([][]string, len(list))
	for i, r := range list {
		rows[i] = []string{strconv.FormatUint(r.Version, 10), r.Accepted.Format(time.RFC3339), r.Author, r.Hash[:12]}
	}
	return printTable(out(c), []string{"VERSION", "ACCEPTED", "AUTHOR", "SHA-256"}, rows)
}
