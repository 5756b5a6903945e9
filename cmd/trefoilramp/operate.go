package main

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// Exit codes.
const (
	exitFailure = 1
	exitInput   = 2 // invalid input
)

// operatorCommands returns the commands for operators, most of which call the administration API.
func operatorCommands() []*cli.Command {
	return []*cli.Command{configCommand(), jobCommand(), workerCommand(), statusCommand(), auditCommand(),
		versionCommand()}
}

// inputError returns an error with exit code 2. Its text says how to correct the input.
func inputError(format string, args ...any) error {
	return cli.Exit("trefoilramp: "+fmt.Sprintf(format, args...), exitInput)
}

// group returns a command that has subcommands and no action of its own.
func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		Commands:     commands,
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return inputError("unknown command %q of %s; use one of %s", c.Args().First(), name, commandNames(c))
			}
			return inputError("%s needs a command; use one of %s", name, commandNames(c))
		},
	}
}

func commandNames(c *cli.Command) string {
	var names []string
	for _, sub := range c.VisibleCommands() {
		names = append(names, sub.Name)
	}
	return strings.Join(names, ", ")
}

// Parts of the messages of cli that usageError rewrites: the strconv function that failed, and flags with one hyphen.
var (
	parserPrefix = regexp.MustCompile(`strconv\.\w+: parsing "[^"]*": `)
	shortFlag    = regexp.MustCompile(`([ :]) ?-(\w)`)
)

// usageError returns the error for arguments that cli failed to parse, with flags written as --name.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	text := shortFlag.ReplaceAllString(parserPrefix.ReplaceAllString(err.Error(), ""), "$1 --$2")
	return inputError("%s; see %s --help", strings.ReplaceAll(text, "  ", " "), c.FullName())
}

// apiCommand returns a command that calls the administration API; args names its arguments, separated by blanks.
func apiCommand(name, usage, args string, flags []cli.Flag, run func(ctx context.Context, c *cli.Command, api *admin.Client) error) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: args,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "administration `URL` of an entry", Sources: cli.EnvVars("TREFOILRAMP_ADDRESS")},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the token", Sources: cli.EnvVars("TREFOILRAMP_TOKEN_FILE")},
			&cli.StringFlag{Name: "authority", Usage: "`FILE` with CA certificates for the entry, in PEM format", Sources: cli.EnvVars("TREFOILRAMP_AUTHORITY")},
			&cli.StringFlag{Name: "operator", Usage: "your `NAME` for the audit log", Sources: cli.EnvVars("TREFOILRAMP_OPERATOR", "USER")},
			jsonFlag(),
		}, flags...),
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkArgs(c, args); err != nil {
				return err
			}
			api, err := newClient(c)
			if err != nil {
				return err
			}
			return withExitCode(run(ctx, c, api))
		},
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func checkArgs(c *cli.Command, args string) error {
	want := len(strings.Fields(args))
	if c.Args().Len() == want {
		return nil
	}
	if want == 0 {
		return inputError("%s accepts no arguments, got %q; remove them", c.FullName(), c.Args().Slice())
	}
	return inputError("%s needs %s; see %s --help", c.FullName(), args, c.FullName())
}

func newClient(c *cli.Command) (*admin.Client, error) {
	address := c.String("address")
	if address == "" {
		return nil, inputError("no address; use --address URL or set TREFOILRAMP_ADDRESS")
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if u, err := url.Parse(address); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, inputError("address %q is no URL; use one such as http://127.0.0.1:7003", c.String("address"))
	}
	file := c.String("token-file")
	if file == "" {
		return nil, inputError("no token; use --token-file FILE or set TREFOILRAMP_TOKEN_FILE")
	}
	token, err := os.ReadFile(file)
	if err != nil {
		return nil, inputError("token file: %v; name a readable file", err)
	}
	operator := c.String("operator")
	if operator != "" && !ident.IsName(operator) {
		return nil, inputError("operator %q is not a valid name; use letters, digits, dots, underscores and hyphens",
			operator)
	}
	authorities, err := readAuthorities(c.String("authority"))
	if err != nil {
		return nil, err
	}
	return admin.NewClient(address, strings.TrimSpace(string(token)), operator, authorities), nil
}

func readAuthorities(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, inputError("authority file: %v; name a readable file", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, inputError("authority file %s has no certificate; name a file in PEM format", file)
	}
	return pool, nil
}

// hints are the next steps for the user, by the HTTP status of a response to invalid input.
var hints = map[int]string{
	http.StatusUnauthorized:          "check the token file",
	http.StatusForbidden:             "use the token of the changing role",
	http.StatusNotFound:              "check the name or version",
	http.StatusBadRequest:            "correct it and try again",
	http.StatusRequestEntityTooLarge: "make it smaller",
	http.StatusUnprocessableEntity:   "correct it and try again",
}

// withExitCode turns an error into the line that is printed for the user, with an exit code.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	if ec := cli.ExitCoder(nil); errors.As(err, &ec) {
		return err
	}
	if ue := (*url.Error)(nil); errors.As(err, &ue) {
		return cli.Exit(fmt.Sprintf("trefoilramp: %v; check --address and whether the entry is running", err), exitFailure)
	}
	pe := (*admin.ProblemError)(nil)
	if !errors.As(err, &pe) {
		return cli.Exit("trefoilramp: "+err.Error(), exitFailure)
	}
	if hint, ok := hints[pe.Problem.Status]; ok {
		detail := pe.Error()
		if n := len(pe.Problem.Faults); n > 1 {
			detail = fmt.Sprintf("%d faults, the first is %v", n, pe.Problem.Faults[0])
		}
		return inputError("%s; %s", detail, hint)
	}
	return cli.Exit("trefoilramp: "+pe.Error(), exitFailure)
}

// changeError adds to the error of a change that may have taken effect what to do next.
func changeError(err error, next string) error {
	if !admin.IsUnknown(err) {
		return err
	}
	return cli.Exit(fmt.Sprintf("trefoilramp: %v; the change may have taken effect or may still do so; %s", err, next), exitFailure)
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// printTable writes rows in aligned columns below a heading.
func printTable(w io.Writer, heading []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

func out(c *cli.Command) io.Writer { return c.Root().Writer }
