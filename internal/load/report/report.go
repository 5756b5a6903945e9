package report

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/load/drive"
)

// Format is the version of the report format.
const Format = 1

// Report is the result of a load run.
type Report struct {
	Format      int
	Experiment  drive.Experiment
	Machine     Machine
	Started     time.Time
	Seconds     float64 // elapsed time, including the wait for the last responses
	LagMillis   float64 // longest delay between a scheduled arrival and its dispatch
	Interrupted bool
	Submitted   int // number of jobs
	Problems    []string
	Batch       []drive.BatchPoint // task counts, once per second; empty if the run did not start its own system
	All         Summary
	Services    []Service
}

// Machine describes where the run took place; results from different machines are not comparable.
type Machine struct {
	Processors int
	System     string
	Go         string
}

// Service is the part of a report that covers one service.
type Service struct {
	Name     string
	Whole    Summary
	Phases   []Phase // all swings, then the time before each swing, its peak, and the time after the last one
	Requests []Kind
	Series   []Point
}

// Phase is a part of a run, delimited by a service's swings.
type Phase struct {
	Name        string
	FromSeconds float64
	ToSeconds   float64
	Summary     Summary
}

// Kind summarizes one kind of request of a service.
type Kind struct {
	Name    string
	Summary Summary
}

// Point summarizes the requests whose scheduled arrival is in one interval of a series.
type Point struct {
	AtSeconds float64
	Summary   Summary
}

// Build returns the report of a run of an experiment; it fails if a latency cannot be recorded.
func Build(e drive.Experiment, run drive.Run) (Report, error) {
	r := Report{
		Format:      Format,
		Experiment:  e,
		Machine:     Machine{runtime.NumCPU(), runtime.GOOS + "/" + runtime.GOARCH, runtime.Version()},
		Started:     run.Started.UTC(),
		Seconds:     run.Elapsed.Seconds(),
		LagMillis:   float64(run.Lag.Microseconds()) / 1000,
		Interrupted: run.Interrupted,
		Submitted:   run.Submitted,
		Problems:    run.Problems,
		Batch:       run.Batch,
	}
	b := builder{e: e, length: e.Duration.Std()}
	if run.Interrupted && len(run.Samples) > 0 {
		b.length = run.Samples[len(run.Samples)-1].At
	}
	var err error
	if r.All, err = b.summarize(run.Samples, 0, b.length); err != nil {
		return Report{}, err
	}
	parts := make([][]drive.Sample, len(e.Services))
	for _, s := range run.Samples {
		parts[s.Service] = append(parts[s.Service], s)
	}
	for i := range e.Services {
		service, err := b.service(e.Services[i], parts[i])
		if err != nil {
			return Report{}, err
		}
		r.Services = append(r.Services, service)
	}
	return r, nil
}

type builder struct {
	e      drive.Experiment
	length time.Duration
	c      *collector
}

// summarize summarizes the samples whose scheduled arrival is in [from, to); the last part of a run includes its end.
func (b *builder) summarize(samples []drive.Sample, from, to time.Duration) (Summary, error) {
	if b.c == nil {
		b.c = newCollector()
	}
	b.c.reset()
	for _, s := range samples {
		if s.At < from || s.At >= to && to < b.length {
			continue
		}
		deadline := b.e.Services[s.Service].Requests[s.Request].Deadline.Std()
		if err := b.c.add(s, deadline); err != nil {
			return Summary{}, err
		}
	}
	return b.c.summary(to - from), nil
}

func (b *builder) service(s drive.Service, samples []drive.Sample) (out Service, err error) {
	out.Name = s.Name
	if out.Whole, err = b.summarize(samples, 0, b.length); err != nil {
		return out, err
	}
	for _, p := range phases(s.Swings, b.length) {
		summary, err := b.summarize(samples, p.from, p.to)
		if err != nil {
			return out, err
		}
		out.Phases = append(out.Phases, Phase{p.name, p.from.Seconds(), p.to.Seconds(), summary})
	}
	kinds := make([][]drive.Sample, len(s.Requests))
	for _, x := range samples {
		kinds[x.Request] = append(kinds[x.Request], x)
	}
	for i, r := range s.Requests {
		summary, err := b.summarize(kinds[i], 0, b.length)
		if err != nil {
			return out, err
		}
		out.Requests = append(out.Requests, Kind{r.Name, summary})
	}
	out.Series, err = b.series(samples)
	return out, err
}

func (b *builder) series(samples []drive.Sample) ([]Point, error) {
	var list []Point
	step := b.e.Interval.Std()
	next := 0
	for from := time.Duration(0); from < b.length; from += step {
		to := min(b.length, from+step)
		first := next
		for next < len(samples) && (samples[next].At < to || to == b.length) {
			next++
		}
		summary, err := b.summarize(samples[first:next], from, to)
		if err != nil {
			return nil, err
		}
		list = append(list, Point{from.Seconds(), summary})
	}
	return list, nil
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// ReadJSON reads a report that WriteJSON wrote; it fails if the report has another Format.
func ReadJSON(in io.Reader) (Report, error) {
	var r Report
	if err := json.NewDecoder(in).Decode(&r); err != nil {
		return r, fmt.Errorf("read report: %w", err)
	}
	if r.Format != Format {
		return r, errors.Newf("report has format %d; this program reads format %d", r.Format, Format)
	}
	return r, nil
}
