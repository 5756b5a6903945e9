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
	waveTimeout = 5 * time.Second // of one request that starts noise or submits a job
	maxProblems = 100
)

// waves makes the noise and submits the jobs of an experiment.
type waves struct {
	e      Experiment
	token  string
	name   string
	client *http.Client

	mu        sync.Mutex
	problems  []string
	submitted int
}

func newWaves(e Experiment) (*waves, error) {
	w := &waves{e: e, name: string(ident.NewRequest())[:8], client: newClient(1)}
	if e.Jobs == nil {
		return w, nil
	}
	b, err := os.ReadFile(e.Jobs.TokenFile)
	if err != nil {
		return nil, fmt.Errorf("read token: %w", err)
	}
	w.token = strings.TrimSpace(string(b))
	return w, nil
}

// run returns when all waves are over or ctx ends; noise that was made is taken back in both cases.
func (w *waves) run(ctx context.Context, start time.Time) {
	defer w.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for _, n := range w.e.Noise {
		wg.Go(func() { w.makeNoise(ctx, n, start) })
	}
	if w.e.Jobs != nil {
		for _, wave := range w.e.Jobs.Waves {
			wg.Go(func() { w.submit(ctx, wave, start) })
		}
	}
	wg.Wait()
}

func (w *waves) makeNoise(ctx context.Context, n Noise, start time.Time) {
	if !sleepUntil(ctx, start.Add(n.At.Std())) {
		return
	}
	for _, url := range n.Targets {
		w.note(w.post(ctx, url, "/v1/faults", "", target.FaultsRequest{Slowdown: n.Slowdown}))
	}
	sleepUntil(ctx, start.Add(n.At.Std()+n.For.Std()))
	for _, url := range n.Targets {
		w.note(w.post(context.WithoutCancel(ctx), url, "/v1/faults", "", target.FaultsRequest{}))
	}
}

func (w *waves) submit(ctx context.Context, wave JobWave, start time.Time) {
	for i := range wave.Count {
		if !sleepUntil(ctx, start.Add(wave.At.Std()+time.Duration(i)*wave.Every.Std())) {
			return
		}
		job := wave.Job
		job.Job += "-" + w.name + "-" + strconv.Itoa(i)
		err := w.post(ctx, w.e.Jobs.Administration, "/v1/jobs", w.token, job)
		w.note(err)
		if err == nil {
			w.mu.Lock()
			w.submitted++
			w.mu.Unlock()
		}
	}
}

func (w *waves) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && len(w.problems) < maxProblems {
		w.problems = append(w.problems, err.Error())
	}
}

func (w *waves) post(ctx context.Context, base, path, token string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(base, "/")+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(res.Body, 200)) // only for the error
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("POST %s%s: status %d: %s", base, path, res.StatusCode, detail)
	}
	return nil
}
