package ledger

import (
	"sync"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Holder identifies what holds a reservation, for example "task/JOB/3" or "request/ID".
type Holder string

// Ledger accounts for all resources of one worker; it is safe for concurrent use.
//
// A new ledger admits nothing until Rebuild has told it what the worker already runs, so that a restarted agent cannot
// give away resources that are in use.
type Ledger struct {
	mu     sync.Mutex
	open   bool
	means  sizes.Resources
	given  sizes.Resources // sum of all reservations
	excess sizes.Resources // sum of the usage above reservations
	held   map[Holder]account
}

type account struct {
	reserved sizes.Resources
	used     sizes.Resources // highest usage reported
}

func (a account) excess() sizes.Resources { return a.used.Max(a.reserved).Minus(a.reserved) }

// New returns a ledger for a worker that has means.
func New(means sizes.Resources) *Ledger {
	return &Ledger{means: means, held: make(map[Holder]account)}
}

// Rebuild replaces all reservations by what the worker reports to run, and opens the ledger for admission.
func (l *Ledger) Rebuild(held map[Holder]sizes.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given, l.excess = sizes.Resources{}, sizes.Resources{}
	l.held = make(map[Holder]account, len(held))
	for h, r := range held {
		l.held[h] = account{reserved: r}
		l.given = l.given.Plus(r)
	}
	l.open = true
}

// Reserve gives need to h if everything fits beside what is given and used; it reports false otherwise, for a negative
// need, and for a holder that has a reservation.
func (l *Ledger) Reserve(h Holder, need sizes.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.held[h]; ok || !l.open || need.IsNegative() || !need.Fits(l.free()) {
		return false
	}
	l.held[h] = account{reserved: need}
	l.given = l.given.Plus(need)
	return true
}

// Release ends the reservation of h and reports whether there was one.
func (l *Ledger) Release(h Holder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.held[h]
	if !ok {
		return false
	}
	delete(l.held, h)
	l.given = l.given.Minus(a.reserved)
	l.excess = l.excess.Minus(a.excess())
	return true
}

// Observe records measured usage of h. Usage above the reservation counts as taken until h is released, so that a
// wrong declaration keeps others out instead of overfilling the worker.
func (l *Ledger) Observe(h Holder, used sizes.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.held[h]
	if !ok {
		return
	}
	l.excess = l.excess.Minus(a.excess())
	a.used = a.used.Max(used)
	l.excess = l.excess.Plus(a.excess())
	l.held[h] = a
}

// free is what could still be given; a kind that is used up beyond the means counts as zero or less and admits only
// requests that need none of it.
func (l *Ledger) free() sizes.Resources {
	return l.means.Minus(l.given).Minus(l.excess).Max(sizes.Resources{})
}

// Free returns what could still be given; nothing before Rebuild.
func (l *Ledger) Free() sizes.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return sizes.Resources{}
	}
	return l.free()
}

// Given returns the sum of all reservations.
func (l *Ledger) Given() sizes.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.given
}

// Means returns what the worker has.
func (l *Ledger) Means() sizes.Resources { return l.means }

// Overused returns the usage above the means, kind by kind; all zero when the worker is within its means.
func (l *Ledger) Overused() sizes.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.given.Plus(l.excess).Minus(l.means).Max(sizes.Resources{})
}
