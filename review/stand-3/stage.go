//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
	"trefoilramp.org/trefoilramp/platform"
)

// Figures of a small deployment, as the users' pages give them.
const (
	lease         = 10 * time.Second       // holdMaxMs
	killTimeout   = 400 * time.Millisecond // killTimeoutMs
	beatInterval  = 1100 * time.Millisecond
	service       = "dafi-booking"
	host          = "booking.example"
	prefix        = "/plans/"
	processors    = 16_000 // of a worker, thousandths
	memoryOf      = 62_500 << 20
	sessionKey    = "shared-key-of-the-private-network"
	entryMemory   = 284
	agentMemory   = 152
	startDeadline = 15 * time.Second
	maxAttempts   = 4
)

type object map[string]any

// stage is a small deployment on loopback addresses.
type stage struct {
	ctx     context.Context
	dir     string // of settings and logs
	began   time.Time
	store   *memory.Store
	plan    func(wire.Run) runs.Plan
	trouble bool
	delay   time.Duration // of links between machines, one way
	entries []*process
	workers []*worker
	host    string // loopback address of the processes of this stage

	mu     sync.Mutex
	used   map[string]bool // addresses that freeAddress has returned
	record *os.File
}

// process is one of the programs under test.
type process struct {
	name    string
	role    string
	command []string
	callers string // address for callers; empty for an agent
	cmd     *exec.Cmd
	done    chan struct{}
	store   *proxy // link to the store
	inbound *proxy // link of other processes to it
	front   *proxy // link of callers to an entry
}

func newStage(ctx context.Context, caseDir string) (*stage, error) {
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &stage{
		ctx: ctx, dir: dir, began: time.Now(), store: memory.New(), record: f, used: make(map[string]bool),
		host: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(200), 1+rand.IntN(200)), trouble: os.Getenv("TROUBLE") != "0",
	}
	return s, nil
}

// logf writes a line to the record.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the stage has started and removes its folder.
func (s *stage) close() {
	for _, p := range s.entries {
		p.kill()
	}
	for _, w := range s.workers {
		w.agent.kill()
	}
	if err := s.record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a folder that is left over harms nothing
	} else {
		fmt.Fprintln(os.Stderr, s.dir)
	}
}

// configure stores the operator's configuration, with a queue for each further prefix.
func (s *stage) configure(version uint64, further ...string) error {
	d := queues.Document{Version: version, Services: []queues.Service{{Name: service}}}
	for _, p := range append([]string{prefix}, further...) {
		d.Queues = append(d.Queues, queues.Queue{
			Name: strings.Trim(p, "/"), Host: host, Prefix: p, Service: service, MaxAttempts: maxAttempts, Stretch: 2, Objective: time.Second,
		})
	}
	b, err := platform.EncodeConfig(d)
	if err != nil {
		return err
	}
	_, err = s.store.Operator().Change(s.ctx, rows.Change{Puts: []rows.Row{{Ref: platform.ConfigRef, Value: b}}})
	return err
}

// freeAddress returns an unused address, a new one each time.
func (s *stage) freeAddress() (string, error) {
	for {
		ln, err := new(net.ListenConfig).Listen(s.ctx, "tcp", s.host+":0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		ln.Close()
		if !s.used[address] {
			s.used[address] = true
			return address, nil
		}
	}
}

// serve starts an HTTP server on a free address and returns the address.
func (s *stage) serve(h http.Handler) (string, error) {
	ln, err := new(net.ListenConfig).Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(s.ctx, func() { srv.Close() })
	go func() { _ = srv.Serve(ln) }() // it ends with the stage
	return ln.Addr().String(), nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// commandOf returns the command of a role in the deploy file, with another settings file.
func commandOf(role, settings string) ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, m := range runLine.FindAllStringSubmatch(string(b), -1) {
		if f := strings.Fields(m[1]); len(f) > 2 && f[2] == role {
			f[len(f)-1] = settings
			return f, nil
		}
	}
	return nil, errors.Newf("the deploy file has no role %s", role)
}

// newProcess writes the settings of a process, whose links run through proxies, and starts it.
func (s *stage) newProcess(name, role string, memoryMiB int, settings object) (*process, error) {
	p := &process{name: name, role: role}
	sessions, err := s.freeAddress()
	if err != nil {
		return nil, err
	}
	administration, err := s.freeAddress()
	if err != nil {
		return nil, err
	}
	storeAddress, err := s.serve(platform.StoreHandler(pagedStore{s.store.Client(name)}))
	if err != nil {
		return nil, err
	}
	if p.store, err = newProxy(s.ctx, storeAddress, s.delay); err != nil {
		return nil, err
	}
	if p.inbound, err = newProxy(s.ctx, sessions, s.delay); err != nil {
		return nil, err
	}
	settings["Process"] = object{
		"Name": name, "AvailabilityZone": "agadir", "Cell": "main", "Sessions": sessions, "Advertise": p.inbound.address(),
		"Administration": administration, "Store": p.store.address(), "Key": object{"Value": sessionKey},
		"Lease": lease.String(), "Grace": "6s", "MemoryMiB": memoryMiB,
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	if p.command, err = commandOf(role, path); err != nil {
		return nil, err
	}
	return p, s.start(p)
}

// start starts a process, or starts it again after its end.
func (s *stage) start(p *process) error {
	logs, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.CommandContext(context.WithoutCancel(s.ctx), p.command[0], p.command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "GOMAXPROCS=1"} // machines show one core
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() {
		defer close(done)
		_ = cmd.Wait()   // its exit is expected
		_ = logs.Close() // the folder is removed anyway
	}()
	return nil
}

// signal sends a signal to a process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) } // a process that has ended needs none

// kill ends a process and waits for its end.
func (p *process) kill() {
	if p == nil || p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// addEntry starts an entry.
func (s *stage) addEntry(name string, cores float64) error {
	callers, err := s.freeAddress()
	if err != nil {
		return err
	}
	readiness, err := s.freeAddress()
	if err != nil {
		return err
	}
	p, err := s.newProcess(name, "entry", entryMemory, object{
		"Callers": callers, "Readiness": readiness, "Policies": "", "Retention": "120s", "Processors": cores,
	})
	if err != nil {
		return err
	}
	front, err := newProxy(s.ctx, callers, s.delay)
	if err != nil {
		return err
	}
	p.front, p.callers = front, front.address()
	s.entries = append(s.entries, p)
	return nil
}

// worker is a stand-in for a worker with its agent.
type worker struct {
	*runs.Worker
	id    string
	rack  string
	agent *process
	born  int64
	beat  *platform.Announcer
	seq   uint64
}

// addWorker starts a worker with its announcements and its agent.
func (s *stage) addWorker(name, rack string) error {
	w := &worker{id: "i-" + name, rack: rack}
	w.Worker = &runs.Worker{
		Name: name, Capacity: sizes.Resources{Processors: processors, Memory: memoryOf}, StopTime: killTimeout / 2, MaxLease: lease,
		Plan: s.plan,
	}
	w.restart()
	address, err := s.serve(platform.WorkerHandler(w.Worker, w.Incarnation))
	if err != nil {
		return err
	}
	control, err := s.freeAddress()
	if err != nil {
		return err
	}
	w.agent, err = s.newProcess(name, "agent", agentMemory, object{
		"Announcements": control, "Worker": address, "Service": service,
	})
	if err != nil {
		return err
	}
	w.beat = platform.NewAnnouncer(control)
	s.workers = append(s.workers, w)
	go s.announce(w)
	return nil
}

// restart starts the worker under the same ID; it then knows nothing of before.
func (w *worker) restart() {
	w.born = max(w.born+1, time.Now().UnixMilli())
	w.Restart(wire.WorkerIncarnation{ID: w.id, StartedAt: w.born})
}

// announce announces the worker to its agent at the interval of the pages.
func (s *stage) announce(w *worker) {
	var born int64
	for s.ctx.Err() == nil {
		state := w.State()
		state.Service, state.Rack = service, w.rack
		if state.Incarnation.StartedAt != born {
			born, w.seq = state.Incarnation.StartedAt, 0
		}
		w.seq++
		limited, cancel := context.WithTimeout(s.ctx, time.Second)
		_ = w.beat.Announce(limited, state, w.seq) // the next one follows
		cancel()
		select {
		case <-time.After(beatInterval):
		case <-s.ctx.Done():
		}
	}
}

// leader returns the entry that wrote the head row last, as the platform's store shows it, or nil.
func (s *stage) leader() *process {
	h, _, err := lead.ReadHead(s.ctx, s.store.Operator(), "main")
	if err != nil {
		return nil
	}
	for _, p := range s.entries {
		if p.name == h.Leader {
			return p
		}
	}
	return nil
}
