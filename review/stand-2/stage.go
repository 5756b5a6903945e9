//go:build review

// Command stand-2 plays the cases of the second review: it starts the programs of the deploy file beside stand-ins of the
// store, the workers and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
	tasks func(task string) bool // whose runs are written one by one; nil for none
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) verbose(task string) bool { return r.tasks != nil && r.tasks(task) }

// stage holds the processes and stand-ins of one case.
type stage struct {
	rec      *record
	trouble  bool
	dir      string // temporary, for settings and logs
	store    *store
	policies string // address of the policy service; empty for none
	workers  []*worker
	entries  []*process
	agents   []*process
	ctx      context.Context
	cancel   context.CancelFunc
	failure  string
}

// process is a program of the system.
type process struct {
	name     string
	args     []string
	callers  string // address for clients
	sessions string
	ready    string
	cmd      *exec.Cmd
	log      *os.File
}

func newStage(folder string) *stage {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &stage{
		rec: &record{f: f, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", dir: dir, ctx: ctx, cancel: cancel,
	}
	s.store = newStore(s.rec)
	s.rec.note("trouble: %v", s.trouble)
	return s
}

// freeAddress returns a free loopback address outside the range of ports that outgoing connections use.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		ln, err := net.Listen("tcp", address)
		if err == nil {
			ln.Close()
			return address
		}
	}
}

const (
	holdMax = 10 * time.Second // holdMaxMs
	host    = "jobs.example"
)

func (s *stage) processSettings(name string, sessions, store string) map[string]any {
	return map[string]any{
		"Name": name, "AvailabilityZone": "z1", "Cell": "main", "Sessions": sessions, "Administration": freeAddress(),
		"Store": store, "Key": map[string]any{"Value": "shared-key-of-the-private-network"},
		"Lease": fmt.Sprintf("%dms", holdMax.Milliseconds()), "Grace": "6s", "MemoryMiB": 284,
	}
}

func (s *stage) write(name string, v any) string {
	b, err := json.MarshalIndent(v, "", "  ")
	check(err)
	path := filepath.Join(s.dir, name+".json")
	check(os.WriteFile(path, b, 0o600))
	return path
}

// run returns the command of a role in the deploy file, with its settings file replaced.
func (s *stage) run(role, settings string) []string {
	b, err := os.ReadFile("deploy/system.toml")
	check(err)
	_, section, ok := strings.Cut(string(b), "[roles."+role+"]")
	if !ok {
		panic("no role " + role)
	}
	_, line, _ := strings.Cut(section, `run = "`)
	line, _, _ = strings.Cut(line, `"`)
	words := strings.Fields(line)
	for i := range words {
		if i > 0 && words[i-1] == "--settings" {
			words[i] = settings
		}
	}
	return words
}

// addEntry prepares and starts an entry.
func (s *stage) addEntry(name string) *process {
	p := &process{name: name, callers: freeAddress(), sessions: freeAddress(), ready: freeAddress()}
	path := s.write(name, map[string]any{
		"Process": s.processSettings(name, p.sessions, s.store.listen(name)), "Callers": p.callers, "Readiness": p.ready,
		"Policies": s.policies, "Retention": "120s", "Processors": 0.4,
	})
	p.args = s.run("entry", path)
	s.entries = append(s.entries, p)
	s.launch(p)
	return p
}

// addAgent starts a worker and its agent; advertise, if set, maps the address of the agent's sessions to the one that it
// registers.
func (s *stage) addAgent(name string, advertise func(address string) string) *worker {
	w := newWorker(name, s.rec, holdMax)
	w.control = freeAddress()
	p := &process{name: "agent-" + name, sessions: freeAddress()}
	settings := s.processSettings(p.name, p.sessions, s.store.listen(p.name))
	if advertise != nil {
		settings["Advertise"] = advertise(p.sessions)
	}
	path := s.write(p.name, map[string]any{
		"Process": settings, "Announcements": w.control, "Worker": w.app, "Service": "booking",
	})
	p.args = s.run("agent", path)
	s.workers, s.agents = append(s.workers, w), append(s.agents, p)
	s.launch(p)
	go w.announce(s.ctx)
	return w
}

func (s *stage) launch(p *process) {
	var err error
	p.log, err = os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(p.cmd.Start())
	s.rec.note("%s started", p.name)
}

func (s *stage) signal(p *process, sig syscall.Signal) {
	s.rec.note("%s gets %v", p.name, sig)
	check(p.cmd.Process.Signal(sig))
}

// restart stops a process by SIGTERM and starts it again.
func (s *stage) restart(p *process) {
	s.signal(p, syscall.SIGTERM)
	p.wait()
	s.launch(p)
}

// wait reaps a process that was killed.
func (p *process) wait() { _ = p.cmd.Wait() }

// route is a queue in the operator's configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"pathPrefix"`
	Service     string  `json:"service"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeoutMs"`
	AimMs       float64 `json:"targetLatencyMs"`
	MaxAttempts int     `json:"maxAttempts"`
	Priority    int     `json:"priority"`
	Stretch     float64 `json:"stretch"`
	Advice      *advice `json:"advice,omitempty"`
}

type advice struct {
	DecideMs int `json:"decideMs"`
	EachMs   int `json:"eachMs"`
	ValidMs  int `json:"validMs"`
}

func (s *stage) configure(version int, routes ...route) {
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": "booking", "admissionControl": false}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	check(err)
	s.store.put("op", "config", b)
	s.rec.note("the operator writes configuration %d with %d routes", version, len(routes))
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}

// call sends a client's request to an entry; the status is 0 when no response arrives within the client's deadline of 3 s.
func (s *stage) call(p *process, method, path string, body any) (int, map[string]any) {
	return s.callFor(p, method, path, body, 3*time.Second)
}

// callFor is call for a client that leaves after a time.
func (s *stage) callFor(p *process, method, path string, body any, stay time.Duration) (int, map[string]any) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(s.ctx, stay)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+path, bytes.NewReader(b))
	check(err)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, _ = io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(b, &out)
	return resp.StatusCode, out
}

// submit hands a job in and repeats the request at the entries in turn until it is accepted; it returns false after limit.
func (s *stage) submit(id, prefix string, job any, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		p := s.entries[n%len(s.entries)]
		status, _ := s.call(p, "POST", prefix+id, job)
		s.rec.note("POST %s at %s: %d", id, p.name, status)
		if status/100 == 2 {
			return true
		}
		if status == 404 || status == 400 || status == 413 {
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as the first entry that answers tells it, or the status.
func (s *stage) state(id, prefix string) string {
	answer := "no answer"
	for _, p := range s.entries {
		status, out := s.call(p, "GET", prefix+id, nil)
		if status == 200 {
			return fmt.Sprint(out["state"])
		}
		answer = fmt.Sprintf("%d", status)
	}
	return answer
}

// awaitReady waits until all entries are ready and the workers can be expected to have been adopted.
func (s *stage) awaitReady() {
	end := time.Now().Add(15 * time.Second)
	for _, p := range s.entries {
		for {
			resp, err := client.Get("http://" + p.ready + "/v1/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				s.cannotRun("an entry isn't ready after 15 s")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	s.rec.note("all entries are ready")
}

// broken records that the rule was broken.
func (s *stage) broken(format string, args ...any) {
	f := fmt.Sprintf(format, args...)
	s.rec.note("BROKEN: %s", f)
	if s.failure == "" {
		s.failure = f
	}
}

func (s *stage) cannotRun(reason string) {
	s.rec.note("the case can't run: %s", reason)
	s.close()
	os.Exit(2)
}

// close ends all processes that the case started.
func (s *stage) close() {
	s.cancel()
	for _, p := range append(s.entries, s.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			p.wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand-2 CASE FOLDER")
		os.Exit(2)
	}
	s := newStage(os.Args[2])
	defer func() {
		if p := recover(); p != nil {
			s.rec.note("the case can't run: %v", p)
			s.close()
			os.Exit(2)
		}
	}()
	cases[os.Args[1]](s)
	s.close()
	if s.failure != "" {
		fmt.Println("broken:", s.failure)
		os.Exit(1)
	}
	s.rec.note("the rule held")
}
