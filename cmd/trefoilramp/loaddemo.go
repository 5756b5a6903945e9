package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/demo/inproc"
	"trefoilramp.org/trefoilramp/internal/load/drive"
)

const (
	batchInterval = time.Second
	batchTimeout  = 500 * time.Millisecond
)

// runExperiment runs the experiment; with --demo, it first starts the system that the experiment describes.
func runExperiment(ctx context.Context, c *cli.Command, e *drive.Experiment) (drive.Run, error) {
	if path := c.String("profile"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return drive.Run{}, fmt.Errorf("create profile: %w", err)
		}
		defer func() { _ = f.Close() }() // pprof reports an incomplete profile when it reads it
		if err := pprof.StartCPUProfile(f); err != nil {
			return drive.Run{}, fmt.Errorf("start profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	if c.String("demo") == "" {
		return drive.Do(ctx, *e)
	}
	if e.System == nil {
		return drive.Run{}, inputError("load --demo needs an experiment with a System")
	}
	o := inproc.Options{Log: zap.NewNop(), Topology: topologyOf(e.System)}
	if c.Bool("log") {
		log, err := processLog()
		if err != nil {
			return drive.Run{}, err
		}
		o.Log = log
	}
	s, err := inproc.Start(ctx, o)
	if err != nil {
		return drive.Run{}, fmt.Errorf("start the system: %w", err)
	}
	defer s.Close()
	remove, err := setAddresses(e, s)
	if err != nil {
		return drive.Run{}, err
	}
	defer remove()
	return driveWithFaults(ctx, *e, s)
}

// topologyOf converts the system of an experiment. The neighbours of a zone are all other zones, in list order from the
// next one on, wrapping around at the end.
func topologyOf(in *drive.System) *inproc.Topology {
	t := &inproc.Topology{Each: in.Worker, LinkDelay: in.LinkDelay.Std()}
	d := model.Document{Policies: model.DefaultPolicies(), Teams: in.Teams}
	for _, v := range in.Services {
		t.Services = append(t.Services, inproc.Service{Name: v.Name, Times: v.Times()})
		d.Services = append(d.Services, model.DefaultService(v.Name))
	}
	for _, name := range in.JobClasses {
		d.JobClasses = append(d.JobClasses, model.DefaultJobClass(name))
	}
	for i, z := range in.Zones {
		t.Zones = append(t.Zones, inproc.Zone{Name: z.Name, Workers: z.Workers, Entries: z.Entries})
		zone := model.DefaultZone(z.Name, in.Region)
		zone.Capacity = []model.WorkerGroup{{Count: int64(z.Workers), Each: in.Worker}}
		for j := 1; j < len(in.Zones); j++ {
			zone.Neighbours = append(zone.Neighbours, in.Zones[(i+j)%len(in.Zones)].Name)
		}
		d.AvailabilityZones = append(d.AvailabilityZones, zone)
	}
	t.Document = d
	return t
}

// setAddresses replaces the addresses of the experiment by those of the system, and returns a function that removes the
// token file. The n-th distinct address in Noise becomes the target of the first service on the n-th worker.
func setAddresses(e *drive.Experiment, s *inproc.System) (remove func(), err error) {
	e.Entries = nil
	for _, v := range s.Entries {
		e.Entries = append(e.Entries, v.Process.Callers())
	}
	workers := make(map[string]int)
	for i := range e.Noise {
		for j, url := range e.Noise[i].Targets {
			if _, ok := workers[url]; !ok {
				workers[url] = len(workers)
			}
			e.Noise[i].Targets[j] = s.Workers[workers[url]%len(s.Workers)].Targets[e.Services[0].Name]
		}
	}
	if e.Jobs == nil {
		return func() {}, nil
	}
	e.Jobs.Administration = s.Entries[0].Administration()
	f, err := os.CreateTemp("", "trefoilramp-token-")
	if err != nil {
		return nil, fmt.Errorf("write token: %w", err)
	}
	remove = func() { _ = os.Remove(f.Name()) } // a leftover is in the directory for temporary files
	_, err = f.WriteString(inproc.ChangeToken)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		remove()
		return nil, fmt.Errorf("write token: %w", err)
	}
	e.Jobs.TokenFile = f.Name()
	return remove, nil
}

// driveWithFaults runs the experiment against the system and injects its faults. If the experiment has jobs, it also
// samples the tasks every batchInterval.
func driveWithFaults(ctx context.Context, e drive.Experiment, s *inproc.System) (drive.Run, error) {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	start := time.Now()
	for _, f := range e.System.Faults {
		wg.Go(func() {
			select {
			case <-runCtx.Done():
			case <-time.After(f.At.Std()):
				injectFault(s, f)
			}
		})
	}
	var points []drive.BatchPoint
	if e.Jobs != nil {
		wg.Go(func() { points = sampleBatch(runCtx, s, start) })
	}
	run, err := drive.Do(ctx, e)
	stop()
	wg.Wait()
	run.Batch = points
	return run, err
}

func injectFault(s *inproc.System, f drive.Fault) {
	switch f.Kind {
	case drive.EntriesLost:
		for _, v := range s.Entries {
			if v.Zone == f.Zone {
				v.Stop()
			}
		}
	case drive.WorkersLost:
		var wg sync.WaitGroup
		for _, w := range s.Zone(f.Zone) {
			wg.Go(w.Kill)
		}
		wg.Wait()
	}
}

// sampleBatch counts the tasks of all jobs every batchInterval until ctx ends; it skips failed requests.
func sampleBatch(ctx context.Context, s *inproc.System, start time.Time) []drive.BatchPoint {
	var list []drive.BatchPoint
	for {
		select {
		case <-ctx.Done():
			return list
		case <-time.After(batchInterval):
		}
		p := drive.BatchPoint{AtSeconds: time.Since(start).Seconds()}
		jobsCtx, cancel := context.WithTimeout(ctx, batchTimeout)
		jobs, err := s.API().Jobs(jobsCtx)
		cancel()
		if err != nil {
			continue
		}
		for _, j := range jobs.Jobs {
			p.Queued, p.Running, p.Done = p.Queued+j.Queued, p.Running+j.Running, p.Done+j.Done
			p.Failed, p.Evictions = p.Failed+j.Failed, p.Evictions+j.Evictions
		}
		list = append(list, p)
	}
}
