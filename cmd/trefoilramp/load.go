package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/load/drive"
	"trefoilramp.org/trefoilramp/internal/load/report"
)

const loadUsage = `trefoilramp load --experiment FILE [--entry ADDRESS]... [--out PREFIX] [--check] [--json]
trefoilramp load --demo FILE [--out PREFIX] [--log] [--profile FILE] [--json]
trefoilramp load --compare A.json B.json [--json]

Sends the requests of an experiment at times that its seed determines in advance, and writes PREFIX.json and
PREFIX.html. Latency is measured from the scheduled arrival. Only loopback addresses are accepted. --entry,
--administration, --token-file and --target replace the values in the experiment file. SIGTERM or SIGINT stops the run;
the report then covers the part before the signal.

--demo starts the system that the experiment describes in this process and runs the experiment against it.`

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "run a load experiment or compare two reports",
		Description: loadUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "experiment", Usage: "experiment `FILE`"},
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry for callers, may be repeated"},
			&cli.StringFlag{Name: "administration", Usage: "base `URL` of the administration API, for jobs"},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the token of the administration API"},
			&cli.StringSliceFlag{Name: "target", Usage: "base `URL` of a target stand-in for Noise, may be repeated"},
			&cli.StringFlag{Name: "out", Usage: "`PREFIX` of the report files; by default the name of the experiment"},
			&cli.StringFlag{Name: "demo", Usage: "experiment `FILE` whose system is started in this process"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile to `FILE`"},
			&cli.BoolFlag{Name: "log", Usage: "write the log of all processes of --demo to standard error"},
			&cli.BoolFlag{Name: "check", Usage: "check the experiment and exit"},
			&cli.BoolFlag{Name: "compare", Usage: "compare two reports"},
			jsonFlag(),
		},
		OnUsageError: usageError,
		Action:       runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	if c.Bool("compare") {
		if c.Args().Len() != 2 {
			return inputError("load --compare needs two reports, got %d; see %s --help", c.Args().Len(), c.FullName())
		}
		return compareReports(out, c.Args().Get(0), c.Args().Get(1), c.Bool("json"))
	}
	if c.Args().Present() || (c.String("experiment") == "") == (c.String("demo") == "") {
		return inputError("load needs either --experiment FILE or --demo FILE and no argument; see %s --help", c.FullName())
	}
	e, err := loadExperiment(c)
	if c.Bool("check") {
		return reportCheck(out, c.Bool("json"), err)
	}
	if err != nil {
		return settingsError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	run, err := runExperiment(ctx, c, &e)
	if err != nil {
		return fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	r, err := report.Build(e, run)
	if err != nil {
		return err
	}
	prefix := c.String("out")
	if prefix == "" {
		prefix = e.Name
	}
	if err := writeFile(prefix+".json", r.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(prefix+".html", r.WriteHTML); err != nil {
		return err
	}
	if c.Bool("json") {
		return r.WriteJSON(out)
	}
	fmt.Fprintf(out, "wrote %s.json and %s.html\n", prefix, prefix)
	return printSummary(out, r)
}

// loadExperiment reads the experiment of --demo or --experiment, applies the flags that replace its values, and
// validates the result.
func loadExperiment(c *cli.Command) (drive.Experiment, error) {
	path := cmp.Or(c.String("demo"), c.String("experiment"))
	b, err := os.ReadFile(path)
	if err != nil {
		return drive.Experiment{}, fmt.Errorf("read experiment: %w", err)
	}
	e, err := drive.Parse(b)
	if err != nil {
		return e, fmt.Errorf("experiment %s: %w", path, err)
	}
	if list := c.StringSlice("entry"); len(list) > 0 {
		e.Entries = list
	}
	for i := range e.Noise {
		if list := c.StringSlice("target"); len(list) > 0 {
			e.Noise[i].Targets = list
		}
	}
	if e.Jobs != nil {
		if s := c.String("administration"); s != "" {
			e.Jobs.Administration = s
		}
		if s := c.String("token-file"); s != "" {
			e.Jobs.TokenFile = s
		}
	}
	check := strict.NewCheck()
	e.Check(check)
	if err := check.Faults().Err(); err != nil {
		return e, fmt.Errorf("flags: %w", err)
	}
	return e, nil
}

func writeFile(path string, write func(io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func printSummary(w io.Writer, r report.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "Service\tOffered\tGood\tP50 ms\tP99 ms\tP99.9 ms\tRefused\tP99 ms of refusals\tUnknown\tOther")
	for _, s := range r.Services {
		m := s.Whole
		other := m.Offered - m.Complete - m.NotRun - m.Unknown
		fmt.Fprintf(t, "%s\t%d\t%.2f %%\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t%d\t%d\n", s.Name, m.Offered, 100*m.GoodShare,
			m.LatencyMillis.P50, m.LatencyMillis.P99, m.LatencyMillis.P999, m.NotRun, m.RefusalMillis.P99, m.Unknown, other)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(w, "problem:", p)
	}
	return nil
}

func compareReports(w io.Writer, pathA, pathB string, asJSON bool) error {
	a, err := readReport(pathA)
	if err != nil {
		return err
	}
	b, err := readReport(pathB)
	if err != nil {
		return err
	}
	c := report.Compare(a, b)
	if !asJSON {
		return c.WriteText(w)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}

func readReport(path string) (report.Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return report.Report{}, inputError("report: %v; name a readable file", err)
	}
	r, err := report.ReadJSON(bytes.NewReader(b))
	if err != nil {
		return r, inputError("report %s: %v; name a report that trefoilramp load wrote", path, err)
	}
	return r, nil
}
