package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

var begun = time.Now()

const (
	host   = "plans.example"
	prefix = "/round-plan/"
)

// process is one of the project's own programs.
type process struct {
	name     string
	role     string
	settings string
	front    string // of an entry
	control  string // of an agent
	sessions string
	cmd      *exec.Cmd
	done     chan struct{}
	starts   int
}

// breach is a rule that was seen broken.
type breach struct{ rule, what string }

// bench runs a small deployment and checks what its workers and clients see.
type bench struct {
	dir       string // temporary
	commands  map[string][]string
	record    *os.File
	store     *store
	entries   []*process
	agents    []*process
	workers   []*worker
	proxies   []*proxy // between the agents and their workers, if isProxied
	isProxied bool

	mu       sync.Mutex
	lines    int
	breaches []breach
	steps    map[string][]*step   // by job
	done     map[string]time.Time // when a run of the task ended done and that was taken note of
	running  map[string]map[runKey]*worker
	starts   map[string]int
	failed   map[string]int
	ends     map[string]int // by how
	isOver   bool
}

func (b *bench) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logLocked(format, args...)
}

func (b *bench) logLocked(format string, args ...any) {
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (b *bench) broken(rule, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokenLocked(rule, format, args...)
}

func (b *bench) brokenLocked(rule, format string, args ...any) {
	if b.isOver {
		return
	}
	what := fmt.Sprintf(format, args...)
	b.breaches = append(b.breaches, breach{rule, what})
	b.logLocked("BROKEN %s: %s", rule, what)
}

func (b *bench) stepOf(task string) *step {
	job, n, err := taskStep(task)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || n >= len(b.steps[job]) {
		return nil
	}
	return b.steps[job][n]
}

func (b *bench) runStarted(w *worker, a *activeRun, cpu, mem int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[a.key.Task]++
	b.logLocked("start %s run %d on %s", a.key.Task, a.key.Run, w.name)
	if at, ok := b.done[a.key.Task]; ok && !a.step.speculative {
		b.brokenLocked("TWICE", "%s run %d starts on %s, %.3f s after a run of it has ended done, which was taken note of",
			a.key.Task, a.key.Run, w.name, time.Since(at).Seconds())
	}
	for key, other := range b.running[a.key.Task] {
		if !a.step.speculative {
			b.brokenLocked("TWICE", "%s run %d starts on %s while run %d is at work on %s, which is up", a.key.Task, a.key.Run,
				w.name, key.Run, other.name)
		}
	}
	if b.running[a.key.Task] == nil {
		b.running[a.key.Task] = make(map[runKey]*worker)
	}
	b.running[a.key.Task][a.key] = w
	startRecords[a.key.Task] = append(startRecords[a.key.Task], startRecord{a.key.Run, w.name, time.Now()})
	if cpu > w.cpu || mem > w.mem {
		b.brokenLocked("LIMIT", "%s run %d brings %s to %d thousandths of a core and %d MB; it has %d and %d",
			a.key.Task, a.key.Run, w.name, cpu, mem, w.cpu, w.mem)
	}
}

func (b *bench) runEnded(w *worker, a *activeRun, e *runEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running[a.key.Task], a.key)
	b.ends[e.how]++
	if e.how == "failed" {
		b.failed[a.key.Task]++
	}
	b.logLocked("end %d of %s: %s run %d %s", e.n, w.name, a.key.Task, a.key.Run, e.how)
}

func (b *bench) runGone(w *worker, key runKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running[key.Task], key)
	b.logLocked("lost with %s: %s run %d", w.name, key.Task, key.Run)
}

// endNoted records that lastSeen has reached an end. A start that came between counts too.
func (b *bench) endNoted(w *worker, e *runEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.how != "done" || e.lapsed {
		return
	}
	if _, ok := b.done[e.key.Task]; !ok {
		b.done[e.key.Task] = e.at
	}
	b.logLocked("noted end %d of %s: %s run %d done", e.n, w.name, e.key.Task, e.key.Run)
	for _, s := range b.startsAfter(e) {
		b.brokenLocked("TWICE", "%s run %d began on %s, %.3f s after run %d had ended done on %s, which is taken note of now",
			e.key.Task, s.run, s.worker, s.at.Sub(e.at).Seconds(), e.key.Run, w.name)
	}
}

type startRecord struct {
	run    int
	worker string
	at     time.Time
}

var startRecords = make(map[string][]startRecord) // by task; guarded by bench.mu

func (b *bench) startsAfter(e *runEnd) []startRecord {
	var list []startRecord
	st := b.steps[strings.SplitN(e.key.Task, ".", 2)[0]]
	_, n, err := taskStep(e.key.Task)
	if err != nil || n >= len(st) || st[n].speculative {
		return nil
	}
	for _, s := range startRecords[e.key.Task] {
		if s.at.After(e.at) && s.run != e.key.Run {
			list = append(list, s)
		}
	}
	return list
}

// render fills a template of the deploy file.
func render(path string, values map[string]string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var missing error
	out := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllFunc(text, func(m []byte) []byte {
		v, ok := values[string(m[2:len(m)-2])]
		if !ok {
			missing = fmt.Errorf("%s: no value for %s", path, m)
		}
		return []byte(v)
	})
	return out, missing
}

var usedAddresses = make(map[string]bool)

// freeAddress returns an address that is free and that it hasn't returned before.
func freeAddress(ip string) string {
	for {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		address := ln.Addr().String()
		_ = ln.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

func port(address string) string { _, p, _ := net.SplitHostPort(address); return p }

// readCommands reads the commands of the two roles from the deploy file.
func readCommands() (map[string][]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	out := make(map[string][]string)
	role := ""
	for _, line := range strings.Split(string(text), "\n") {
		if m := regexp.MustCompile(`^\[roles\.(\w+)\]`).FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := regexp.MustCompile(`^run = "(.*)"`).FindStringSubmatch(line); m != nil {
			out[role] = strings.Fields(m[1])
		}
	}
	return out, nil
}

// addProcess prepares a process of a role on a machine of its own.
func (b *bench) addProcess(role, name, zone string, n int, app, service, storeAddress string) (*process, error) {
	ip := fmt.Sprintf("127.0.1.%d", n)
	p := &process{name: name, role: role, sessions: freeAddress(ip)}
	values := map[string]string{
		"node": name, "zone": zone, "ip": ip, "internalPortRange.0": port(p.sessions),
		"internalPortRange.1": port(freeAddress(ip)), "platform.addr": storeAddress, "bounds.holdMaxMs": "10000",
		"bounds.graceS": "6", "bounds.status_s": "120", "limits.memoryMb": "284", "limits.cpuShare": "0.16",
		"advice": "", "app": app, "service": service,
	}
	template := "deploy/entry.json"
	if role == "entry" {
		p.front = freeAddress(ip)
		values["listen.front"], values["listen.ready"] = p.front, freeAddress(ip)
		b.entries = append(b.entries, p)
	} else {
		template = "deploy/agent.json"
		p.control = freeAddress(ip)
		values["listen.control"], values["limits.memoryMb"] = p.control, "152"
		b.agents = append(b.agents, p)
	}
	text, err := render(template, values)
	if err != nil {
		return nil, err
	}
	p.settings = filepath.Join(b.dir, name+".json")
	return p, os.WriteFile(p.settings, text, 0o600)
}

// start starts a process with the command of the deploy file.
func (b *bench) start(p *process) error {
	words := append([]string(nil), b.commands[p.role]...)
	for i, w := range words {
		if w == "/etc/trefoilramp/local.json" {
			words[i] = p.settings
		}
	}
	p.starts++
	out, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s.%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	started := make(chan error, 1)
	go func() {
		// The parent-death signal follows the thread that started the process.
		lockThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			_ = p.cmd.Wait()
		}
		_ = out.Close()
		close(p.done)
	}()
	if err := <-started; err != nil {
		return err
	}
	b.log("process %s starts: %s", p.name, strings.Join(words[:3], " "))
	return nil
}

func (b *bench) signal(p *process, s syscall.Signal) {
	b.log("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (b *bench) stopAll() {
	for _, p := range append(append([]*process(nil), b.entries...), b.agents...) {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// deploy starts the store, the workers and the processes.
func (b *bench) deploy(entries, agents int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: b.store.handler()}).Serve(ln) }()
	storeAddress := ln.Addr().String()
	config, _ := json.Marshal(object{
		"version": 1,
		"routes": []object{{"name": "round-plan", "host": host, "pathPrefix": prefix, "service": "dafi-booking",
			"kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "maxAttempts": 4, "priority": 2, "stretch": 2}},
		"services": []object{{"name": "dafi-booking", "healthPath": "/health", "maxConns": 64, "admissionControl": false}},
		"limits":   object{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	b.store.put(rowRef{"op", "", "config"}, config)
	zones := []string{"agadir", "taroudant", "tiznit"}
	for i := range entries {
		zone := zones[i%len(zones)]
		p, err := b.addProcess("entry", fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone, i+1, "", "", storeAddress)
		if err == nil {
			err = b.start(p)
		}
		if err != nil {
			return err
		}
	}
	for i := range agents {
		zone := zones[i%len(zones)]
		ip := fmt.Sprintf("127.0.1.%d", 100+i)
		w := &worker{b: b, name: fmt.Sprintf("worker-%d", i+1), id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), zone: zone,
			machine: fmt.Sprintf("m-%d", i+1), service: "dafi-booking", cpu: 16000, mem: 64000, address: freeAddress(ip)}
		b.workers = append(b.workers, w)
		app := w.address
		if b.isProxied {
			x, err := newProxy(ip+":0", w.address)
			if err != nil {
				return err
			}
			b.proxies = append(b.proxies, x)
			app = x.listener.Addr().String()
		}
		p, err := b.addProcess("agent", fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), zone, 100+i, app, w.service, storeAddress)
		if err != nil {
			return err
		}
		w.control = p.control
		if err := w.start(); err != nil {
			return err
		}
		if err := b.start(p); err != nil {
			return err
		}
	}
	return nil
}

// stepSpec is a step as a client sends it.
type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMb        int64  `json:"memMb,omitempty"`
	Estimate     int64  `json:"estRuntimeMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int64  `json:"targetMs,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`

	runTime time.Duration
	fails   bool
}

var clients = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends one request of a client to an entry.
func (b *bench) call(p *process, method, id string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+p.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := clients.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in until it is accepted, at one entry after the other, as a client does.
func (b *bench) submit(id, spec string, steps []stepSpec) bool {
	body, _ := json.Marshal(object{"spec": spec, "steps": steps})
	b.mu.Lock()
	b.steps[id] = nil
	for _, s := range steps {
		b.steps[id] = append(b.steps[id], &step{cpu: s.CPU, mem: s.MemMb, fills: s.Fills, lasts: s.LongRunning,
			target: s.TargetMs, count: s.Count, spec: spec, runTime: s.runTime, fails: s.fails})
	}
	b.mu.Unlock()
	for try := range 40 {
		status, _ := b.call(b.entries[(len(id)+try+int(id[15]))%len(b.entries)], http.MethodPost, id, body)
		b.log("POST %s: %d", id, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, "" if it isn't told.
func (b *bench) state(id string) (string, int) {
	var out struct{ State string }
	status := 0
	for _, p := range b.entries {
		var text string
		if status, text = b.call(p, http.MethodGet, id, nil); status == http.StatusOK && json.Unmarshal([]byte(text), &out) == nil {
			return out.State, status
		}
	}
	return "", status
}

// awaitState asks for a job until it has a state.
func (b *bench) awaitState(id, want string, limit time.Duration) (string, bool) {
	end := time.Now().Add(limit)
	last := ""
	for {
		s, _ := b.state(id)
		if s != "" {
			last = s
		}
		if s == want {
			return s, true
		}
		if time.Now().After(end) {
			return last, false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// leader returns the entry that leads, by the words of its own log.
func (b *bench) leader() *process {
	var found *process
	var at string
	for _, p := range b.entries {
		text, err := os.ReadFile(filepath.Join(b.dir, fmt.Sprintf("%s.%d.log", p.name, p.starts)))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			var l struct {
				Time    string
				Token   uint64
				Message string
			}
			if bytes.Contains(line, []byte("Token")) && bytes.Contains(line, []byte("Epoch")) && json.Unmarshal(line, &l) == nil {
				if key := fmt.Sprintf("%020d", l.Token); l.Token > 0 && key > at {
					at, found = key, p
				}
			}
		}
	}
	return found
}

var errNotReady = errors.New("the deployment does not run jobs")

// warmUp waits until a first job is done, which runs on all workers.
func (b *bench) warmUp() error {
	time.Sleep(2 * time.Second)
	if !b.submit("00000000000000aa", "warm up", []stepSpec{{Count: len(b.workers), AntiAffinity: 1, CPU: 100, MemMb: 64, Estimate: 200, runTime: 200 * time.Millisecond}}) {
		return errNotReady
	}
	if _, ok := b.awaitState("00000000000000aa", "done", 20*time.Second); !ok {
		return errNotReady
	}
	return nil
}
