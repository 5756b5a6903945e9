package driver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	idleWait            = time.Second            // of a long poll; the worker responds earlier when a run ends
	activeWait          = 400 * time.Millisecond // while the worker has runs: the leader needs their measurements
	minPollMargin       = 400 * time.Millisecond // beyond the wait, until a poll times out
	maxPollMargin       = 4 * minPollMargin      // likewise, after doubling for a worker that does not respond
	leaseInterval       = 450 * time.Millisecond // between lease requests, which are sent with a complete report
	ackPause            = 40 * time.Millisecond  // while ended runs are not acknowledged, since polls return at once then
	retryPause          = 60 * time.Millisecond  // after a failed poll
	pollShare           = 3                      // times what a poll costs until the next one, at most idleWait
	downAfterPolls      = 3                      // consecutive refused connections after which the worker counts as ended
	unhealthyAfterPolls = 2                      // consecutive polls without response after which the worker gets no runs
)

// ErrSuperseded closes the session of a leader when one with a higher fencing token, or a new session of it, connects.
var ErrSuperseded = errors.New("a newer leader has adopted the agent")

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Worker Worker
	Lease  time.Duration // duration of the worker's lease after an extension
	Log    *zap.Logger
}

// Agent manages one worker for the leader; its methods are safe for concurrent use.
type Agent struct {
	cfg     Config
	wake    chan struct{}
	beganAt time.Time // from which the agent's clock counts

	mu               sync.Mutex
	state            wire.WorkerState // of the current incarnation
	sequence         sequence         // of its announcements
	gone             bool             // the current incarnation has ended
	restartedAt      time.Time        // when the agent learned that the worker may have restarted under its ID; zero if it did not
	confirmed        bool             // the current incarnation has responded to this process, so that all earlier ones have ended
	announced        *announcement    // of another incarnation; nil once calls to the worker have settled whether it is current
	token            uint64
	leader           Leader
	synced           bool // the leader has received a complete report
	cancelPoll       context.CancelFunc
	clock            int64  // of the worker at the last poll, ms
	deadline         int64  // of the lease, on the worker's clock, ms
	acked            uint64 // highest number of an ended run that the leader has acknowledged
	reported         uint64 // highest number of an ended run reported in this session
	commandNumber    uint64 // of the last commands received
	adoptions        uint64 // sessions that have adopted the agent
	leaseRequestedAt time.Time
	runCount         int  // number of runs in the last poll response
	longestEnds      int  // length of the longest list of ended runs that the worker has returned
	moreEnds         bool // as in the last complete report
	refused          []wire.RunRefused
	pending          map[wire.Run]pendingRun // runs that the worker may still start because of a command
	pendingBefore    map[wire.Run]pendingRun // of pending at the start of the current poll, those that the worker may have started since
	stopping         map[wire.Run]uint64     // runs with a stop in progress, with its fencing token
	startCalls       int                     // starts in flight to the worker
	hasPollFailed    bool                    // the last poll failed
	pollTimeouts     int                     // consecutive polls without response
	pollMargin       time.Duration           // of the next poll, between minPollMargin and maxPollMargin
	pollCost         time.Duration           // smoothed time that a poll takes beyond its wait
	mayBeOther       bool                    // the worker may have restarted under the same ID since the last response
	pacer            pacer
	pacing           map[wire.Run]*paceCall // changes of paces that wait
	queue            commandQueue
	retryAt          time.Time     // when dispatchRetries wakes up; zero for never
	retryChanged     chan struct{} // signals that retryAt has changed
	commands         sync.WaitGroup
	hasEnded         bool // Run waits for the calls in progress, so that none may begin
}

// New returns an agent whose worker is unknown until its first announcement.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, wake: make(chan struct{}, 1), beganAt: time.Now(), pending: make(map[wire.Run]pendingRun),
		stopping: make(map[wire.Run]uint64), pacer: newPacer(), pacing: make(map[wire.Run]*paceCall), queue: newCommandQueue(),
		pollMargin: minPollMargin, retryChanged: make(chan struct{}, 1),
	}
}

func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// sendState sends the worker's state to the leader, which then releases the runs of other incarnations. It sends nothing
// until the worker has responded, since the state may be that of an earlier incarnation, whose announcement was delayed, or of
// none. If the session is full or closed, the leader connects again.
func (a *Agent) sendState() {
	if !a.confirmed && !a.gone {
		return
	}
	s := a.state
	if a.gone {
		s.Phase = wire.WorkerGone
	}
	if !a.restartedAt.IsZero() {
		s.RestartAge = max(1, time.Since(a.restartedAt).Milliseconds())
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

// Adopt makes l the leader unless its fencing token is lower than the highest one seen, and reports whether it did.
func (a *Agent) Adopt(l Leader, m *wire.LeadAdopt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Token < a.token {
		event.Log(a.cfg.Log, event.LeaderRefused, zap.Uint64("Token", m.Token), zap.Uint64("Highest", a.token))
		a.sendSuperseded(l, m.Cell, a.token)
		return false
	}
	event.Log(a.cfg.Log, event.LeaderAdopted, zap.Uint64("Token", m.Token), zap.Uint64("Before", a.token))
	if a.leader != nil && a.leader != l {
		a.sendSuperseded(a.leader, m.Cell, m.Token)
		a.leader.Close(ErrSuperseded)
	}
	a.token, a.leader, a.synced, a.reported, a.commandNumber = m.Token, l, false, a.acked, 0
	a.adoptions++
	if a.cancelPoll != nil {
		a.cancelPoll()
	}
	if a.state.Incarnation.ID != "" {
		a.sendState()
	}
	a.signal()
	return true
}

// sendSuperseded tells a leader the token of the leader that has adopted the agent, so that a deposed leader stops even
// while it cannot reach the store. The session is closed next, so an error does not matter.
func (a *Agent) sendSuperseded(l Leader, cell string, token uint64) {
	if err := l.Send(&wire.LeadAdopt{Cell: cell, Token: token}); err != nil {
		event.Log(a.cfg.Log, event.LeaderUnreachable, zap.Stringer("Message", wire.KindLeadAdopt), zap.Error(err))
	}
}

// LeaderDisconnected records that the session l has ended.
func (a *Agent) LeaderDisconnected(l Leader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == l {
		a.leader = nil
	}
}

// HasNoLeader reports whether no leader is connected.
func (a *Agent) HasNoLeader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader == nil
}

// Grant extends the worker's lease to Config.Lease after the clock in m, if l is the leader.
func (a *Agent) Grant(l Leader, m *wire.LeaseGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == l && m.Incarnation == a.state.Incarnation {
		a.deadline = max(a.deadline, m.Clock+a.cfg.Lease.Milliseconds())
	}
}

// Execute executes the commands in m, if l is the leader.
func (a *Agent) Execute(ctx context.Context, l Leader, m *wire.TaskOrders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != l || a.hasEnded {
		return
	}
	a.commandNumber = m.Number
	if m.Incarnation != a.state.Incarnation || a.gone {
		for _, s := range m.Starts {
			a.refused = append(a.refused, wire.RunRefused{Run: s.Run, Reason: wire.RefusedLife})
		}
		a.report(nil, nil)
		return
	}
	if m.DurableEnds > a.acked {
		a.acked = m.DurableEnds
		a.signal()
	}
	for _, profile := range m.Profiles {
		a.pacer.addRun(profile)
	}
	a.pacer.setWeights(m.Interference)
	h := a.header()
	for _, r := range m.Stops {
		if a.stopping[r] != h.token {
			a.stopping[r] = h.token
			a.enqueue(ctx, &stopCall{header: h, run: r})
		}
	}
	for _, r := range m.Cancels {
		isCancelled := a.pending[r].isCancelled // by a command that is repeated until the outcome is known
		a.pending[r] = pendingRun{token: h.token, isCancelled: true}
		if !isCancelled {
			a.enqueue(ctx, &cancelCall{incarnation: h.incarnation, refusal: wire.RunRefused{Run: r, Reason: wire.RefusedSilent}})
		}
	}
	before := a.timeAt(m.StartBefore)
	for _, s := range m.Starts {
		a.pending[s.Run] = pendingRun{token: h.token}
		a.pacer.addRun(s.RunProfile)
		a.enqueue(ctx, &startCall{header: h, command: s, before: before})
	}
}

// Run polls the worker until ctx ends, and waits for the calls in progress.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.dispatchRetries(ctx) })
	failures := 0
	for ctx.Err() == nil {
		request, pollCtx, ok := a.nextPoll(ctx)
		if !ok {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		a.keepPending()
		response, err := a.cfg.Worker.Poll(pollCtx.ctx, request)
		pollCtx.cancel()
		if err != nil {
			failures = a.pollFailed(request, err, failures)
			select {
			case <-a.wake:
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		failures = 0
		mayWait := a.pollDone(ctx, request, pollCtx, response)
		a.recordCost(request, pollCtx, response)
		if mayWait {
			continue
		}
		a.awaitAcknowledgement(ctx)
	}
	a.mu.Lock()
	a.hasEnded = true
	a.mu.Unlock()
	a.commands.Wait()
	wg.Wait()
}

// pollContext is the context of one poll, with the session and the number of the last commands received before it.
type pollContext struct {
	ctx           context.Context
	cancel        context.CancelFunc
	adoptions     uint64
	commandNumber uint64
	announced     *announcement // as of the start of the poll
	reported      uint64        // highest number of an ended run that was reported before the poll
	beganAt       time.Time
}

// nextPoll returns the next poll request, or false while there is no worker or no leader has connected yet.
func (a *Agent) nextPoll(ctx context.Context) (PollRequest, pollContext, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Incarnation.ID == "" || a.gone || a.token == 0 {
		return PollRequest{}, pollContext{}, false
	}
	wait := idleWait
	if a.runCount > 0 {
		wait = max(activeWait, a.minPause())
	}
	if a.leader != nil && (!a.synced || len(a.refused) > 0) || a.announced != nil {
		wait = 0
	}
	if a.moreEnds && a.acked >= a.reported {
		wait = 0 // only a response without ends shows that there are no more, and a poll that waits returns with one
	}
	request := PollRequest{
		Incarnation: a.state.Incarnation, Token: a.token, DurableEnds: a.acked, Deadline: a.deadline,
		Wait: wait.Milliseconds(),
	}
	// Another incarnation would drop ends of its own, and take the deadline for one on its clock.
	mayBeOther := a.mayBeOther || a.announced != nil && a.announced.state.Incarnation.ID == a.state.Incarnation.ID
	if a.hasPollFailed || mayBeOther {
		request.DurableEnds = 0
	}
	if mayBeOther {
		request.Deadline, request.Wait = 0, 0
	}
	pollCtx, cancel := context.WithTimeout(ctx, time.Duration(request.Wait)*time.Millisecond+a.pollMargin)
	a.cancelPoll = cancel
	return request, pollContext{
		ctx: pollCtx, cancel: cancel, adoptions: a.adoptions, commandNumber: a.commandNumber, announced: a.announced,
		reported: a.reported, beganAt: time.Now(),
	}, true
}

// recordCost records what a poll took beyond its wait. A worker with thousands of runs on a busy machine takes long to list them. It
// does not wait while it has ends that were listed before, and ends the wait at an unknown time when a run ends.
func (a *Agent) recordCost(request PollRequest, poll pollContext, response PollResponse) {
	cost := time.Since(poll.beganAt)
	switch {
	case len(response.Ended) == 0:
		cost -= time.Duration(request.Wait) * time.Millisecond
	case response.Ended[0].Number > poll.reported:
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pollCost += (max(0, cost) - a.pollCost) / 2
}

// minPause returns the least time until the next poll, so that polls take a bounded share of the time. The caller holds mu.
func (a *Agent) minPause() time.Duration { return min(pollShare*a.pollCost, idleWait) }

// awaitAcknowledgement waits while ended runs are reported but not acknowledged yet, since a poll would return at once.
func (a *Agent) awaitAcknowledgement(ctx context.Context) {
	a.mu.Lock()
	least := a.minPause()
	a.mu.Unlock()
	if least > 0 {
		pause.For(ctx, least)
	}
	if least >= ackPause {
		return
	}
	select {
	case <-a.wake:
	case <-time.After(ackPause - least):
	case <-ctx.Done():
	}
}

// countTimeout gives polls more time once the worker counts as unhealthy, which the longer time does not delay. A worker that
// is slow to list its runs can then extend its lease.
func (a *Agent) countTimeout() {
	a.pollTimeouts++
	if a.pollTimeouts >= unhealthyAfterPolls {
		a.pollMargin = min(2*a.pollMargin, maxPollMargin)
	}
}

func (a *Agent) resetTimeouts() { a.pollTimeouts, a.pollMargin = 0, minPollMargin }

// pollFailed handles a failed poll and returns the number of consecutive failures.
func (a *Agent) pollFailed(request PollRequest, err error, failures int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelPoll = nil
	if request.Incarnation != a.state.Incarnation || request.Token != a.token {
		return 0
	}
	a.hasPollFailed = true
	if errors.Is(err, context.DeadlineExceeded) {
		a.countTimeout()
	}
	a.mayBeOther = a.mayBeOther || !errors.HasType(err, (*RefusedError)(nil))
	switch {
	case !a.confirmed && (errors.Is(err, ErrIncarnation) || errors.Is(err, ErrRestarted)):
		a.refuseAnnouncement(request.Incarnation)
		a.state = wire.WorkerState{} // the current incarnation announces itself
		a.useAnnounced()
		return 0
	case errors.Is(err, ErrIncarnation),
		errors.Is(err, ErrUnreachable) && failures+1 >= downAfterPolls && a.startCalls == 0:
		event.Log(a.cfg.Log, event.WorkerEnded, zap.String("Worker", request.Incarnation.ID),
			zap.Int64("Born", request.Incarnation.StartedAt), zap.Error(err))
		a.gone = true
		a.sendState()
		a.useAnnounced()
		return 0
	case errors.Is(err, ErrRestarted): // it may run what was meant for this incarnation, which therefore has not ended for the leader
		if n := a.announced; n != nil && n.state.Incarnation.ID == request.Incarnation.ID {
			a.useAnnounced()
			return 0
		}
		a.restartedAt = time.Now()
	case errors.Is(err, ErrUnreachable), failures+1 < unhealthyAfterPolls:
		return failures + 1
	}
	if a.state.Healthy {
		a.state.Healthy = false
		event.Log(a.cfg.Log, event.WorkerUnresponsive, zap.String("Worker", request.Incarnation.ID), zap.Error(err))
		a.sendState()
	}
	return failures
}

// pollDone handles a poll response and sends the changes to the leader. It reports whether the next poll would wait
// at the worker instead of returning at once.
func (a *Agent) pollDone(ctx context.Context, request PollRequest, poll pollContext, response PollResponse) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelPoll = nil
	if request.Incarnation != a.state.Incarnation || poll.adoptions != a.adoptions {
		return true
	}
	a.mayBeOther, a.hasPollFailed = false, false
	a.resetTimeouts()
	if n := poll.announced; n != nil && n == a.announced {
		a.refuseAnnouncement(n.state.Incarnation)
		a.announced = nil
	}
	a.clock = max(a.clock, response.Clock)
	a.runCount = len(response.Running)
	if !a.confirmed || !a.state.Healthy {
		a.confirmed, a.state.Healthy = true, true
		a.sendState()
	}
	a.resolvePending(request.Token, response)
	a.enqueuePaces(ctx, a.pacer.observe(response.Running, a.state.Capacity.Processors, time.Now()))
	var ended []wire.RunEnd
	for _, e := range response.Ended {
		if e.Number > a.reported {
			ended = append(ended, e)
		}
	}
	// A worker lists a limited number of ended runs at a time, which it does not tell. A list that is shorter than an earlier one
	// was not cut off.
	moreEnds := len(response.Ended) > 0 && len(response.Ended) >= a.longestEnds
	a.longestEnds = max(a.longestEnds, len(response.Ended))
	now := time.Now()
	isDue := !a.synced || now.Sub(a.leaseRequestedAt) >= leaseInterval || a.moreEnds && !moreEnds
	mayWait := len(response.Ended) == 0 || a.acked >= response.Ended[len(response.Ended)-1].Number
	if len(ended) == 0 && len(a.refused) == 0 && !isDue {
		return mayWait
	}
	m := &wire.RunReport{Ended: ended, LastOrders: poll.commandNumber}
	if isDue {
		m.Complete, m.Running, m.RequestLease, m.MoreEnds = true, response.Running, true, moreEnds
		a.moreEnds = moreEnds
		if !a.synced {
			m.Interference = a.pacer.weights()
		}
		maps.Copy(a.pendingBefore, a.pending)
		m.Pending = slices.Collect(maps.Keys(a.pendingBefore))
		a.leaseRequestedAt = now
	}
	a.report(m, response.Ended)
	return mayWait
}

// report sends m, or an empty report for a nil m, together with the queued refusals.
func (a *Agent) report(m *wire.RunReport, ended []wire.RunEnd) {
	if a.leader == nil {
		return
	}
	if m == nil {
		m = &wire.RunReport{LastOrders: a.commandNumber}
	}
	m.Incarnation, m.Clock, m.Refused, m.AgentClock = a.state.Incarnation, a.clock, a.refused, a.readClock()
	a.refused = nil
	if m.Complete {
		a.synced = true
	}
	for _, e := range ended {
		a.reported = max(a.reported, e.Number)
	}
	parts, last := wire.SplitReport(m)
	for _, p := range parts {
		a.send(p)
	}
	a.send(last)
}
