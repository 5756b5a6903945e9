package owner_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/owner"
	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/batch/place"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

const (
	benchZones    = 20
	benchParts    = 4 // per zone
	benchEntries  = 5
	benchWorkers  = 32 // per zone
	benchRunTime  = time.Second
	benchWarmup   = 15 * time.Second
	benchDuration = 30 * time.Second
	benchGoalRate = 4200 // task starts/s, and as many task finishes/s
	benchJobTasks = 60
)

// bench is a deployment with the number of partitions and the task rates that are expected in two years. Its simulated
// agents answer immediately.
type bench struct {
	shared   bool // whether the partitions of a zone have different owners
	parts    []ident.Partition
	owners   []*owner.Owner
	starts   atomic.Int64
	finishes atomic.Int64
	refused  atomic.Int64

	mu             sync.Mutex
	urgent         map[ident.Job]time.Time
	startLatencies []time.Duration // of urgent tasks, from submission to StartTask
}

// benchEntry implements owner.Members and owner.Peers for one of the entries.
type benchEntry struct {
	*bench
	n int
}

func (b *bench) entryOf(p ident.Partition) int {
	return slices.Index(b.parts, p) / benchParts % benchEntries
}

func (e benchEntry) Partitions() []ident.Partition               { return e.parts }
func (e benchEntry) ShouldOwn(p ident.Partition) bool            { return e.entryOf(p) == e.n }
func (e benchEntry) IsAlive(ident.Entry, ident.Incarnation) bool { return true }

// Free returns half of the capacity of the zone's workers as a constant estimate.
func (e benchEntry) Free(ident.AvailabilityZone) sizes.Resources {
	return sizes.Resources{Processors: workerCapacity.Processors * benchWorkers / 2, Memory: workerCapacity.Memory * benchWorkers / 2}
}

func (e benchEntry) Policy(ident.Team) (float64, sizes.Resources) { return 1, sizes.Resources{} }

func (e benchEntry) Candidates() []ident.Partition {
	var list []ident.Partition
	for _, p := range e.parts {
		if e.ShouldOwn(p) {
			list = append(list, p)
		}
	}
	return list
}

func (e benchEntry) Send(p ident.Partition, m wire.Message) error {
	e.owners[e.entryOf(p)].HandlePeer(m)
	return nil
}

// benchCapacity is the free capacity of a worker.
type benchCapacity struct {
	mu   sync.Mutex
	free sizes.Resources
}

func (c *benchCapacity) reserve(size sizes.Resources) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !size.Fits(c.free) {
		return false
	}
	c.free = c.free.Minus(size)
	return true
}

func (c *benchCapacity) release(size sizes.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free = c.free.Plus(size)
}

// benchAgent is the session of an agent with one entry. The agent accepts the tasks that fit and reports each of them
// as finished after benchRunTime.
type benchAgent struct {
	b        *bench
	o        *owner.Owner
	info     owner.AgentInfo
	inbox    chan wire.Message
	base     time.Time
	capacity *benchCapacity
	epochs   map[ident.Partition]ident.Epoch
}

func (a *benchAgent) Info() owner.AgentInfo { return a.info }

func (a *benchAgent) Send(m wire.Message) error {
	a.inbox <- m
	return nil
}

func (a *benchAgent) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	a.sendHeartbeat()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.sendHeartbeat()
		case m := <-a.inbox:
			a.handle(m)
		}
	}
}

func (a *benchAgent) handle(m wire.Message) {
	switch m := m.(type) {
	case *wire.Adopt:
		a.epochs[m.Partition] = m.Epoch
		a.o.HandleAgent(a, &wire.Inventory{Partition: m.Partition, Epoch: m.Epoch})
	case *wire.StartTask:
		a.start(m)
	case *wire.TaskReportAck:
		a.b.finishes.Add(1)
	}
}

func (a *benchAgent) start(m *wire.StartTask) {
	r := wire.TaskReport{Partition: m.Partition, Task: m.Task, Attempt: m.Attempt, State: wire.TaskRunning}
	if !a.capacity.reserve(m.Size) {
		a.b.refused.Add(1)
		r.State = wire.TaskRefused
		a.o.HandleAgent(a, &r)
		return
	}
	a.b.starts.Add(1)
	if m.Urgent {
		a.b.mu.Lock()
		a.b.startLatencies = append(a.b.startLatencies, time.Since(a.b.urgent[m.Task.Job]))
		a.b.mu.Unlock()
	}
	a.o.HandleAgent(a, &r)
	end := r
	end.State, end.Result = wire.TaskFinished, part.ResultName(m.Task, m.Attempt)
	time.AfterFunc(benchRunTime, func() {
		a.capacity.release(m.Size)
		a.o.HandleAgent(a, &end)
	})
}

func (a *benchAgent) sendHeartbeat() {
	hb := &wire.Heartbeat{SentAt: int64(time.Since(a.base))}
	a.capacity.mu.Lock()
	hb.Free = a.capacity.free
	a.capacity.mu.Unlock()
	for p, e := range a.epochs {
		hb.Renew = append(hb.Renew, wire.PartitionEpoch{Partition: p, Epoch: e})
	}
	a.o.HandleAgent(a, hb)
}

func newBench(ctx context.Context, wg *sync.WaitGroup, s *store.Store, shared bool) *bench {
	b := &bench{shared: shared, urgent: map[ident.Job]time.Time{}}
	for z := range benchZones {
		for n := range benchParts {
			b.parts = append(b.parts, ident.Partition{Zone: ident.AvailabilityZone(fmt.Sprintf("z%d", z)), Number: uint16(n)})
		}
	}
	for n := range benchEntries {
		e := benchEntry{b, n}
		b.owners = append(b.owners, owner.New(owner.Config{
			Self: commit.Self{Name: ident.Entry(fmt.Sprintf("e%d", n)), Incarnation: "1"}, Store: s, Members: e, Peers: e,
			Terms: lease.Default(), WritesPerSecond: 240, Log: zap.NewNop(),
		}))
	}
	for _, o := range b.owners {
		wg.Go(func() { o.Run(ctx) })
	}
	for z := range benchZones {
		for n := range benchWorkers {
			capacity := &benchCapacity{free: workerCapacity}
			info := owner.AgentInfo{
				Worker: ident.Worker(fmt.Sprintf("z%dw%d", z, n)), Incarnation: "1", Zone: b.parts[z*benchParts].Zone,
				Rack: fmt.Sprintf("r%d", n/3), Capacity: workerCapacity,
			}
			for i, o := range b.owners {
				if !shared && i != z%benchEntries {
					continue
				}
				a := &benchAgent{
					b: b, o: o, info: info, inbox: make(chan wire.Message, 16384), base: time.Now(), capacity: capacity,
					epochs: map[ident.Partition]ident.Epoch{},
				}
				o.SessionOpened(a)
				wg.Go(func() { a.run(ctx) })
			}
		}
	}
	return b
}

// submit submits tasks at 1.1 times the goal rate in jobs of benchJobTasks, and 5 urgent jobs/s of one task.
func (b *bench) submit(ctx context.Context, wg *sync.WaitGroup) {
	plain := time.NewTicker(time.Second * benchJobTasks * 10 / (benchGoalRate * 11))
	urgent := time.NewTicker(200 * time.Millisecond)
	defer plain.Stop()
	defer urgent.Stop()
	for n := 0; ; n++ {
		js := spec(ident.Job(fmt.Sprintf("job%d", n)), benchJobTasks, "run=2s")
		select {
		case <-ctx.Done():
			return
		case <-plain.C:
		case <-urgent.C:
			js.Tasks, js.Urgent = 1, true
			b.mu.Lock()
			b.urgent[js.Job] = time.Now()
			b.mu.Unlock()
		}
		home := part.Home(js.Job, b.parts)
		wg.Go(func() { b.owners[b.entryOf(home)].Submit(ctx, &wire.JobSubmit{Home: home, Spec: js}) })
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput measures the rates of task starts and finishes with a store limited to 300 writes/s and 2,000
// reads/s. Run it with -bench Throughput -benchtime 1x; each case takes 50 s.
func BenchmarkThroughput(bb *testing.B) {
	bb.Run("OneOwnerInZone", func(bb *testing.B) { throughput(bb, false) })
	bb.Run("FourOwnersInZone", func(bb *testing.B) { throughput(bb, true) })
}

func throughput(bb *testing.B, shared bool) {
	s := store.New(store.Options{WritesPerSecond: 300, ReadsPerSecond: 2000, Latency: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	b := newBench(ctx, &wg, s, shared)
	time.Sleep(5 * time.Second) // until all partitions have an owner
	wg.Go(func() { b.submit(ctx, &wg) })
	time.Sleep(benchWarmup)
	b.mu.Lock()
	b.startLatencies = nil
	b.mu.Unlock()
	starts, finishes, refused := b.starts.Load(), b.finishes.Load(), b.refused.Load()
	writes, reads, cpu, from := s.Writes(), s.Reads(), processorTime(), time.Now()
	time.Sleep(benchDuration)
	cpu = processorTime() - cpu
	sec := time.Since(from).Seconds()
	starts, finishes, refused = b.starts.Load()-starts, b.finishes.Load()-finishes, b.refused.Load()-refused
	b.mu.Lock()
	latencies := slices.Clone(b.startLatencies)
	b.mu.Unlock()
	slices.Sort(latencies)
	p := func(q float64) time.Duration {
		return latencies[int(q*float64(len(latencies)-1))].Round(time.Millisecond)
	}
	rate := func(n int64) string { return fmt.Sprintf("%.0f/s", float64(n)/sec) }
	printTable([][3]string{
		{"measure", "result", "goal"},
		{"task starts", rate(starts), "4200/s"},
		{"task finishes acknowledged", rate(finishes), "4200/s"},
		{"starts refused by agents", rate(refused), ""},
		{"urgent start p50", p(0.5).String(), ""},
		{"urgent start p99", p(0.99).String(), "1.4s"},
		{"store writes", rate(int64(s.Writes() - writes)), "300/s"},
		{"store reads", rate(int64(s.Reads() - reads)), "2000/s"},
		{"processor time per start or finish", (cpu / time.Duration(max(1, starts+finishes))).String(), ""},
		{"processors used, with store and agents", fmt.Sprintf("%.2f", cpu.Seconds()/sec), ""},
	})
	bb.ReportMetric(float64(starts)/sec, "starts/s")
}

func printTable(rows [][3]string) {
	var out strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&out, "%-40s %-12s %s\n", r[0], r[1], r[2])
	}
	fmt.Print("\n" + out.String())
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures the memory per queued and per running task in the state of a partition and on the board.
func BenchmarkMemory(bb *testing.B) {
	const tasks, workers = 200_000, 2000
	before := heapBytes()
	st := part.New()
	js := spec("big", tasks, "run=1h")
	share := part.ShareRange{Partition: ident.Partition{Zone: zone}, Range: wire.Range{To: tasks}}
	if err := st.Apply(1, &part.Event{Kind: part.ShareTaken, Job: "big", Spec: &js, Share: &share}); err != nil {
		bb.Fatal(err)
	}
	queued := heapBytes() - before
	board := place.NewBoard()
	for n := range workers {
		name := ident.Worker(fmt.Sprintf("w%d", n))
		board.AddWorker(place.Worker{Name: name, Zone: zone, Rack: fmt.Sprint(n / 3), Capacity: workerCapacity})
		board.UpdateFree(name, sizes.Resources{Processors: 200_000, Memory: 200 << 30}, false)
	}
	before = heapBytes()
	from := processorTime()
	for i := range uint32(tasks) {
		id := ident.Task{Job: "big", Index: i}
		w, ok := board.Pick(place.Request{Task: id, Attempt: 1, Zone: zone, Size: taskSize,
			IsReady: func(ident.Worker) bool { return true }})
		if !ok {
			bb.Fatal("no free capacity")
		}
		e := &part.Event{Kind: part.TaskStarted, Job: "big", Index: i, Attempt: 1, Worker: w, Incarnation: "1"}
		if err := st.Apply(1, e); err != nil {
			bb.Fatal(err)
		}
	}
	cpu := processorTime() - from
	running := heapBytes() - before
	printTable([][3]string{
		{"measure", "result", "goal"},
		{"memory per queued task", fmt.Sprintf("%d B", queued/tasks), ""},
		{"memory per running task, with board", fmt.Sprintf("%d B", (queued+running)/tasks), ""},
		{"placement and event per task", (cpu / tasks).String(), ""},
	})
	runtime.KeepAlive(st)
	runtime.KeepAlive(board)
}
