package drive

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// leadTime is the time between the start of a run and the scheduled time 0, for the goroutines to come up.
const leadTime = 50 * time.Millisecond

// Run is the outcome of a run of an experiment.
type Run struct {
	Started     time.Time // scheduled time 0
	Elapsed     time.Duration
	Samples     []Sample
	Lag         time.Duration // longest delay between a scheduled arrival and its dispatch
	Interrupted bool          // the run was stopped before its end; Samples has the arrivals until then
	Problems    []string      // of noise and jobs
	Submitted   int           // jobs
	Batch       []BatchPoint  // set by the caller
}

// BatchPoint counts the tasks of all jobs at a time.
type BatchPoint struct {
	AtSeconds float64
	Queued    uint32
	Running   uint32
	Done      uint32
	Failed    uint32
	Evictions uint32
}

// Do runs an experiment. Canceling ctx stops further arrivals and ends the requests in flight.
func Do(ctx context.Context, e Experiment) (Run, error) {
	list, err := e.Schedule()
	if err != nil {
		return Run{}, err
	}
	waves, err := newWaves(e)
	if err != nil {
		return Run{}, err
	}
	s := &sender{e: e, run: "load-" + string(ident.NewRequest())[:12], client: newClient(e.MaxInFlight), body: make([]byte, 2*maxBody)}
	defer s.client.CloseIdleConnections()
	rand.Read(s.body)
	start := time.Now().Add(leadTime)
	waved := make(chan struct{})
	waveCtx, stop := context.WithCancel(ctx)
	go func() {
		defer close(waved)
		waves.run(waveCtx, start)
	}()
	run := s.dispatch(ctx, list, start)
	stop()
	<-waved
	run.Problems, run.Submitted = waves.problems, waves.submitted
	return run, nil
}

// dispatch sends each request at its time, whatever became of the earlier ones.
func (s *sender) dispatch(ctx context.Context, list []Arrival, start time.Time) Run {
	run := Run{Started: start, Samples: make([]Sample, len(list))}
	free := make(chan struct{}, s.e.MaxInFlight)
	var wg sync.WaitGroup
	for i, a := range list {
		due := start.Add(a.At)
		if !sleepUntil(ctx, due) {
			run.Interrupted = true
			run.Samples = run.Samples[:i]
			break
		}
		run.Lag = max(run.Lag, time.Since(due))
		sample := &run.Samples[i]
		*sample = Sample{Service: a.Service, Request: a.Request, At: a.At, Outcome: NotSent}
		select {
		case free <- struct{}{}:
		default:
			continue
		}
		wg.Go(func() {
			outcome, end := s.send(ctx, a, i, due)
			sample.Outcome, sample.Latency = outcome, end.Sub(due)
			<-free
		})
	}
	wg.Wait()
	run.Elapsed = time.Since(start)
	return run
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
