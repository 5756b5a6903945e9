package fcast

import (
	"slices"
	"time"
)

// Recent counts the work that an entry has accepted and that its forecast does not include yet.
type Recent struct {
	items []*Accepted
	sums  map[class]float64
}

type class struct {
	pool     Pool
	priority int
}

// Accepted is a job that an entry accepts.
type Accepted struct {
	class    class
	work     float64
	storedAt time.Time // zero while it is being stored
}

// Add counts a job that is being stored.
func (r *Recent) Add(a *Ask) *Accepted {
	if r.sums == nil {
		r.sums = make(map[class]float64)
	}
	i := &Accepted{class: class{a.Pool, a.Priority}, work: a.Work}
	r.items = append(r.items, i)
	r.sums[i.class] += i.work
	return i
}

// Stored records when the leader was notified of a job, or that the job was not stored.
func (r *Recent) Stored(i *Accepted, at time.Time) { i.storedAt = at }

// Forget removes the jobs of which the leader was notified before a forecast was computed.
func (r *Recent) Forget(computed time.Time) {
	r.items = slices.DeleteFunc(r.items, func(i *Accepted) bool {
		return !i.storedAt.IsZero() && i.storedAt.Before(computed)
	})
	clear(r.sums) // computed anew, so that rounding errors do not add up
	for _, i := range r.items {
		r.sums[i.class] += i.work
	}
}

// Work returns the counted work of a pool at a priority and above.
func (r *Recent) Work(p Pool, priority int) float64 {
	work := 0.0
	for c, w := range r.sums {
		if c.pool == p && c.priority <= priority {
			work += w
		}
	}
	return work
}
