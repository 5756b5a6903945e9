package driver

import (
	"container/heap"
	"context"
	"time"
)

const (
	// maxCalls is the largest number of commands that are sent to the worker at a time. Polls are not counted: they extend
	// the lease and never wait.
	maxCalls = 24
	// minCalls is the number to which slow and unanswered calls reduce it.
	minCalls      = 6
	slowAfter     = 100 * time.Millisecond // for an answer, well below the time limits of calls
	retryShare    = 2                      // one in retryShare calls may repeat a command, so that new commands find room
	minRetryPause = 25 * time.Millisecond  // between repetitions while minCalls calls go unanswered
	maxRetryPause = 250 * time.Millisecond // likewise, after doubling
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type reply -output queue_string.go

// reply is how the worker replied to a call.
type reply uint8

const (
	noCall     reply = iota // none was made
	answered                // also by a refusal
	unanswered              // the outcome is unknown
)

// command is an order to the worker, which may take several calls.
type command interface {
	kind() CallKind
	// call makes one call, and returns what remains to be done.
	call(ctx context.Context, a *Agent) result
}

// result is the result of a call.
type result struct {
	reply reply
	next  command       // nil if the command is done
	pause time.Duration // before next
}

// queuedCommand is a command that waits for its call, or whose call is in progress.
type queuedCommand struct {
	command  command
	ctx      context.Context // bounds the call
	isRetry  bool
	queuedAt time.Time
	dueAt    time.Time // of a retry
	beganAt  time.Time // of the call
}

// commandQueue orders the commands to a worker and limits the calls in progress, so that neither grows with the number of
// runs. The limit follows the worker: it grows with each answer in good time, falls with each late one, and is halved when calls
// go unanswered. Commands that were sent before have a share of the limit, and their rate falls while nothing is answered.
type commandQueue struct {
	fresh       [callKinds][]*queuedCommand // in the order of their arrival
	retries     retryHeap
	open        int // calls in progress
	openRetries int // of them, repetitions
	limit       int
	reducedAt   time.Time // of the last reduction; calls that began before do not reduce the limit again
	retryPause  time.Duration
	retryAt     time.Time // of the next repetition
}

// commandOrder is the order of kinds: stops free capacity, and paces protect serving tasks.
var commandOrder = [...]CallKind{CallStop, CallPace, CallStart}

func newCommandQueue() commandQueue { return commandQueue{limit: maxCalls} }

func (q *commandQueue) add(ctx context.Context, c command, now time.Time) {
	k := c.kind()
	q.fresh[k] = append(q.fresh[k], &queuedCommand{command: c, ctx: ctx, queuedAt: now})
}

// next removes and returns a command whose call may begin, or nil.
func (q *commandQueue) next(now time.Time) *queuedCommand {
	if q.open >= q.limit {
		return nil
	}
	c := q.nextRetry(now)
	for _, k := range commandOrder {
		if c == nil && len(q.fresh[k]) > 0 {
			c = q.fresh[k][0]
			q.fresh[k][0] = nil
			q.fresh[k] = q.fresh[k][1:]
		}
	}
	if c == nil {
		return nil
	}
	c.beganAt = now
	q.open++
	if c.isRetry {
		q.openRetries++
	}
	return c
}

func (q *commandQueue) nextRetry(now time.Time) *queuedCommand {
	if q.openRetries >= q.limit/retryShare || len(q.retries) == 0 || now.Before(q.retries[0].dueAt) || now.Before(q.retryAt) {
		return nil
	}
	q.retryAt = now.Add(q.retryPause)
	return heap.Pop(&q.retries).(*queuedCommand)
}

// wakeAt returns when a repetition is due that waits for nothing but its time, or zero.
func (q *commandQueue) wakeAt() time.Time {
	if len(q.retries) == 0 || q.open >= q.limit || q.openRetries >= q.limit/retryShare {
		return time.Time{}
	}
	if at := q.retries[0].dueAt; at.After(q.retryAt) {
		return at
	}
	return q.retryAt
}

// ended records the result of a call.
func (q *commandQueue) ended(c *queuedCommand, r result, now time.Time) {
	q.open--
	if c.isRetry {
		q.openRetries--
	}
	switch {
	case r.reply == answered:
		if now.Sub(c.beganAt) < slowAfter {
			q.limit = min(q.limit+1, maxCalls)
		} else {
			q.limit = max(q.limit-1, minCalls)
		}
		q.retryPause, q.retryAt = 0, time.Time{}
	case r.reply == unanswered && c.beganAt.Before(q.reducedAt):
	case r.reply == unanswered && q.limit > minCalls:
		q.limit, q.reducedAt = max(q.limit/2, minCalls), now
	case r.reply == unanswered:
		q.retryPause = min(max(2*q.retryPause, minRetryPause), maxRetryPause)
		q.retryAt, q.reducedAt = now.Add(q.retryPause), now
	}
	if r.next != nil {
		heap.Push(&q.retries, &queuedCommand{
			command: r.next, ctx: c.ctx, isRetry: true, queuedAt: c.queuedAt, dueAt: now.Add(r.pause),
		})
	}
}

// waiting returns the number of commands of a kind that wait, and since when the oldest of them has been in the queue.
func (q *commandQueue) waiting(k CallKind, now time.Time) (n int, oldest time.Time) {
	n, oldest = len(q.fresh[k]), now
	if n > 0 {
		oldest = q.fresh[k][0].queuedAt
	}
	for _, c := range q.retries {
		if c.command.kind() == k {
			n++
			if c.queuedAt.Before(oldest) {
				oldest = c.queuedAt
			}
		}
	}
	return n, oldest
}

// retryHeap implements heap.Interface, the command that is due next first.
type retryHeap []*queuedCommand

func (h retryHeap) Len() int           { return len(h) }
func (h retryHeap) Less(i, k int) bool { return h[i].dueAt.Before(h[k].dueAt) }
func (h retryHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *retryHeap) Push(v any) { *h = append(*h, v.(*queuedCommand)) }

// Pop implements heap.Interface.
func (h *retryHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
