package drive_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/load/drive"
	"trefoilramp.org/trefoilramp/internal/stand/target"
)

func service(rate float64, requests ...drive.Request) drive.Service {
	for i := range requests {
		requests[i].Weight = 1
		requests[i].Deadline = model.Duration(time.Second)
		if requests[i].Method == "" {
			requests[i].Method = http.MethodGet
		}
	}
	return drive.Service{Name: "booking", Rate: rate, Deadline: model.Duration(time.Second), Requests: requests}
}

func experiment(duration time.Duration, services ...drive.Service) drive.Experiment {
	return drive.Experiment{
		Name: "test", Entries: []string{"127.0.0.1:1"}, Seed: 5, Duration: model.Duration(duration),
		MaxRequests: 100000, MaxInFlight: 512, Interval: model.Duration(time.Second),
		Patience: model.Duration(500 * time.Millisecond), Services: services,
	}
}

// Guards against schedules that are not reproducible from the seed, and against swings with a wrong rate or at a wrong
// time.
func TestSchedule(t *testing.T) {
	s := service(100, drive.Request{Path: "/"})
	s.Swings = []drive.Swing{{At: model.Duration(10 * time.Second), Over: model.Duration(2 * time.Second), For: model.Duration(10 * time.Second), Factor: 10}}
	e := experiment(40*time.Second, s)
	list, err := e.Schedule()
	if err != nil {
		t.Fatal(err)
	}
	second, err := e.Schedule()
	if err != nil || !cmp.Equal(list, second) {
		t.Errorf("two schedules with the same seed differ, error %v", err)
	}
	counts := make([]int, 4) // before the swing, at its peak, after it; the last is unused
	for _, a := range list {
		switch {
		case a.At < 10*time.Second:
			counts[0]++
		case a.At >= 12*time.Second && a.At < 22*time.Second:
			counts[1]++
		case a.At >= 24*time.Second && a.At < 34*time.Second:
			counts[2]++
		}
	}
	if counts[0] < 850 || counts[0] > 1150 || counts[1] < 9500 || counts[1] > 10500 || counts[2] < 850 || counts[2] > 1150 {
		t.Errorf("arrivals in 10 s before, during and after the peak are %v, want about 1000, 10000, 1000", counts)
	}
	e.MaxRequests = 500
	if _, err := e.Schedule(); err == nil {
		t.Error("a schedule with more than MaxRequests arrivals was accepted")
	}
}

// Guards against experiments that send load to other machines or exceed the limits.
func TestParseFaults(t *testing.T) {
	_, err := drive.Parse([]byte(`{"Name": "x", "Entries": ["127.0.0.1:80", "10.0.0.1:80", "localhost:80", "[::1]:80"],
		"Duration": "2h", "MaxRequests": 2000000, "Services": [{"Name": "a", "Rate": 1, "Deadline": "1s",
		"Requests": [{"Name": "r", "Weight": 1, "Path": "x"}]}],
		"Noise": [{"At": "1s", "For": "1s", "Slowdown": 2, "Targets": ["http://192.0.2.1:80"]}], "Jobs": {"Administration": "http://a:1"}}`))
	if err == nil {
		t.Fatal("an invalid experiment was accepted")
	}
	for _, path := range []string{
		"$.Entries[1]:", "$.Entries[2]:", "$.Duration:", "$.MaxRequests:", "$.Services[0].Requests[0].Path:",
		"$.Noise[0].Targets[0]:", "$.Jobs.Administration:", "$.Jobs.TokenFile:",
	} {
		if !strings.Contains(err.Error(), path) {
			t.Errorf("no fault at %s in error: %v", path, err)
		}
	}
	if strings.Contains(err.Error(), "$.Entries[0]") || strings.Contains(err.Error(), "$.Entries[3]") {
		t.Errorf("a loopback address was rejected: %v", err)
	}
}

// Guards against experiment files in the repository that a change of the format has made invalid.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.json")
	if err != nil || len(files) < 3 {
		t.Fatalf("files %v, %v", files, err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		e, err := drive.Parse(b)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		if _, err := e.Schedule(); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

func run(t *testing.T, e drive.Experiment, h http.Handler) drive.Run {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	e.Entries = []string{srv.Listener.Addr().String()}
	r, err := drive.Do(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against coordinated omission: the latency of requests that are scheduled during a stall must include the wait.
func TestStallShowsInLatency(t *testing.T) {
	var once sync.Once
	var mu sync.RWMutex
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() {
			mu.Lock()
			time.AfterFunc(400*time.Millisecond, mu.Unlock)
		})
		mu.RLock()
		defer mu.RUnlock()
		w.WriteHeader(http.StatusOK)
	})
	r := run(t, experiment(time.Second, service(200, drive.Request{Path: "/"})), h)
	slow := 0
	for _, s := range r.Samples {
		if s.Outcome != drive.Complete {
			t.Errorf("outcome is %v, want Complete", s.Outcome)
		}
		if s.Latency > 100*time.Millisecond {
			slow++
		}
	}
	if slow < 30 { // 300 ms of arrivals at 200/s wait for more than 100 ms
		t.Errorf("%d of %d requests took over 100 ms after a stall of 400 ms, want at least 30", slow, len(r.Samples))
	}
}

// Guards against misclassified outcomes, which would falsify all figures of a report.
func TestOutcomes(t *testing.T) {
	tg := target.New(target.Options{Slots: 8, Connections: 8})
	outcome := func(status int, name string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trefoilramp-Outcome", name)
			w.WriteHeader(status)
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/services/booking/", http.StripPrefix("/services/booking", tg.Handler()))
	mux.HandleFunc("/services/booking/notrun/", outcome(http.StatusServiceUnavailable, "NotRun"))
	mux.HandleFunc("/services/booking/unknown/", outcome(http.StatusGatewayTimeout, "Unknown"))
	mux.HandleFunc("/services/booking/failed/", outcome(http.StatusNotFound, "Complete"))
	mux.HandleFunc("/services/booking/moved/", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://192.0.2.1/", http.StatusFound) // must not be followed, since it leaves the machine
	})
	mux.HandleFunc("/services/booking/wrong/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(target.ChecksumHeader, target.Checksum([]byte("other")))
		w.Write([]byte("answer"))
	})
	mux.HandleFunc("/services/booking/other/", func(w http.ResponseWriter, _ *http.Request) {
		b := []byte(`{"Path":"/slots/another-request","Body":"` + target.Checksum(nil) + `"}`)
		w.Header().Set(target.ChecksumHeader, target.Checksum(b))
		w.Write(b)
	})
	mux.HandleFunc("/services/booking/late/", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	tests := []struct {
		request drive.Request
		want    drive.Outcome
	}{
		{drive.Request{Path: "/slots"}, drive.Complete},
		{drive.Request{Path: "/echo?trailer=1", Method: http.MethodPost, Body: 100000}, drive.Complete},
		{drive.Request{Path: "/stream?interval=10ms", Stream: model.Duration(100 * time.Millisecond)}, drive.Complete},
		{drive.Request{Path: "/moved"}, drive.Complete},
		{drive.Request{Path: "/break"}, drive.Broken},
		{drive.Request{Path: "/notrun"}, drive.NotRun},
		{drive.Request{Path: "/unknown"}, drive.Unknown},
		{drive.Request{Path: "/failed"}, drive.Failed},
		{drive.Request{Path: "/wrong"}, drive.Wrong},
		{drive.Request{Path: "/other"}, drive.Wrong},
		{drive.Request{Path: "/late"}, drive.Timeout},
	}
	requests := make([]drive.Request, len(tests))
	for i, test := range tests {
		requests[i] = test.request
	}
	r := run(t, experiment(time.Second, service(100, requests...)), mux)
	seen := make(map[int]bool)
	for _, s := range r.Samples {
		seen[s.Request] = true
		if want := tests[s.Request].want; s.Outcome != want {
			t.Errorf("%s is %v, want %v", tests[s.Request].request.Path, s.Outcome, want)
		}
	}
	if len(seen) != len(tests) {
		t.Errorf("only %d of %d kinds of requests were sent", len(seen), len(tests))
	}
	if c := tg.Counts(); c.Corrupt != 0 || c.PeakConnections == 0 {
		t.Errorf("target counts are %+v, want no corrupt requests and at least one connection", c)
	}
}

// Guards against runs that ignore cancellation, and against noise that stays on the targets after an interrupted run.
func TestInterruptResetsNoise(t *testing.T) {
	tg := target.New(target.Options{Slots: 4, Connections: 4, Times: target.Times{Service: time.Millisecond}})
	srv := httptest.NewServer(tg.Handler())
	defer srv.Close()
	e := experiment(time.Minute, service(50, drive.Request{Path: "/"}))
	e.Entries = []string{srv.Listener.Addr().String()}
	e.Noise = []drive.Noise{{For: model.Duration(time.Minute), Slowdown: 100, Targets: []string{srv.URL}}}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	began := time.Now()
	r, err := drive.Do(ctx, e)
	if err != nil || !r.Interrupted || time.Since(began) > 5*time.Second || len(r.Problems) > 0 {
		t.Fatalf("interrupted %v after %v, problems %v, error %v", r.Interrupted, time.Since(began), r.Problems, err)
	}
	slow := 0
	for _, s := range r.Samples {
		if s.Latency > 90*time.Millisecond {
			slow++
		}
	}
	after := run(t, experiment(300*time.Millisecond, service(50, drive.Request{Path: "/"})), tg.Handler())
	for _, s := range after.Samples {
		if s.Latency > 90*time.Millisecond {
			t.Errorf("latency is %v after the noise was reset, want at most 90 ms", s.Latency)
		}
	}
	if slow == 0 {
		t.Error("no request was slowed down by the noise")
	}
}
