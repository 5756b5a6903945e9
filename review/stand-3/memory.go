//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	firstID       = "00000000000000cc"
	memoryPrefix  = "000000000000bb" // of the IDs of the large jobs
	memoryWorkers = 3
	memoryJobs    = 2
	memoryTime    = 70 * time.Second // until the rule is taken for held
	memoryStep    = 16               // MiB, for the record
	memoryEvery   = 50 * time.Millisecond
	restartDelay  = time.Second
	maxEnds       = 3 // of the processes of one machine in a day
	maxFailing    = 2 // machines
)

// playMemory checks that no process exceeds the memory of its machine again and again beside two jobs with many tasks, which
// take five sixths of the capacity.
func playMemory(s *stage) (int, error) {
	s.delay = 3400 * time.Microsecond // between zones
	s.plan = func(r wire.Run) runs.Plan {
		if strings.HasPrefix(r.Task, memoryPrefix) {
			return runs.Plan{Size: sizes.Resources{Processors: largeCPU}, RunTime: largeRunTime}
		}
		return runs.Plan{Size: sizes.Resources{Processors: shortCPU}, RunTime: shortRunTime}
	}
	if err := s.configure(1); err != nil {
		return noCase, err
	}
	for i := range 3 {
		if err := s.addEntry(fmt.Sprintf("edge-%d", i+1), 0.16); err != nil {
			return noCase, err
		}
	}
	for i := range memoryWorkers {
		if err := s.addWorker(fmt.Sprintf("side-%d", i+1), fmt.Sprintf("r1-%d", 1+i/3)); err != nil {
			return noCase, err
		}
	}
	m := s.limitMemory()
	defer m.stop()
	c := newClient(s)
	addresses := s.entryAddresses()
	if !c.submit(addresses, firstID, smallJob) || c.finalState(addresses, firstID, startDeadline) != "done" {
		return noCase, errors.New("a small job was not carried out")
	}
	time.Sleep(4 * time.Second) // the agents of all workers are known
	if s.trouble {
		for i := range memoryJobs {
			if !c.submit(addresses, fmt.Sprintf("%s%02x", memoryPrefix, i+1), largeJob) {
				return noCase, errors.New("a large job was not accepted")
			}
			s.logf("a job of %d tasks is accepted", largeTasks)
		}
	}
	for i, end := 0, time.Now().Add(memoryTime); time.Now().Before(end) && m.failing() < maxFailing; i++ {
		if !c.submit(addresses, fmt.Sprintf("%016x", 0x5000+i), smallJob) {
			s.logf("a small job was not accepted")
		}
		time.Sleep(largeEvery)
	}
	m.stop()
	s.logCauses(memoryPrefix)
	if m.failing() >= maxFailing {
		s.logf("Fault: the processes of %d machines were killed for their memory %d times or more", m.failing(), maxEnds)
		return broken, nil
	}
	return held, nil
}

// memoryLimit kills processes that exceed the memory of their machines and starts them again, as the platform does.
type memoryLimit struct {
	s    *stage
	stop func()
	mu   sync.Mutex
	ends map[*process]int
}

func (s *stage) limitMemory() *memoryLimit {
	ctx, cancel := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	m := &memoryLimit{s: s, ends: make(map[*process]int), stop: func() { cancel(); wg.Wait() }}
	for _, p := range s.entries {
		wg.Go(func() { m.watch(ctx, p, entryMemory) })
	}
	for _, w := range s.workers {
		wg.Go(func() { m.watch(ctx, w.agent, agentMemory) })
	}
	return m
}

// watch kills a process whenever it exceeds a limit, until ctx ends.
func (m *memoryLimit) watch(ctx context.Context, p *process, limit int) {
	peak := 0
	for ; ctx.Err() == nil; time.Sleep(memoryEvery) {
		used := anonymousMemory(p.cmd.Process.Pid)
		if used/memoryStep > peak/memoryStep {
			m.s.logf("%s holds %d MiB", p.name, used)
		}
		if peak = max(peak, used); used <= limit {
			continue
		}
		m.s.logf("%s holds more than %d MiB and is killed", p.name, limit)
		p.kill()
		m.mu.Lock()
		m.ends[p]++
		m.mu.Unlock()
		peak = 0
		time.Sleep(restartDelay)
		if err := m.s.start(p); err != nil {
			m.s.logf("%s can't be started: %v", p.name, err)
			return
		}
	}
}

// failing returns how many machines have processes that were killed maxEnds times or more.
func (m *memoryLimit) failing() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, ends := range m.ends {
		if ends >= maxEnds {
			n++
		}
	}
	return n
}

var anonymousLine = regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB$`)

// anonymousMemory returns the resident memory of a process in MiB without mapped files, 0 if it has ended.
func anonymousMemory(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := anonymousLine.FindSubmatch(b)
	if m == nil {
		return 0
	}
	kib, err := strconv.Atoi(string(m[1]))
	if err != nil {
		return 0
	}
	return kib >> 10
}
