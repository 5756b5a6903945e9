package check

import (
	"fmt"
	"io"
	"time"
)

// Promise is the result of checking one promise of the system.
type Promise struct {
	Name   string
	Held   bool
	Detail string // what was observed
}

// Report is the outcome of the scenario.
type Report struct {
	Held      bool // every promise held
	Promises  []Promise
	Requests  Requests
	Job       JobResult
	InForceIn string // time until the changed configuration was in force on all agents
	Took      string
}

// Requests counts the requests of callers by outcome.
type Requests struct {
	Complete int
	NotRun   int
	Unknown  int
	Broken   int // responses that were cut off
	Wrong    int // responses that differ from the expected one
}

// JobResult summarizes the run of the batch job.
type JobResult struct {
	Tasks     int64
	Done      uint32
	Failed    uint32
	Evictions uint32
	Took      string
}

// add appends the result of a promise; a non-nil err means that it was broken.
func (r *Report) add(name string, err error, detail string, args ...any) {
	p := Promise{Name: name, Held: err == nil, Detail: fmt.Sprintf(detail, args...)}
	if err != nil {
		p.Detail = err.Error()
	}
	r.Promises = append(r.Promises, p)
}

func (r *Report) finish(took time.Duration) {
	r.Held = true
	for _, p := range r.Promises {
		r.Held = r.Held && p.Held
	}
	r.Took = took.Round(time.Millisecond).String()
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	for _, p := range r.Promises {
		verdict := "held  "
		if !p.Held {
			verdict = "BROKEN"
		}
		fmt.Fprintf(w, "%s  %-18s %s\n", verdict, p.Name, p.Detail)
	}
	fmt.Fprintf(w, "requests: %d complete, %d not run, %d unknown, %d broken, %d wrong\n", r.Requests.Complete,
		r.Requests.NotRun, r.Requests.Unknown, r.Requests.Broken, r.Requests.Wrong)
	fmt.Fprintf(w, "job: %d of %d tasks done, %d failed, %d evictions, in %s\n", r.Job.Done, r.Job.Tasks, r.Job.Failed,
		r.Job.Evictions, r.Job.Took)
	fmt.Fprintf(w, "configuration in force in %s; scenario took %s\n", r.InForceIn, r.Took)
}
