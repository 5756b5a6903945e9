package admit

import (
	"container/heap"
	"time"
)

// Order returns the position of a request in the queue; the smallest one starts first.
type Order func(arrived time.Time, expected time.Duration) time.Time

// agingFactor sets how far a request is placed behind shorter ones that arrive later: a request expected to run for 1 s
// is overtaken by short ones for at most 4 s, so that long work cannot starve.
const agingFactor = 4

// ByExpectedRun places short requests ahead of long ones, within a bound that grows with the expected run time.
func ByExpectedRun(arrived time.Time, expected time.Duration) time.Time {
	return arrived.Add(agingFactor * expected)
}

// ByArrival places requests in the order of their arrival.
func ByArrival(arrived time.Time, _ time.Duration) time.Time { return arrived }

// waiter is a request in a queue.
type waiter struct {
	position time.Time
	expected time.Duration
	deadline time.Time
	latest   time.Time // start from the queue, with slack for a slow run
	kind     string
	long     bool
	index    int                // in its lane, -1 when it has left
	done     chan *RefusalError // nil when granted
}

// lane is a heap of waiters by position.
type lane []*waiter

func (l lane) Len() int           { return len(l) }
func (l lane) Less(i, j int) bool { return l[i].position.Before(l[j].position) }

func (l lane) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*l)
	*l = append(*l, w)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	old := *l
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	w.index = -1
	return w
}

func (l *lane) put(w *waiter) { heap.Push(l, w) }

func (l *lane) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(l, w.index)
	}
}

func (l lane) head() *waiter {
	if len(l) == 0 {
		return nil
	}
	return l[0]
}

// workBefore returns the expected run time of all waiters ahead of a position.
func (l lane) workBefore(position time.Time) time.Duration {
	var sum time.Duration
	for _, w := range l {
		if w.position.Before(position) {
			sum += w.expected
		}
	}
	return sum
}
