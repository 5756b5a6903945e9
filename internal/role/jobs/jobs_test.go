package jobs_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/intake"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/role/jobs"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

const (
	lease        = 3 * time.Second
	awaitTimeout = 15 * time.Second
)

var (
	key    = []byte("key-of-the-tests-0123456789")
	config = rows.Ref{Table: "Config", Key: "Newest"}
)

func freeAddress(t *testing.T) string {
	t.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startEntry(ctx context.Context, t *testing.T, s *memory.Store, name string, wg *sync.WaitGroup) (*jobs.Entry, context.CancelFunc) {
	t.Helper()
	return startEntryWithLease(ctx, t, s, name, lease, wg)
}

func startEntryWithLease(
	ctx context.Context, t *testing.T, s *memory.Store, name string, lease time.Duration, wg *sync.WaitGroup,
) (*jobs.Entry, context.CancelFunc) {
	t.Helper()
	store := rows.NewMonitor(s.Client(name), zap.NewNop(), nil)
	decode := func(b []byte) (queues.Document, error) { return queues.Document{Version: uint64(b[0])}, nil }
	e, err := jobs.NewEntry(ctx, jobs.EntryConfig{
		Cell: "main", Name: name, Zone: "agadir", Address: freeAddress(t), Key: key, Lease: lease, Retention: time.Minute,
		TakeoverDelay: func() time.Duration { return 0 }, Store: store, Log: zap.NewNop(),
		Admission: strings.HasPrefix(name, "admitting"), Metrics: metric.New(nil),
		Source: &jobs.RowSource{Store: store, Ref: config, Decode: decode, Metrics: metric.New(nil), Log: zap.NewNop()},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	wg.Go(func() {
		if err := e.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	return e, cancel
}

// anyPort is the listener of an agent that no leader dials.
const anyPort = "127.0.0.1:0"

func startAgent(ctx context.Context, t *testing.T, s *memory.Store, name string, wg *sync.WaitGroup) {
	t.Helper()
	startAgentAt(ctx, t, s, name, freeAddress(t), "", wg)
}

// newWorker returns a stand-in for a worker whose runs take runTime.
func newWorker(name string, lease, runTime time.Duration) *runs.Worker {
	w := &runs.Worker{
		Name: name, Capacity: sizes.Resources{Processors: 4000, Memory: 1 << 40}, StopTime: 50 * time.Millisecond, MaxLease: lease,
		Plan: func(wire.Run) runs.Plan {
			return runs.Plan{Size: sizes.Resources{Processors: 500}, RunTime: runTime}
		},
	}
	w.Restart(wire.WorkerIncarnation{ID: name, StartedAt: 1})
	return w
}

// startAgentAt starts an agent that registers address and accepts sessions there, or at listen unless it is empty.
func startAgentAt(
	ctx context.Context, t *testing.T, s *memory.Store, name, address, listen string, wg *sync.WaitGroup,
) {
	t.Helper()
	startAgentOf(ctx, t, s, newWorker(name, lease, 100*time.Millisecond), lease, address, listen, wg)
}

// startAgentOf starts an agent of a worker with leases of a given duration.
func startAgentOf(
	ctx context.Context, t *testing.T, s *memory.Store, w *runs.Worker, lease time.Duration, address, listen string, wg *sync.WaitGroup,
) {
	t.Helper()
	name := w.Name
	a, err := jobs.NewAgent(ctx, jobs.AgentConfig{
		Cell: "main", Name: name, Zone: "agadir", Address: address, Listen: listen, Key: key, Lease: lease, Worker: w,
		Store: s.Client(name), Metrics: metric.New(nil), Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	a.Driver().Announce(w.State(), 1)
	wg.Go(func() {
		if err := a.Run(ctx); err != nil {
			t.Error(err)
		}
	})
}

// await fails the test unless condition holds within awaitTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, awaitTimeout)
}

func putConfig(t *testing.T, s *memory.Store, version byte) {
	t.Helper()
	if _, err := s.Operator().Change(t.Context(), rows.Change{Puts: []rows.Row{{Ref: config, Value: []byte{version}}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a job that is accepted but does not finish, with entries and agents that communicate over TCP, and
// against a job that is lost when the entry that leads stops and another one takes over.
func TestJobsFinish(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := memory.New()
	putConfig(t, s, 3)
	first, stopFirst := startEntry(ctx, t, s, "entry-1", &wg)
	second, _ := startEntry(ctx, t, s, "entry-2", &wg)
	startAgent(ctx, t, s, "worker-1", &wg)
	startAgent(ctx, t, s, "worker-2", &wg)
	await(t, "both entries are ready", func() bool { return first.IsReady() && second.IsReady() })
	putConfig(t, s, 4)
	await(t, "configuration in force", func() bool { return second.Queues().Table().Document.Version == 4 })

	submit := func(e *jobs.Entry, n int) spec.ID {
		t.Helper()
		j := &spec.Job{
			ID: spec.ID(fmt.Sprintf("%016x", n)), Queue: "q", Service: "packing", MaxAttempts: 2,
			Steps: []spec.Step{
				{Count: 6, Size: sizes.Resources{Processors: 500}, Estimate: 100},
				{Count: 3, Size: sizes.Resources{Processors: 500}, Estimate: 100, After: []int{0}},
			},
		}
		if v := e.Intake().Submit(ctx, j).Verdict; v != intake.Accepted {
			t.Fatalf("job %d: %v", n, v)
		}
		return j.ID
	}
	isDone := func(e *jobs.Entry, id spec.ID) func() bool {
		return func() bool {
			st, v := e.Intake().State(ctx, id)
			return v == intake.Accepted && st == rows.Done
		}
	}
	a, b := submit(first, 1), submit(second, 2)
	await(t, "job of the first entry", isDone(second, a))
	await(t, "job of the second entry", isDone(first, b))
	if _, v := second.Intake().Waiting(ctx, "q"); v != intake.Accepted {
		t.Errorf("length of the queue: %v", v)
	}
	c := submit(second, 3)
	stopFirst()
	await(t, "job accepted before a handover", isDone(second, c))
	await(t, "job accepted after a handover", isDone(second, submit(second, 4)))
}

// Guards against entries that receive no forecast, be it from another entry or from their own term, and against an entry
// that goes on using the forecasts of a leader that has gone.
func TestForecastsReachEntries(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := memory.New()
	putConfig(t, s, 3)
	first, stopFirst := startEntry(ctx, t, s, "admitting-1", &wg)
	isFresh := func(e *jobs.Entry) func() bool {
		return func() bool {
			age := e.Admission().ForecastAge(time.Now())
			return age >= 0 && age < fcast.MaxAge.Seconds()
		}
	}
	await(t, "forecast of the leader's own term", isFresh(first))
	second, _ := startEntry(ctx, t, s, "admitting-2", &wg)
	plain, _ := startEntry(ctx, t, s, "entry-3", &wg)
	await(t, "forecast of another entry", isFresh(second))
	stopFirst()
	await(t, "age of a forecast after its leader has gone", func() bool { return !isFresh(first)() })
	await(t, "forecast of the next leader", isFresh(second))
	if plain.Admission() != nil {
		t.Error("an entry has admission control although it is off")
	}
}

// refusingAgent closes each session of a leader at once, as an agent does that has adopted a newer leader.
type refusingAgent struct {
	sessions atomic.Int64
}

func (r *refusingAgent) HandleMessage(s *sess.Session, _ wire.Message) {
	r.sessions.Add(1)
	s.Close(driver.ErrSuperseded)
}

func (r *refusingAgent) HandleStream(_ *sess.Session, st *sess.Stream) {
	st.Reset("no streams are served")
}

func (r *refusingAgent) HandleClosed(*sess.Session, error) {}

// Guards against a storm of sessions: a leader that agents refuse dialed each of them again without a pause.
func TestRefusedLeaderDialsWithDelay(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := memory.New()
	putConfig(t, s, 3)
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	value, err := rows.Encode(&rows.Agent{Name: "worker-1", Address: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Client("worker-1").Change(ctx, rows.Change{Puts: []rows.Row{{Ref: rows.AgentRef("main", "worker-1"), Value: value}}}); err != nil {
		t.Fatal(err)
	}
	agent := &refusingAgent{}
	self := wire.Hello{Role: wire.RoleAgent, Name: "worker-1", Incarnation: ident.NewIncarnation(), Zone: "agadir"}
	wg.Go(func() {
		if err := sess.Serve(ctx, ln, sess.Config{Self: self, Key: key, Log: zap.NewNop()}, agent); err != nil {
			t.Error(err)
		}
	})
	startEntry(ctx, t, s, "entry-1", &wg)
	await(t, "first session", func() bool { return agent.sessions.Load() > 0 })
	time.Sleep(2 * time.Second)
	const limit = 8 // after 0.1, 0.2, 0.4, 0.8 and then every 1 s, with a margin
	if n := agent.sessions.Load(); n > limit {
		t.Errorf("%d sessions in 2 s with an agent that refuses them; want at most %d", n, limit)
	}
}

// Guards against a storm of writes when hundreds of agents come back at once, which delays the takeover of the cell in
// the same part of the store.
func TestReturningAgentWritesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := memory.New()
	const address = "127.0.0.1:7020"
	first, stop := context.WithCancel(ctx)
	var firstDone sync.WaitGroup
	startAgentAt(first, t, s, "worker-1", address, anyPort, &firstDone)
	version := func() uint64 {
		p, err := s.Client("test").Read(ctx, rows.AgentRef("main", "worker-1").One())
		if err != nil || len(p.Rows) != 1 {
			return 0
		}
		return p.Rows[0].Version
	}
	await(t, "agent registered", func() bool { return version() > 0 })
	before := version()
	stop()
	firstDone.Wait()
	startAgentAt(ctx, t, s, "worker-1", address, anyPort, &wg)
	time.Sleep(500 * time.Millisecond)
	if after := version(); after != before {
		t.Errorf("the row of the returning agent changed from version %d to %d", before, after)
	}
}

// Guards against the address of an earlier process of an agent that replaces the current one: its write got no response
// and was applied seconds later, so that the leader dialed an address at which nobody listens.
func TestLateRegistrationHasNoEffect(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const delay = time.Second
	s := memory.New()
	var isLate, isSent atomic.Bool
	isLate.Store(true)
	s.NextFault = func(caller string) memory.Fault {
		if caller != "worker-1" || !isLate.Load() {
			return memory.Fault{}
		}
		isSent.Store(true)
		return memory.Fault{LoseLate: delay}
	}
	first, stop := context.WithCancel(ctx)
	var firstDone sync.WaitGroup
	startAgentAt(first, t, s, "worker-1", "127.0.0.1:7020", anyPort, &firstDone)
	await(t, "first registration", isSent.Load)
	time.Sleep(delay / 5)
	stop()
	firstDone.Wait()
	isLate.Store(false)
	const address = "127.0.0.1:7021"
	startAgentAt(ctx, t, s, "worker-1", address, anyPort, &wg)
	stored := func() string {
		var a rows.Agent
		p, err := s.Client("test").Read(ctx, rows.AgentRef("main", "worker-1").One())
		if err != nil || len(p.Rows) != 1 || rows.Decode(p.Rows[0], &a) != nil {
			return ""
		}
		return a.Address
	}
	await(t, "second registration", func() bool { return stored() == address })
	time.Sleep(delay + delay/5)
	if got := stored(); got != address {
		t.Errorf("address %s is stored after a late write of the previous process; want %s", got, address)
	}
}
