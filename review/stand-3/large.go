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
	largeID      = "00000000000000bb"
	largeTasks   = 20_000
	largeCPU     = 1
	largeRunTime = 30 * time.Second
	largeTraffic = 45 * time.Second // of small jobs, from the large job on
	largeEvery   = 500 * time.Millisecond
	finishTime   = 14 * time.Second // finish_s
	askTime      = 20 * time.Second // for answers about all small jobs, from any entry
	lostAfter    = 9 * time.Second  // 3 s, from 6 s after the last run
)

var (
	smallJob = job{Spec: "plan", Steps: []step{{Count: 2, CPU: shortCPU, MemMb: 100, EstRuntimeMs: 250}}}
	largeJob = job{Spec: "plan", Steps: []step{{Count: largeTasks, CPU: largeCPU, MemMb: 1, EstRuntimeMs: int(largeRunTime.Milliseconds())}}}
)

// playLarge checks that tasks that last go on, and that small jobs are carried out, beside one job with many tasks, which
// take an eighth of the capacity.
func playLarge(s *stage) (int, error) {
	s.delay = 3400 * time.Microsecond // between zones
	s.plan = func(r wire.Run) runs.Plan {
		switch {
		case strings.HasPrefix(r.Task, lastingID):
			return runs.Plan{Size: sizes.Resources{Processors: lastingCPU}}
		case strings.HasPrefix(r.Task, largeID):
			return runs.Plan{Size: sizes.Resources{Processors: largeCPU}, RunTime: largeRunTime}
		default:
			return runs.Plan{Size: sizes.Resources{Processors: shortCPU}, RunTime: shortRunTime}
		}
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
	lasting := job{Spec: "watch", Steps: []step{{
		Count: stuckWorkers, CPU: lastingCPU, MemMb: 100, AntiAffinity: 1, LongRunning: true, MayMiss: 1,
	}}}
	if !c.submit(addresses, lastingID, lasting) {
		return noCase, errors.New("the job that lasts was not accepted")
	}
	if !s.awaitLasting(startDeadline) {
		return noCase, errors.New("the tasks that last did not start")
	}
	s.logf("all tasks that last run")
	time.Sleep(5 * time.Second)
	if s.trouble {
		if !c.submit(addresses, largeID, largeJob) {
			return noCase, errors.New("the large job was not accepted")
		}
		s.logf("a job of %d tasks is accepted", largeJob.Steps[0].Count)
	}
	var accepted []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, end := 0, time.Now().Add(largeTraffic); time.Now().Before(end); i++ {
		id := fmt.Sprintf("%016x", 0x5000+i)
		wg.Go(func() {
			if status := c.post(addresses[i%len(addresses)], id, smallJob); status != http.StatusOK {
				s.logf("job %s: status %d", id, status)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, id)
		})
		if i%10 == 9 {
			s.logCauses(largeID, lastingID)
		}
		time.Sleep(largeEvery)
	}
	wg.Wait()
	time.Sleep(finishTime)
	s.logCauses(largeID, lastingID)
	isBroken := false
	asked := time.Now()
	for _, id := range accepted {
		if time.Since(asked) > askTime {
			break
		}
		if state := c.finalState(addresses, id, askTime/2); state != "done" {
			s.logf("job %s was accepted, and is shown as %q", id, state) // for the record: the rule asks for more
			break
		}
	}
	_, state := c.send(addresses[0], http.MethodGet, prefix+largeID, nil)
	s.logf("%d small jobs were accepted; the large job: %s", len(accepted), state)
	for i := range stuckWorkers {
		task := fmt.Sprintf("%s.0.0.%d", lastingID, i)
		if gap := s.longestGap(task); gap > lostAfter {
			s.logf("LOST: %s had no run for %.1f s", task, gap.Seconds())
			isBroken = true
		}
	}
	s.logRuns()
	if isBroken {
		return broken, nil
	}
	return held, nil
}

// logCauses writes how many runs of some jobs are at work, and how the others ended.
func (s *stage) logCauses(ids ...string) {
	for _, id := range ids {
		count := make(map[string]int)
		for _, w := range s.workers {
			for _, r := range w.Records() {
				if !strings.HasPrefix(r.Run.Task, id) {
					continue
				}
				if r.Ended.IsZero() {
					count["at work"]++
				} else {
					count[fmt.Sprint(r.Cause)]++
				}
			}
		}
		s.logf("jobs %s*: runs %v", id, count)
	}
}

// longestGap returns the longest time in which a task had no run, from the beginning of its first run on.
func (s *stage) longestGap(task string) time.Duration {
	var began, ended []time.Time
	for _, w := range s.workers {
		for _, r := range w.Records() {
			if r.Run.Task == task {
				began, ended = append(began, r.Began), append(ended, r.Ended)
			}
		}
	}
	longest := time.Duration(0)
	for _, e := range ended {
		if e.IsZero() {
			continue
		}
		next := time.Now()
		for i, b := range began {
			switch {
			case !b.Before(e):
				if b.Before(next) {
					next = b
				}
			case ended[i].IsZero() || ended[i].After(e): // another run goes on
				next = e
			}
		}
		longest = max(longest, next.Sub(e))
	}
	return longest
}
