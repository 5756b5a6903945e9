package lead

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/queue"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	ringSize  = 4096 // events
	batchSize = 256  // events handled before commands are sent
)

// Network maintains sessions to the agents of a cell.
type Network interface {
	// Connect keeps a session to an agent open until Disconnect, and calls Opened, Message and Closed of the term.
	Connect(t *Term, a rows.Agent)
	// Disconnect closes the session to an agent and stops reconnecting.
	Disconnect(name string)
}

// Advisor queries the policy service for the workers that may run a step.
type Advisor interface {
	// Advise returns a ticket for each worker that may run the step, and how long the tickets are valid. It returns an
	// error if the policy service does not reply.
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Config holds the settings and dependencies of a Leader.
type Config struct {
	Cell       string
	Name       string // name of this entry
	Address    string // where this entry accepts sessions
	Store      rows.Store
	HedgeDelay func() time.Duration // wait for a reply of the store before a write is sent a second time
	Lease      time.Duration        // duration of a worker's lease
	LeaseLimit time.Duration        // longest lease that a worker accepts; less than Lease counts as Lease
	Retention  time.Duration        // how long callers may query a job after its end
	Queues     *queues.Holder
	Network    Network
	Advisor    Advisor // nil if no policy service is used
	// EvacuationBound is the time after the evacuation of a zone from which nothing may reach its workers.
	EvacuationBound time.Duration
	Evacuations     Evacuations  // nil if the deployment has no such bound
	Order           order.Policy // rules for waiting jobs while capacity is insufficient
	Meter           Meter
	Log             *zap.Logger
}

// Meter records metrics of a leader.
type Meter interface {
	// Takeover counts a takeover.
	Takeover()
	// RunStarted counts a start of a run; untilFirst is the time since the job was added, isFirst its first run.
	RunStarted(untilFirst time.Duration, isFirst bool)
	// RunConfirmed records the time from the command to start a run until a report showed that it had begun.
	RunConfirmed(took time.Duration)
	// RunEnded counts the end of a run.
	RunEnded(cause wire.EndCause)
	// ReleasedRunFound counts a run that a worker listed after the leader had released it.
	ReleasedRunFound()
	// ZonesEvacuated records the number of evacuated zones.
	ZonesEvacuated(n int)
	// StartWithheld counts a step that waits because a worker which could run a task of it may get no runs at present.
	StartWithheld()
	// JobBegun counts a job whose first run was started while the jobs that may begin were limited.
	JobBegun(reason order.Reason)
	// JobMovedUp counts a job that was moved up after a long wait.
	JobMovedUp()
	// JobsWaiting records the number of jobs without a run since they were accepted.
	JobsWaiting(n int)
	// JobEnded records the end of a job and the time since it was added.
	JobEnded(state rows.State, took time.Duration)
}

// Events of a term's event queue.
type (
	opened struct {
		agent string
		link  Link
	}
	closed struct {
		agent string
		link  Link
	}
	message struct {
		agent string
		link  Link
		m     wire.Message
	}
	requested struct {
		link Link
		m    *wire.JobAsk
	}
	committed struct {
		began time.Time
		err   error
	}
	polled struct {
		jobs, cancels, agents rows.Page
		jobsReadAt            time.Time // start of the read of jobs; zero if it failed
	}
	advised struct {
		key     stepKey
		workers []wire.WorkerIncarnation // named in the request
		tickets map[string]string        // by worker ID
		valid   time.Duration
		err     error
	}
)

// Term is the leadership of one entry, from its takeover until it resigns or is deposed.
type Term struct {
	cfg        Config
	events     *queue.Ring[any]
	writer     headWriter
	token      uint64 // fencing token: version of the head row that began the term
	epoch      uint64
	takeoverAt time.Time
	// prevGrantsEnd is when the previous leader has certainly stopped granting leases.
	prevGrantsEnd time.Time

	jobs           map[spec.ID]*job
	active         []*job               // not in a final state
	waiting        []*job               // of active, those with tasks to start, by urgency; of the last pass
	ready          []int                // of the last call of readyTasks
	workers        map[string]*worker   // by agent name
	fleet          *fleet               // of workers
	expireAt       time.Time            // next check for expired leases
	undurable      map[*worker]struct{} // workers with applied ends that are not durable
	unreconciled   int                  // workers that may still have unknown runs of earlier leaders
	dirty          map[page]struct{}    // progress that waits for a commit
	restarted      map[*worker]struct{} // workers whose restart waits for a commit
	commitNow      bool                 // a final state or a restart waits for a commit
	commit         *commit              // in flight, or nil
	confirmedAt    time.Time            // start of the last confirmed write
	commitAt       time.Time            // start of the last commit
	interference   *impact.Table
	loadPeriod     *impact.PeriodEstimate // period of the loads of serving tasks
	runTimes       *order.RunTimes
	planner        order.Planner
	planJobs       []order.Job                   // of the last call of the planner
	planned        []*job                        // in the order of planJobs
	lastPlanned    []*job                        // in the order of the last plan
	planCount      int                           // jobs that have been planned
	largest        map[workerSet]sizes.Resources // see largestWorkers, at the last plan
	largestVersion uint64                        // number of changes of largest
	jobSizes       *order.Sizes
	admission      admission // of the job that is being scheduled
	startLimit     int64     // processors that its tasks may still request, in thousandths; 0 for no limit, negative for none
	advice         map[stepKey]*advice
	adviceInFlight int       // requests to the policy service
	wakeAt         time.Time // next iteration of the event loop
	jobsReadAt     time.Time // start of the last read of changed jobs that was applied
	jobsVersion    uint64    // versions up to which changes were read
	cancelsVersion uint64
	agentsVersion  uint64
	wg             sync.WaitGroup
	unmatchedEnds  map[spec.ID][]unmatchedEnd
	released       []releasedRun         // released without an end, oldest first
	evacuation     evacuation            // of zones
	cancelledEarly map[spec.ID]time.Time // when jobs were cancelled that are not known
	pendingDeletes []rows.Ref            // rows to delete with the next commit
	watchAt        time.Time             // last check of all runs
	retiring       bool                  // a deletion of expired rows is in flight
	retireAt       time.Time             // last search for expired rows
	outlook        outlook
	explainedAt    time.Time // last answer to JobExplain
}

// commit is a write of progress that is in flight.
type commit struct {
	jobs   []*job
	states []rows.State  // states written, in the order of jobs
	ends   []appliedEnds // become durable with the write
}

// appliedEnds are the ends up to a number on an incarnation of a worker.
type appliedEnds struct {
	worker      *worker
	incarnation wire.WorkerIncarnation
	number      uint64
}

// errResigned ends a term when the entry shuts down.
var errResigned = errors.New("the entry hands the cell over")

// errPanicked ends a term whose state may be inconsistent.
var errPanicked = errors.New("an event of the leader panicked")

// Epoch returns the epoch of the term.
func (t *Term) Epoch() uint64 { return t.epoch }

// Opened reports a new session to an agent.
func (t *Term) Opened(agent string, l Link) { t.put(opened{agent, l}) }

// Closed reports the end of a session to an agent.
func (t *Term) Closed(agent string, l Link) { t.put(closed{agent, l}) }

// Message delivers a message from an agent.
func (t *Term) Message(agent string, l Link, m wire.Message) { t.put(message{agent, l, m}) }

// Request delivers a request from an entry; the reply is sent on l. If the queue is full, the reply is that nothing was
// done; notifications are dropped, since the leader reads the rows of jobs and cancellations too.
func (t *Term) Request(l Link, m *wire.JobAsk) {
	if t.events.TryPut(requested{l, m}) || m.Number == 0 {
		return
	}
	if err := l.Send(&wire.JobTell{Number: m.Number, Verdict: wire.VerdictNotDone}); err != nil {
		l.Close(err)
	}
}

// put queues an event of a session and waits while the queue is full, so that the sender is slowed down. After the end
// of the term, it drops the event.
func (t *Term) put(ev any) { t.events.Put(context.Background(), ev) }

// run processes events until ctx ends and then returns errResigned, or until a commit fails, for example because
// another entry has taken over. A panic ends the term with errPanicked.
func (t *Term) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer t.events.Close()
	defer cancel()
	defer func() {
		if p := recover(); p != nil {
			event.Log(t.cfg.Log, event.LeaderPanicked, zap.Any("Panic", p), zap.Stack("Stack"))
			err = errPanicked
		}
	}()
	for _, w := range t.workers {
		t.cfg.Network.Connect(t, w.agent)
	}
	t.wg.Go(func() { t.pollChanges(ctx) })
	if t.usesEvacuations() {
		t.recordEvacuated()
		defer t.cfg.Meter.ZonesEvacuated(0)
		t.wg.Go(func() { t.pollEvacuations(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev any
		select {
		case <-ctx.Done():
			return errResigned
		case ev = <-t.events.Items():
		case <-timer.C:
		}
		s := newStopwatch()
		if ev != nil {
			if err := t.handle(ev); err != nil {
				return err
			}
			if err := t.drain(); err != nil {
				return err
			}
		}
		now := s.lap(&s.events)
		t.wakeAt = now.Add(renewEvery)
		t.expire(now)
		s.lap(&s.leases)
		t.schedule(ctx, now)
		s.lap(&s.starts)
		t.watchRuns(now)
		s.lap(&s.watch)
		t.flush()
		t.retire(ctx, now)
		t.commitIfDue(ctx, now)
		s.lap(&s.commands)
		s.logSlow(t.cfg.Log)
		timer.Reset(max(time.Millisecond, time.Until(t.wakeAt)))
	}
}

// drain handles up to batchSize queued events.
func (t *Term) drain() error {
	for range batchSize {
		ev, ok := t.events.TryTake()
		if !ok {
			return nil
		}
		if err := t.handle(ev); err != nil {
			return err
		}
	}
	return nil
}

// wakeBy makes the event loop run again by a given time.
func (t *Term) wakeBy(at time.Time) {
	if at.Before(t.wakeAt) {
		t.wakeAt = at
	}
}

func (t *Term) handle(ev any) error {
	switch ev := ev.(type) {
	case opened:
		t.agentOpened(ev)
	case closed:
		t.agentClosed(ev)
	case message:
		return t.agentMessage(ev)
	case requested:
		t.handleRequest(ev)
	case committed:
		return t.applyCommit(ev)
	case polled:
		t.applyChanges(ev)
	case evacuationsRead:
		t.applyEvacuations(ev, time.Now())
		t.recordEvacuated()
	case advised:
		t.applyAdvice(ev)
	case retired:
		t.applyRetired(ev)
	}
	return nil
}

// mayGrant reports whether worker leases may be granted, which holds while the leadership lease lasts: until then, no
// other leader can assume that they have expired.
func (t *Term) mayGrant(now time.Time) bool { return now.Sub(t.confirmedAt) < leadershipLease }

// leaseEnd returns when a lease granted at a given time has certainly expired on the worker.
func (t *Term) leaseEnd(granted time.Time) time.Time { return expiry(granted, t.cfg.Lease) }

// expiry returns when a lease of a given duration has certainly expired on a worker, whose clock may be slow.
func expiry(granted time.Time, lease time.Duration) time.Time {
	return granted.Add(time.Duration(float64(lease)*clockDriftFactor) + leaseGrace)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// flush sends the queued commands and acknowledgements to the connected agents, also those whose lease has expired since their
// report: they hold the cancels that end the wait for a new lease. Starts are queued for none of them.
func (t *Term) flush() {
	for _, w := range t.fleet.outbox {
		w.isQueued = false
		if w.link == nil {
			w.out = nil // agentOpened makes the next complete report decide about the runs again
			continue
		}
		if w.durableEnd > w.ackedEnd {
			if w.out == nil {
				w.out = &wire.TaskOrders{Incarnation: w.state.Incarnation}
			}
			w.out.DurableEnds = w.durableEnd
			w.ackedEnd = w.durableEnd
		}
		if w.out == nil {
			continue
		}
		w.commandSeq++
		w.out.Number = w.commandSeq
		if len(w.out.Starts) > 0 {
			w.out.StartBefore = t.startBefore(w)
		}
		parts := wire.SplitOrders(w.out)
		w.out = nil
		for _, m := range parts {
			if err := w.link.Send(m); err != nil {
				event.Log(t.cfg.Log, event.AgentClosed, zap.String("Agent", w.agent.Name), zap.Error(err))
				w.link.Close(err)
				break
			}
		}
	}
	t.fleet.outbox = t.fleet.outbox[:0]
}
