//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	endsPerCall = 500
	beatEvery   = 1500 * time.Millisecond
	stopTime    = 100 * time.Millisecond // killTimeoutMs of the sites is 400
)

// behavior is how a task runs: its text is the job's spec, with words such as "ms=800", "fails" or "lasts".
type behavior struct {
	time  time.Duration
	fails bool
	lasts bool
}

func behaviorOf(spec string) behavior {
	b := behavior{time: time.Second}
	for _, f := range strings.Fields(spec) {
		switch {
		case f == "fails":
			b.fails = true
		case f == "lasts":
			b.lasts = true
		case strings.HasPrefix(f, "ms="):
			var ms int
			fmt.Sscanf(f, "ms=%d", &ms)
			b.time = time.Duration(ms) * time.Millisecond
		}
	}
	return b
}

type runKey struct {
	task string
	run  int
}

// history is what happened to one run; times are zero until they happen.
type history struct {
	runKey
	worker string
	token  uint64
	began  time.Time
	ended  time.Time
	how    string
	listed time.Time // when a hold first returned the end
	seen   time.Time // when lastSeen reached the end, with the lease unbroken
}

type activeRun struct {
	h        *history
	b        behavior
	stopping bool
	timer    *time.Timer
}

type endRow struct {
	n    uint64
	h    *history
	gone bool // the lease lapsed after this end, before it was taken note of
}

// worker is a stand-in for a worker of the platform (controlMode call).
type worker struct {
	name    string
	id      string
	rec     *record
	cpu     int64
	memMb   int64
	maxHold time.Duration
	control string // address of the agent for announcements
	app     string // address for calls

	mu      sync.Mutex
	born    time.Time
	token   uint64
	lease   time.Time
	active  map[runKey]*activeRun
	closed  map[string]int
	ends    []endRow
	lastEnd uint64
	seq     uint64
	state   string
	changed chan struct{}
	all     []*history
	slow    func(path string) time.Duration // extra time before an order is carried out
	calls   int
}

func newWorker(name string, rec *record, maxHold time.Duration) *worker {
	w := &worker{
		name: name, id: "i-" + name, rec: rec, cpu: 16000, memMb: 64000, maxHold: maxHold, born: time.Now(),
		active: make(map[runKey]*activeRun), closed: make(map[string]int), state: "ready", changed: make(chan struct{}),
	}
	w.app = serve(w)
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// announce sends heartbeats to the agent until ctx ends.
func (w *worker) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body := map[string]any{
			"service": "booking", "addr": w.app, "zone": "z1", "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		}
		w.mu.Unlock()
		b, _ := json.Marshal(body)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/v1/instances/"+w.id, bytes.NewReader(b))
		req.Header.Set("Content-Type", "application/json")
		pause := beatEvery
		if resp, err := client.Do(req); err != nil || resp.StatusCode != 200 {
			pause = 300 * time.Millisecond
		} else {
			resp.Body.Close()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

type order struct {
	Task           string
	Run            int
	Spec           string
	DeadlineMs     int64
	FencingToken   uint64
	LastCheckpoint string
	LastSeen       uint64
	WaitMs         int64
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		reply(rw, 421, struct{}{})
		return
	}
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(rw, 400, struct{}{})
		return
	}
	w.mu.Lock()
	w.calls++
	slow := w.slow
	w.mu.Unlock()
	if slow != nil {
		if d := slow(r.URL.Path); d > 0 {
			time.Sleep(d)
		}
	}
	switch r.URL.Path {
	case "/v1/run-start":
		w.answer(rw, w.start(in))
	case "/v1/run-stop":
		w.answer(rw, w.stop(in))
	case "/v1/pace":
		w.answer(rw, w.fenced(in))
	case "/v1/hold":
		w.hold(rw, r, in)
	default:
		reply(rw, 404, struct{}{})
	}
}

func (w *worker) answer(rw http.ResponseWriter, reason string) {
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	status := 200
	if reason != "" {
		out["reason"], status = reason, 409
	}
	reply(rw, status, out)
}

// checkToken returns "fence" for a token that is lower than the highest one seen; w.mu is held.
func (w *worker) checkToken(t uint64) string {
	if t < w.token {
		return "fence"
	}
	w.token = t
	return ""
}

func (w *worker) fenced(in order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkToken(in.FencingToken)
}

// extend moves the end of the lease to a time on the worker's clock; w.mu is held.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	at := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := time.Now().Add(w.maxHold); at.After(limit) {
		at = limit
	}
	if at.After(w.lease) {
		w.lease = at
		time.AfterFunc(time.Until(at), w.expire)
	}
}

// expire ends all runs if the lease has expired.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.lease) {
		return
	}
	for i := range w.ends {
		w.ends[i].gone = true
	}
	n := len(w.active)
	for k, a := range w.active {
		w.end(k, a, "lapsed")
	}
	if n > 0 {
		w.rec.note("%s: the lease lapses, %d runs end", w.name, n)
	}
}

// end ends a run; w.mu is held.
func (w *worker) end(k runKey, a *activeRun, how string) {
	a.timer.Stop()
	delete(w.active, k)
	a.h.ended, a.h.how = time.Now(), how
	w.closed[k.task] = max(w.closed[k.task], k.run)
	w.lastEnd++
	w.ends = append(w.ends, endRow{n: w.lastEnd, h: a.h})
	close(w.changed)
	w.changed = make(chan struct{})
	if w.rec.verbose(k.task) {
		w.rec.note("%s: run %d of %s ends %s", w.name, k.run, k.task, how)
	}
}

func (w *worker) start(in order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.checkToken(in.FencingToken); f != "" {
		return f
	}
	w.extend(in.DeadlineMs)
	k := runKey{in.Task, in.Run}
	if w.active[k] != nil {
		return ""
	}
	if in.Run <= w.closed[in.Task] {
		return "old"
	}
	if !time.Now().Before(w.lease) {
		return "late"
	}
	b := behaviorOf(in.Spec)
	h := &history{runKey: k, worker: w.name, token: in.FencingToken, began: time.Now()}
	w.all = append(w.all, h)
	a := &activeRun{h: h, b: b}
	d := b.time
	if b.lasts {
		d = 24 * time.Hour
	}
	a.timer = time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[k] != a || a.stopping {
			return
		}
		how := "done"
		if b.fails {
			how = "failed"
		}
		w.end(k, a, how)
	})
	w.active[k] = a
	if w.rec.verbose(in.Task) {
		w.rec.note("%s: run %d of %s begins (token %d)", w.name, in.Run, in.Task, in.FencingToken)
	}
	return ""
}

func (w *worker) stop(in order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.checkToken(in.FencingToken); f != "" {
		return f
	}
	w.closed[in.Task] = max(w.closed[in.Task], in.Run)
	k := runKey{in.Task, in.Run}
	a := w.active[k]
	if a == nil || a.stopping {
		return ""
	}
	a.stopping = true
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[k] == a {
			w.end(k, a, "stopped")
		}
	})
	return ""
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, in order) {
	w.mu.Lock()
	if f := w.checkToken(in.FencingToken); f != "" {
		w.mu.Unlock()
		w.answer(rw, f)
		return
	}
	w.extend(in.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0].n <= in.LastSeen {
		if !w.ends[0].gone {
			w.ends[0].h.seen = time.Now()
		}
		w.ends = w.ends[1:]
	}
	changed, waits := w.changed, len(w.ends) == 0 && in.WaitMs > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running := make([][]any, 0, len(w.active))
	for k, a := range w.active {
		percent := 100
		if !a.b.lasts && a.b.time > 0 {
			percent = int(min(99, 100*time.Since(a.h.began)/a.b.time))
		}
		running = append(running, []any{k.task, k.run, "", percent, 10})
	}
	ended := make([][]any, 0, len(w.ends))
	for _, e := range w.ends {
		if len(ended) == endsPerCall {
			break
		}
		if e.h.listed.IsZero() {
			e.h.listed = time.Now()
		}
		ended = append(ended, []any{e.n, e.h.task, e.h.run, e.h.how, ""})
	}
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	reply(rw, 200, out)
}

// histories returns copies of the histories of all runs, ordered by their start.
func histories(workers []*worker) []history {
	var list []history
	for _, w := range workers {
		w.mu.Lock()
		for _, h := range w.all {
			list = append(list, *h)
		}
		w.mu.Unlock()
	}
	sort.Slice(list, func(i, k int) bool { return list[i].began.Before(list[k].began) })
	return list
}
