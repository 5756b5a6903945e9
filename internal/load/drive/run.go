package drive

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// leadTime delays the first arrivals until the goroutines of a run have started.
const leadTime = 50 * time.Millisecond

// Run is the result of running an experiment.
type Run struct {
	Started     time.Time     // origin of all scheduled times
	Elapsed     time.Duration // from Started to the end of the last request
	Samples     []Sample      // in order of arrival
	Lag         time.Duration // longest delay from a scheduled arrival to its dispatch
	Interrupted bool          // canceled before the last arrival; Samples covers the arrivals until then
	Problems    []string      // errors of injecting noise and submitting jobs
	Submitted   int           // number of accepted jobs
	Batch       []BatchPoint  // filled in by the caller of Do
}

// BatchPoint holds the task counts of all jobs together at one point in time.
type BatchPoint struct {
	AtSeconds float64 // since the start of the run
	Queued    uint32
	Running   uint32
	Done      uint32
	Failed    uint32
	Evictions uint32
}

// Do runs an experiment; when ctx is canceled, it sends no further requests, cancels those in flight and returns the
// samples so far. It returns an error if the schedule exceeds MaxRequests or the token file cannot be read.
func Do(ctx context.Context, e Experiment) (Run, error) {
	list, err := e.Schedule()
	if err != nil {
		return Run{}, err
	}
	inj, err := newInjector(e)
	if err != nil {
		return Run{}, err
	}
	s := &sender{
		e: e, runID: "load-" + string(ident.NewRequest())[:12],
		client: newClient(e.MaxInFlight), body: make([]byte, 2*maxBody),
	}
	defer s.client.CloseIdleConnections()
	rand.Read(s.body)
	start := time.Now().Add(leadTime)
	injected := make(chan struct{})
	injectCtx, stop := context.WithCancel(ctx)
	go func() {
		defer close(injected)
		inj.run(injectCtx, start)
	}()
	run := s.dispatch(ctx, list, start)
	stop()
	<-injected
	run.Problems, run.Submitted = inj.problems, inj.submitted
	return run, nil
}

// dispatch sends each request at its scheduled time without waiting for earlier ones. It returns when all requests have
// ended.
func (s *sender) dispatch(ctx context.Context, list []Arrival, start time.Time) Run {
	run := Run{Started: start, Samples: make([]Sample, len(list))}
	inFlight := make(chan struct{}, s.e.MaxInFlight)
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
		case inFlight <- struct{}{}:
		default:
			continue
		}
		wg.Go(func() {
			outcome, end := s.send(ctx, a, i, due)
			sample.Outcome, sample.Latency = outcome, end.Sub(due)
			<-inFlight
		})
	}
	wg.Wait()
	run.Elapsed = time.Since(start)
	return run
}

// sleepUntil reports whether the time was reached before ctx was done.
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
