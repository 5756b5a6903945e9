package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

const watchInterval = time.Second

// jobCommand submits, lists, watches and cancels batch jobs:
//
//	trefoilramp job submit --team T --class C --command CMD --tasks N [--id ID] [--urgent] ...
//	trefoilramp job submit --file JOB.json
//	trefoilramp job list
//	trefoilramp job get ID
//	trefoilramp job cancel ID
//	trefoilramp job watch ID       print progress until the job is finished; exit code 1 unless all tasks are done
func jobCommand() *cli.Command {
	return group("job", "submit, list, watch and cancel batch jobs",
		apiCommand("submit", "submit a job", "", submitFlags(), submitJob),
		apiCommand("list", "list all jobs", "", nil, listJobs),
		apiCommand("get", "show a job", "ID", nil, func(ctx context.Context, c *cli.Command, api *admin.Client) error {
			j, err := api.Job(ctx, c.Args().First())
			return showJobs(c, err, j)
		}),
		apiCommand("cancel", "cancel a job", "ID", nil, func(ctx context.Context, c *cli.Command, api *admin.Client) error {
			j, err := api.Cancel(ctx, c.Args().First())
			return showJobs(c, changeError(err, "repeat the command"), j)
		}),
		apiCommand("watch", "print the progress of a job until it is finished", "ID", nil, watchJob),
	)
}

func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "read the job from a JSON `FILE` instead of the other flags, except --id"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the job, which makes the submission idempotent"},
		&cli.StringFlag{Name: "team", Usage: "`NAME` of the team"},
		&cli.StringFlag{Name: "class", Usage: "`NAME` of the job class"},
		&cli.StringFlag{Name: "command", Usage: "`COMMAND` of each task"},
		&cli.Int64Flag{Name: "tasks", Usage: "number of tasks", Value: 1},
		&cli.Int64Flag{Name: "processors", Usage: "thousandths of a processor per task"},
		&cli.Int64Flag{Name: "memory", Usage: "bytes of memory per task"},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators per task"},
		&cli.DurationFlag{Name: "run-time", Usage: "expected run time of a task"},
		&cli.BoolFlag{Name: "urgent", Usage: "start before tasks that are not urgent"},
	}
}

func submitJob(ctx context.Context, c *cli.Command, api *admin.Client) error {
	b, err := readJob(c)
	if err != nil {
		return err
	}
	request, err := admin.ParseJob(b)
	if err != nil {
		return inputError("%v; correct it or see %s --help", err, c.FullName())
	}
	// The ID is chosen here, so that the submission can be repeated if it gets no response.
	request.Job = cmp.Or(c.String("id"), request.Job, string(ident.NewJob()))
	if b, err = json.Marshal(request); err != nil {
		return errors.Wrap(err, "encode job")
	}
	j, err := api.Submit(ctx, b)
	return showJobs(c, changeError(err, "repeat the command with --id "+request.Job+", which submits no second job"), j)
}

func readJob(c *cli.Command) ([]byte, error) {
	if path := c.String("file"); path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, inputError("%v; name a readable file", err)
		}
		return b, nil
	}
	b, err := json.Marshal(admin.JobRequest{
		Job:     c.String("id"),
		Team:    c.String("team"),
		Class:   c.String("class"),
		Command: c.String("command"),
		Tasks:   c.Int64("tasks"),
		Size: model.TaskSize{
			Processors: c.Int64("processors"), Memory: c.Int64("memory"), Accelerators: c.Int64("accelerators"),
		},
		RunTime: model.Duration(c.Duration("run-time")),
		Urgent:  c.Bool("urgent"),
	})
	return b, errors.Wrap(err, "encode job")
}

func listJobs(ctx context.Context, c *cli.Command, api *admin.Client) error {
	list, err := api.Jobs(ctx)
	if err == nil && c.Bool("json") {
		return printJSON(out(c), list)
	}
	return showJobs(c, err, list.Jobs...)
}

func showJobs(c *cli.Command, err error, jobs ...admin.Job) error {
	if err != nil {
		return err
	}
	if c.Bool("json") && len(jobs) == 1 {
		return printJSON(out(c), jobs[0])
	}
	rows := make([][]string, len(jobs))
	for i, j := range jobs {
		rows[i] = []string{j.Job, j.Team, j.Class, strconv.FormatInt(j.Tasks, 10), count(j.Queued), count(j.Running),
			count(j.Done), count(j.Failed), count(j.Cancelled), count(j.Evictions), jobState(j)}
	}
	return printTable(out(c), []string{"JOB", "TEAM", "CLASS", "TASKS", "QUEUED", "RUNNING", "DONE", "FAILED", "CANCELLED",
		"EVICTIONS", "STATE"}, rows)
}

func count(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func jobState(j admin.Job) string {
	switch {
	case j.Finished:
		return "finished"
	case j.Detail != "":
		return j.Detail
	case j.Running > 0:
		return "running"
	}
	return "waiting"
}

func watchJob(ctx context.Context, c *cli.Command, api *admin.Client) error {
	last := ""
	for {
		j, err := api.Job(ctx, c.Args().First())
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%d queued, %d running, %d done, %d failed, %d cancelled, %d evictions: %s", j.Queued, j.Running,
			j.Done, j.Failed, j.Cancelled, j.Evictions, jobState(j))
		if line != last {
			last = line
			if c.Bool("json") {
				err = printJSON(out(c), j)
			} else {
				_, err = fmt.Fprintln(out(c), line)
			}
			if err != nil {
				return fmt.Errorf("write output: %w", err)
			}
		}
		if j.Finished {
			return watchResult(j)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// watchResult returns an error if a task of the finished job failed or was cancelled.
func watchResult(j admin.Job) error {
	if j.Failed > 0 || j.Cancelled > 0 {
		return errors.Newf("job %s ended with %d failed and %d cancelled tasks", j.Job, j.Failed, j.Cancelled)
	}
	return nil
}
