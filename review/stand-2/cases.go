//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(*stage){
	"hopeless": hopelessJob, "large": largeJob, "advice": addedWorkers, "cancelled": cancelledJob, "silent": silentSessions,
}

type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMb       int    `json:"memMb"`
	Est         int    `json:"estRuntimeMs"`
	After       []int  `json:"after,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	PerWorker   int    `json:"antiAffinity,omitempty"`
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

const (
	lastsBound = 9 * time.Second // LOST: 3 s without a run, from 6 s after the last one
	largeTasks = 20_000
)

// largeJob: one large job comes, whose tasks run side by side in an eighth of the capacity. The tasks of others that last must
// go on, and small jobs must be carried out.
func largeJob(s *stage) {
	s.rec.tasks = func(task string) bool { return strings.HasPrefix(task, "00000000000000") }
	s.configure(1, batch)
	s.addEntry("entry-1")
	s.addEntry("entry-2")
	for n := range 4 {
		s.addAgent(fmt.Sprintf("w%d", n+1), nil)
	}
	s.awaitReady()
	const lasting = "00000000000000ff"
	if !s.submit(lasting, "/batch/", job{"lasts", []step{{Count: 4, CPU: 1000, MemMb: 10, LongRunning: true, MayMiss: 1}}}, 10*time.Second) {
		s.cannotRun("the lasting job isn't accepted")
	}
	time.Sleep(5 * time.Second)
	large := job{"ms=30000", []step{{Count: largeTasks, CPU: 1, MemMb: 1, Est: 30000}}}
	if s.trouble && !s.submit("aaaaaaaaaaaaaaaa", "/batch/", large, 10*time.Second) {
		s.cannotRun("the large job isn't accepted")
	}
	var small []string
	for n := range 30 {
		time.Sleep(time.Second)
		id := fmt.Sprintf("00000000000000%02d", n)
		if n%2 == 0 && s.submit(id, "/batch/", twoSteps, 5*time.Second) {
			small = append(small, id)
		}
		if n%5 == 0 {
			s.rec.note("large job: %s; %s", s.state("aaaaaaaaaaaaaaaa", "/batch/"), s.summary())
		}
	}
	time.Sleep(finishTime + idleBound)
	s.rec.note("large job: %s; %s", s.state("aaaaaaaaaaaaaaaa", "/batch/"), s.summary())
	s.checkFinished(small, "/batch/", 2)
	s.checkLasting(lasting, 4)
}

// checkLasting applies LOST to tasks that last: none may be without a run for lastsBound. It also counts the leases that lapsed.
func (s *stage) checkLasting(id string, count int) {
	lapsed := 0
	for n := range count {
		var end time.Time
		longest := time.Duration(0)
		running := false
		for _, h := range histories(s.workers) {
			if h.task != fmt.Sprintf("%s.0.0.%d", id, n) {
				continue
			}
			if !end.IsZero() {
				longest = max(longest, h.began.Sub(end))
			}
			end, running = h.ended, h.how == ""
			if h.how == "lapsed" {
				lapsed++
			}
		}
		if !running && !end.IsZero() {
			longest = max(longest, time.Since(end))
		}
		s.rec.note("task %d that lasts: longest time without a run %.1f s", n, longest.Seconds())
		if longest > lastsBound {
			s.broken("LOST: a task that lasts had no run for %.1f s, with the workers nearly idle", longest.Seconds())
		}
	}
	s.rec.note("%d runs of the job that lasts ended because the lease lapsed", lapsed)
}

const (
	contact    = 3 * time.Second        // contactMs: a machine is in touch again after that
	noted      = 100 * time.Millisecond // after which a listed end counts as taken note of, with no disruption near
	silences   = 4                      // at most, until a rule is broken
	silentPart = 4                      // workers whose sessions go silent, of 6
)

// silentSessions: the open connections between the leader and some agents go silent, while new ones work. Tasks that have ended
// must not be started again.
func silentSessions(s *stage) {
	s.rec.tasks = func(string) bool { return true }
	s.configure(1, batch)
	s.addEntry("entry-1")
	var proxies []*proxy
	for n := range 6 {
		advertise := func(address string) string {
			p := newProxy(address)
			proxies = append(proxies, p)
			return p.address
		}
		if n >= silentPart {
			advertise = nil
		}
		s.addAgent(fmt.Sprintf("w%d", n+1), advertise)
	}
	s.awaitReady()
	for n := range silences {
		var opened time.Time
		for _, p := range proxies {
			if t := p.lastOpened(); t.After(opened) {
				opened = t
			}
		}
		at := opened.Add(420 * time.Millisecond) // just after one of the seconds that the sessions count
		for time.Until(at) < 4*time.Second {
			at = at.Add(time.Second)
		}
		for k := range 8 { // the usual work, so that the agents report at different moments
			time.Sleep(200 * time.Millisecond)
			id := fmt.Sprintf("%016x", 0x1000+16*n+k)
			ms := fmt.Sprintf("ms=%d", 700+rand.IntN(2000))
			s.submit(id, "/batch/", job{ms, []step{{Count: 5, CPU: 200, MemMb: 10, Est: 1500}}}, 200*time.Millisecond)
		}
		time.Sleep(time.Until(at) - 300*time.Millisecond)
		for k := range 4 {
			id := fmt.Sprintf("%016x", 16*n+k)
			if !s.submit(id, "/batch/", job{"ms=4900", []step{{Count: 12, CPU: 300, MemMb: 10, Est: 4900}}}, 200*time.Millisecond) {
				s.cannotRun("a job isn't accepted")
			}
		}
		time.Sleep(time.Until(at))
		if s.trouble {
			for _, p := range proxies {
				p.silence()
			}
			s.rec.note("the open connections between the entry and the agents of %d workers go silent", len(proxies))
		}
		time.Sleep(12 * time.Second)
		s.checkTwice(at)
		if s.failure != "" {
			break
		}
	}
	s.rec.note("%s", s.summary())
}

// checkTwice applies TWICE: no task starts after a run has ended done, if that end counts as taken note of. Without a disruption
// near it does so 100 ms after the worker has listed it; the last disruption was at the given time.
func (s *stage) checkTwice(disrupted time.Time) {
	done := make(map[string]history)
	for _, h := range histories(s.workers) {
		d, ok := done[h.task]
		if ok && h.began.After(d.listed.Add(noted)) && (!s.trouble || d.listed.Sub(disrupted) > contact) {
			s.broken("TWICE: run %d of %s began on %s %.2f s after run %d had ended done on %s (listed %.2f s after the disruption)", h.run,
				h.task, h.worker, h.began.Sub(d.ended).Seconds(), d.run, d.worker, d.listed.Sub(disrupted).Seconds())
		}
		if h.how == "done" && !h.listed.IsZero() {
			done[h.task] = h
		}
	}
}

// addedWorkers: empty workers are added to a service. A queue whose policy allows two of the older workers must go on.
func addedWorkers(s *stage) {
	s.rec.tasks = func(task string) bool { return !strings.HasPrefix(task, "00000000000000ff") }
	s.policies = serve(&policy{rec: s.rec, advice: advice{DecideMs: 20, EachMs: 2, ValidMs: 3000}, allowed: map[string]bool{"i-w27": true, "i-w28": true}})
	chosen := batch
	chosen.Name, chosen.Prefix = "chosen", "/chosen/"
	chosen.Advice = &advice{DecideMs: 20, EachMs: 2, ValidMs: 3000}
	s.configure(1, batch, chosen)
	s.addEntry("entry-1")
	s.addEntry("entry-2")
	for n := range 28 {
		s.addAgent(fmt.Sprintf("w%02d", n+1), nil)
	}
	s.awaitReady()
	if !s.submit("00000000000000ff", "/batch/", job{"lasts", []step{{Count: 28, CPU: 3200, MemMb: 10, LongRunning: true, PerWorker: 1}}}, 10*time.Second) {
		s.cannotRun("the lasting job isn't accepted")
	}
	time.Sleep(3 * time.Second)
	if !s.submit("0000000000000001", "/chosen/", twoSteps, 10*time.Second) {
		s.cannotRun("the first job isn't accepted")
	}
	time.Sleep(5 * time.Second)
	s.rec.note("job 0000000000000001 (before) is %s", s.state("0000000000000001", "/chosen/"))
	if s.trouble {
		for n := range 7 {
			s.addAgent(fmt.Sprintf("w%02d", n+29), nil)
		}
		s.rec.note("7 empty workers are added to 28")
	}
	time.Sleep(8 * time.Second)
	if !s.submit("0000000000000002", "/chosen/", twoSteps, 10*time.Second) {
		s.cannotRun("the second job isn't accepted")
	}
	time.Sleep(finishTime + 2*idleBound)
	s.checkFinished([]string{"0000000000000001", "0000000000000002"}, "/chosen/", 2)
}

// policy is a stand-in for the service that knows which workers may run a step.
type policy struct {
	rec     *record
	advice  advice
	allowed map[string]bool // by worker ID; nil for all
	turn    sync.Mutex      // held by the call that is being handled
	mu      sync.Mutex
	waiting int
	calls   int
}

// maxWaiting is the number of waiting calls from which the service refuses others.
const maxWaiting = 32

func (p *policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		reply(w, 400, struct{}{})
		return
	}
	came := time.Now()
	p.mu.Lock()
	full := p.waiting >= maxWaiting
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		reply(w, 429, struct{}{})
		return
	}
	p.turn.Lock()
	p.mu.Lock()
	p.waiting--
	p.calls++
	n := p.calls
	p.mu.Unlock()
	time.Sleep(time.Duration(p.advice.DecideMs+p.advice.EachMs*len(in.Workers)) * time.Millisecond)
	p.turn.Unlock()
	good := [][]string{}
	for _, id := range in.Workers {
		if p.allowed == nil || p.allowed[id] {
			good = append(good, []string{id, "ticket-" + in.Step + "-" + id})
		}
	}
	if n <= 10 || n%20 == 0 || p.allowed == nil {
		p.rec.note("POST /v1/advise (call %d) for %s, %d workers (%s), answered after %.2f s (caller has left: %v): %d good", n, in.Step,
			len(in.Workers), strings.Join(in.Workers, " "), time.Since(came).Seconds(), r.Context().Err() != nil, len(good))
	}
	reply(w, 200, map[string]any{"good": good, "validMs": p.advice.ValidMs})
}

// cancelledJob: a client gives up a submission that isn't answered in time, and cancels the job. It must not run.
func cancelledJob(s *stage) {
	s.rec.tasks = func(task string) bool { return strings.HasPrefix(task, "aaaaaaaaaaaaaaaa") }
	s.configure(1, batch)
	s.addEntry("entry-1")
	for n := range 3 {
		s.addAgent(fmt.Sprintf("w%d", n+1), nil)
	}
	s.awaitReady()
	s.addEntry("entry-2")
	s.addEntry("entry-3")
	s.awaitReady()
	ended := make(chan struct{})
	go func() { // other clients, at another entry
		defer close(ended)
		for n := range 40 {
			s.submit(fmt.Sprintf("00000000000000%02d", n), "/batch/", twoSteps, 5*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(time.Second)
	const id = "aaaaaaaaaaaaaaaa"
	if s.trouble {
		s.store.lose("entry-2", lateBy)
		s.rec.note("the answers of the store to transactions of entry-2 are lost, for %v", lossTime)
		time.AfterFunc(lossTime, func() {
			s.rec.note("answers are no longer lost; transactions by caller meanwhile: %v", s.store.lose("", 0))
		})
	}
	long := job{"ms=12000", []step{
		{Count: 3, CPU: 1000, MemMb: 10, Est: 12000}, {Count: 3, CPU: 1000, MemMb: 10, Est: 12000, After: []int{0}},
	}}
	sent := time.Now()
	calm := sent
	if s.trouble {
		calm = sent.Add(lossTime + lateBy + contact) // by then the last late transaction has been carried out for contactMs
	}
	status, _ := s.callFor(s.entries[1], "POST", "/batch/"+id, long, patience)
	s.rec.note("POST %s at entry-2: %d after %.2f s (0: the client has left)", id, status, time.Since(sent).Seconds())
	var acked time.Time
	for time.Since(sent) < 10*time.Second && acked.IsZero() {
		status, _ = s.call(s.entries[2], "DELETE", "/batch/"+id, nil)
		s.rec.note("DELETE %s at entry-3: %d", id, status)
		if status/100 == 2 || status == 410 {
			acked = time.Now()
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if acked.IsZero() {
		s.cannotRun("the cancellation isn't acknowledged")
	}
	for n := range 18 {
		time.Sleep(time.Second)
		s.rec.note("%d s after the acknowledgement, GET %s: %s", n+1, id, s.state(id, "/batch/"))
	}
	<-ended
	for _, h := range histories(s.workers) {
		if !strings.HasPrefix(h.task, id) {
			continue
		}
		if d := h.began.Sub(acked); d > cancelBound && h.began.After(calm) {
			s.broken("UNASKED: %s was started %.2f s after its job's cancelling was acknowledged", h.task, d.Seconds())
		}
		if d := h.ended.Sub(acked); h.how == "" || d > cancelBound+killTime && h.ended.After(calm) {
			s.broken("UNASKED: %s ran on after its job's cancelling was acknowledged", h.task)
		}
	}
}

const (
	lossTime    = 1500 * time.Millisecond // for which answers are lost
	lateBy      = 6 * time.Second         // after which such transactions are carried out
	patience    = 900 * time.Millisecond  // after which the client gives up
	cancelBound = 3 * time.Second         // cancel_ms
	killTime    = 400 * time.Millisecond  // killTimeoutMs
)
