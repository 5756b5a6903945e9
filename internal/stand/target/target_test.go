package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/plat/notice"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/target"
)

// serve starts a target and returns it with its URL.
func serve(t *testing.T, o target.Options) (*target.Target, string) {
	t.Helper()
	tg := target.New(o)
	srv := httptest.NewServer(tg.Handler())
	t.Cleanup(srv.Close)
	return tg, srv.URL
}

// send sends a request and returns the body of the response and the checksum from its header or trailer.
func send(t *testing.T, method, url, id string, body []byte) (got []byte, sum string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(notice.RequestHeader, id)
	if body != nil {
		req.Header.Set(target.ChecksumHeader, target.Checksum(body))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	got, err = io.ReadAll(res.Body)
	return got, res.Header.Get(target.ChecksumHeader) + res.Trailer.Get(target.ChecksumHeader), err
}

// Guards against paths that respond differently from the package comment; checks of whole responses rely on them.
func TestPaths(t *testing.T) {
	tg, url := serve(t, target.Options{Target: "t1", Service: "booking", Slots: 2, Connections: 4})
	body := bytes.Repeat([]byte("technician"), 100000)
	for _, path := range []string{"/echo", "/echo?trailer=1"} {
		got, sum, err := send(t, http.MethodPost, url+path, "echo", body)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("%s: %d bytes, %v", path, len(got), err)
		}
		if sum != target.Checksum(body) {
			t.Errorf("%s: checksum %q", path, sum)
		}
	}
	got, _, err := send(t, http.MethodGet, url+"/slots/today?size=100", "answer", nil)
	var a target.Answer
	if err != nil || json.Unmarshal(got, &a) != nil || a.Request != "answer" || a.Path != "/slots/today" ||
		len(a.Padding) != 100 {
		t.Errorf("answer is %s, %v", got, err)
	}
	if got, _, err := send(
		t, http.MethodGet, url+"/stream?count=3&interval=1ms", "stream", nil,
	); string(got) != "1\n2\n3\n" {
		t.Errorf("stream is %q, %v", got, err)
	}
	if got, _, err := send(t, http.MethodGet, url+"/break?size=1000", "break", nil); err == nil || len(got) != 500 {
		t.Errorf("broken body has %d bytes, %v", len(got), err)
	}
	want := map[string][2]int{"echo": {2, 2}, "answer": {1, 1}, "stream": {1, 1}, "break": {1, 0}}
	for _, r := range tg.Records() {
		if want[string(r.Request)] != [2]int{r.Runs, r.Completed} {
			t.Errorf("record is %+v", r)
		}
	}
	if n := len(tg.Records()); n != len(want) {
		t.Errorf("%d requests are recorded, want %d", n, len(want))
	}
}

// Guards against a target that runs more requests at a time than it has slots, which would hide overload.
func TestSlots(t *testing.T) {
	tg, url := serve(t, target.Options{Slots: 2, Connections: 9, Times: target.Times{Service: 50 * time.Millisecond}})
	started := time.Now()
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			if _, _, err := send(t, http.MethodGet, url+"/", "", nil); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if took := time.Since(started); took < 150*time.Millisecond {
		t.Errorf("6 requests of 50 ms on 2 slots took %v", took)
	}
	if c := tg.Counts(); c.Runs != 6 || c.PeakInFlight > 6 || c.PeakInFlight < 3 || c.InFlight != 0 {
		t.Errorf("counts are %+v", c)
	}
}

// Guards against faults that run a request which they should drop, or drop one which they should run.
func TestFaults(t *testing.T) {
	tests := []struct {
		action script.Action
		runs   uint64
	}{{script.Down, 0}, {script.LoseBefore, 0}, {script.LoseAfter, 1}}
	for _, test := range tests {
		tg, url := serve(t, target.Options{Slots: 1, Connections: 1})
		if err := tg.Faults().Set(script.Rule{Action: test.action}); err != nil {
			t.Fatal(err)
		}
		_, _, err := send(t, http.MethodPost, url+"/", "", []byte("x"))
		if c := tg.Counts(); err == nil || c.Runs != test.runs {
			t.Errorf("%v: error %v, %d runs", test.action, err, c.Runs)
		}
	}
}

// Guards against a target that closes its listener before it has announced Leaving, or that aborts a request in
// progress.
func TestRunAnnouncesAndLeaves(t *testing.T) {
	var mu sync.Mutex
	var states []notice.State
	ready := make(chan string, 64)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a notice.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || a.Validate() != nil || r.URL.Path != notice.Path {
			t.Errorf("announcement %+v to %s: %v, %v", a, r.URL.Path, err, a.Validate())
		}
		mu.Lock()
		states = append(states, a.State)
		mu.Unlock()
		ready <- a.Address
	}))
	defer agent.Close()
	l, err := host.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := target.New(target.Options{
		Target: "t1", Service: "booking", Slots: 1, Connections: 1, Times: target.Times{Service: 300 * time.Millisecond},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- tg.Run(ctx, l, target.Process{Agent: agent.URL, Leave: 100 * time.Millisecond, Drain: 5 * time.Second})
	}()
	url := "http://" + <-ready
	response := make(chan error, 1)
	go func() {
		_, _, err := send(t, http.MethodGet, url+"/", "", nil)
		response <- err
	}()
	for tg.Counts().Runs == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-response; err != nil {
		t.Errorf("request in progress: %v", err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if states[0] != notice.Ready || states[len(states)-1] != notice.Leaving {
		t.Errorf("announced states are %v", states)
	}
}

// Guards against validation that reports only the first invalid setting, or omits the path of one.
func TestSettingsListEveryFault(t *testing.T) {
	var s target.Settings
	err := host.Parse([]byte(`{"Target": "a b", "Address": "here", "Servant": "x", "Times": {"Jitter": 2}}`), &s)
	if err == nil {
		t.Fatal("faulty settings were accepted")
	}
	for _, path := range []string{
		"$.Target", "$.Address", "$.Servant", "$.Service", "$.Times.Jitter", "$.Agent", "$.Slots",
	} {
		if !strings.Contains(err.Error(), path+":") {
			t.Errorf("no fault at %s in: %v", path, err)
		}
	}
}
