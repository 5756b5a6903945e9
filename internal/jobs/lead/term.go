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
	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	ringSize  = 4096
	batchSize = 256 // events taken before orders go out
)

// Network keeps sessions to the agents of a cell. Connect starts to connect until Forget, and delivers Opened, Message
// and Closed to the term.
type Network interface {
	Connect(t *Term, a rows.Agent)
	Forget(name string)
}

// Advisor asks the policy service which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each worker that may run the step, and for how long.
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Config is what a leader needs.
type Config struct {
	Cell      string
	Name      string // of this entry
	Address   string // where it accepts sessions
	Store     rows.Store
	Patience  func() time.Duration // for an answer of the store, before the request is sent again
	Lease     time.Duration        // of a worker
	Retention time.Duration        // how long callers may ask for a job after its end
	Queues    *queues.Holder
	Network   Network
	Advisor   Advisor // nil for none
	Meter     Meter
	Log       *zap.Logger
}

// Meter counts what a leader does.
type Meter interface {
	TookOver()
	Ordered(untilFirst time.Duration, isFirst bool)
	RunEnded(cause wire.EndCause)
	JobEnded(state rows.State, took time.Duration)
}

// Events of the term's ring.
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
	asked struct {
		link Link
		m    *wire.JobAsk
	}
	committed struct {
		began time.Time
		err   error
	}
	fed struct {
		jobs, cancels, agents rows.Page
	}
	advised struct {
		key     pair
		tickets map[string]string
		valid   time.Duration
		err     error
	}
)

// Term is the reign of one leader from its takeover to its end.
type Term struct {
	cfg    Config
	events *queue.Ring[any]
	writer headWriter
	token  uint64
	epoch  uint64
	tookAt time.Time
	// grantedTo is when the leader before this one has certainly ceased to grant leases.
	grantedTo time.Time

	jobs           map[spec.ID]*job
	active         []*job // not in a final state
	workers        map[string]*worker
	unheard        int // workers of earlier leaders that were not heard yet
	dirty          map[*job]struct{}
	urgent         bool // a final state waits for its commit
	commit         *commit
	confirmed      time.Time // begin of the last confirmed write
	commitAt       time.Time // when the last commit began
	press          *press.Table
	period         *press.PeriodEstimate // of the loads of serving tasks
	usual          map[string]*usual     // by queue: run time compared with the estimate
	advice         map[pair]*advice
	asking         int // questions to the policy service in progress
	wakeAt         time.Time
	jobsAfter      uint64 // versions up to which the feeds were read
	cancAfter      uint64
	agentAfter     uint64
	running        sync.WaitGroup
	orphans        map[spec.ID][]orphan
	cancelledEarly map[spec.ID]bool // cancelled before the job was known
	dropped        []rows.Ref       // rows to delete with the next commit
	watchAt        time.Time
	retiring       bool
	retireAt       time.Time
}

// commit is a write of progress in flight.
type commit struct {
	jobs  []*job
	state []rows.State
	ends  map[*worker]uint64
}

// errResigned ends a term on request.
var errResigned = errors.New("the entry hands the cell over")

// Epoch returns the epoch of the term.
func (t *Term) Epoch() uint64 { return t.epoch }

// Opened tells of a new session to an agent.
func (t *Term) Opened(agent string, l Link) { t.put(opened{agent, l}) }

// Closed tells of the end of a session to an agent.
func (t *Term) Closed(agent string, l Link) { t.put(closed{agent, l}) }

// Message delivers a message of an agent.
func (t *Term) Message(agent string, l Link, m wire.Message) { t.put(message{agent, l, m}) }

// Ask delivers a question of an entry; the reply goes to l.
func (t *Term) Ask(l Link, m *wire.JobAsk) { t.put(asked{l, m}) }

// put queues an event. A full ring closes the sender's session, so that nothing is missed silently.
func (t *Term) put(ev any) {
	if t.events.TryPut(ev) {
		return
	}
	if m, ok := ev.(message); ok {
		m.link.Close(errors.New("ring of the leader is full"))
	}
}

// run works until ctx ends or another entry leads.
func (t *Term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer t.running.Wait()
	defer cancel()
	for _, w := range t.workers {
		t.cfg.Network.Connect(t, w.agent)
	}
	t.running.Go(func() { t.feed(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return errResigned
		case ev := <-t.events.Items():
			if err := t.handle(ev); err != nil {
				return err
			}
			if err := t.drain(); err != nil {
				return err
			}
		case <-timer.C:
		}
		now := time.Now()
		t.wakeAt = now.Add(renewEvery)
		t.expire(now)
		t.schedule(ctx, now)
		t.flush()
		t.retire(ctx, now)
		t.write(ctx, now)
		timer.Reset(max(time.Millisecond, time.Until(t.wakeAt)))
	}
}

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

// wakeBy makes the loop run again by a time.
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
		t.agentMessage(ev)
	case asked:
		t.answer(ev)
	case committed:
		return t.committed(ev)
	case fed:
		t.takeFeed(ev)
	case advised:
		t.takeAdvice(ev)
	case retired:
		t.takeRetired(ev)
	}
	return nil
}

// mayGrant reports whether leases may be granted: no other leader can have begun to count on their end.
func (t *Term) mayGrant(now time.Time) bool { return now.Sub(t.confirmed) < reign }

// leaseEnd returns when a lease granted at a time has certainly ended on the worker.
func (t *Term) leaseEnd(granted time.Time) time.Time {
	return granted.Add(time.Duration(float64(t.cfg.Lease)*clockRate) + graceTime)
}

// flush sends the orders of this round.
func (t *Term) flush() {
	for _, w := range t.workers {
		if w.link == nil || !w.complete {
			w.out = nil
			continue
		}
		if w.safeEnd > w.noted {
			w.outgoing().Noted = w.safeEnd
			w.noted = w.safeEnd
		}
		if w.out == nil {
			continue
		}
		w.orders++
		w.out.Number = w.orders
		m := w.out
		w.out = nil
		if err := w.link.Send(m); err != nil {
			event.Log(t.cfg.Log, event.AgentClosed, zap.String("Agent", w.agent.Name), zap.Error(err))
			w.link.Close(err)
		}
	}
}
