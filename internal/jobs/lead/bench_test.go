package lead_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against a start whose cost grows with the number of workers. Each worker has serving tasks, so that the choice
// of a worker for a best-effort task weighs interference.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{30, 300, 3000} {
		for _, kind := range []string{"plain", "best-effort", "blocked"} {
			b.Run(fmt.Sprintf("%s/%d", kind, workers), func(b *testing.B) { benchmarkStart(b, workers, kind) })
		}
	}
}

// Guards against an explanation that delays the starts of the leader: 5 ms are allowed at 300 workers.
func BenchmarkExplain(b *testing.B) { benchmarkStart(b, 300, "explain") }

// benchmarkExplain explains a job of ten best-effort steps while 1,000 jobs wait.
func benchmarkExplain(b *testing.B, term *lead.Term, id int) {
	for i := range 1000 {
		waiting := job(id+2+i, 1, 1)
		waiting.Steps[0].Size.Processors = 17_000
		accept(b, term, waiting)
	}
	j := job(id+1, 10, 20)
	for i := range j.Steps {
		j.Steps[i].After, j.Steps[i].BestEffort, j.Steps[i].Image = nil, true, fmt.Sprint("batch-", i)
	}
	for range b.N {
		b.StopTimer()
		time.Sleep(60 * time.Millisecond) // longer than the least time between answers
		b.StartTimer()
		if x, v := explain(b, term, j); v != wire.VerdictKnown || len(x.Steps) != 10 || x.Steps[9].Suitable == 0 {
			b.Fatalf("verdict %v, explanation %+v", v, x)
		}
	}
}

const (
	servingPerWorker = 4
	tasksPerJob      = 20
)

// echoNetwork connects a leader to agents that report each start as done at once; it implements lead.Network.
type echoNetwork struct {
	ended    chan string  // tasks
	panicked *atomic.Bool // if not nil, the first commands panic
}

func (n *echoNetwork) Connect(t *lead.Term, a rows.Agent) {
	l := &echoLink{term: t, name: a.Name, ended: n.ended, panicked: n.panicked}
	t.Opened(a.Name, l)
}

func (n *echoNetwork) Disconnect(string) {}

// echoLink is the leader's session to an agent of echoNetwork.
type echoLink struct {
	term  *lead.Term
	name  string
	ended chan string

	panicked *atomic.Bool
	mu       sync.Mutex
	running  []wire.RunState
	lastEnd  uint64
}

func (l *echoLink) incarnation() wire.WorkerIncarnation {
	return wire.WorkerIncarnation{ID: l.name, StartedAt: 1}
}

func (l *echoLink) Close(error) {}

func (l *echoLink) Send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m := m.(type) {
	case *wire.LeadAdopt:
		go func() {
			l.term.Message(l.name, l, &wire.WorkerState{
				Incarnation: l.incarnation(), Service: "packing", Zone: "agadir", Phase: wire.WorkerReady, Healthy: true,
				Capacity: sizes.Resources{Processors: 16_000, Memory: 64 << 30}, Rack: "r" + l.name[:1],
			})
			l.term.Message(l.name, l, &wire.RunReport{Incarnation: l.incarnation(), Complete: true, RequestLease: true, Clock: 1})
		}()
	case *wire.TaskOrders:
		if l.panicked != nil && !l.panicked.Swap(true) {
			panic("commands that cannot be sent")
		}
		r := &wire.RunReport{Incarnation: l.incarnation(), LastOrders: m.Number}
		for _, s := range m.Starts {
			if s.Target > 0 {
				l.running = append(l.running, wire.RunState{Run: s.Run, Percent: 100, Measurement: 10})
				r.Complete = true
				continue
			}
			l.lastEnd++
			r.Ended = append(r.Ended, wire.RunEnd{Number: l.lastEnd, Run: s.Run, Cause: wire.EndDone})
		}
		if r.Complete {
			r.Running, r.RequestLease = append([]wire.RunState(nil), l.running...), true
		}
		if len(m.Starts) == 0 {
			return nil
		}
		go func() {
			l.term.Message(l.name, l, r)
			for _, s := range m.Starts {
				l.ended <- s.Task
			}
		}()
	}
	return nil
}

func benchmarkStart(b *testing.B, workers int, kind string) {
	ctx, cancel := context.WithCancel(b.Context())
	network := &echoNetwork{ended: make(chan string, 1<<20)}
	names := make([]string, workers)
	for i := range names {
		names[i] = fmt.Sprintf("%04d", i)
	}
	store := storeWithAgents(b, names...)
	term, stop := startLeader(ctx, b, store, network)
	submit := func(j *spec.Job) { accept(b, term, j) }
	id := 0
	for range workers * servingPerWorker / tasksPerJob {
		id++
		j := job(id, 1, tasksPerJob)
		j.Steps[0].Size = sizes.Resources{Processors: 3200, Memory: 6 << 30}
		j.Steps[0].LongRunning, j.Steps[0].Target, j.Steps[0].Image = true, 150, fmt.Sprint("serving-", id%16)
		submit(j)
	}
	for range workers * servingPerWorker / tasksPerJob * tasksPerJob {
		<-network.ended
	}
	if kind == "blocked" { // jobs that fit nowhere wait all the while
		for i := range 50 {
			id++
			j := job(id, 1, tasksPerJob)
			j.Steps[0].Size = sizes.Resources{Processors: int64(17_000 + i), Memory: 1 << 20}
			submit(j)
		}
	}
	b.ResetTimer()
	if kind == "explain" {
		benchmarkExplain(b, term, id)
	}
	for started := 0; started < b.N && kind != "explain"; {
		n := min(tasksPerJob, b.N-started)
		id++
		j := job(id, 1, n)
		j.Priority = 1
		j.Steps[0].Size = sizes.Resources{Processors: 700, Memory: 1 << 30}
		if kind == "best-effort" {
			j.Steps[0].BestEffort, j.Steps[0].Image = true, fmt.Sprint("batch-", id%30)
		}
		submit(j)
		for range n {
			<-network.ended
		}
		started += n
	}
	b.StopTimer()
	cancel()
	stop()
}
