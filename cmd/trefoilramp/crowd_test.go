package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

const (
	crowdMemory      = 64  // MiB, limit of the process and bound on its peak resident set
	crowdDescriptors = 512 // limit of the process and bound on its open descriptors
	crowdSample      = 20 * time.Millisecond
	crowdHold        = time.Second      // for which a crowd holds its connections
	crowdTimeout     = 60 * time.Second // after which a process that has not responded counts as hung

	// hasLimitSettings is to be set once all roles have the settings MemoryMiB and Descriptors. The strict settings of
	// cells accept only MemoryMiB today, and those of the older roles neither.
	hasLimitSettings = false
)

// limits returns the settings that limit a process.
func limits(inCell bool) object {
	switch {
	case hasLimitSettings:
		return object{"MemoryMiB": crowdMemory, "Descriptors": crowdDescriptors}
	case inCell:
		return object{"MemoryMiB": crowdMemory}
	}
	return object{}
}

// crowdSubject is a process that receives a crowd, and the work that it must do meanwhile and afterwards.
type crowdSubject struct {
	pid    int
	target crowdTarget
	exited func() bool
	submit func(ctx context.Context, job int) error // returns nil once the job is accepted
	isDone func(ctx context.Context, job int) bool
}

// crowdListener is a row of a table of listeners.
type crowdListener struct {
	name  string
	start func(t *testing.T, binary string) *crowdSubject
	kinds []crowdKind
}

// runCrowds runs all crowds of a table, one after the other.
func runCrowds(t *testing.T, table []crowdListener) {
	binary := filepath.Join(t.TempDir(), "trefoilramp")
	if b, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	for _, l := range table {
		for _, k := range l.kinds {
			t.Run(l.name+"/"+k.name, func(t *testing.T) { checkCrowd(t, l.start(t, binary), k) })
		}
	}
}

const (
	noHost   = "Host: nowhere.example\r\n"
	cellBody = 256 << 10 // bytes, limit of a request body
)

var (
	metricsTarget = crowdTarget{write: "GET /metrics", read: "GET /metrics", header: noHost, body: cellBody}
	some          = []crowdKind{onePiece, mixed}
)

// Guards against an entry of a cell that a crowd of misbehaving clients ends or hangs, that exceeds its memory or
// descriptors, or that loses jobs meanwhile.
func TestCrowdCellEntry(t *testing.T) {
	runCrowds(t, []crowdListener{
		{"queue", cellSubject("entry", "Callers", crowdTarget{
			write: "POST " + cellPrefix + "%016x", read: "GET " + cellPrefix + "0", header: "Host: " + cellHost + "\r\n", body: cellBody,
		}), append([]crowdKind{emptySteps, longAfter}, allKinds...)},
		{"no route", cellSubject("entry", "Callers", crowdTarget{
			write: "POST /nowhere/%016x", read: "GET /nowhere/0", header: noHost, body: cellBody,
		}), some},
		{"readiness", cellSubject("entry", "Readiness", crowdTarget{
			write: "GET /v1/ready", read: "GET /v1/ready", header: noHost, body: cellBody,
		}), some},
		{"metrics", cellSubject("entry", "Administration", metricsTarget), some},
		{"sessions", cellSubject("entry", "Sessions", crowdTarget{}), []crowdKind{garbage}},
	})
}

// Guards against an agent of a cell with the faults of TestCrowdCellEntry.
func TestCrowdCellAgent(t *testing.T) {
	runCrowds(t, []crowdListener{
		{"announcements", cellSubject("agent", "Announcements", crowdTarget{
			write: "PUT /v1/instances/crowd-%016x", read: "DELETE /v1/instances/crowd", header: noHost, body: 64 << 10,
		}), []crowdKind{onePiece, manyLabels, mixed}},
		{"metrics", cellSubject("agent", "Administration", metricsTarget), []crowdKind{mixed}},
		{"sessions", cellSubject("agent", "Sessions", crowdTarget{}), []crowdKind{garbage}},
	})
}

// Guards against an older entry with the faults of TestCrowdCellEntry, and one that answers no requests afterwards.
func TestCrowdEntry(t *testing.T) {
	runCrowds(t, []crowdListener{
		{"callers", olderSubject("entry", "Callers", crowdTarget{
			write: "POST /services/booking/echo/%016x", read: "GET /services/booking/echo/0", header: noHost, body: 256 << 10,
		}), some},
		{"administration", olderSubject("entry", "Administration", crowdTarget{
			write: "POST /v1/jobs", read: "GET /v1/jobs", header: noHost, body: 64 << 10,
		}), []crowdKind{mixed}},
		{"console", olderSubject("entry", "Console", crowdTarget{
			write: "POST /signin", read: "GET /signin", header: noHost + "Content-Type: application/x-www-form-urlencoded\r\n", body: 256 << 10,
		}), some},
		{"sessions", olderSubject("entry", "Sessions", crowdTarget{}), []crowdKind{garbage}},
	})
}

// Guards against an older agent with the faults of TestCrowdEntry.
func TestCrowdAgent(t *testing.T) {
	runCrowds(t, []crowdListener{
		{"announcements", olderSubject("agent", "Announcements", crowdTarget{
			write: "POST /v1/announce", read: "GET /v1/announce", header: noHost, body: 4 << 10,
		}), []crowdKind{mixed}},
		{"administration", olderSubject("agent", "Administration", crowdTarget{
			write: "GET /readyz", read: "GET /healthz", header: noHost, body: 256 << 10,
		}), []crowdKind{mixed}},
	})
}

// checkCrowd runs a crowd with a job before it, two during it and one after it.
func checkCrowd(t *testing.T, s *crowdSubject, kind crowdKind) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	submit := func(job int) {
		if err := s.submit(ctx, job); err != nil {
			t.Errorf("job %d was not accepted: %v", job, err)
		}
	}
	submit(0)
	idle, idleDescriptors := peakMemory(s.pid), openDescriptors(s.pid)
	var descriptors atomic.Int64
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for ; ctx.Err() == nil; time.Sleep(crowdSample) {
			descriptors.Store(max(descriptors.Load(), int64(openDescriptors(s.pid))))
		}
	}()
	done := make(chan *crowd)
	go func() { done <- runCrowd(ctx, &s.target, kind) }()
	submit(1)
	w := <-done
	submit(2)
	time.Sleep(crowdHold)
	w.close()
	submit(3)
	if s.target.read != "" {
		if err := awaitCrowd(func() error { return s.target.answers(ctx) }); err != nil {
			t.Errorf("the listener does not answer: %v", err)
		}
	}
	for job := range 4 {
		if err := awaitCrowd(func() error {
			if !s.isDone(ctx, job) {
				return errors.New("it is not done")
			}
			return nil
		}); err != nil {
			t.Errorf("job %d was accepted: %v", job, err)
		}
	}
	peak := peakMemory(s.pid)
	if s.exited() {
		t.Error("the process has exited")
	}
	cancel()
	<-sampled
	if peak == 0 || peak > crowdMemory<<10 {
		t.Errorf("peak resident set of %d KiB, want at most %d", peak, crowdMemory<<10)
	}
	if n := descriptors.Load(); n > crowdDescriptors {
		t.Errorf("%d open descriptors, want at most %d", n, crowdDescriptors)
	}
	t.Logf("peak %d KiB (idle %d), %d descriptors (idle %d), %d connections closed by the process while sending",
		peak, idle, descriptors.Load(), idleDescriptors, w.reset.Load())
}

// answers returns an error unless the listener answers a request, with any status.
func (c *crowdTarget) answers(ctx context.Context) error {
	method, path, _ := strings.Cut(c.read, " ")
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return err
	}
	w, err := (&http.Client{Timeout: crowdStall}).Do(r)
	if err != nil {
		return err
	}
	return w.Body.Close()
}

// awaitCrowd repeats a call until it succeeds, and returns its last error after crowdTimeout.
func awaitCrowd(call func() error) error {
	for end := time.Now().Add(crowdTimeout); ; time.Sleep(100 * time.Millisecond) {
		if err := call(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// peakMemory returns the peak resident set of a process in KiB, or 0 if it has exited.
func peakMemory(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	n, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return n
}

// openDescriptors returns the number of open descriptors of a process, or 0 if it has exited.
func openDescriptors(pid int) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// startCrowdCell starts a cell of one entry and one agent with the limits of a crowd.
func startCrowdCell(t *testing.T, binary string) *cell {
	c := &cell{
		t: t, dir: t.TempDir(), host: fmt.Sprintf("127.0.%d.1", 1+cellCount.Add(1)%250), used: make(map[string]bool),
		binary: binary, rows: memory.New(), relays: make(map[string]*netsim.Relay), limits: limits(true),
	}
	c.configure(1, 0)
	c.addEntry("entry-1")
	c.addAgent(t.Context(), "w1")
	return c
}

// cellSubject returns a function that starts a cell, whose entry or agent receives a crowd at one of its listeners.
func cellSubject(role, listener string, target crowdTarget) func(*testing.T, string) *crowdSubject {
	return func(t *testing.T, binary string) *crowdSubject {
		c := startCrowdCell(t, binary)
		p := map[string]*cellMember{"entry": c.entries[0], "agent": c.agents[0]}[role]
		address := p.settings[listener]
		if process, ok := p.settings["Process"].(object); ok && address == nil {
			address = process[listener]
		}
		target.address = fmt.Sprint(address)
		a := c.caller(1)
		return &crowdSubject{
			pid: p.cmd.Process.Pid, target: target, exited: p.hasExited,
			submit: func(ctx context.Context, job int) error {
				return awaitCrowd(func() error {
					if accepted, _ := a.submit(ctx, cellJob(job, 2, 2), 1); !accepted {
						return errors.New("the entry does not accept it")
					}
					return nil
				})
			},
			isDone: func(ctx context.Context, job int) bool {
				state, _ := a.state(ctx, c.entries[0], cellJob(job, 2, 2).ID)
				return state == "done"
			},
		}
	}
}

// olderSubject returns a function that starts the older entry and agent, one of which receives a crowd at one of its listeners.
func olderSubject(role, listener string, target crowdTarget) func(*testing.T, string) *crowdSubject {
	return func(t *testing.T, binary string) *crowdSubject {
		free := &cell{t: t, host: fmt.Sprintf("127.0.%d.1", 1+cellCount.Add(1)%250), used: make(map[string]bool)}
		p := &basicCluster{deployment: &deployment{t: t, binary: binary, dir: t.TempDir()}}
		p.settings = map[string]object{"entry": limits(false), "agent": limits(false)}
		for _, l := range []string{"Callers", "Administration", "Console", "Sessions"} {
			p.settings["entry"][l] = free.freeAddress()
		}
		for _, l := range []string{"Announcements", "Administration"} {
			p.settings["agent"][l] = free.freeAddress()
		}
		p.launch(1, 1)
		target.address = fmt.Sprint(p.settings[role][listener])
		subject := map[string]*process{"entry": p.entries[0], "agent": p.agents[0]}[role]
		client := &http.Client{Timeout: 3 * time.Second}
		return &crowdSubject{
			pid: subject.cmd.Process.Pid, target: target, exited: subject.hasExited,
			submit: func(ctx context.Context, job int) error {
				if err := awaitCrowd(func() error { return echo(ctx, client, p.callers[0], job, []byte("ordinary")) }); err != nil {
					return err
				}
				return awaitCrowd(func() error {
					_, err := p.api[0].Submit(ctx, fmt.Appendf(nil,
						`{"Job":"plan-%d","Team":"team-1","Class":"standard","Command":"run=100ms","Tasks":4}`, job))
					return err
				})
			},
			isDone: func(ctx context.Context, job int) bool {
				j, err := p.api[0].Job(ctx, fmt.Sprintf("plan-%d", job))
				return err == nil && j.Finished && j.Done == 4
			},
		}
	}
}
