package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the site madafi-ops that concern workers.
const (
	holdMax     = 10 * time.Second       // holdMaxMs
	killTime    = 200 * time.Millisecond // of a stop; killTimeoutMs is 400
	heartbeat   = 1500 * time.Millisecond
	maxEnded    = 500
	maxWait     = 2 * time.Second
	startupTime = 270 * time.Millisecond // of a task that lasts
)

type runKey struct {
	Task string
	Run  int
}

// step is what the stand-in knows of a step from the jobs that its clients have sent.
type step struct {
	cpu, mem    int64
	count       int
	fills       bool
	lasts       bool
	target      int64
	speculative bool
	spec        string
	runTime     time.Duration
	fails       bool
}

type activeRun struct {
	key      runKey
	step     *step
	began    time.Time
	stopping bool
	timer    *time.Timer   // ends the run; nil for a task that lasts, and at pace 0
	how      string        // of its end
	percent  int           // pace
	worked   time.Duration // at full pace, until pacedAt
	pacedAt  time.Time
}

// progress returns the work done so far, as time at full pace.
func (a *activeRun) progress() time.Duration {
	return a.worked + time.Since(a.pacedAt)*time.Duration(a.percent)/100
}

// schedule sets the timer for the end of a run at its pace; w.mu is held.
func (w *worker) schedule(a *activeRun) {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if a.step.lasts || a.stopping || a.percent == 0 {
		return
	}
	a.timer = time.AfterFunc((a.step.runTime-a.worked)*100/time.Duration(a.percent), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !a.stopping && a.step.runTime-a.progress() < 5*time.Millisecond {
			w.end(a, a.how)
		}
	})
}

type runEnd struct {
	n      uint64
	key    runKey
	how    string
	at     time.Time
	lapsed bool // the lease has lapsed since
}

// worker is a stand-in for a worker of the platform. It doesn't guard its capacity.
type worker struct {
	b       *bench
	name    string
	id      string
	machine string
	service string
	zone    string
	cpu     int64
	mem     int64
	control string // address of the agent that it reports to
	address string

	mu       sync.Mutex
	born     time.Time
	seq      int
	token    uint64
	deadline int64 // of the lease, on clock()
	lapsed   bool
	active   map[runKey]*activeRun
	closed   map[string]int
	ended    []*runEnd
	lastEnd  uint64
	changed  chan struct{}
	life     chan struct{} // closed at the end of an incarnation
	server   *http.Server
	cut      bool // its heartbeats are lost
	paces    int  // calls that set a pace
	maxEnds  int  // most ends that waited for an acknowledgement
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// start begins an incarnation of the worker.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = ln.Addr().String()
	w.born, w.seq, w.token, w.deadline, w.lastEnd = time.Now(), 0, 0, 0, 0
	w.active, w.closed, w.ended = make(map[runKey]*activeRun), make(map[string]int), nil
	w.changed, w.life, w.lapsed = make(chan struct{}), make(chan struct{}), true
	w.server = &http.Server{Handler: w.handler()}
	life, server := w.life, w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go w.report(life)
	go w.expire(life)
	w.b.log("worker %s %s starts at %s, born %d", w.name, w.id, w.address, w.born.UnixMilli())
	return nil
}

// crash ends the incarnation with all that runs.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.life)
	_ = w.server.Close()
	for _, a := range w.active {
		if a.timer != nil {
			a.timer.Stop()
		}
		w.b.runGone(w, a.key)
	}
	clear(w.active)
	w.b.log("worker %s %s crashes", w.name, w.id)
}

func (w *worker) report(life chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(object{
			"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "capacity": object{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(), "machine": w.machine,
		})
		control, cut := w.control, w.cut
		w.mu.Unlock()
		if r, err := http.NewRequest(http.MethodPut, "http://"+control+"/v1/instances/"+w.id, bytes.NewReader(body)); err == nil && !cut {
			r.Header.Set("Content-Type", "application/json")
			if resp, err := client.Do(r); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-life:
			return
		case <-time.After(heartbeat):
		}
	}
}

// expire kills everything once the lease has lapsed.
func (w *worker) expire(life chan struct{}) {
	for {
		select {
		case <-life:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		if !w.lapsed && w.clock() >= w.deadline {
			w.lapsed = true
			w.b.log("worker %s: its lease lapses with %d runs", w.name, len(w.active))
			for _, e := range w.ended {
				e.lapsed = true
			}
			for _, a := range w.active {
				w.end(a, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+holdMax.Milliseconds())
	if deadline > w.deadline {
		w.deadline = deadline
		if deadline > w.clock() {
			w.lapsed = false
		}
	}
}

// end lists the end of a run; w.mu is held.
func (w *worker) end(a *activeRun, how string) {
	if w.active[a.key] != a {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(w.active, a.key)
	w.closed[a.key.Task] = max(w.closed[a.key.Task], a.key.Run)
	w.lastEnd++
	e := &runEnd{n: w.lastEnd, key: a.key, how: how, at: time.Now()}
	w.ended = append(w.ended, e)
	w.maxEnds = max(w.maxEnds, len(w.ended))
	w.b.runEnded(w, a, e)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
	Percent      int
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(rw http.ResponseWriter, r *http.Request, c workerCall)) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var c workerCall
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				answer(rw, http.StatusBadRequest, object{"clockMs": w.clock()})
				return
			}
			if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
				answer(rw, http.StatusMisdirectedRequest, object{"clockMs": w.clock()})
				return
			}
			f(rw, r, c)
		})
	}
	handle("/v1/run-start", w.runStart)
	handle("/v1/run-stop", w.runStop)
	handle("/v1/hold", w.hold)
	handle("/v1/pace", w.pace)
	return mux
}

func (w *worker) fenced(rw http.ResponseWriter, c workerCall) bool {
	if c.FencingToken < w.token {
		answer(rw, http.StatusConflict, object{"clockMs": w.clock(), "reason": "fence"})
		return true
	}
	w.token = c.FencingToken
	return false
}

func (w *worker) runStart(rw http.ResponseWriter, _ *http.Request, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, c) {
		return
	}
	w.extend(c.DeadlineMs)
	key := runKey{c.Task, c.Run}
	st := w.b.stepOf(c.Task)
	switch {
	case w.active[key] != nil:
		answer(rw, http.StatusOK, object{"clockMs": w.clock()})
		return
	case c.Run <= w.closed[c.Task]:
		answer(rw, http.StatusConflict, object{"clockMs": w.clock(), "reason": "old"})
		return
	case w.clock() >= w.deadline:
		answer(rw, http.StatusConflict, object{"clockMs": w.clock(), "reason": "late"})
		return
	case st == nil || st.spec != c.Spec:
		w.b.broken("UNASKED", "worker %s is told to start %s, which no client sent so", w.name, c.Task)
		answer(rw, http.StatusBadRequest, object{"clockMs": w.clock()})
		return
	}
	a := &activeRun{key: key, step: st, began: time.Now(), how: "done", percent: 100, pacedAt: time.Now()}
	if st.fails {
		a.how = "failed"
	}
	w.active[key] = a
	var cpu, mem int64
	for _, o := range w.active {
		mem += o.step.mem
		if !o.step.fills {
			cpu += o.step.cpu
		}
	}
	w.b.runStarted(w, a, cpu, mem)
	w.schedule(a)
	answer(rw, http.StatusOK, object{"clockMs": w.clock()})
}

const paceTime = 100 * time.Millisecond // paceMs

// pace lets a task work at a share from paceTime onward.
func (w *worker) pace(rw http.ResponseWriter, _ *http.Request, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, c) {
		return
	}
	if a := w.active[runKey{c.Task, c.Run}]; a != nil {
		w.paces++
		time.AfterFunc(paceTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[a.key] == a {
				a.worked, a.pacedAt, a.percent = a.progress(), time.Now(), min(100, max(0, c.Percent))
				w.schedule(a)
			}
		})
	}
	answer(rw, http.StatusOK, object{"clockMs": w.clock()})
}

func (w *worker) runStop(rw http.ResponseWriter, _ *http.Request, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, c) {
		return
	}
	w.closed[c.Task] = max(w.closed[c.Task], c.Run)
	if a := w.active[runKey{c.Task, c.Run}]; a != nil && !a.stopping {
		a.stopping = true
		time.AfterFunc(killTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(a, "stopped")
		})
	}
	answer(rw, http.StatusOK, object{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c workerCall) {
	w.mu.Lock()
	if w.fenced(rw, c) {
		w.mu.Unlock()
		return
	}
	w.extend(c.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0].n <= c.LastSeen {
		w.b.endNoted(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	changed, life := w.changed, w.life
	waits := len(w.ended) == 0 && c.WaitMs > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(min(maxWait, time.Duration(c.WaitMs)*time.Millisecond)):
		case <-life:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, a := range w.active {
		running = append(running, w.row(a))
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnded)] {
		ended = append(ended, []any{e.n, e.key.Task, e.key.Run, e.how, ""})
	}
	answer(rw, http.StatusOK, object{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (w *worker) row(a *activeRun) []any {
	percent, figure := 0, a.step.cpu*int64(a.percent)/100
	age := time.Since(a.began)
	switch {
	case a.step.lasts && age >= startupTime:
		percent = 100
	case !a.step.lasts:
		percent = min(99, int(100*a.progress()/a.step.runTime))
	}
	if a.step.target > 0 {
		figure = a.step.target * 3 / 10
	}
	return []any{a.key.Task, a.key.Run, "", percent, figure}
}

// taskStep returns the job and the step of a task's name.
func taskStep(task string) (job string, stepIndex int, err error) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return "", 0, fmt.Errorf("task name %q", task)
	}
	n, err := strconv.Atoi(f[2])
	return f[0], n, err
}
