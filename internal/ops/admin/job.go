package admin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
)

// Jobs forwards requests to the owners of the jobs' home partitions.
type Jobs interface {
	Submit(ctx context.Context, spec wire.JobSpec) (wire.JobReply, error)
	List(ctx context.Context) (wire.JobReply, error)
	Get(ctx context.Context, job ident.Job) (wire.JobReply, error)
	Cancel(ctx context.Context, job ident.Job, author string) (wire.JobReply, error)
}

// JobRequest is the description of a job in a submission.
type JobRequest struct {
	Job     string `json:",omitempty"` // chosen ID, which makes the submission idempotent; empty to generate one
	Team    string
	Class   string
	Command string
	Tasks   int64
	Size    model.TaskSize `json:",omitzero"` // size of each task; zero means the default of the class
	RunTime model.Duration `json:",omitzero"` // run time of each task; zero means the default of the class
	Urgent  bool           `json:",omitempty"`
}

// Job is the state of a job in API responses; the counts are numbers of tasks.
type Job struct {
	JobRequest
	Submitter string
	Submitted time.Time
	Queued    uint32
	Running   uint32
	Done      uint32
	Failed    uint32
	Cancelled uint32
	Evictions uint32
	Finished  bool
	Detail    string `json:",omitempty"` // for example why no worker fits the job
}

// JobList is the response with a list of jobs.
type JobList struct {
	Jobs []Job
}

const maxCommand = 4 << 10 // bytes; a StartTask message must stay far below the frame limit

// ParseJob decodes a job and validates what does not depend on the configuration; the error lists all faults.
func ParseJob(b []byte) (JobRequest, error) {
	var j JobRequest
	faults := strict.Decode(b, &j)
	c := strict.NewCheck()
	if j.Job != "" {
		model.CheckName(c.Field("Job"), j.Job)
	}
	model.CheckName(c.Field("Team"), j.Team)
	model.CheckName(c.Field("Class"), j.Class)
	if j.Command == "" || len(j.Command) > maxCommand {
		c.Field("Command").Fail(j.Command, "1 to %d bytes", maxCommand)
	}
	strict.Between(c.Field("Tasks"), j.Tasks, 1, model.MaxTasks)
	if j.Size.Resources().IsNegative() {
		c.Field("Size").Fail(j.Size, "amounts of 0 or more")
	}
	return j, faults.Merge(c.Faults()).Err()
}

// check returns the faults of j under the configuration d. A task size that fits no worker is not a fault, since
// capacity may be added later; the status of the job reports it.
func (j JobRequest) check(d model.Document) strict.Faults {
	c := strict.NewCheck()
	team, ok := d.Team(j.Team)
	if !ok {
		c.Field("Team").Fail(j.Team, "the name of a declared team")
	}
	class, known := d.JobClass(j.Class)
	switch {
	case !known:
		c.Field("Class").Fail(j.Class, "the name of a declared job class")
		return c.Faults()
	case ok && len(team.JobClasses) > 0 && !slices.Contains(team.JobClasses, j.Class):
		c.Field("Class").Fail(j.Class, "one of the team's job classes %v", team.JobClasses)
	}
	strict.Between(c.Field("Tasks"), j.Tasks, 1, class.MaxTasks)
	if j.Urgent && !class.UrgentAllowed {
		c.Field("Urgent").Fail(j.Urgent, "false, for the class %s", class.Name)
	}
	if j.RunTime != 0 {
		model.CheckDuration(c.Field("RunTime"), j.RunTime, model.MinRunTime, class.MaxRunTime.Std())
	}
	return c.Faults()
}

func (j JobRequest) spec(class model.JobClass, submitter string, now time.Time) wire.JobSpec {
	if j.Job == "" {
		j.Job = string(ident.NewJob())
	}
	if j.Size == (model.TaskSize{}) {
		j.Size = class.DefaultSize
	}
	if j.RunTime == 0 {
		j.RunTime = class.DefaultRunTime
	}
	return wire.JobSpec{
		Job: ident.Job(j.Job), Team: ident.Team(j.Team), Class: j.Class, Command: j.Command, Tasks: uint32(j.Tasks),
		Size: j.Size.Resources(), RunTime: int64(j.RunTime), Urgent: j.Urgent, Submitter: submitter,
		Submitted: now.UnixNano(),
	}
}

func newJob(s wire.JobStatus) Job {
	return Job{
		JobRequest: JobRequest{
			Job: string(s.Spec.Job), Team: string(s.Spec.Team), Class: s.Spec.Class, Command: s.Spec.Command,
			Tasks: int64(s.Spec.Tasks), Urgent: s.Spec.Urgent, RunTime: model.Duration(s.Spec.RunTime),
			Size: model.TaskSize{Processors: s.Spec.Size.Processors, Memory: s.Spec.Size.Memory,
				Accelerators: s.Spec.Size.Accelerators},
		},
		Submitter: s.Spec.Submitter, Submitted: time.Unix(0, s.Spec.Submitted).UTC(),
		Queued: s.Queued, Running: s.Running, Done: s.Done, Failed: s.Failed, Cancelled: s.Cancelled,
		Evictions: s.Evictions, Finished: s.Finished, Detail: s.Detail,
	}
}

func (a *API) submitJob(w http.ResponseWriter, r *http.Request) *Problem {
	author, p := operator(r)
	if p != nil {
		return p
	}
	b, p := readBody(w, r, maxSmallBody)
	if p != nil {
		return p
	}
	j, err := ParseJob(b)
	if err != nil {
		return faultsProblem(err)
	}
	c := a.Config.Current()
	if c == nil {
		return problem(http.StatusServiceUnavailable, "no configuration is in force yet")
	}
	if err := j.check(c.Document).Err(); err != nil {
		return faultsProblem(err)
	}
	class, _ := c.Document.JobClass(j.Class)
	spec := j.spec(class, author, a.Now())
	record := audit.New(a.Now(), author, audit.ActionSubmit, "job/"+string(spec.Job))
	record.After = fmt.Sprintf("%d tasks of class %s for team %s", spec.Tasks, spec.Class, spec.Team)
	p = a.record(r.Context(), record)
	if p == nil {
		p = a.writeJobs(w, http.StatusCreated, false, func(jobs Jobs) (wire.JobReply, error) {
			return jobs.Submit(r.Context(), spec)
		})
	}
	if p != nil && p.Status == http.StatusGatewayTimeout {
		p.Detail += fmt.Sprintf("; repeat the submission with the ID %s, which submits no second job", spec.Job)
	}
	return p
}

func (a *API) listJobs(w http.ResponseWriter, r *http.Request) *Problem {
	return a.writeJobs(w, http.StatusOK, true, func(jobs Jobs) (wire.JobReply, error) {
		return jobs.List(r.Context())
	})
}

func (a *API) getJob(w http.ResponseWriter, r *http.Request) *Problem {
	id, p := pathName(r, "id")
	if p != nil {
		return p
	}
	return a.writeJobs(w, http.StatusOK, false, func(jobs Jobs) (wire.JobReply, error) {
		return jobs.Get(r.Context(), ident.Job(id))
	})
}

func (a *API) cancelJob(w http.ResponseWriter, r *http.Request) *Problem {
	id, p := pathName(r, "id")
	if p != nil {
		return p
	}
	author, p := operator(r)
	if p != nil {
		return p
	}
	if p := a.record(r.Context(), audit.New(a.Now(), author, audit.ActionCancel, "job/"+id)); p != nil {
		return p
	}
	event.Log(a.Log, event.JobCancelRequested, zap.String("Job", id), zap.String("Author", author))
	return a.writeJobs(w, http.StatusOK, false, func(jobs Jobs) (wire.JobReply, error) {
		return jobs.Cancel(r.Context(), ident.Job(id), author)
	})
}

// writeJobs runs a call to the owner of a job and writes the response; list means that the response is a list.
func (a *API) writeJobs(w http.ResponseWriter, status int, list bool, call func(Jobs) (wire.JobReply, error)) *Problem {
	if a.Jobs == nil {
		return problem(http.StatusNotFound, "this process takes no jobs")
	}
	reply, err := call(a.Jobs)
	if err != nil {
		return storeProblem(err, "no such job")
	}
	if reply.Status >= http.StatusBadRequest {
		return problem(reply.Status, reply.Detail)
	}
	if reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices {
		status = reply.Status
	}
	jobs := make([]Job, len(reply.Jobs))
	for i, s := range reply.Jobs {
		jobs[i] = newJob(s)
	}
	switch {
	case list:
		writeJSON(w, status, JobList{Jobs: jobs})
	case len(jobs) == 0:
		return problem(http.StatusNotFound, "no such job")
	default:
		writeJSON(w, status, jobs[0])
	}
	return nil
}

func (a *API) record(ctx context.Context, r audit.Record) *Problem {
	if err := a.Audit.Write(ctx, r); err != nil {
		return storeProblem(err, "")
	}
	return nil
}

func pathName(r *http.Request, key string) (string, *Problem) {
	name := r.PathValue(key)
	if !ident.IsName(name) {
		return "", problem(http.StatusBadRequest, fmt.Sprintf("%q is not a name", name))
	}
	return name, nil
}
