package check

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/demo/inproc"
	"trefoilramp.org/trefoilramp/internal/serve/front"
)

const (
	concurrentCallers = 16
	maxBody           = 100 << 10 // bytes of a request
	requestTimeout    = 5 * time.Second
)

// caller sends requests to the entries and compares every response with the expected one.
type caller struct {
	http  *http.Client
	bases []string

	mu       sync.Mutex
	counts   Requests
	notRun   []string // paths of requests refused with NotRun
	failures []string
}

func newCaller(s *inproc.System) *caller {
	c := &caller{http: &http.Client{Timeout: requestTimeout}}
	for _, e := range s.Entries {
		c.bases = append(c.bases, e.Callers()+"/services/"+inproc.ServiceName)
	}
	return c
}

// run sends n requests from several goroutines; if n is 0, it sends requests until ctx ends.
func (c *caller) run(ctx context.Context, n int, seed uint64) {
	var wg sync.WaitGroup
	for i := range concurrentCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for k := i; (n == 0 || k < n) && ctx.Err() == nil; k += concurrentCallers {
				c.echo(context.WithoutCancel(ctx), rng, fmt.Sprintf("/echo/%d-%d", seed, k))
			}
		})
	}
	wg.Wait()
}

// burst sends n slow requests concurrently, so that together they need more slots than there are.
func (c *caller) burst(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			path := fmt.Sprintf("/long/%d", i)
			outcome, got, err := c.send(ctx, c.bases[i%len(c.bases)], path, "", nil)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.count(path, outcome, got, err, true)
		})
	}
	wg.Wait()
}

// echo sends a random body and expects the response to repeat it.
func (c *caller) echo(ctx context.Context, rng *rand.Rand, path string) {
	body := make([]byte, rng.IntN(maxBody))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	outcome, got, err := c.send(ctx, c.bases[rng.IntN(len(c.bases))], path, "", body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(path, outcome, got, err, bytes.Equal(got, body))
}

// count records the outcome of a request; the caller holds c.mu.
func (c *caller) count(path, outcome string, got []byte, err error, matches bool) {
	switch {
	case err != nil:
		c.counts.Broken++
		c.failures = append(c.failures, fmt.Sprintf("%s: %v", path, err))
	case outcome == "Complete" && !matches:
		c.counts.Wrong++
		c.failures = append(c.failures, fmt.Sprintf("%s: response of %d bytes differs from the request", path, len(got)))
	case outcome == "Complete":
		c.counts.Complete++
	case outcome == "NotRun":
		c.counts.NotRun++
		c.notRun = append(c.notRun, path)
	default:
		c.counts.Unknown++
		c.failures = append(c.failures, fmt.Sprintf("%s: outcome %q: %s", path, outcome, strings.TrimSpace(string(got))))
	}
}

// failedRequests describes each request that was cut off, got a wrong response or has an unknown outcome.
func (c *caller) failedRequests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.failures)
}

// send sends a request and returns its outcome and body; a request with an idempotency key is declared not idempotent.
func (c *caller) send(ctx context.Context, base, path, key string, body []byte) (outcome string, got []byte, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return "", nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set(front.HeaderIdempotent, "true")
	if key != "" {
		r.Header.Set(front.HeaderIdempotent, "false")
		r.Header.Set(front.HeaderIdempotencyKey, key)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return "", nil, fmt.Errorf("send: %w", err)
	}
	defer w.Body.Close()
	got, err = io.ReadAll(w.Body)
	if err != nil {
		return "", nil, fmt.Errorf("read response: %w", err)
	}
	return w.Header.Get(front.HeaderOutcome), got, nil
}
