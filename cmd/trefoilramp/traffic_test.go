package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/serve/front"
)

// attempt is one request of a caller with its result.
type attempt struct {
	Path    string
	Keyed   bool
	Sent    time.Time
	Got     time.Time
	Outcome string // empty without a complete response
	Status  int
	Right   bool   // the body is as expected
	Body    string // of keyed requests and of responses other than Complete with status 200
}

// traffic sends requests through all entries and records them.
type traffic struct {
	client  *http.Client
	callers []string

	mu       sync.Mutex
	attempts []attempt
}

func newTraffic(callers []string) *traffic {
	return &traffic{callers: callers, client: &http.Client{
		Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32},
	}}
}

// send sends a request and records it; isExpected checks the body of a Complete response.
func (c *traffic) send(base, path, key string, body []byte, isExpected func(got []byte) bool) attempt {
	a := attempt{Path: path, Keyed: key != "", Sent: time.Now()}
	defer func() {
		a.Got = time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempts = append(c.attempts, a)
	}()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+"/services/booking"+path,
		bytes.NewReader(body))
	if err != nil {
		return a
	}
	r.Header.Set(front.HeaderIdempotent, fmt.Sprint(key == ""))
	if key != "" {
		r.Header.Set(front.HeaderIdempotencyKey, key)
	}
	w, err := c.client.Do(r)
	if err != nil {
		return a
	}
	defer w.Body.Close()
	got, err := io.ReadAll(w.Body)
	if err != nil {
		return a
	}
	a.Outcome, a.Status = w.Header.Get(front.HeaderOutcome), w.StatusCode
	complete := a.Outcome == "Complete" && w.StatusCode == http.StatusOK
	a.Right = complete && isExpected(got)
	if key != "" || !complete {
		a.Body = string(got)
	}
	return a
}

// run sends requests until ctx ends: echoes, requests whose response the target cuts off, and keyed requests.
func (c *traffic) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(g)))
			for i := 0; ctx.Err() == nil; i++ {
				c.echo(rng, fmt.Sprintf("/echo/%d-%d", g, i))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			size := 1000 << (i % 10) // up to 512 kB, below and above the buffer of an entry
			c.send(c.callers[i%len(c.callers)], fmt.Sprintf("/break/%d?size=%d", i, size), "", nil,
				func([]byte) bool { return false })
			time.Sleep(100 * time.Millisecond)
		}
	})
	for g := range 4 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c.keyed(ctx, fmt.Sprintf("van-%d-%d", g, i))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

func (c *traffic) echo(rng *rand.Rand, path string) attempt {
	size := rng.IntN(20_000)
	if rng.IntN(20) == 0 {
		size = 200_000 + rng.IntN(300_000) // around the 256 KiB buffer of an entry
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return c.send(c.callers[rng.IntN(len(c.callers))], path, "", body,
		func(got []byte) bool { return bytes.Equal(got, body) })
}

// keyed sends a request through all entries at once, then retries it, at most four times, until it is Complete.
func (c *traffic) keyed(ctx context.Context, key string) {
	path := "/dispatch/" + key
	body := []byte(`{"Van":"` + key + `"}`)
	isExpected := func(got []byte) bool {
		var a struct{ Path string }
		return json.Unmarshal(got, &a) == nil && a.Path == path
	}
	var wg sync.WaitGroup
	for _, base := range c.callers {
		wg.Go(func() { c.send(base, path, key, body, isExpected) })
	}
	wg.Wait()
	for i := range 4 {
		if ctx.Err() != nil || c.send(c.callers[i%len(c.callers)], path, key, body, isExpected).Outcome == "Complete" {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *traffic) history() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}

func getJSON(ctx context.Context, url string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	return json.NewDecoder(w.Body).Decode(v)
}
