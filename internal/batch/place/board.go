package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// sampleFits is the number of workers with room that are compared for one task. More would spread better and cost more
// time; the order in which workers are looked at is random.
const sampleFits = 8

// Worker describes a worker with a session to this entry.
type Worker struct {
	Name  ident.Worker
	Zone  ident.AvailabilityZone
	Rack  string
	Means sizes.Resources
}

// Request asks for a worker for one attempt.
type Request struct {
	Task    ident.Task
	Attempt ident.Attempt
	Zone    ident.AvailabilityZone
	Size    sizes.Resources
	IsReady func(ident.Worker) bool // whether the partition may start tasks on the worker now; must not call the board
}

// Board is what an entry knows of the room on workers; all partitions of the entry share it, and it is safe for
// concurrent use. Only the worker's ledger decides; the board avoids most refusals.
type Board struct {
	mu      sync.Mutex
	workers map[ident.Worker]*room
	zones   map[ident.AvailabilityZone][]*room
	racks   map[ident.Job]map[string]int // tasks of a job on each rack, as far as this entry started them
	trust   trust
}

// room is the state of one worker.
type room struct {
	Worker
	free    sizes.Resources // last hint, plus what ended since
	heard   bool            // a hint arrived
	leaving bool
	full    bool // refused a task since the last hint
	pending map[attempt]*reservation
	held    sizes.Resources // sum of the reservations that the hint does not contain
}

type attempt struct {
	task ident.Task
	n    ident.Attempt
}

// reservation is room for a start that the last hint does not contain.
type reservation struct {
	size   sizes.Resources
	hinted bool // the agent holds the attempt and the hint counts it
	acked  bool // the agent holds the attempt, so that the next hint counts it
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		workers: map[ident.Worker]*room{}, zones: map[ident.AvailabilityZone][]*room{},
		racks: map[ident.Job]map[string]int{}, trust: newTrust(),
	}
}

// Up adds a worker or replaces what was known of it.
func (b *Board) Up(w Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(w.Name)
	r := &room{Worker: w, pending: map[attempt]*reservation{}}
	b.workers[w.Name] = r
	b.zones[w.Zone] = append(b.zones[w.Zone], r)
}

// Down removes a worker.
func (b *Board) Down(w ident.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(w)
}

func (b *Board) remove(w ident.Worker) {
	r := b.workers[w]
	if r == nil {
		return
	}
	delete(b.workers, w)
	list := b.zones[r.Zone]
	for i := range list {
		if list[i] == r {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			b.zones[r.Zone] = list[:len(list)-1]
			break
		}
	}
	for a := range r.pending {
		b.countRack(a.task.Job, r.Rack, -1)
	}
}

// Hint replaces the room of a worker by what its ledger could still admit. Attempts that the agent had acknowledged
// before are contained in the hint, because messages of a session arrive in order.
func (b *Board) Hint(w ident.Worker, free sizes.Resources, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.workers[w]
	if r == nil {
		return
	}
	r.free, r.heard, r.leaving, r.full = free, true, leaving, false
	for _, p := range r.pending {
		if p.acked && !p.hinted {
			p.hinted = true
			r.held = r.held.Minus(p.size)
		}
	}
}

// Pick chooses a worker and reserves room on it, or reports that no worker has room now.
func (b *Board) Pick(q Request) (ident.Worker, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.zones[q.Zone]
	if len(list) == 0 {
		return "", false
	}
	now := time.Now()
	var best *room
	found := 0
	for i, at := 0, rand.IntN(len(list)); i < len(list) && found < sampleFits; i++ {
		r := list[(at+i)%len(list)]
		if !b.admits(r, q, now) {
			continue
		}
		found++
		if best == nil || b.isBetter(r, best, q) {
			best = r
		}
	}
	if best == nil {
		return "", false
	}
	best.pending[attempt{q.Task, q.Attempt}] = &reservation{size: q.Size}
	best.held = best.held.Plus(q.Size)
	b.countRack(q.Task.Job, best.Rack, 1)
	b.trust.chosen(best.Name, now)
	return best.Name, true
}

// admits reports whether a worker may get the task. Memory and accelerators, as all kinds, must fit into the hint less
// all reservations.
func (b *Board) admits(r *room, q Request, now time.Time) bool {
	return r.heard && !r.leaving && !r.full && q.Size.Fits(r.free.Minus(r.held)) &&
		b.trust.admits(r.Name, now) && q.IsReady(r.Name)
}

// isBetter prefers a worker on which the job has not failed, then the rack with fewer tasks of the job, then the worker
// with more free processors.
func (b *Board) isBetter(r, than *room, q Request) bool {
	failed := b.trust.jobs[q.Task.Job]
	if x, y := failed[r.Name], failed[than.Name]; x != y {
		return !x
	}
	counts := b.racks[q.Task.Job]
	if x, y := counts[r.Rack], counts[than.Rack]; x != y {
		return x < y
	}
	return r.free.Processors-r.held.Processors > than.free.Processors-than.held.Processors
}

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

// Acknowledged notes that the agent holds an attempt.
func (b *Board) Acknowledged(w ident.Worker, t ident.Task, n ident.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.workers[w]; r != nil {
		if p := r.pending[attempt{t, n}]; p != nil {
			p.acked = true
		}
	}
}

// Adopted notes an attempt that an earlier owner started and that the hints of the worker contain.
func (b *Board) Adopted(w ident.Worker, t ident.Task, n ident.Attempt, size sizes.Resources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.workers[w]
	if r == nil || r.pending[attempt{t, n}] != nil {
		return
	}
	r.pending[attempt{t, n}] = &reservation{size: size, acked: true, hinted: true}
	b.countRack(t.Job, r.Rack, 1)
}

// Ended frees the room of an attempt. Room that the hint had counted is added to the hint, so that it can be used before
// the next one.
func (b *Board) Ended(w ident.Worker, t ident.Task, n ident.Attempt, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.workers[w]
	if r == nil {
		return
	}
	p := r.pending[attempt{t, n}]
	if p == nil {
		return
	}
	delete(r.pending, attempt{t, n})
	b.countRack(t.Job, r.Rack, -1)
	if p.hinted {
		r.free = r.free.Plus(p.size)
	} else {
		r.held = r.held.Minus(p.size)
	}
	r.full = r.full || refused
}

// FitsSomewhere reports whether any worker of the zone is large enough for the size when it is empty; true while no
// worker is known.
func (b *Board) FitsSomewhere(zone ident.AvailabilityZone, size sizes.Resources) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.zones[zone] {
		if size.Fits(r.Means) {
			return true
		}
	}
	return len(b.zones[zone]) == 0
}
