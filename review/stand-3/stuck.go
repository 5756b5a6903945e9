//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	stuckWorkers = 11
	stuckCut     = 12 * time.Second // the longest cut of the pages
	stuckCuts    = 3
	stuckSettle  = 14 * time.Second // after a cut: 6 s since the last run, 4 s and 3 s of calm, and some more
	stuckWait    = 10 * time.Second // until a missing task is looked for again
	lastingID    = "00000000000000aa"
	lastingCPU   = 3000
	shortCPU     = 1000
	shortRunTime = 250 * time.Millisecond
)

// playStuck checks that each task that lasts runs again after its worker was cut off, although the worker has room.
func playStuck(s *stage) (int, error) {
	s.delay = 3400 * time.Microsecond // between zones
	s.plan = func(r wire.Run) runs.Plan {
		if strings.HasPrefix(r.Task, lastingID) {
			return runs.Plan{Size: sizes.Resources{Processors: lastingCPU}}
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
	for i := range stuckWorkers {
		if err := s.addWorker(fmt.Sprintf("side-%d", i+1), fmt.Sprintf("r1-%d", 1+i/3)); err != nil {
			return noCase, err
		}
	}
	c := newClient(s)
	addresses := s.entryAddresses()
	lasting := job{Spec: "watch", Steps: []step{{Count: stuckWorkers, CPU: lastingCPU, MemMb: 100, AntiAffinity: 1, LongRunning: true}}}
	if !c.submit(addresses, lastingID, lasting) {
		return noCase, errors.New("the job that lasts was not accepted")
	}
	if !s.awaitLasting(startDeadline) {
		return noCase, errors.New("the tasks that last did not start")
	}
	s.logf("all tasks that last run")
	if s.trouble {
		for _, w := range s.workers {
			s.logf("worker %s starts again under its id", w.Name)
			w.restart()
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(9 * time.Second)
	stop := s.streamJobs(c, addresses)
	defer stop()
	isBroken := false
	for range stuckCuts {
		a := s.leader()
		if a == nil {
			return noCase, errors.New("no entry leads")
		}
		s.cutLeader(a, true)
		time.Sleep(stuckCut)
		s.cutLeader(a, false)
		time.Sleep(stuckSettle)
		missing := s.missing()
		s.logRuns()
		if len(missing) > 0 {
			time.Sleep(stuckWait)
			for task, w := range s.missing() {
				if missing[task] != nil {
					s.logf("LOST: %s is to last and has not run since %.3f s; %s has room for it and has begun nothing since the cut ended",
						task, s.lastEnd(task).Sub(s.began).Seconds(), w.Name)
					isBroken = true
				}
			}
			s.logRuns()
		}
		if isBroken {
			return broken, nil
		}
	}
	return held, nil
}

// missing returns the tasks that are to last and do not run although a worker without a task of the job has capacity for two
// of them, with such a worker.
func (s *stage) missing() map[string]*worker {
	var free []*worker
	for _, w := range s.workers {
		used := 0
		hasTask := false
		for _, r := range w.Records() {
			if !r.Ended.IsZero() {
				continue
			}
			if strings.HasPrefix(r.Run.Task, lastingID) {
				hasTask = true
				used += lastingCPU
			} else {
				used += shortCPU
			}
		}
		if !hasTask && used+2*lastingCPU <= processors {
			free = append(free, w)
		}
	}
	list := make(map[string]*worker)
	for i := range stuckWorkers {
		if task := fmt.Sprintf("%s.0.0.%d", lastingID, i); !s.isRunning(task) && len(free) > 0 {
			list[task], free = free[0], free[1:]
		}
	}
	return list
}

// cutLeader begins or ends a partition of the leader's machine from all other machines of the system, not from the store. Only
// the leader calls agents, so that the links to them are its own.
func (s *stage) cutLeader(a *process, cut bool) {
	if !s.trouble {
		return
	}
	s.logf("cut of %s, which leads, from all other machines: %v", a.name, cut)
	a.inbound.setCut(cut)
	for _, w := range s.workers {
		w.agent.inbound.setCut(cut)
	}
}

func (s *stage) entryAddresses() []string {
	var list []string
	for _, p := range s.entries {
		list = append(list, p.callers)
	}
	return list
}

// awaitLasting waits until each task of the job that lasts runs.
func (s *stage) awaitLasting(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for i := range stuckWorkers {
			if s.isRunning(fmt.Sprintf("%s.0.0.%d", lastingID, i)) {
				n++
			}
		}
		if n == stuckWorkers {
			return true
		}
	}
	return false
}

// isRunning reports whether a worker runs a task now.
func (s *stage) isRunning(task string) bool {
	for _, w := range s.workers {
		for _, r := range w.Records() {
			if r.Run.Task == task && r.Ended.IsZero() {
				return true
			}
		}
	}
	return false
}

// lastEnd returns when the last run of a task ended.
func (s *stage) lastEnd(task string) time.Time {
	var at time.Time
	for _, w := range s.workers {
		for _, r := range w.Records() {
			if r.Run.Task == task && r.Ended.After(at) {
				at = r.Ended
			}
		}
	}
	return at
}

// logRuns writes the runs of the job that lasts, and how many other tasks each worker has begun in the last seconds.
func (s *stage) logRuns() {
	for _, w := range s.workers {
		recent := 0
		for _, r := range w.Records() {
			if strings.HasPrefix(r.Run.Task, lastingID) {
				end := "runs"
				if !r.Ended.IsZero() {
					end = fmt.Sprintf("%.3f s %v", r.Ended.Sub(s.began).Seconds(), r.Cause)
				}
				s.logf("  %s run %d on %s from %.3f s to %s", r.Run.Task, r.Run.Number, w.Name, r.Began.Sub(s.began).Seconds(), end)
			} else if time.Since(r.Began) < 5*time.Second {
				recent++
			}
		}
		s.logf("  %s has begun %d short tasks in the last 5 s", w.Name, recent)
	}
}

// streamJobs hands in short jobs at a steady rate until the returned function is called.
func (s *stage) streamJobs(c *client, addresses []string) func() {
	done := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-s.ctx.Done():
				return
			case <-time.After(40 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0x5000+n)
			address := addresses[n%len(addresses)]
			wg.Go(func() {
				j := job{Spec: "plan", Steps: []step{{Count: 11, CPU: shortCPU, MemMb: 100, EstRuntimeMs: 250}}}
				if status := c.post(address, id, j); status != http.StatusOK {
					s.logf("job %s: status %d", id, status)
				}
			})
		}
	})
	return func() { once.Do(func() { close(done) }); wg.Wait() }
}
