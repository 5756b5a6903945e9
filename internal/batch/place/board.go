package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// maxCandidates is the number of workers with enough free capacity that are compared for one task. More would spread
// better but cost more time; workers are examined from a random start.
const maxCandidates = 8

// Worker describes a worker that has a session with this entry.
type Worker struct {
	Name     ident.Worker
	Zone     ident.AvailabilityZone
	Rack     string
	Capacity sizes.Resources
}

// Request describes an attempt that needs a worker.
type Request struct {
	Task    ident.Task
	Attempt ident.Attempt
	Zone    ident.AvailabilityZone
	Size    sizes.Resources
	IsReady func(ident.Worker) bool // whether the partition may start tasks on the worker now; must not call the board
}

// Board estimates the free capacity of workers. All partitions of an entry share it, and it is safe for concurrent use.
// The ledger of the worker's agent makes the final decision; the board only avoids most refusals.
type Board struct {
	mu      sync.Mutex
	workers map[ident.Worker]*workerState
	zones   map[ident.AvailabilityZone][]*workerState
	racks   map[ident.Job]map[string]int // number of pending attempts of a job on each rack
	health  health
}

// workerState is the estimated state of one worker.
type workerState struct {
	Worker
	free     sizes.Resources // last hint plus the sizes of hinted attempts that ended since
	hasHint  bool            // at least one hint has arrived
	leaving  bool
	full     bool                     // refused a task since the last hint
	pending  map[attempt]*reservation // attempts that have not ended
	reserved sizes.Resources          // sum of the reservations that the hint does not include
}

type attempt struct {
	task ident.Task
	n    ident.Attempt
}

// reservation is the capacity reserved for an attempt until it ends.
type reservation struct {
	size   sizes.Resources
	hinted bool // the last hint includes the attempt
	acked  bool // the agent has acknowledged the attempt, so the next hint includes it
}

// NewBoard returns a board without workers.
func NewBoard() *Board {
	return &Board{
		workers: map[ident.Worker]*workerState{}, zones: map[ident.AvailabilityZone][]*workerState{},
		racks: map[ident.Job]map[string]int{}, health: newHealth(),
	}
}

// AddWorker adds a worker or replaces its state.
func (b *Board) AddWorker(w Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(w.Name)
	s := &workerState{Worker: w, pending: map[attempt]*reservation{}}
	b.workers[w.Name] = s
	b.zones[w.Zone] = append(b.zones[w.Zone], s)
}

// RemoveWorker removes a worker.
func (b *Board) RemoveWorker(w ident.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(w)
}

func (b *Board) remove(w ident.Worker) {
	s := b.workers[w]
	if s == nil {
		return
	}
	delete(b.workers, w)
	list := b.zones[s.Zone]
	for i := range list {
		if list[i] == s {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			b.zones[s.Zone] = list[:len(list)-1]
			break
		}
	}
	for a := range s.pending {
		b.countRack(a.task.Job, s.Rack, -1)
	}
}

// UpdateFree replaces the free capacity of a worker by what its ledger could still admit. The hint includes all
// attempts that the agent acknowledged before, because messages of a session arrive in order.
func (b *Board) UpdateFree(w ident.Worker, free sizes.Resources, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.workers[w]
	if s == nil {
		return
	}
	s.free, s.hasHint, s.leaving, s.full = free, true, leaving, false
	for _, p := range s.pending {
		if p.acked && !p.hinted {
			p.hinted = true
			s.reserved = s.reserved.Minus(p.size)
		}
	}
}

// Pick selects a worker and reserves capacity on it, or returns false if no worker has enough free capacity.
func (b *Board) Pick(q Request) (ident.Worker, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.zones[q.Zone]
	if len(list) == 0 {
		return "", false
	}
	now := time.Now()
	var best *workerState
	candidates := 0
	for i, at := 0, rand.IntN(len(list)); i < len(list) && candidates < maxCandidates; i++ {
		s := list[(at+i)%len(list)]
		if !b.admits(s, q, now) {
			continue
		}
		candidates++
		if best == nil || b.isBetter(s, best, q) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	best.pending[attempt{q.Task, q.Attempt}] = &reservation{size: q.Size}
	best.reserved = best.reserved.Plus(q.Size)
	b.countRack(q.Task.Job, best.Rack, 1)
	b.health.recordPlacement(best.Name, now)
	return best.Name, true
}

// admits reports whether the task may be assigned to a worker. All kinds of resources must fit into the hint less the
// reservations that it does not include.
func (b *Board) admits(s *workerState, q Request, now time.Time) bool {
	return s.hasHint && !s.leaving && !s.full && q.Size.Fits(s.free.Minus(s.reserved)) &&
		b.health.admits(s.Name, now) && q.IsReady(s.Name)
}

// isBetter reports whether worker s is preferred to another one. It prefers workers on which the job has not failed,
// then racks with fewer pending attempts of the job, then workers with more free processors.
func (b *Board) isBetter(s, than *workerState, q Request) bool {
	failed := b.health.jobs[q.Task.Job]
	if x, y := failed[s.Name], failed[than.Name]; x != y {
		return !x
	}
	counts := b.racks[q.Task.Job]
	if x, y := counts[s.Rack], counts[than.Rack]; x != y {
		return x < y
	}
	return s.free.Processors-s.reserved.Processors > than.free.Processors-than.reserved.Processors
}

// countRack adds n to the number of pending attempts of a job on a rack.
func (b *Board) countRack(job ident.Job, rack string, n int) {
	counts := b.racks[job]
	if counts == nil {
		if n < 0 {
			return
		}
		counts = map[string]int{}
		b.racks[job] = counts
	}
	if counts[rack] += n; counts[rack] <= 0 {
		delete(counts, rack)
	}
	if len(counts) == 0 {
		delete(b.racks, job)
	}
}

// Acknowledged records that the agent has acknowledged an attempt.
func (b *Board) Acknowledged(w ident.Worker, t ident.Task, n ident.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.workers[w]; s != nil {
		if p := s.pending[attempt{t, n}]; p != nil {
			p.acked = true
		}
	}
}

// Adopted records an attempt that an earlier owner started and that the hints of the worker include.
func (b *Board) Adopted(w ident.Worker, t ident.Task, n ident.Attempt, size sizes.Resources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.workers[w]
	if s == nil || s.pending[attempt{t, n}] != nil {
		return
	}
	s.pending[attempt{t, n}] = &reservation{size: size, acked: true, hinted: true}
	b.countRack(t.Job, s.Rack, 1)
}

// Ended releases the capacity of an attempt. If the last hint included the attempt, its size is added to the hint, so
// that the capacity can be used before the next hint. refused means that the worker refused the attempt.
func (b *Board) Ended(w ident.Worker, t ident.Task, n ident.Attempt, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.workers[w]
	if s == nil {
		return
	}
	p := s.pending[attempt{t, n}]
	if p == nil {
		return
	}
	delete(s.pending, attempt{t, n})
	b.countRack(t.Job, s.Rack, -1)
	if p.hinted {
		s.free = s.free.Plus(p.size)
	} else {
		s.reserved = s.reserved.Minus(p.size)
	}
	s.full = s.full || refused
}

// FitsSomewhere reports whether the total capacity of any worker in the zone is large enough for the size; it returns
// true while no worker is known.
func (b *Board) FitsSomewhere(zone ident.AvailabilityZone, size sizes.Resources) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.zones[zone] {
		if size.Fits(s.Capacity) {
			return true
		}
	}
	return len(b.zones[zone]) == 0
}
