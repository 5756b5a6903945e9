package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	idleWait    = time.Second            // of a look; the worker answers sooner when a run ends
	lookWait    = 400 * time.Millisecond // the same while the worker has runs, whose figures the leader follows
	lookSlack   = 400 * time.Millisecond // beyond the wait, after which a look has no answer
	askInterval = 450 * time.Millisecond // between requests for the lease, with all runs
	notePause   = 40 * time.Millisecond  // while ends wait to be durable, for which a look does not wait
	retryPause  = 60 * time.Millisecond  // after a failed look
	downLooks   = 3                      // refused connections in a row after which the worker's process has ended
	silentLooks = 2                      // looks without answer in a row after which the worker gets no runs
)

// ErrSuperseded closes the session of a leader with a lower token.
var ErrSuperseded = errors.New("a newer leader has adopted the agent")

// Config is what an Agent needs.
type Config struct {
	Worker Worker
	Lease  time.Duration // for which the worker keeps running without an extension
	Log    *zap.Logger
}

// Agent serves one worker. Its methods are safe for concurrent use.
type Agent struct {
	cfg  Config
	wake chan struct{}

	mu        sync.Mutex
	state     wire.WorkerState
	sequence  uint64 // of the last announcement of this life
	gone      bool   // the known life has ended
	token     uint64
	leader    Leader
	adopted   bool // the leader has a complete report
	cancel    context.CancelFunc
	clock     int64 // of the worker at the last look, ms
	deadline  int64 // of the lease, by the worker's clock
	noted     uint64
	forwarded uint64 // highest end reported on this session
	order     uint64 // number of the last orders taken
	askedAt   time.Time
	runs      int // listed by the last look
	refused   []wire.RunRefused
	pending   map[wire.Run]struct{}
	pacer     pacer
	running   sync.WaitGroup
}

// New returns an agent without a worker, which is known from its first announcement.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, wake: make(chan struct{}, 1), pending: make(map[wire.Run]struct{}), pacer: newPacer(),
	}
}

// Announce takes an announcement of the worker; sequence grows with each announcement of one life. It reports whether
// the announcement belongs to the worker's current life.
func (a *Agent) Announce(s wire.WorkerState, sequence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.state
	switch {
	case s.Life.Born < old.Life.Born:
		return false
	case s.Life == old.Life && sequence <= a.sequence && sequence > 0:
		return true
	case s.Life == old.Life && a.gone && s.Phase != wire.WorkerGone:
		a.gone = false
	case s.Life != old.Life:
		a.reset()
	}
	if s.Phase == wire.WorkerGone {
		a.gone = true
	}
	a.sequence = sequence
	s.Healthy = old.Healthy || s.Life != old.Life
	a.state = s
	if s.Life != old.Life || s.Phase != old.Phase {
		event.Log(a.cfg.Log, event.WorkerAnnounced, zap.String("Worker", s.Life.ID), zap.Int64("Born", s.Life.Born),
			zap.Stringer("Phase", s.Phase), zap.Int64("RemainingMilliseconds", s.Remaining))
		a.tell()
	}
	a.nudge()
	return true
}

// Leave takes that the worker says it ends; it gets no new runs, and its end shows when it no longer listens.
func (a *Agent) Leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Life.ID != id || a.state.Phase == wire.WorkerDraining {
		return
	}
	a.state.Phase = wire.WorkerDraining
	event.Log(a.cfg.Log, event.WorkerAnnounced, zap.String("Worker", id), zap.Stringer("Phase", a.state.Phase))
	a.tell()
}

// reset forgets what belongs to an earlier life of the worker.
func (a *Agent) reset() {
	a.gone, a.clock, a.deadline, a.noted, a.forwarded = false, 0, 0, 0, 0
	a.adopted, a.refused = false, nil
	clear(a.pending)
	a.pacer = newPacer()
	if a.cancel != nil {
		a.cancel()
	}
}

func (a *Agent) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// tell sends the worker's state to the leader; a session that is full or closed is replaced by the leader.
func (a *Agent) tell() {
	s := a.state
	if a.gone {
		s.Phase = wire.WorkerGone
	}
	a.send(&s)
}

func (a *Agent) send(m wire.Message) {
	if a.leader == nil {
		return
	}
	if err := a.leader.Send(m); err != nil {
		event.Log(a.cfg.Log, event.LeaderUnreachable, zap.Stringer("Message", m.Kind()), zap.Error(err))
		a.leader.Close(err)
		a.leader = nil
	}
}

// Adopt makes l the leader when its token is higher than any seen, or the same from a new session. It reports whether
// it did.
func (a *Agent) Adopt(l Leader, m *wire.LeadAdopt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Token < a.token {
		event.Log(a.cfg.Log, event.LeaderRefused, zap.Uint64("Token", m.Token), zap.Uint64("Highest", a.token))
		return false
	}
	event.Log(a.cfg.Log, event.LeaderAdopted, zap.Uint64("Token", m.Token), zap.Uint64("Before", a.token))
	if a.leader != nil && a.leader != l {
		a.leader.Close(ErrSuperseded)
	}
	a.token, a.leader, a.adopted, a.forwarded, a.order = m.Token, l, false, a.noted, 0
	if a.cancel != nil {
		a.cancel()
	}
	if a.state.Life.ID != "" {
		a.tell()
	}
	a.nudge()
	return true
}

// Lost tells that the session l has ended.
func (a *Agent) Lost(l Leader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == l {
		a.leader = nil
	}
}

// Idle reports whether no leader is connected.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader == nil
}

// Grant extends the lease as the leader permits.
func (a *Agent) Grant(l Leader, m *wire.LeaseGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == l && m.Life == a.state.Life {
		a.deadline = max(a.deadline, m.Clock+a.cfg.Lease.Milliseconds())
	}
}

// Order carries out orders of the leader l.
func (a *Agent) Order(ctx context.Context, l Leader, m *wire.TaskOrders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != l {
		return
	}
	a.order = m.Number
	if m.Life != a.state.Life || a.gone {
		for _, s := range m.Starts {
			a.refused = append(a.refused, wire.RunRefused{Run: s.Run, Reason: wire.RefusedLife})
		}
		a.report(nil, nil)
		return
	}
	if m.Noted > a.noted {
		a.noted = m.Noted
		a.nudge()
	}
	for _, t := range m.Traits {
		a.pacer.add(t)
	}
	a.pacer.weigh(m.Press)
	for _, r := range m.Stops {
		c := a.call()
		a.running.Go(func() { a.stop(ctx, c, r) })
	}
	for _, r := range m.Closes {
		c := a.call()
		a.running.Go(func() { a.closeRun(ctx, c, r) })
	}
	for _, s := range m.Starts {
		a.pending[s.Run] = struct{}{}
		a.pacer.add(s.RunTrait)
		c := a.call()
		a.running.Go(func() { a.start(ctx, c, s) })
	}
}

// Run looks after the worker until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		l, lookCtx, ok := a.nextLook(ctx)
		if !ok {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		before := a.pendingRuns()
		sight, err := a.cfg.Worker.Look(lookCtx.ctx, l)
		lookCtx.cancel()
		if err != nil {
			failures = a.lookFailed(l, err, failures)
			select {
			case <-a.wake:
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		failures = 0
		if a.lookDone(ctx, l, lookCtx.order, sight, before) {
			continue
		}
		select { // the ends listed are reported but not durable yet, and a look would return at once
		case <-a.wake:
		case <-time.After(notePause):
		case <-ctx.Done():
		}
	}
	a.running.Wait()
}

// lookContext is the context of one look with what was known when it began.
type lookContext struct {
	ctx    context.Context
	cancel context.CancelFunc
	order  uint64
}

// nextLook returns the next look, or false while there is no worker to look after or no leader was ever seen.
func (a *Agent) nextLook(ctx context.Context) (Look, lookContext, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Life.ID == "" || a.gone || a.token == 0 {
		return Look{}, lookContext{}, false
	}
	wait := idleWait
	if a.runs > 0 {
		wait = lookWait
	}
	if a.leader != nil && (!a.adopted || len(a.refused) > 0) {
		wait = 0
	}
	lookCtx, cancel := context.WithTimeout(ctx, wait+lookSlack)
	a.cancel = cancel
	l := Look{
		Life: a.state.Life, Token: a.token, Noted: a.noted, Deadline: a.deadline, Wait: wait.Milliseconds(),
	}
	return l, lookContext{ctx: lookCtx, cancel: cancel, order: a.order}, true
}

func (a *Agent) pendingRuns() []wire.Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]wire.Run, 0, len(a.pending))
	for r := range a.pending {
		list = append(list, r)
	}
	return list
}

// lookFailed notes a failed look and returns how many failed in a row.
func (a *Agent) lookFailed(l Look, err error, failures int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = nil
	if l.Life != a.state.Life || l.Token != a.token {
		return 0
	}
	switch {
	case errors.Is(err, ErrLife):
	case errors.Is(err, ErrDown) && failures+1 >= downLooks:
	case errors.Is(err, ErrDown):
		return failures + 1
	case failures+1 < silentLooks:
		return failures + 1
	default:
		if a.state.Healthy {
			a.state.Healthy = false
			event.Log(a.cfg.Log, event.WorkerSilent, zap.String("Worker", l.Life.ID), zap.Error(err))
			a.tell()
		}
		return failures
	}
	event.Log(a.cfg.Log, event.WorkerEnded, zap.String("Worker", l.Life.ID), zap.Int64("Born", l.Life.Born), zap.Error(err))
	a.gone = true
	a.tell()
	return 0
}

// lookDone takes the answer to a look and reports what changed. It reports whether the next look may wait at the worker.
func (a *Agent) lookDone(ctx context.Context, l Look, order uint64, s Sight, before []wire.Run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = nil
	if l.Life != a.state.Life || l.Token != a.token {
		return true
	}
	a.clock = max(a.clock, s.Clock)
	a.runs = len(s.Running)
	if !a.state.Healthy {
		a.state.Healthy = true
		a.tell()
	}
	for _, p := range a.pacer.observe(s.Running, a.state.Capacity.Processors, time.Now()) {
		c := a.call()
		a.running.Go(func() { a.pace(ctx, c, p) })
	}
	var ended []wire.RunEnd
	for _, e := range s.Ended {
		if e.Number > a.forwarded {
			ended = append(ended, e)
		}
	}
	now := time.Now()
	mayWait := len(s.Ended) == 0 || a.noted >= s.Ended[len(s.Ended)-1].Number
	if len(ended) == 0 && len(a.refused) == 0 && a.adopted && now.Sub(a.askedAt) < askInterval {
		return mayWait
	}
	m := &wire.RunReport{Ended: ended, Order: order}
	if !a.adopted || now.Sub(a.askedAt) >= askInterval {
		m.Complete, m.Running, m.AskLease = true, s.Running, true
		if !a.adopted {
			m.Press = a.pacer.known()
		}
		m.Pending = before
		for r := range a.pending {
			if !slices.Contains(before, r) {
				m.Pending = append(m.Pending, r)
			}
		}
		a.askedAt = now
	}
	a.report(m, s.Ended)
	return mayWait
}

// report sends m, or an empty report, with the refusals that wait.
func (a *Agent) report(m *wire.RunReport, ended []wire.RunEnd) {
	if a.leader == nil {
		return
	}
	if m == nil {
		m = &wire.RunReport{Order: a.order}
	}
	m.Life, m.Clock, m.Refused = a.state.Life, a.clock, a.refused
	a.refused = nil
	if m.Complete {
		a.adopted = true
	}
	for _, e := range ended {
		a.forwarded = max(a.forwarded, e.Number)
	}
	a.send(m)
}
