package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/stand/target"
)

const (
	postTimeout = 5 * time.Second // per request that sets noise or submits a job
	maxProblems = 100             // recorded per run; later ones are dropped
)

// injector injects the noise and submits the jobs of an experiment.
type injector struct {
	e      Experiment
	token  string // of the administration API
	runID  string // part of job IDs, unique per run
	client *http.Client

	mu        sync.Mutex
	problems  []string
	submitted int
}

func newInjector(e Experiment) (*injector, error) {
	in := &injector{e: e, runID: string(ident.NewRequest())[:8], client: newClient(1)}
	if e.Jobs == nil {
		return in, nil
	}
	b, err := os.ReadFile(e.Jobs.TokenFile)
	if err != nil {
		return nil, fmt.Errorf("read token file: %w", err)
	}
	in.token = strings.TrimSpace(string(b))
	return in, nil
}

// run returns when all noise and all waves of jobs have ended or ctx is done. It resets the noise in both cases.
func (in *injector) run(ctx context.Context, start time.Time) {
	defer in.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for _, n := range in.e.Noise {
		wg.Go(func() { in.injectNoise(ctx, n, start) })
	}
	if in.e.Jobs != nil {
		for _, wave := range in.e.Jobs.Waves {
			wg.Go(func() { in.submit(ctx, wave, start) })
		}
	}
	wg.Wait()
}

// injectNoise slows down the targets and resets them even if ctx is done before the noise ends.
func (in *injector) injectNoise(ctx context.Context, n Noise, start time.Time) {
	if !sleepUntil(ctx, start.Add(n.At.Std())) {
		return
	}
	for _, url := range n.Targets {
		in.recordProblem(in.post(ctx, url, "/v1/faults", "", target.FaultsRequest{Slowdown: n.Slowdown}))
	}
	sleepUntil(ctx, start.Add(n.At.Std()+n.For.Std()))
	for _, url := range n.Targets {
		in.recordProblem(in.post(context.WithoutCancel(ctx), url, "/v1/faults", "", target.FaultsRequest{}))
	}
}

// submit submits the jobs of a wave at their scheduled times until ctx is done.
func (in *injector) submit(ctx context.Context, wave JobWave, start time.Time) {
	for i := range wave.Count {
		if !sleepUntil(ctx, start.Add(wave.At.Std()+time.Duration(i)*wave.Every.Std())) {
			return
		}
		job := wave.Job
		job.Job += "-" + in.runID + "-" + strconv.Itoa(i)
		err := in.post(ctx, in.e.Jobs.Administration, "/v1/jobs", in.token, job)
		in.recordProblem(err)
		if err == nil {
			in.mu.Lock()
			in.submitted++
			in.mu.Unlock()
		}
	}
}

// recordProblem adds an error, which may be nil, to the problems of the run.
func (in *injector) recordProblem(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err != nil && len(in.problems) < maxProblems {
		in.problems = append(in.problems, err.Error())
	}
}

// post sends v as JSON and returns an error with the start of the response body if the status is 300 or higher.
func (in *injector) post(ctx context.Context, base, path, token string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(base, "/")+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := in.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(res.Body, 200)) // best effort, only used in the error message
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("POST %s%s: status %d: %s", base, path, res.StatusCode, detail)
	}
	return nil
}
