package front_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/serve/front"
)

func (f *fixture) client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// send sends a request with a deadline and returns its outcome and duration.
func send(c *http.Client, url string, within time.Duration) (string, time.Duration) {
	start := time.Now()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
	if err != nil {
		return err.Error(), 0
	}
	req.Header.Set(front.HeaderDeadline, start.Add(within).Format(time.RFC3339Nano))
	resp, err := c.Do(req)
	if err != nil {
		return "error", time.Since(start)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(front.HeaderOutcome), time.Since(start)
}

// timeRefusals measures the time that the front takes to refuse a request. The returned function returns the sorted
// times.
func (f *fixture) timeRefusals() func() []time.Duration {
	var mu sync.Mutex
	var list []time.Duration
	f.server.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		start := time.Now()
		f.front.Load().ServeHTTP(rw, r)
		if rw.Header().Get(front.HeaderOutcome) == string(front.NotRun) {
			mu.Lock()
			defer mu.Unlock()
			list = append(list, time.Since(start))
		}
	})
	return func() []time.Duration {
		mu.Lock()
		defer mu.Unlock()
		slices.Sort(list)
		return list
	}
}

// BenchmarkOverload measures goodput within the deadline at capacity and at ten times that, and the p99 of refusals, on
// 16 slots of targets that run for 20 ms. Run it with -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	const (
		run    = 20 * time.Millisecond
		within = 200 * time.Millisecond
		length = 4 * time.Second
	)
	for range b.N {
		target := func(http.ResponseWriter, *http.Request) { time.Sleep(run) }
		f := newFixture(b, nil, newPeer(b, 8, target), newPeer(b, 8, target))
		refusalTimes := f.timeRefusals()
		c, url := f.client(), f.server.URL+"/services/book/x"
		var good atomic.Int64
		var wg sync.WaitGroup
		end := time.Now().Add(length)
		for range 20 {
			wg.Go(func() {
				for time.Now().Before(end) {
					if o, d := send(c, url, within); o == string(front.Complete) && d <= within {
						good.Add(1)
					}
				}
			})
		}
		wg.Wait()
		capacity := float64(good.Swap(0)) / length.Seconds()
		offered := 10 * capacity
		var mu sync.Mutex
		var refusals []time.Duration
		outcomes := make(map[string]int)
		start := time.Now()
		sent := 0
		for ; time.Since(start) < length; sent++ {
			if wait := time.Until(start.Add(time.Duration(float64(sent) / offered * float64(time.Second)))); wait > 0 {
				time.Sleep(wait)
			}
			wg.Go(func() {
				o, d := send(c, url, within)
				if o == string(front.Complete) && d <= within {
					good.Add(1)
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[o]++
				if o == string(front.NotRun) {
					refusals = append(refusals, d)
				}
			})
		}
		elapsed := time.Since(start)
		wg.Wait()
		slices.Sort(refusals)
		goodput := float64(good.Load()) / elapsed.Seconds()
		b.Logf("capacity %.0f/s, offered %.0f/s, goodput %.0f/s, outcomes %v", capacity, float64(sent)/elapsed.Seconds(),
			goodput, outcomes)
		b.ReportMetric(goodput/capacity, "goodput/capacity")
		b.ReportMetric(float64(refusals[len(refusals)*99/100])/1e6, "refusal-p99-ms")
		b.ReportMetric(float64(refusals[len(refusals)/2])/1e6, "refusal-p50-ms")
		list := refusalTimes()
		b.ReportMetric(float64(list[len(list)*99/100])/1e6, "refusal-p99-inside-ms")
	}
}

func tcpPair(b *testing.B) (x, y net.Conn) {
	b.Helper()
	ln, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	if x, err = (&net.Dialer{}).DialContext(b.Context(), "tcp", ln.Addr().String()); err != nil {
		b.Fatal(err)
	}
	if y, err = ln.Accept(); err != nil {
		b.Fatal(err)
	}
	return x, y
}

// plainProxy returns a proxy that forwards requests with net/http alone.
func plainProxy(target string) *httptest.Server {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI = ""
		out.URL.Scheme, out.URL.Host = "http", target
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCost compares the CPU time of front and relay, with a session over TCP, with that of a plain net/http proxy.
// Caller and target run in the same process; their CPU time, measured without a proxy, is subtracted from both.
func BenchmarkCost(b *testing.B) {
	const (
		clients = 32
		count   = 30_000
		rounds  = 5
	)
	body := bytes.Repeat([]byte("x"), 1024)
	p := newPeer(b, 64, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(body)
	})
	p.close()
	x, y := tcpPair(b)
	p.connectOver(b, x, y, noCut, noCut)
	f := newFixture(b, nil, p)
	proxy := plainProxy(p.target.Listener.Addr().String())
	defer proxy.Close()
	c := f.client()
	run := func(url string) float64 {
		var wg sync.WaitGroup
		var failed atomic.Int64
		before := cpuTime()
		for range clients {
			wg.Go(func() {
				for range count / clients {
					req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
					if err != nil {
						failed.Add(1)
						continue
					}
					resp, err := c.Do(req)
					if err != nil {
						failed.Add(1)
						continue
					}
					if n, err := io.Copy(io.Discard, resp.Body); n != int64(len(body)) || err != nil {
						failed.Add(1)
					}
					resp.Body.Close()
				}
			})
		}
		wg.Wait()
		if failed.Load() > 0 {
			b.Errorf("%s: %d requests failed", url, failed.Load())
		}
		return float64((cpuTime()-before)/time.Microsecond) / count
	}
	for range b.N {
		var direct, viaProxy, viaFront []float64
		for range rounds {
			direct = append(direct, run(p.target.URL+"/x"))
			viaProxy = append(viaProxy, run(proxy.URL+"/x"))
			viaFront = append(viaFront, run(f.server.URL+"/services/book/x"))
		}
		for _, list := range [][]float64{direct, viaProxy, viaFront} {
			slices.Sort(list)
		}
		directTime, proxyTime, frontTime := direct[rounds/2], viaProxy[rounds/2], viaFront[rounds/2]
		b.Logf("µs per request, medians of %d: direct %.1f, plain proxy %.1f, front and relay %.1f", rounds,
			directTime, proxyTime, frontTime)
		b.ReportMetric(proxyTime-directTime, "bare-µs")
		b.ReportMetric(frontTime-directTime, "ours-µs")
		b.ReportMetric((frontTime-directTime)/(proxyTime-directTime), "ours/bare")
	}
}
