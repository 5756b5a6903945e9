package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/platform"
)

const cellExplainUsage = `trefoilramp cell explain --address HOST:PORT --queue NAME [--json] FILE

Tells where the job in FILE, in the JSON that callers submit, would go now, and why. It is not submitted. The address is
the Administration listener of any entry of the cell. The exit code is 2 for a job, queue or address that is refused, and
1 if the entry or the leader does not answer.`

const explainTimeout = 5 * time.Second

func cellExplainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell where a job would go, without submitting it", ArgsUsage: "FILE", Description: cellExplainUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "`HOST:PORT` of the Administration listener of an entry, required"},
			&cli.StringFlag{Name: "queue", Usage: "`NAME` of the queue, required"},
			jsonFlag(),
		},
		OnUsageError: usageError, Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if err := checkArgs(c, "FILE"); err != nil {
		return err
	}
	address := c.String("address")
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || host == "" || n == 0 {
		return inputError("--address %q is not HOST:PORT; see %s --help", address, c.FullName())
	}
	job, err := os.ReadFile(c.Args().First())
	if err != nil {
		return inputError("%v; name a readable file", err)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: platform.ExplainPath, RawQuery: url.Values{"queue": {c.String("queue")}}.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(job))
	if err != nil {
		return inputError("--address %q: %v", address, err)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("call the entry: %w", err)
	}
	defer w.Body.Close()
	var answer struct {
		lead.Explanation
		Error string `json:"error"`
	}
	err = json.NewDecoder(w.Body).Decode(&answer)
	switch {
	case w.StatusCode == http.StatusNotFound || w.StatusCode == http.StatusMethodNotAllowed:
		return inputError("--address %s is not the Administration listener of an entry that explains jobs", address)
	case err != nil:
		return errors.Newf("%s responded with status %d and no explanation", address, w.StatusCode)
	case w.StatusCode == http.StatusBadRequest || w.StatusCode == http.StatusRequestEntityTooLarge:
		return inputError("%s; correct it", answer.Error)
	case w.StatusCode != http.StatusOK:
		return errors.Newf("no explanation: %s", answer.Error)
	case c.Bool("json"):
		return printJSON(out(c), answer.Explanation)
	}
	return showExplanation(c, &answer.Explanation)
}

func showExplanation(c *cli.Command, x *lead.Explanation) error {
	w, admission := out(c), "off"
	if a := x.Admission; a != nil {
		admission = fmt.Sprintf("accepts: %v (%s), wait %d ms", a.Admit, a.Reason, a.Wait)
	}
	fmt.Fprintf(w, "leader %s, %d of %d workers considered\nadmission control of %s: %s\n", x.Leader, x.Considered, x.Workers,
		x.Entry, admission)
	fmt.Fprintf(w, "order: after %d waiting jobs of higher priority and %d of the same\n", x.Higher, x.Before)
	if x.DueIn > 0 {
		fmt.Fprintf(w, "due in %d ms\n", x.DueIn)
	}
	if x.NeedsTicket {
		fmt.Fprintln(w, "the policy service must allow each worker; it is asked only once the job is accepted")
	}
	for _, s := range x.Steps {
		fmt.Fprintf(w, "\nstep %d: %d tasks, %d suitable workers\n", s.Step, s.Tasks, s.Suitable)
		for _, e := range s.Excluded {
			fmt.Fprintf(w, "  %d left out: %s\n", e.Workers, e.Reason)
		}
		for _, k := range s.Candidates {
			fmt.Fprintf(w, "  %s in %s: cost %.3f, speed %.2f\n", k.Worker, k.Zone, k.Cost, k.Speed)
		}
	}
	if x.LaterSteps > 0 {
		fmt.Fprintf(w, "\n%d more steps start later or are not shown\n", x.LaterSteps)
	}
	return nil
}
