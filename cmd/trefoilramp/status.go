package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// statusCommand shows the state of the system as one entry sees it:
//
//	trefoilramp status
func statusCommand() *cli.Command {
	return apiCommand("status", "show zones, entries, workers, services, jobs and partitions", "", nil,
		func(ctx context.Context, c *cli.Command, api *admin.Client) error {
			s, err := api.Status(ctx)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(out(c), s)
			}
			return showStatus(c, s)
		})
}

func showStatus(c *cli.Command, s admin.Status) error {
	store := "available"
	if !s.StoreAvailable {
		store = "unavailable"
	}
	fmt.Fprintf(out(c), "entry %s, store %s, configuration %d accepted, %d in force here\n", s.Entry, store, s.Accepted,
		s.InForce)
	fmt.Fprintf(out(c), "jobs: %d, %d finished; tasks: %d queued, %d running, %d done, %d failed, %d cancelled, %d evictions\n",
		s.Jobs.Jobs, s.Jobs.JobsFinished, s.Jobs.Queued, s.Jobs.Running, s.Jobs.Done, s.Jobs.Failed, s.Jobs.Cancelled,
		s.Jobs.Evictions)
	for _, t := range statusTables(s) {
		if len(t.rows) == 0 {
			continue
		}
		fmt.Fprintln(out(c))
		if err := printTable(out(c), t.heading, t.rows); err != nil {
			return err
		}
	}
	return nil
}

type statusTable struct {
	heading []string
	rows    [][]string
}

func statusTables(s admin.Status) []statusTable {
	zones := statusTable{heading: []string{"ZONE", "REGION", "ENTRIES", "WORKERS", "IN FORCE", "FREE PROCESSORS", "FREE MEMORY"}}
	for _, z := range s.Zones {
		zones.rows = append(zones.rows, []string{z.Name, z.Region, strconv.Itoa(z.Entries), strconv.Itoa(z.Workers),
			number(z.InForce), thousandths(z.Free.Processors), gibibytes(z.Free.Memory)})
	}
	entries := statusTable{heading: []string{"ENTRY", "ZONE", "ADDRESS", "IN FORCE", "STATE"}}
	for _, e := range s.Entries {
		entries.rows = append(entries.rows, []string{e.Name, e.Zone, e.Address, number(e.InForce), drainState(e.Draining)})
	}
	workers := statusTable{heading: []string{"WORKER", "ZONE", "RACK", "TASKS", "FREE PROCESSORS", "FREE MEMORY", "IN FORCE", "STATE"}}
	for _, w := range s.Workers {
		state := drainState(w.Draining)
		if w.Quarantined {
			state = "quarantined: " + w.QuarantineReason
		}
		workers.rows = append(workers.rows, []string{w.Name, w.Zone, w.Rack, strconv.Itoa(w.Tasks),
			thousandths(w.Free.Processors), gibibytes(w.Free.Memory), number(w.InForce), state})
	}
	targets := statusTable{heading: []string{"SERVICE", "TARGET", "WORKER", "STATE", "IN FLIGHT", "SLOTS"}}
	for _, service := range s.Services {
		for _, t := range service.Targets {
			targets.rows = append(targets.rows, []string{service.Name, t.Name, t.Worker, t.State,
				strconv.FormatInt(t.InFlight, 10), strconv.FormatInt(t.Slots, 10)})
		}
		if len(service.Targets) == 0 {
			targets.rows = append(targets.rows, []string{service.Name, "none", "", "", "", ""})
		}
	}
	partitions := statusTable{heading: []string{"PARTITION", "OWNER", "EPOCH"}}
	for _, p := range s.Partitions {
		partitions.rows = append(partitions.rows, []string{p.Partition, p.Owner, number(p.Epoch)})
	}
	return []statusTable{zones, entries, workers, targets, partitions}
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

// thousandths formats a number of thousandths as whole units with one decimal.
func thousandths(n int64) string { return strconv.FormatFloat(float64(n)/1000, 'f', 1, 64) }

// gibibytes formats a number of bytes in GiB.
func gibibytes(n int64) string { return strconv.FormatFloat(float64(n)/(1<<30), 'f', 1, 64) + " GiB" }

func drainState(draining bool) string {
	if draining {
		return "draining"
	}
	return "in service"
}
