package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/plat/notice"
)

const loadExperiment = `{"Name": "short", "Entries": ["127.0.0.1:1"], "Duration": "500ms", "MaxRequests": 1000, "Services": [
	{"Name": "booking", "Rate": 100, "Deadline": "1s", "Requests": [{"Name": "r", "Weight": 1, "Path": "/"}]}]}`

// Guards against invalid settings and experiments that are not reported, and against a target process that exits on
// SIGTERM without announcing Leaving. The target also receives the requests of a load run.
func TestTargetProcessAndLoad(t *testing.T) {
	p := build(t)
	announced := make(chan notice.Announcement, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a notice.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			t.Error(err)
		}
		announced <- a
	}))
	defer agent.Close()
	p.write(t, "target.json", `{"Target": "t1", "Service": "booking", "Address": "127.0.0.1:0", "Agent": "`+agent.URL+
		`", "Slots": 8, "Leave": "200ms", "Times": {"Service": "1ms"}}`)
	p.write(t, "short.json", loadExperiment)
	p.write(t, "far.json", strings.Replace(loadExperiment, "127.0.0.1:1", "192.0.2.1:80", 1))
	c := exec.CommandContext(t.Context(), p.path, "standin", "target", "--settings", "target.json")
	c.Dir = p.dir
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	var address string
	select {
	case a := <-announced:
		address = a.Address
	case <-time.After(10 * time.Second):
		t.Fatal("the target did not announce itself")
	}
	for _, tt := range []struct {
		args   string
		code   int
		stdout string
		stderr string
	}{
		{"standin store", 2, "", "needs --settings FILE"},
		{"standin queue", 2, "", "use one of store, worker, target"},
		{"standin target --settings target.json --check", 0, "valid", ""},
		{"standin store --settings target.json --check --json", 2, `"Path":"$.Target"`, "unknown field"},
		{"load --experiment far.json", 2, "", "$.Entries[0]"},
		{"load --experiment short.json --entry 192.0.2.1:80", 2, "", "$.Entries[0]"},
		{"load --experiment short.json --out a --entry " + address, 0, "100.00 %", ""},
		{"load --experiment short.json --out b --json --entry " + address, 0, `"GoodShare": 1`, ""},
		{"load --compare a.json b.json", 0, "good share", ""},
		{"load --compare a.json", 2, "", "needs two reports"},
	} {
		code, stdout, stderr := p.run(t.Context(), tt.args)
		if code != tt.code || !strings.Contains(stdout, tt.stdout) || !strings.Contains(stderr, tt.stderr) {
			t.Errorf("trefoilramp %s: exit code %d, want %d\nstdout: %s\nstderr: %s", tt.args, code, tt.code, stdout, stderr)
		}
	}
	if _, err := os.Stat(filepath.Join(p.dir, "a.html")); err != nil {
		t.Error(err)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("target process: %v", err)
	}
	var last notice.Announcement
	for len(announced) > 0 {
		last = <-announced
	}
	if last.State != notice.Leaving {
		t.Errorf("last announcement is %+v, want state Leaving", last)
	}
}
