//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(*stage){
	"hopeless": hopelessJob, "hang": hang, "silentstore": silentStore, "silentsessions": silentSessions,
}

type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMb       int    `json:"memMb"`
	Est         int    `json:"estRuntimeMs"`
	After       []int  `json:"after,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	MayMiss     int    `json:"mayMiss,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

var batch = route{
	Name: "batch", Host: host, Prefix: "/batch/", Service: "booking", Kind: "unsafe", TimeoutMs: 3000, AimMs: 1000,
	MaxAttempts: 4, Priority: 2, Stretch: 2,
}

const (
	idleBound  = 7 * time.Second  // LOST: 3 s without a run, after 4 calm ones
	finishTime = 14 * time.Second // finish_s
	ackBound   = 4 * time.Second  // ackMs
)

// twoSteps is a small job whose second step waits for the first.
var twoSteps = job{"ms=500", []step{
	{Count: 2, CPU: 100, MemMb: 10, Est: 500}, {Count: 2, CPU: 100, MemMb: 10, Est: 500, After: []int{0}},
}}

// hopelessJob: of 25 jobs, a large one can never be done. The others must be carried out.
func hopelessJob(s *stage) {
	s.rec.tasks = func(task string) bool { return strings.HasPrefix(task, "00000000000000") }
	s.configure(1, batch)
	s.addEntry("entry-1")
	s.addEntry("entry-2")
	for n := range 4 {
		s.addAgent(fmt.Sprintf("w%d", n+1), nil)
	}
	s.awaitReady()
	s.restart(s.entries[0]) // planned, in both modes: the leader is of the second epoch
	s.awaitReady()
	spec := "ms=1500"
	if s.trouble {
		spec += " fails"
	}
	if !s.submit("aaaaaaaaaaaaaaaa", "/batch/", job{spec, []step{{Count: 8000, CPU: 1, MemMb: 1, Est: 1500}}}, 10*time.Second) {
		s.cannotRun("the large job isn't accepted")
	}
	var small []string
	for n := range 24 {
		time.Sleep(time.Second)
		id := fmt.Sprintf("00000000000000%02d", n)
		if s.submit(id, "/batch/", twoSteps, 5*time.Second) {
			small = append(small, id)
		}
		if n%6 == 0 {
			s.rec.note("large job: %s; %s", s.state("aaaaaaaaaaaaaaaa", "/batch/"), s.summary())
		}
	}
	time.Sleep(finishTime + idleBound)
	s.rec.note("large job: %s; %s", s.state("aaaaaaaaaaaaaaaa", "/batch/"), s.summary())
	s.checkFinished(small, "/batch/", 2)
	s.checkAcks()
}

// checkFinished applies LOST to jobs whose steps have two tasks each, finish_s after the last was handed in: none may be
// without a run for idleBound while the turn of a task has come; the workers have room for all of them.
func (s *stage) checkFinished(ids []string, prefix string, steps int) {
	now := time.Now()
	list := histories(s.workers)
	waiting := 0
	for _, id := range ids {
		state := s.state(id, prefix)
		done := make(map[string]bool)
		var last time.Time
		running := false
		for _, h := range list {
			if !strings.HasPrefix(h.task, id) {
				continue
			}
			running = running || h.how == ""
			if h.how == "done" {
				done[h.task] = true
			}
			if h.ended.After(last) {
				last = h.ended
			}
		}
		s.rec.note("job %s: %s; %d of %d tasks have ended done", id, state, len(done), 2*steps)
		if len(done) < 2*steps && !running && (last.IsZero() || now.Sub(last) > idleBound) {
			waiting++
		}
	}
	if waiting > 0 {
		s.broken("LOST: %d of %d jobs had nothing running for over %v while the turn of a task had come", waiting, len(ids), idleBound)
	}
}

// checkAcks applies the rule on ends: after a calm stretch of ackMs, at most a fifth may not be taken note of.
func (s *stage) checkAcks() {
	listed, seen := 0, 0
	for _, h := range histories(s.workers) {
		if h.how != "" && time.Since(h.ended) > ackBound {
			listed++
			if !h.seen.IsZero() {
				seen++
			}
		}
	}
	s.rec.note("of %d ends of over %v ago, %d have been taken note of", listed, ackBound, seen)
	if listed > 0 && (listed-seen)*5 > listed {
		s.broken("Acks: %d of %d ends weren't taken note of %v after them", listed-seen, listed, ackBound)
	}
}

// summary counts the runs on the workers by how they ended.
func (s *stage) summary() string {
	n := map[string]int{}
	seen := 0
	for _, h := range histories(s.workers) {
		if h.how == "" {
			n["running"]++
		} else {
			n[h.how]++
		}
		if !h.seen.IsZero() {
			seen++
		}
	}
	return fmt.Sprintf("runs %v, %d ends taken note of", n, seen)
}

// hang: a job with many tasks that run side by side must not keep others from being carried out.
func hang(s *stage) {
	s.rec.tasks = func(task string) bool { return strings.HasPrefix(task, "00000000000000") }
	s.configure(1, batch)
	s.addEntry("entry-1")
	s.addEntry("entry-2")
	for n := range 4 {
		s.addAgent(fmt.Sprintf("w%d", n+1), nil)
	}
	s.awaitReady()
	s.submit("0000000000000001", "/batch/", job{"lasts", []step{{Count: 4, CPU: 1000, MemMb: 10, LongRunning: true, MayMiss: 1}}}, 20*time.Second)
	time.Sleep(3 * time.Second)
	n := 8000
	fmt.Sscanf(os.Getenv("N"), "%d", &n)
	ms := 30000
	fmt.Sscanf(os.Getenv("MS"), "%d", &ms)
	if s.trouble && !s.submit("aaaaaaaaaaaaaaaa", "/batch/", job{fmt.Sprintf("ms=%d", ms), []step{{Count: n, CPU: 1, MemMb: 1, Est: ms}}}, 10*time.Second) {
		s.cannotRun("the large job isn't accepted")
	}
	for n := range 60 {
		time.Sleep(time.Second)
		if n%5 == 0 {
			s.rec.note("large job: %s; %s", s.state("aaaaaaaaaaaaaaaa", "/batch/"), s.summary())
		}
		if n == 10 {
			if !s.submit("0000000000000002", "/batch/", job{"ms=500", []step{{Count: 2, CPU: 100, MemMb: 10, Est: 500}, {Count: 2, CPU: 100, MemMb: 10, Est: 500, After: []int{0}}}}, 20*time.Second) {
				s.broken("a small job isn't accepted within 20 s")
			}
		}
	}
	s.rec.note("small job is %s", s.state("0000000000000002", "/batch/"))
}

// silentStore: the open connections of an entry to the store go silent; three seconds later a route is added.
func silentStore(s *stage) {
	s.configure(1, batch)
	s.addEntry("entry-1")
	for n := range 2 {
		s.addAgent(fmt.Sprintf("w%d", n+1), nil)
	}
	s.awaitReady()
	p := newProxy(s.store.listen("entry-2"))
	e := s.addEntryWithStore("entry-2", p.address)
	s.awaitReady()
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Go(func() {
			id := fmt.Sprintf("00000000000000%02d", n)
			status, _ := s.call(e, "POST", "/batch/"+id, job{"ms=500", []step{{Count: 2, CPU: 100, MemMb: 10, Est: 500}}})
			s.rec.note("POST %s at entry-2: %d", id, status)
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.rec.note("the open connections of entry-2 to the store go silent; %d have been opened", p.silence())
	}
	time.Sleep(3200 * time.Millisecond)
	added := batch
	added.Name, added.Prefix = "added", "/added/"
	s.configure(2, batch, added)
	acked := time.Now()
	for time.Since(acked) < 12*time.Second {
		sent := time.Now()
		status, out := s.call(e, "GET", "/added/", nil)
		s.rec.note("GET /added/ at entry-2, %.3f s after the acknowledgement: %d %v", sent.Sub(acked).Seconds(), status, out)
		if status == 404 && sent.Sub(acked) > configBound {
			s.broken("a request sent %.3f s after the acknowledgement of the route is refused with 404", sent.Sub(acked).Seconds())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

const configBound = 2 * time.Second // configMs

// silentSessions: the open connections between the leader and the agents go silent.
func silentSessions(s *stage) {
	s.rec.tasks = func(string) bool { return true }
	s.configure(1, batch)
	s.addEntry("entry-1")
	var proxies []*proxy
	for n := range 4 {
		s.addAgent(fmt.Sprintf("w%d", n+1), func(address string) string {
			p := newProxy(address)
			proxies = append(proxies, p)
			return p.address
		})
	}
	s.awaitReady()
	s.submit("0000000000000001", "/batch/", job{"lasts", []step{{Count: 4, CPU: 10000, MemMb: 10, LongRunning: true, MayMiss: 1}}}, 20*time.Second)
	time.Sleep(8 * time.Second)
	if s.trouble {
		for _, p := range proxies {
			p.silence()
		}
		s.rec.note("the open connections between the entry and the agents go silent")
	}
	time.Sleep(20 * time.Second)
	s.rec.note("%s", s.summary())
}
