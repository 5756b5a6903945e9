package order

import "slices"

const (
	sizeWindow = 64  // jobs of a queue from which its largest tenth is determined
	minSizes   = 10  // jobs before any of them counts as large
	maxQueues  = 256 // with sizes of their own; all are learned again when there are more
	largeShare = 0.1
)

// Sizes knows the work of the last jobs of each queue.
type Sizes struct {
	queues map[string]*sizes
}

// sizes is a ring of the work of the last jobs, in processor-milliseconds.
type sizes struct {
	recent []int64
	next   int
	limit  int64 // from which a job is among the largest
}

// NewSizes returns Sizes that know no jobs.
func NewSizes() *Sizes { return &Sizes{queues: make(map[string]*sizes)} }

// Add records the work of a new job.
func (s *Sizes) Add(queue string, work int64) {
	q := s.queues[queue]
	if q == nil {
		if len(s.queues) >= maxQueues {
			clear(s.queues)
		}
		q = &sizes{}
		s.queues[queue] = q
	}
	if len(q.recent) < sizeWindow {
		q.recent = append(q.recent, work)
	} else {
		q.recent[q.next] = work
		q.next = (q.next + 1) % sizeWindow
	}
	sorted := slices.Sorted(slices.Values(q.recent))
	q.limit = sorted[int((1-largeShare)*float64(len(sorted)))]
}

// IsLarge reports whether a job with some work is among the largest tenth of its queue.
func (s *Sizes) IsLarge(queue string, work int64) bool {
	q := s.queues[queue]
	return q != nil && len(q.recent) >= minSizes && work >= q.limit
}
