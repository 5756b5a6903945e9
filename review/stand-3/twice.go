//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	twiceWorkers = 6
	twiceCuts    = 10
	twiceCut     = 5500 * time.Millisecond // the longest cut of a leader from the store in the site files
	twicePause   = 4500 * time.Millisecond // between the end of a cut and the next one
	twiceRunTime = 300 * time.Millisecond
	twiceEvery   = 10 * time.Millisecond // between two jobs
	resetEvery   = 100 * time.Millisecond
	resetShare   = 0.5 // of the open connections of one machine that are reset each time
)

// playTwice checks that no task runs twice at the same time while a leader is partitioned from the store and connections of
// clients to another machine are reset, so that these clients hand their jobs in again at a third one.
func playTwice(s *stage) (int, error) {
	s.delay = 3400 * time.Microsecond // between zones
	s.plan = func(wire.Run) runs.Plan {
		return runs.Plan{Size: sizes.Resources{Processors: shortCPU}, RunTime: twiceRunTime}
	}
	if err := s.configure(1); err != nil {
		return noCase, err
	}
	for i, cores := range []float64{0.16, 0.16, 0.16} {
		if err := s.addEntry(fmt.Sprintf("edge-%d", i+1), cores); err != nil {
			return noCase, err
		}
	}
	for i := range twiceWorkers {
		if err := s.addWorker(fmt.Sprintf("side-%d", i+1), fmt.Sprintf("r1-%d", 1+i/3)); err != nil {
			return noCase, err
		}
	}
	c := newClient(s)
	if !c.submit(s.entryAddresses(), "00000000000000aa", twiceJob) {
		return noCase, errors.New("no job was accepted")
	}
	time.Sleep(3 * time.Second)
	t := &twiceClients{s: s, c: c}
	defer t.run()()
	for range twiceCuts {
		a := s.leader()
		if a == nil {
			return noCase, errors.New("no entry leads")
		}
		var others []*process // the larger one first, which is more likely to take over
		for _, p := range s.entries {
			if p != a {
				others = append(others, p)
			}
		}
		b, d := others[0], others[1]
		t.set(b, d)
		if s.trouble {
			s.logf("%s leads and is partitioned from the store; connections of clients to %s are reset now and then", a.name, b.name)
			a.store.setCut(true)
		}
		resets := 0
		for end := time.Now().Add(twiceCut); time.Now().Before(end); time.Sleep(resetEvery) {
			if s.trouble {
				resets += b.front.resetConns(resetShare)
			}
		}
		a.store.setCut(false)
		s.logf("%d connections were reset", resets)
		s.logf("the disruption has ended; now %s leads", s.leader().name)
		time.Sleep(twicePause)
		if s.checkTwice() == broken {
			return broken, nil
		}
	}
	return held, nil
}

var twiceJob = job{Spec: "plan", Steps: []step{{Count: 1, CPU: shortCPU, MemMb: 100, EstRuntimeMs: 300}}}

// twiceClients hand jobs in at one entry and, after a broken connection, at another one.
type twiceClients struct {
	s *stage
	c *client

	mu            sync.Mutex
	first, second *process
}

func (t *twiceClients) set(first, second *process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first, t.second = first, second
}

func (t *twiceClients) run() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-t.s.ctx.Done():
				return
			case <-time.After(twiceEvery):
			}
			t.mu.Lock()
			first, second := t.first, t.second
			t.mu.Unlock()
			if first == nil {
				continue
			}
			wg.Go(func() { t.submit(fmt.Sprintf("%016x", 0x5000+n), first, second) })
		}
	})
	return func() { close(done); wg.Wait() }
}

func (t *twiceClients) submit(id string, first, second *process) {
	list := []*process{first, second}
	for n := range 8 {
		p := list[n%2]
		status := t.c.post(p.callers, id, twiceJob)
		if n > 0 || status != http.StatusOK {
			t.s.logf("job %s at %s: status %d", id, p.name, status)
		}
		if status == http.StatusOK {
			return
		}
		if status != 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// checkTwice reports whether two runs of a task were active at the same time, or one began after a run had ended done and
// its end was taken note of.
func (s *stage) checkTwice() int {
	type run struct {
		worker string
		runs.Record
	}
	byTask := make(map[string][]run)
	for _, w := range s.workers {
		for _, r := range w.Records() {
			byTask[r.Run.Task] = append(byTask[r.Run.Task], run{w.Name, r})
		}
	}
	code, total := held, 0
	for task, list := range byTask {
		total += len(list)
		for i, a := range list {
			for _, b := range list[i+1:] {
				if overlap(a.Record, b.Record) || follows(a.Record, b.Record) || follows(b.Record, a.Record) {
					code = broken
					s.logf("TWICE: %s run %d on %s from %.3f s to %.3f s (%v) and run %d on %s from %.3f s to %.3f s (%v)", task,
						a.Run.Number, a.worker, a.Began.Sub(s.began).Seconds(), a.Ended.Sub(s.began).Seconds(), a.Cause,
						b.Run.Number, b.worker, b.Began.Sub(s.began).Seconds(), b.Ended.Sub(s.began).Seconds(), b.Cause)
				}
			}
		}
	}
	s.logf("%d tasks, %d runs", len(byTask), total)
	return code
}

func overlap(a, b runs.Record) bool {
	return (b.Ended.IsZero() || a.Began.Before(b.Ended)) && (a.Ended.IsZero() || b.Began.Before(a.Ended))
}

// follows reports whether b began after a had ended done, and the end of a was taken note of while its worker had its lease.
func follows(a, b runs.Record) bool {
	return !a.Ended.IsZero() && a.Cause == wire.EndDone && !a.Acknowledged.IsZero() && b.Began.After(a.Ended)
}
