package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

const (
	processKey   = "process-test-shared-key"
	readToken    = "process-test-read-token"
	changeToken  = "process-test-change-token"
	processZone  = "agadir"
	startTimeout = 15 * time.Second
	workerMemory = 8e9 // bytes
)

// process is a running process of the built binary.
type process struct {
	name   string
	cmd    *exec.Cmd
	events chan logLine
	done   chan struct{}
}

// logLine holds the fields of a log line that the tests use.
type logLine struct {
	Event          event.Number
	Address        string
	Callers        string
	Administration string
	Sessions       string // advertised address for sessions
	Announcements  string
	Listening      string // local address for sessions
}

// deployment is a set of processes in one directory.
type deployment struct {
	t      testing.TB
	binary string
	dir    string
}

func newDeployment(t testing.TB) *deployment {
	d := &deployment{t: t, dir: t.TempDir()}
	d.binary = filepath.Join(d.dir, "trefoilramp")
	if b, err := exec.CommandContext(t.Context(), "go", "build", "-o", d.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	return d
}

// start starts a process, waits until it logs the event until, and returns that log line, which has its addresses.
func (d *deployment) start(name string, until event.Number, settings any, args ...string) (*process, logLine) {
	d.t.Helper()
	path := filepath.Join(d.dir, name+".json")
	b, err := json.Marshal(settings)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		d.t.Fatal(err)
	}
	p := &process{name: name, events: make(chan logLine, 1024), done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.Background(), d.binary, append(args, "--settings", path)...)
	logs, err := p.cmd.StderrPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go p.read(logs, filepath.Join(d.dir, name+".log"))
	d.t.Cleanup(func() { p.kill() })
	for timeout := time.After(startTimeout); ; {
		select {
		case l := <-p.events:
			if l.Event == until {
				return p, l
			}
		case <-p.done:
			b, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
			d.t.Fatalf("%s exited early:\n%s", name, b)
		case <-timeout:
			d.t.Fatalf("%s did not log %v", name, until)
		}
	}
}

// read copies the log to a file and sends its events to a channel. It drops events while the channel is full.
func (p *process) read(logs io.Reader, path string) {
	defer close(p.done)
	f, err := os.Create(path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }() // an incomplete log fails no test
	s := bufio.NewScanner(logs)
	for s.Scan() {
		fmt.Fprintln(f, s.Text())
		var l logLine
		if json.Unmarshal(s.Bytes(), &l) == nil {
			select {
			case p.events <- l:
			default:
			}
		}
	}
}

func (p *process) kill() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.cmd.Wait()
	}
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM, waits for the process to exit and returns the exit code.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-p.done
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

type object map[string]any

func secretOf(v string) object { return object{"Value": v} }

// basicCluster is a deployment with a store, entries and workers, each with an agent and a target, whose processes are
// not restarted.
type basicCluster struct {
	*deployment
	settings map[string]object // settings of every process of a role that replace or add to the usual ones
	store    string            // base URL
	entries  []*process
	callers  []string // base URLs
	api      []*admin.Client
	agents   []*process
	session  string // address of the newest entry for sessions
}

func (p *basicCluster) addEntry(name string) {
	settings := object{
		"Name": name, "AvailabilityZone": processZone, "Callers": "127.0.0.1:0", "Administration": "127.0.0.1:0",
		"Sessions": "127.0.0.1:0", "Store": p.store, "Key": secretOf(processKey), "ReadToken": secretOf(readToken),
		"ChangeToken": secretOf(changeToken),
	}
	maps.Copy(settings, p.settings["entry"])
	e, l := p.start(name, event.ProcessStarted, settings, "entry")
	p.entries = append(p.entries, e)
	p.callers = append(p.callers, "http://"+l.Callers)
	p.api = append(p.api, admin.NewClient("http://"+l.Administration, changeToken, "test", nil))
	p.session = l.Sessions
}

func (p *basicCluster) addWorker(name string) {
	_, l := p.start("worker-"+name, event.StandInStarted, object{
		"Worker": name, "AvailabilityZone": processZone, "Rack": "rack-1", "Address": "127.0.0.1:0", "Store": p.store,
		"Total": object{"Processors": 4000, "Memory": int64(workerMemory), "Slots": 8, "Connections": 64}, "Lag": "500ms",
	}, "standin", "worker")
	settings := object{
		"Name": name, "AvailabilityZone": processZone, "Rack": "rack-1", "Announcements": "127.0.0.1:0",
		"Balancer": p.session, "Worker": "http://" + l.Address, "Key": secretOf(processKey),
	}
	maps.Copy(settings, p.settings["agent"])
	a, al := p.start("agent-"+name, event.ProcessStarted, settings, "agent")
	p.agents = append(p.agents, a)
	p.start("target-"+name, event.StandInStarted, object{
		"Target": "booking-" + name, "Service": "booking", "Address": "127.0.0.1:0", "Agent": "http://" + al.Announcements,
		"Slots": 8, "Connections": 64, "Times": object{"Service": "1ms"},
	}, "standin", "target")
}

func (p *basicCluster) document() []byte {
	d := model.Default()
	d.Services[0].Name = "booking"
	d.AvailabilityZones[0].Name = processZone
	b, err := d.Encode()
	if err != nil {
		p.t.Fatal(err)
	}
	return b
}

func newBasicCluster(t testing.TB, entries, workers int) *basicCluster {
	p := &basicCluster{deployment: newDeployment(t)}
	p.launch(entries, workers)
	return p
}

// launch starts all processes and returns when every entry knows all targets.
func (p *basicCluster) launch(entries, workers int) {
	_, l := p.start("store", event.StandInStarted, object{
		"Address": "127.0.0.1:0", "WritesPerSecond": 300, "ReadsPerSecond": 2000, "Latency": "2ms",
	}, "standin", "store")
	p.store = "http://" + l.Address
	for i := range entries {
		p.addEntry(fmt.Sprintf("entry-%d", i+1))
	}
	if _, err := p.api[0].Apply(p.t.Context(), 0, p.document()); err != nil {
		p.t.Fatalf("apply configuration: %v", err)
	}
	for i := range workers {
		p.addWorker(fmt.Sprintf("w%d", i+1))
	}
	p.await("every entry knows all targets", func() bool {
		for _, api := range p.api {
			st, err := api.Status(p.t.Context())
			if err != nil || st.InForce == 0 || len(st.Services) == 0 || len(st.Services[0].Targets) < workers {
				return false
			}
		}
		return true
	})
}

func (p *basicCluster) await(what string, done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(startTimeout); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("condition not met within %s: %s", startTimeout, what)
		}
	}
}

// Guards against responses that are truncated, mixed up or lost between processes, a batch job that does not finish,
// and a configuration change that does not reach the agents.
func TestProcessesServeAndRunJobs(t *testing.T) {
	t.Parallel()
	p := newBasicCluster(t, 2, 3)
	job := []byte(`{"Job":"plan","Team":"team-1","Class":"standard","Command":"run=100ms","Tasks":200}`)
	if _, err := p.api[1].Submit(t.Context(), job); err != nil {
		t.Fatalf("submit job: %v", err)
	}
	sendRequests(t, p.callers, 10_000)
	_, version, err := p.api[1].Config(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := p.api[1].Apply(t.Context(), version, bytes.Replace(p.document(), []byte(`"Weight": 1`), []byte(`"Weight": 2`), 1))
	if err != nil {
		t.Fatal(err)
	}
	p.await("the configuration is in force in every agent", func() bool {
		st, err := p.api[0].Status(t.Context())
		if err != nil || len(st.Workers) != 3 {
			return false
		}
		for _, w := range st.Workers {
			if w.InForce < accepted.Version {
				return false
			}
		}
		return true
	})
	p.await("the job is finished", func() bool {
		j, err := p.api[0].Job(t.Context(), "plan")
		return err == nil && j.Finished && j.Done == 200
	})
	if code := p.agents[0].terminate(t); code != 0 {
		t.Errorf("agent exited with code %d after SIGTERM", code)
	}
	if code := p.entries[0].terminate(t); code != 0 {
		t.Errorf("entry exited with code %d after SIGTERM", code)
	}
	sendRequests(t, p.callers[1:], 200)
}

// sendRequests sends n requests from 32 goroutines and compares every response byte for byte. It retries requests that
// were refused with NotRun, which is safe for callers.
func sendRequests(t *testing.T, callers []string, n int) {
	t.Helper()
	const goroutines = 32
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: goroutines}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	faults := make(chan error, n)
	for g := range goroutines {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(g)))
			for i := g; i < n; i += goroutines {
				body := make([]byte, rng.IntN(2000))
				for k := range body {
					body[k] = byte(rng.Uint32())
				}
				if err := echo(t.Context(), client, callers[i%len(callers)], i, body); err != nil {
					faults <- err
				}
			}
		})
	}
	wg.Wait()
	close(faults)
	count := 0
	for err := range faults {
		if count++; count <= 5 {
			t.Errorf("request: %v", err)
		}
	}
	if count > 0 {
		t.Fatalf("%d of %d requests failed", count, n)
	}
}

func echo(ctx context.Context, client *http.Client, base string, i int, body []byte) error {
	const tries = 20
	for range tries {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("%s/services/booking/echo/%d", base, i),
			bytes.NewReader(body))
		if err != nil {
			return err
		}
		w, err := client.Do(r)
		if err != nil {
			return err
		}
		got, err := io.ReadAll(w.Body)
		w.Body.Close()
		if err != nil {
			return err
		}
		switch outcome := w.Header.Get("Trefoilramp-Outcome"); {
		case outcome == "NotRun":
			time.Sleep(10 * time.Millisecond)
			continue
		case outcome != "Complete":
			return fmt.Errorf("status %d, outcome %q: %s", w.StatusCode, outcome, strings.TrimSpace(string(got)))
		case !bytes.Equal(got, body):
			return fmt.Errorf("%d bytes that differ from the %d sent", len(got), len(body))
		}
		return nil
	}
	return fmt.Errorf("refused %d times", tries)
}
