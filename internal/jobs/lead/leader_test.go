package lead_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

const moreThanQueue = 5000 // events

// startLeader starts the only entry of a cell and waits until it leads; stop waits for its end after ctx has ended.
func startLeader(ctx context.Context, tb testing.TB, s *memory.Store, n lead.Network) (t *lead.Term, stop func()) {
	tb.Helper()
	return startLeaderWith(ctx, tb, s, n, order.Policy{})
}

// startLeaderWith starts an entry that leads with a policy for waiting jobs.
func startLeaderWith(ctx context.Context, tb testing.TB, s *memory.Store, n lead.Network, policy order.Policy) (t *lead.Term, stop func()) {
	tb.Helper()
	l := lead.NewLeader(lead.Config{
		Cell: cell, Name: "entry", Address: "entry:1", Store: s.Client("entry"), Lease: time.Minute,
		HedgeDelay: func() time.Duration { return time.Second }, Retention: time.Minute, Queues: &queues.Holder{},
		Network: n, Order: policy, Meter: noMeter{}, Log: zap.NewNop(),
	}, func() time.Duration { return 0 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	for l.Term() == nil {
		time.Sleep(time.Millisecond)
	}
	return l.Term(), func() { <-done }
}

// accept notifies a leader of an accepted job.
func accept(tb testing.TB, t *lead.Term, j *spec.Job) {
	tb.Helper()
	j.Epoch = t.Epoch()
	packed, err := wire.Pack(j)
	if err != nil {
		tb.Fatal(err)
	}
	t.Request(nil, &wire.JobAsk{Action: wire.JobAccepted, ID: string(j.ID), Packed: packed})
}

// gate is a network whose first Connect waits until it is opened; it implements lead.Network.
type gate struct {
	open chan struct{}
}

func (g gate) Connect(*lead.Term, rows.Agent) { <-g.open }

func (g gate) Disconnect(string) {}

// sent records the messages that a leader sends on a session; it implements lead.Link.
type sent struct {
	mu       sync.Mutex
	messages []wire.Message
	closed   bool
}

func (l *sent) Send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages = append(l.messages, m)
	return nil
}

func (l *sent) Close(error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// all returns the messages sent so far.
func (l *sent) all() []wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.messages)
}

// orders returns the commands sent so far.
func (l *sent) orders() []*wire.TaskOrders {
	var list []*wire.TaskOrders
	for _, m := range l.all() {
		if o, ok := m.(*wire.TaskOrders); ok {
			list = append(list, o)
		}
	}
	return list
}

// starts returns the tasks started so far.
func (l *sent) starts() []wire.Run {
	var list []wire.Run
	for _, o := range l.orders() {
		for _, s := range o.Starts {
			list = append(list, s.Run)
		}
	}
	return list
}

// storeWithAgents returns a store with the rows of agents.
func storeWithAgents(tb testing.TB, names ...string) *memory.Store {
	tb.Helper()
	s := memory.New()
	for batch := range slices.Chunk(names, 100) {
		var c rows.Change
		for _, name := range batch {
			value, err := rows.Encode(&rows.Agent{Name: name, Address: name})
			if err != nil {
				tb.Fatal(err)
			}
			c.Puts = append(c.Puts, rows.Row{Ref: rows.AgentRef(cell, name), Value: value})
		}
		if _, err := s.Client("agents").Change(tb.Context(), c); err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

// announce reports a worker without runs.
func announce(t *lead.Term, agent string, l lead.Link, incarnation wire.WorkerIncarnation) {
	t.Message(agent, l, &wire.WorkerState{
		Incarnation: incarnation, Service: "packing", Phase: wire.WorkerReady, Healthy: true,
		Capacity: sizes.Resources{Processors: 4000, Memory: 1 << 40},
	})
	t.Message(agent, l, &wire.RunReport{Incarnation: incarnation, Complete: true, RequestLease: true, Clock: 1})
}

// Guards against sessions that open or close unnoticed, and against a request that waits for its timeout, while a leader
// that was paused has more events to handle than its queue holds: hundreds of agents that come back at once.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := gate{make(chan struct{})}
		term, stop := startLeader(ctx, t, storeWithAgents(t, "host"), g)
		l, entry := &sent{}, &sent{}
		go func() {
			for range moreThanQueue {
				term.Message("unknown", l, &wire.RunReport{})
			}
			term.Opened("host", l)
			announce(term, "host", l, wire.WorkerIncarnation{ID: "host-1", StartedAt: 1})
		}()
		time.Sleep(time.Second)
		term.Request(entry, &wire.JobAsk{Number: 7, Action: wire.QueueLength})
		close(g.open)
		time.Sleep(time.Second)
		accept(t, term, job(1, 1, 1))
		time.Sleep(time.Second)
		if n := len(l.starts()); n != 1 || l.closed {
			t.Errorf("%d starts on the agent whose session opened while the queue was full, closed: %t; want 1 start", n, l.closed)
		}
		if m := entry.all(); len(m) != 1 || m[0].(*wire.JobTell).Verdict != wire.VerdictNotDone {
			t.Errorf("reply to a request while the queue was full: %+v; want VerdictNotDone", m)
		}
		cancel()
		stop()
	})
}

// Guards against an end that is acknowledged before its effect is stored, because a commit that was in flight while the
// worker restarted covers the same end number of the earlier incarnation.
func TestAcknowledgedEndIsOfCurrentIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := storeWithAgents(t, "host")
		open := make(chan struct{})
		close(open)
		var slow atomic.Bool
		s.NextFault = func(string) memory.Fault {
			if slow.Load() {
				return memory.Fault{Slow: 300 * time.Millisecond}
			}
			return memory.Fault{}
		}
		term, stop := startLeader(ctx, t, s, gate{open})
		l := &sent{}
		end := func(i wire.WorkerIncarnation, n uint64, r wire.Run) {
			term.Message("host", l, &wire.RunReport{Incarnation: i, Ended: []wire.RunEnd{{Number: n, Run: r, Cause: wire.EndDone}}, LastOrders: 1})
		}
		first, second := wire.WorkerIncarnation{ID: "host-1", StartedAt: 1}, wire.WorkerIncarnation{ID: "host-2", StartedAt: 2}
		term.Opened("host", l)
		announce(term, "host", l, first)
		accept(t, term, job(1, 1, 1))
		time.Sleep(time.Second)
		slow.Store(true)
		end(first, 1, l.starts()[0])
		time.Sleep(100 * time.Millisecond) // the commit is in flight
		announce(term, "host", l, second)
		accept(t, term, job(2, 1, 1))
		time.Sleep(20 * time.Millisecond)
		end(second, 1, l.starts()[1])
		time.Sleep(220 * time.Millisecond) // the first commit is done, the second one is in flight
		for _, o := range l.orders() {
			if o.Incarnation == second && o.DurableEnds > 0 {
				t.Errorf("end %d of the new incarnation is acknowledged before it is stored", o.DurableEnds)
			}
		}
		time.Sleep(time.Second)
		orders := l.orders()
		if last := orders[len(orders)-1]; last.Incarnation != second || last.DurableEnds != 1 {
			t.Errorf("last commands acknowledge end %d of %v; want 1 of %v", last.DurableEnds, last.Incarnation, second)
		}
		cancel()
		stop()
	})
}

// Guards against a leader that has been deposed while it cannot reach the store, and keeps acting on the agents and
// answering entries until its lease runs out, although an agent knows its successor.
func TestLeaderEndsWhenAgentHasNewerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := storeWithAgents(t, "host")
		var down atomic.Bool
		s.NextFault = func(string) memory.Fault { return memory.Fault{Refuse: down.Load()} }
		open := make(chan struct{})
		close(open)
		term, stop := startLeader(ctx, t, s, gate{open})
		l, entry := &sent{}, &sent{}
		term.Opened("host", l)
		announce(term, "host", l, wire.WorkerIncarnation{ID: "host-1", StartedAt: 1})
		time.Sleep(time.Second)
		down.Store(true)
		token := l.all()[0].(*wire.LeadAdopt).Token
		term.Message("host", l, &wire.LeadAdopt{Cell: cell, Token: token})
		time.Sleep(50 * time.Millisecond)
		term.Request(entry, &wire.JobAsk{Number: 1, Action: wire.QueueLength})
		time.Sleep(50 * time.Millisecond)
		if n := len(entry.all()); n != 1 {
			t.Errorf("%d replies after its own token came back; want 1", n)
		}
		term.Message("host", l, &wire.LeadAdopt{Cell: cell, Token: token + 1})
		time.Sleep(50 * time.Millisecond)
		accept(t, term, job(1, 1, 1))
		time.Sleep(50 * time.Millisecond)
		if n := len(l.starts()); n != 0 {
			t.Errorf("%d starts by a leader whose agent has adopted a newer one; want none", n)
		}
		cancel()
		stop()
	})
}

// Guards against a malformed job that ends the process of the leader: in a notification, and in a row of progress, where
// it would end the process of each entry that takes over.
func TestMalformedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := storeWithAgents(t, "host")
		known := job(1, 1, 1)
		value, err := rows.Encode(known)
		if err != nil {
			t.Fatal(err)
		}
		progress, err := rows.Encode(rows.JobProgress{Tasks: []rows.TaskProgress{{Task: -1}, {Task: 7}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Client("entry").Change(ctx, rows.Change{Puts: []rows.Row{
			{Ref: rows.JobRef(cell, known.ID), Value: value}, {Ref: rows.ProgressRef(cell, known.ID), Value: progress},
		}}); err != nil {
			t.Fatal(err)
		}
		open := make(chan struct{})
		close(open)
		term, stop := startLeader(ctx, t, s, gate{open})
		l := &sent{}
		term.Opened("host", l)
		announce(term, "host", l, wire.WorkerIncarnation{ID: "host-1", StartedAt: 1})
		negative, endless, empty := job(2, 1, -5), job(3, 1, 1), job(4, 0, 1)
		endless.Occurrences = 1 << 40
		for _, j := range []*spec.Job{negative, endless, empty} {
			accept(t, term, j)
		}
		term.Request(nil, &wire.JobAsk{Action: wire.JobAccepted, ID: "x", Packed: []byte{0xdd, 0xff, 0xff, 0xff, 0xff}})
		accept(t, term, job(5, 1, 1))
		time.Sleep(time.Second)
		if n := len(l.starts()); n != 2 {
			t.Errorf("%d starts beside malformed jobs; want those of the two valid jobs", n)
		}
		cancel()
		stop()
	})
}

// Guards against an unexpected error in the leader that ends its process, or its lead for good.
func TestPanicEndsTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := storeWithAgents(t, "host")
		j := job(1, 1, 1)
		value, err := rows.Encode(j)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Client("entry").Change(ctx, rows.Change{Puts: []rows.Row{{Ref: rows.JobRef(cell, j.ID), Value: value}}}); err != nil {
			t.Fatal(err)
		}
		var panicked atomic.Bool
		n := &echoNetwork{ended: make(chan string, 8), panicked: &panicked}
		_, stop := startLeader(ctx, t, s, n)
		time.Sleep(5 * time.Second)
		if !panicked.Load() || len(n.ended) == 0 {
			t.Errorf("panicked: %t, ends: %d; want a run by the next term", panicked.Load(), len(n.ended))
		}
		cancel()
		stop()
	})
}

// Guards against a leader that can write nothing any more, since one change exceeds the limit of the store: the agents of
// a lost zone are forgotten at once.
func TestManyAgentsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		names := make([]string, 240)
		for i := range names {
			names[i] = fmt.Sprintf("host-%d", i)
		}
		s := storeWithAgents(t, names...)
		open := make(chan struct{})
		close(open)
		_, stop := startLeader(ctx, t, s, gate{open})
		time.Sleep(2 * time.Minute) // the lease of the workers lasts one minute
		p, err := s.Client("test").Read(ctx, rows.Span{Table: rows.Agents, Part: cell})
		if err != nil || len(p.Rows) != 0 {
			t.Errorf("%d rows of lost agents are left after two minutes, %v; want none", len(p.Rows), err)
		}
		cancel()
		stop()
	})
}

// Guards against rows of ended jobs that accumulate when more jobs end than one pass deletes.
func TestEndedJobsAreRetiredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := storeWithAgents(t)
		const jobs = 1200
		for n := range jobs {
			value, err := rows.Encode(job(n, 1, 1))
			if err != nil {
				t.Fatal(err)
			}
			progress, err := rows.Encode(rows.JobProgress{State: rows.Done})
			if err != nil {
				t.Fatal(err)
			}
			id := job(n, 1, 1).ID
			if _, err := s.Client("test").Change(ctx, rows.Change{Puts: []rows.Row{
				{Ref: rows.JobRef(cell, id), Value: value}, {Ref: rows.ProgressRef(cell, id), Value: progress},
			}}); err != nil {
				t.Fatal(err)
			}
		}
		open := make(chan struct{})
		close(open)
		_, stop := startLeader(ctx, t, s, gate{open})
		time.Sleep(2*time.Minute + 15*time.Second) // retention of one minute, and a margin of one
		p, err := s.Client("test").Read(ctx, rows.Span{Table: rows.Progress, Part: cell})
		if err != nil || len(p.Rows) != 0 {
			t.Errorf("%d rows of ended jobs are left, %v; want none", len(p.Rows), err)
		}
		cancel()
		stop()
	})
}

// Guards against progress that is stored forever: the leader that deleted the row of its job ended before it deleted the
// progress.
func TestProgressOfDeletedJobIsDeleted(t *testing.T) {
	inCluster(t, func(c *cluster) {
		j := job(1, 1, 1)
		c.putProgress(j)
		c.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		p, err := c.store.Client("caller").Read(c.ctx, rows.ProgressRef(cell, j.ID).One())
		if err != nil || len(p.Rows) > 0 {
			t.Errorf("%d rows of progress, %v; want none", len(p.Rows), err)
		}
	})
}

// Guards against a second run of a task that has succeeded: a leader that did not know the job yet acknowledged the end
// of its run, and was followed by another leader before the job's row was read and the progress stored.
func TestEndOfUnknownJobIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := storeWithAgents(t, "host")
		g := gate{make(chan struct{})}
		close(g.open)
		term, stop := startLeader(ctx, t, s, g)
		l, incarnation := &sent{}, wire.WorkerIncarnation{ID: "host", StartedAt: 1}
		term.Opened("host", l)
		announce(term, "host", l, incarnation)
		time.Sleep(time.Second)
		j := job(1, 1, 1)
		packed, err := rows.Encode(j)
		if err != nil {
			t.Fatal(err)
		}
		put := rows.Change{Puts: []rows.Row{{Ref: rows.JobRef(cell, j.ID), Value: packed}}}
		if _, err := s.Client("caller").Change(ctx, put); err != nil {
			t.Fatal(err)
		}
		end := wire.RunEnd{Number: 1, Run: wire.Run{Task: string(j.ID) + ".0.0.0", Number: 1}, Cause: wire.EndDone}
		term.Message("host", l, &wire.RunReport{Incarnation: incarnation, Ended: []wire.RunEnd{end}})
		isStored := func() bool {
			p, err := s.Client("test").Read(ctx, rows.ProgressRef(cell, j.ID).One())
			return err == nil && len(p.Rows) > 0
		}
		for range 300 {
			acknowledged := slices.ContainsFunc(l.orders(), func(o *wire.TaskOrders) bool { return o.DurableEnds > 0 })
			if stored := isStored(); acknowledged || stored {
				if !stored {
					t.Error("the end is acknowledged before its effect is stored")
				}
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !isStored() {
			t.Error("the end is not stored")
		}
		cancel()
		stop()
	})
}

// Guards against a job that is reported as stored although nothing was written: the entry that relayed it has become the
// leader in the meantime and handed the request to its own term.
func TestTermStoresNoJobs(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for _, a := range []wire.JobAction{wire.JobStore, wire.JobRevoke} {
			entry := &sent{}
			c.term().Request(entry, &wire.JobAsk{Number: 7, Action: a, ID: string(job(1, 1, 1).ID)})
			time.Sleep(time.Second)
			if m, ok := entry.all()[0].(*wire.JobTell); !ok || m.Verdict != wire.VerdictNotDone {
				t.Errorf("%v: reply %+v; want VerdictNotDone", a, m)
			}
		}
	})
}
