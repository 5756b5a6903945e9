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

// Format is the version of the form of reports.
const Format = 1

// Report is the outcome of a run.
type Report struct {
	Format      int
	Experiment  drive.Experiment
	Machine     Machine
	Started     time.Time
	Seconds     float64 // elapsed, including the wait for the last answers
	LagMillis   float64 // longest delay between a scheduled arrival and its dispatch
	Interrupted bool
	Submitted   int // jobs
	Problems    []string
	Batch       []drive.BatchPoint // counts of tasks once a second; empty without a system of its own
	All         Summary
	Services    []Service
}

// Machine describes where the run took place; figures of different machines are not comparable.
type Machine struct {
	Processors int
	System     string
	Go         string
}

// Service is the part of a report on one service.
type Service struct {
	Name     string
	Whole    Summary
	Phases   []Phase // each swing, then its peak, the time before it, and the time after the last one
	Requests []Kind
	Series   []Point
}

// Phase is a part of a run that the swings of a service set apart.
type Phase struct {
	Name        string
	FromSeconds float64
	ToSeconds   float64
	Summary     Summary
}

// Kind is the part of a service's report on one kind of request.
type Kind struct {
	Name    string
	Summary Summary
}

// Point is one interval of a series, by scheduled arrival.
type Point struct {
	AtSeconds float64
	Summary   Summary
}

// Build sums up a run of an experiment.
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
	if r.All, err = b.sum(run.Samples, 0, b.length); err != nil {
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

// sum describes the samples whose scheduled arrival is within [from, to); the last part includes its end.
func (b *builder) sum(samples []drive.Sample, from, to time.Duration) (Summary, error) {
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
	if out.Whole, err = b.sum(samples, 0, b.length); err != nil {
		return out, err
	}
	for _, p := range phases(s.Swings, b.length) {
		sum, err := b.sum(samples, p.from, p.to)
		if err != nil {
			return out, err
		}
		out.Phases = append(out.Phases, Phase{p.name, p.from.Seconds(), p.to.Seconds(), sum})
	}
	kinds := make([][]drive.Sample, len(s.Requests))
	for _, x := range samples {
		kinds[x.Request] = append(kinds[x.Request], x)
	}
	for i, r := range s.Requests {
		sum, err := b.sum(kinds[i], 0, b.length)
		if err != nil {
			return out, err
		}
		out.Requests = append(out.Requests, Kind{r.Name, sum})
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
		sum, err := b.sum(samples[first:next], from, to)
		if err != nil {
			return nil, err
		}
		list = append(list, Point{from.Seconds(), sum})
	}
	return list, nil
}

// WriteJSON writes a report.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// ReadJSON reads a report.
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
