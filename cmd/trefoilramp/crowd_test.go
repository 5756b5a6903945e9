package main_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

const (
	crowdMemory      = 64               // MiB, limit of the process and bound on its peak resident set
	crowdDescriptors = 512              // limit of the process and bound on its open descriptors
	crowdHold        = time.Second      // for which a crowd holds its connections
	crowdTimeout     = 60 * time.Second // after which a process that has not answered counts as hung
	crowdBody        = 256 << 10        // bytes, limit of a request body
)

// limits returns the settings that limit a process.
func limits() object { return object{"MemoryMiB": crowdMemory, "Descriptors": crowdDescriptors} }

// crowdSubject is a process that receives a crowd, and the work that it must do meanwhile and afterwards.
type crowdSubject struct {
	pid      int
	exited   func() bool
	settings object                                   // with the addresses of the listeners
	submit   func(ctx context.Context, job int) error // returns nil if the job is accepted
	done     func(ctx context.Context, job int) error // returns nil if the job is done
}

var some = []crowdKind{onePiece, mixed}

// Guards against an entry of a cell that a crowd of misbehaving clients ends or hangs, that exceeds its memory or
// descriptors, or that loses jobs meanwhile.
func TestCrowdCellEntry(t *testing.T) {
	queueKinds := append([]crowdKind{emptySteps, longAfter}, httpKinds...)
	runCrowds(t, startCellSubject, "entry",
		crowdTarget{name: "queue", listener: "Callers", method: "POST", path: cellPrefix + "%016x", body: crowdBody, kinds: queueKinds},
		crowdTarget{name: "no route", listener: "Callers", method: "POST", path: "/nowhere/%016x", body: crowdBody, kinds: some},
		crowdTarget{name: "readiness", listener: "Readiness", method: "GET", path: "/v1/ready", body: crowdBody, kinds: some},
		crowdTarget{name: "metrics", listener: "Administration", method: "GET", path: "/metrics", body: crowdBody, kinds: some},
		crowdTarget{name: "sessions", listener: "Sessions", kinds: []crowdKind{garbage}})
}

// Guards against an agent of a cell with the faults of TestCrowdCellEntry.
func TestCrowdCellAgent(t *testing.T) {
	const instance = "/v1/instances/crowd-%016x"
	kinds := []crowdKind{onePiece, manyLabels, mixed}
	runCrowds(t, startCellSubject, "agent",
		crowdTarget{name: "announcements", listener: "Announcements", method: "PUT", path: instance, body: 64 << 10, kinds: kinds},
		crowdTarget{name: "metrics", listener: "Administration", method: "GET", path: "/metrics", body: crowdBody, kinds: some[1:]},
		crowdTarget{name: "sessions", listener: "Sessions", kinds: []crowdKind{garbage}})
}

// Guards against an older entry with the faults of TestCrowdCellEntry, and one that answers no requests meanwhile.
func TestCrowdEntry(t *testing.T) {
	const echo = "/services/booking/echo/%016x"
	runCrowds(t, startOlderSubject, "entry",
		crowdTarget{name: "callers", listener: "Callers", method: "POST", path: echo, body: crowdBody, kinds: some},
		crowdTarget{name: "administration", listener: "Administration", method: "POST", path: "/v1/jobs", body: 64 << 10, kinds: some[1:]},
		crowdTarget{name: "console", listener: "Console", method: "POST", path: "/signin", body: crowdBody, kinds: some},
		crowdTarget{name: "sessions", listener: "Sessions", kinds: []crowdKind{garbage}})
}

// Guards against an older agent with the faults of TestCrowdEntry.
func TestCrowdAgent(t *testing.T) {
	runCrowds(t, startOlderSubject, "agent",
		crowdTarget{name: "announcements", listener: "Announcements", method: "POST", path: "/v1/announce", body: 4 << 10, kinds: some[1:]},
		crowdTarget{name: "administration", listener: "Administration", method: "GET", path: "/readyz", body: crowdBody, kinds: some[1:]})
}

// runCrowds runs crowds one after the other, each against a new process of a role.
func runCrowds(t *testing.T, start func(t *testing.T, binary, role string) *crowdSubject, role string, targets ...crowdTarget) {
	binary := newDeployment(t).binary
	for _, c := range targets {
		for _, k := range c.kinds {
			t.Run(c.name+"/"+k.name, func(t *testing.T) {
				s := start(t, binary, role)
				c.address = fmt.Sprint(s.settings[c.listener])
				checkCrowd(t, s, &c, k)
			})
		}
	}
}

// checkCrowd runs a crowd with a job before it, two during it and one after it.
func checkCrowd(t *testing.T, s *crowdSubject, target *crowdTarget, kind crowdKind) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	submit := func(job int) {
		s.await(t, fmt.Sprintf("job %d is accepted", job), func() error { return s.submit(t.Context(), job) })
	}
	submit(0)
	idle, idleDescriptors := processUsage(s.pid)
	open := 0 // highest number of open descriptors
	var crowd, samples sync.WaitGroup
	samples.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			_, n := processUsage(s.pid)
			open = max(open, n)
		}
	})
	crowd.Go(func() { runCrowd(ctx, target, kind) })
	submit(1)
	crowd.Wait()
	submit(2)
	time.Sleep(crowdHold)
	stop()
	samples.Wait()
	submit(3)
	for job := range 4 {
		s.await(t, fmt.Sprintf("job %d is done", job), func() error { return s.done(t.Context(), job) })
	}
	if target.path != "" {
		s.await(t, "the listener answers", func() error {
			return connectCrowd(t.Context(), &crowdClient{target: target}, (*crowdClient).ask)
		})
	}
	peak, _ := processUsage(s.pid)
	if s.exited() || peak == 0 {
		t.Error("the process has exited")
	}
	if peak > crowdMemory<<10 {
		t.Errorf("peak resident set of %d KiB, want at most %d", peak, crowdMemory<<10)
	}
	if open > crowdDescriptors {
		t.Errorf("%d open descriptors, want at most %d", open, crowdDescriptors)
	}
	t.Logf("peak %d KiB (idle %d), %d descriptors (idle %d)", peak, idle, open, idleDescriptors)
}

// await repeats a call until it succeeds. It fails the test if the process exits or crowdTimeout passes before.
func (s *crowdSubject) await(t *testing.T, what string, call func() error) {
	for end := time.Now().Add(crowdTimeout); ; time.Sleep(100 * time.Millisecond) {
		err := call()
		if err == nil {
			return
		}
		if s.exited() || time.Now().After(end) {
			t.Errorf("not met: %s: %v", what, err)
			return
		}
	}
}

// processUsage returns the peak resident set in KiB and the open descriptors of a process, or 0 if it has exited.
func processUsage(pid int) (peak, descriptors int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(b), "VmHWM:")
	_, _ = fmt.Sscan(after, &peak)
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return peak, len(list)
}

// startCellSubject starts a cell and returns its entry or agent.
func startCellSubject(t *testing.T, binary, role string) *crowdSubject {
	c := &cell{
		t: t, dir: t.TempDir(), host: fmt.Sprintf("127.0.%d.1", 1+cellCount.Add(1)%250), used: make(map[string]bool),
		binary: binary, rows: memory.New(), relays: make(map[string]*netsim.Relay), limits: limits(),
	}
	c.configure(1, 0)
	c.addEntry("entry-1")
	c.addAgent(t.Context(), "w1")
	p, a := map[string]*cellMember{"entry": c.entries[0], "agent": c.agents[0]}[role], c.caller(1)
	settings := maps.Clone(p.settings)
	maps.Copy(settings, p.settings["Process"].(object))
	return &crowdSubject{
		pid: p.cmd.Process.Pid, exited: p.hasExited, settings: settings,
		submit: func(ctx context.Context, job int) error {
			if accepted, _ := a.submit(ctx, cellJob(job, 2, 2), 1); !accepted {
				return errors.New("refused or not answered")
			}
			return nil
		},
		done: func(ctx context.Context, job int) error {
			if state, _ := a.state(ctx, c.entries[0], cellJob(job, 2, 2).ID); state != "done" {
				return errors.Newf("its state is %q", state)
			}
			return nil
		},
	}
}

// startOlderSubject starts an older entry and agent and returns one of them. A job is accepted if a request is, too.
func startOlderSubject(t *testing.T, binary, role string) *crowdSubject {
	free := &cell{t: t, host: fmt.Sprintf("127.0.%d.1", 1+cellCount.Add(1)%250), used: make(map[string]bool)}
	p := &basicCluster{deployment: &deployment{t: t, binary: binary, dir: t.TempDir()}}
	p.settings = map[string]object{"entry": limits(), "agent": limits()}
	for _, l := range []string{"Callers", "Administration", "Console", "Sessions"} {
		p.settings["entry"][l] = free.freeAddress()
	}
	p.settings["agent"]["Announcements"], p.settings["agent"]["Administration"] = free.freeAddress(), free.freeAddress()
	p.launch(1, 1)
	subject := map[string]*process{"entry": p.entries[0], "agent": p.agents[0]}[role]
	client := &http.Client{Timeout: 3 * time.Second}
	return &crowdSubject{
		pid: subject.cmd.Process.Pid, exited: subject.hasExited, settings: p.settings[role],
		submit: func(ctx context.Context, job int) error {
			if err := echo(ctx, client, p.callers[0], job, []byte("ordinary")); err != nil {
				return err
			}
			_, err := p.api[0].Submit(ctx, fmt.Appendf(nil,
				`{"Job":"plan-%d","Team":"team-1","Class":"standard","Command":"run=100ms","Tasks":4}`, job))
			return err
		},
		done: func(ctx context.Context, job int) error {
			j, err := p.api[0].Job(ctx, fmt.Sprintf("plan-%d", job))
			if err == nil && j.Done < 4 {
				err = errors.Newf("%d of its tasks are done", j.Done)
			}
			return err
		},
	}
}
