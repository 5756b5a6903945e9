package admit

import (
	"container/heap"
	"time"
)

// Order returns the position of a request in the queue; the request with the earliest position starts first.
type Order func(arrived time.Time, expected time.Duration) time.Time

// agingFactor bounds how long later, shorter requests can overtake a request, as a multiple of its expected run time:
// 4 s for an expected run of 1 s. The bound prevents starvation of long requests.
const agingFactor = 4

// ByExpectedRun orders a request ahead of longer ones that arrived earlier by less than agingFactor times the
// difference of their expected run times.
func ByExpectedRun(arrived time.Time, expected time.Duration) time.Time {
	return arrived.Add(agingFactor * expected)
}

// ByArrival orders requests by arrival time.
func ByArrival(arrived time.Time, _ time.Duration) time.Time { return arrived }

// waiter is a request that waits for admission.
type waiter struct {
	position    time.Time
	expected    time.Duration
	deadline    time.Time
	latestStart time.Time // deadline less the expected run time and slack
	kind        string
	long        bool
	index       int                // in its queue; -1 when it is not queued
	done        chan *RefusalError // receives nil for a grant
}

// queue is a heap of waiters, ordered by position.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].position.Before(q[j].position) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func (q *queue) enqueue(w *waiter) { heap.Push(q, w) }

func (q *queue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}

func (q queue) head() *waiter {
	if len(q) == 0 {
		return nil
	}
	return q[0]
}

// workBefore returns the total expected run time of the waiters ahead of a position.
func (q queue) workBefore(position time.Time) time.Duration {
	var total time.Duration
	for _, w := range q {
		if w.position.Before(position) {
			total += w.expected
		}
	}
	return total
}
