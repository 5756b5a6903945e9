package main_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"

	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// Guards against an operator who gets no response to a change and is told only to check the address, or whose repeat is
// refused or submits a second job.
func TestUnansweredChange(t *testing.T) {
	p := build(t)
	api, err := url.Parse(strings.TrimPrefix(p.env[0], "TREFOILRAMP_ADDRESS="))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex // guards ids and dropped
	var ids []string  // of the submitted jobs
	dropped := make(map[string]bool)
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == "/v1/jobs" {
			b, err := io.ReadAll(r.Body)
			j, parseErr := admin.ParseJob(b)
			if err != nil || parseErr != nil {
				t.Errorf("job %s: %v, %v", b, err, parseErr)
			}
			ids = append(ids, j.Job)
			panic(http.ErrAbortHandler)
		}
		rec := httptest.NewRecorder()
		httputil.NewSingleHostReverseProxy(api).ServeHTTP(rec, r)
		if !dropped[r.URL.Path] {
			dropped[r.URL.Path] = true
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(rec.Code)
		w.Write(rec.Body.Bytes())
	}))
	defer proxy.Close()
	p.env[0] = "TREFOILRAMP_ADDRESS=" + proxy.URL
	p.write(t, "job.json", `{"Team":"team-1","Class":"standard","Command":"plan","Tasks":3}`)
	const apply, submit = "config apply --base 0 doc.json", "job submit --file job.json"
	for _, c := range []struct {
		args           string
		code           int
		stdout, stderr string
	}{
		{apply, 1, "", "may have taken effect or may still do so; repeat the command"},
		{apply, 0, "version 1 is accepted", ""},
		{submit, 1, "", "may have taken effect or may still do so; repeat the command with --id job-"},
		{submit + " --id plan-7", 1, "", "--id plan-7"},
		{submit + " --address 127.0.0.1:1", 1, "", "check --address"},
	} {
		code, stdout, stderr := p.run(t.Context(), c.args)
		mu.Lock()
		if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) ||
			strings.Count(stderr, "\n") != code {
			t.Errorf("trefoilramp %s: exit code %d, want %d\nstdout: %s\nstderr: %s", c.args, code, c.code, stdout, stderr)
		}
		if len(ids) > 0 && code == 1 && !strings.Contains(c.args, "--address") && !strings.Contains(stderr, "--id "+ids[len(ids)-1]) {
			t.Errorf("trefoilramp %s: standard error %q does not name the job %q", c.args, stderr, ids[len(ids)-1])
		}
		mu.Unlock()
	}
}
