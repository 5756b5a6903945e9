package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
	adapter "trefoilramp.org/trefoilramp/platform"
)

const (
	cellLease            = 6 * time.Second // as on both sites of the users
	cellHost             = "plans.example"
	cellPrefix           = "/plans/"
	cellTaskProcessors   = 1000 // thousandths
	cellWorkerProcessors = 4000 // thousandths
)

// cellMember is a process of a cell that is restarted under the same name and addresses.
type cellMember struct {
	name     string
	role     string // entry or agent
	settings object
	base     string   // base URL for callers; empty for an agent
	logs     []string // paths of the logs of all starts
	cmd      *exec.Cmd
	done     chan struct{}
}

// cell is a cell of real processes on stand-ins for the platform, whose links run through relays.
type cell struct {
	t       testing.TB
	dir     string
	host    string          // loopback address on which its processes listen
	used    map[string]bool // addresses of its processes
	binary  string
	limits  object // settings that replace those of every process
	rows    *memory.Store
	entries []*cellMember
	agents  []*cellMember
	workers []*cellWorker
	relays  map[string]*netsim.Relay

	mu     sync.Mutex
	faults map[string]memory.Fault // of the store, by the name of the process that calls it
}

func newCell(ctx context.Context, t testing.TB, entries, agents int) *cell {
	c := &cell{
		t: t, dir: t.TempDir(), host: fmt.Sprintf("127.0.%d.1", 1+cellCount.Add(1)%250), used: make(map[string]bool),
		rows: memory.New(), relays: make(map[string]*netsim.Relay), faults: make(map[string]memory.Fault),
	}
	c.rows.NextFault = func(caller string) memory.Fault {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.faults[caller]
	}
	c.binary = filepath.Join(c.dir, "trefoilramp")
	if b, err := exec.CommandContext(ctx, "go", "build", "-o", c.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	c.configure(1, 0)
	for i := range entries {
		c.addEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for i := range agents {
		c.addAgent(ctx, fmt.Sprintf("w%d", i+1))
	}
	return c
}

// configure stores a version of the configuration with the queue for jobs, a queue named after the version, and a number of
// other queues.
func (c *cell) configure(version uint64, others int) {
	d := queues.Document{Version: version, Services: []queues.Service{{Name: "packing"}}}
	add := func(name, host, prefix string) {
		d.Queues = append(d.Queues, queues.Queue{
			Name: name, Host: host, Prefix: prefix, Service: "packing", MaxAttempts: 3, Stretch: 2, Objective: time.Second,
		})
	}
	add("plans", cellHost, cellPrefix)
	add("newest", cellHost, cellPrefix+versionPath(version))
	for i := range others {
		add(fmt.Sprintf("other-%06d", i), fmt.Sprintf("host-%06d.example", i), fmt.Sprintf("/path-%06d/", i))
	}
	b, err := adapter.EncodeConfig(d)
	if err != nil {
		c.t.Fatal(err)
	}
	put := rows.Change{Puts: []rows.Row{{Ref: adapter.ConfigRef, Value: b}}}
	if _, err := c.rows.Operator().Change(c.t.Context(), put); err != nil {
		c.t.Fatal(err)
	}
}

// versionPath returns the last part of the path of the queue that only the given version has.
func versionPath(version uint64) string { return fmt.Sprintf("v%d/", version) }

// addRelay starts a relay to an address and returns the address of the relay.
func (c *cell) addRelay(name, address string) string {
	r, err := netsim.New(c.t.Context(), address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(r.Close)
	c.relays[name] = r
	return r.Address()
}

// serve starts an HTTP server and returns its address.
func (c *cell) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	c.t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// cellCount counts the cells of this test process. Each cell has a loopback address of its own.
var cellCount atomic.Uint32

// freeAddress returns an unused address, a new one each time. It is on the loopback address of the cell, since another
// cell on the same address could bind the port while a process is down.
func (c *cell) freeAddress() string {
	var lc net.ListenConfig
	for {
		ln, err := lc.Listen(c.t.Context(), "tcp", c.host+":0")
		if err != nil {
			c.t.Fatal(err)
		}
		address := ln.Addr().String()
		if err := ln.Close(); err != nil {
			c.t.Fatal(err)
		}
		if !c.used[address] {
			c.used[address] = true
			return address
		}
	}
}

// processSettings returns the settings that entries and agents have in common.
func (c *cell) processSettings(name string) object {
	sessions := c.freeAddress()
	s := object{
		"Name": name, "AvailabilityZone": processZone, "Cell": "main", "Sessions": sessions,
		"Advertise": c.addRelay("sessions of "+name, sessions), "Administration": c.freeAddress(),
		"Store": c.addRelay("store of "+name, c.serve(adapter.StoreHandler(c.rows.Client(name)))),
		"Key":   secretOf(processKey), "Lease": cellLease.String(), "Grace": "6s", "MemoryMiB": 284,
	}
	maps.Copy(s, c.limits)
	return s
}

func (c *cell) addEntry(name string) {
	callers := c.freeAddress()
	p := &cellMember{name: name, role: "entry", base: "http://" + callers, settings: object{
		"Process": c.processSettings(name), "Callers": callers, "Readiness": c.freeAddress(), "Policies": "",
		"Retention": "120s", "Processors": 0.16, "EvacuationBound": "5s", "Order": "on",
	}}
	c.entries = append(c.entries, p)
	c.launch(p)
}

// addAgent starts a stand-in worker, its agent, and the announcements of the worker to the agent until ctx ends.
func (c *cell) addAgent(ctx context.Context, name string) {
	w := c.newCellWorker(&runs.Worker{
		Name: name, Capacity: sizes.Resources{Processors: cellWorkerProcessors, Memory: 1 << 40},
		StopTime: 300 * time.Millisecond, MaxLease: cellLease,
		Plan: func(r wire.Run) runs.Plan {
			runTime := 100*time.Millisecond + time.Duration(r.Number*7919%400)*time.Millisecond
			if strings.HasPrefix(r.Task, string(cellLongRunning)) {
				runTime = 0
			}
			return runs.Plan{Size: sizes.Resources{Processors: cellTaskProcessors}, RunTime: runTime}
		},
	})
	c.workers = append(c.workers, w)
	address := w.address
	if len(c.workers)%2 == 0 { // the others refuse connections after a crash, which a relay does not
		address = c.addRelay("worker "+name, address)
	}
	announcements := c.freeAddress()
	p := &cellMember{name: "agent-" + name, role: "agent", settings: object{
		"Process": c.processSettings("agent-" + name), "Announcements": announcements, "Service": "packing",
		"Worker": address,
	}}
	c.agents = append(c.agents, p)
	c.launch(p)
	announcer := adapter.NewAnnouncer(announcements)
	go func() {
		for n := uint64(1); ctx.Err() == nil; n++ {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			if !w.hasCrashed() {
				_ = announcer.Announce(callCtx, w.State(), n) // the agent may be down; the next announcement follows
			}
			if n%4 == 0 { // of another writer, under an incarnation that the worker never had
				s := w.State()
				s.Incarnation.ID += "-foreign"
				_ = announcer.Announce(callCtx, s, n)
			}
			cancel()
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

// launch starts a process and redirects its output to a file.
func (c *cell) launch(p *cellMember) {
	c.t.Helper()
	path := filepath.Join(c.dir, p.name+".json")
	b, err := json.Marshal(p.settings)
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	log := filepath.Join(c.dir, fmt.Sprintf("%s.%d.log", p.name, len(p.logs)+1))
	p.logs = append(p.logs, log)
	f, err := os.Create(log)
	if err != nil {
		c.t.Fatal(err)
	}
	p.cmd = exec.Command(c.binary, "cell", p.role, "--settings", path) //nolint:noctx // it ends with end, by its own id
	p.cmd.Stdout, p.cmd.Stderr, p.done = f, f, make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // a killed process has no meaningful exit code
		_ = f.Close()  // an incomplete log fails no test
		close(done)
	}(p.cmd, p.done)
	c.t.Cleanup(func() { c.end(p) })
}

// end kills a process, even a stopped one, and waits for it to exit.
func (c *cell) end(p *cellMember) {
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.done
}

func (p *cellMember) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// hasExited reports whether the process has exited.
func (p *cellMember) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// cellCaller is a caller that reuses its connections.
type cellCaller struct {
	cell   *cell
	client *http.Client
	rng    *rand.Rand
}

func (c *cell) caller(seed uint64) *cellCaller {
	return &cellCaller{c, &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}, rand.New(rand.NewPCG(seed, 7))}
}

// request sends a request to an entry and returns the status and body, or 0 without a complete response.
func (a *cellCaller) request(ctx context.Context, entry *cellMember, method string, id spec.ID, body []byte,
) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, entry.base+cellPrefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = cellHost
	w, err := a.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer w.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(w.Body); err != nil {
		return 0, nil
	}
	return w.StatusCode, b.Bytes()
}

// submit submits a job to random entries, with the same ID, until one accepts it or all tries are used. Refused is true
// if every try was refused; if neither result is true, the outcome is unknown.
func (a *cellCaller) submit(ctx context.Context, j *spec.Job, tries int) (accepted, refused bool) {
	b, err := adapter.EncodeJob(j)
	if err != nil {
		a.cell.t.Error(err)
		return false, false
	}
	refused = true
	for range tries {
		status, _ := a.request(ctx, a.cell.entries[a.rng.IntN(len(a.cell.entries))], http.MethodPost, j.ID, b)
		switch status {
		case http.StatusOK:
			return true, false
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			refused = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false, refused
}

// state returns the state that an entry reports, or "" without one; gone is true for status 410.
func (a *cellCaller) state(ctx context.Context, entry *cellMember, id spec.ID) (state string, gone bool) {
	status, b := a.request(ctx, entry, http.MethodGet, id, nil)
	var out struct{ State string }
	if status == http.StatusOK && json.Unmarshal(b, &out) == nil {
		return out.State, false
	}
	return "", status == http.StatusGone
}

// logTail returns the last 1000 bytes of the newest log of a process, or the error that prevents it.
func (p *cellMember) logTail() string {
	b, err := os.ReadFile(p.logs[len(p.logs)-1])
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-1000):])
}

// checkLogs fails the test for each log that contains a panic, a stack trace or a data race.
func (c *cell) checkLogs() {
	c.t.Helper()
	for _, group := range [][]*cellMember{c.entries, c.agents} {
		for _, p := range group {
			for _, log := range p.logs {
				b, err := os.ReadFile(log)
				if err != nil {
					c.t.Error(err)
				}
				for _, marker := range []string{"panic:", "goroutine 1 [", "DATA RACE"} {
					if i := bytes.Index(b, []byte(marker)); i >= 0 {
						c.t.Errorf("%s: %s", log, strings.TrimSpace(string(b[i:min(len(b), i+2000)])))
					}
				}
			}
		}
	}
}
