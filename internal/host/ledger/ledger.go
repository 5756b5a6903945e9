package ledger

import (
	"sync"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Holder identifies the owner of a reservation, for example "task/JOB/3" or "request/ID".
type Holder string

// Ledger tracks the reserved and used resources of one worker; it is safe for concurrent use.
//
// A new ledger admits nothing until Rebuild has recorded what the worker already runs, so that a restarted agent cannot
// reserve resources that are in use.
type Ledger struct {
	mu       sync.Mutex
	rebuilt  bool
	capacity sizes.Resources
	reserved sizes.Resources // sum of all reservations
	excess   sizes.Resources // sum of the usage above the reservations
	accounts map[Holder]account
}

type account struct {
	reserved sizes.Resources
	used     sizes.Resources // highest usage reported
}

func (a account) excess() sizes.Resources { return a.used.Max(a.reserved).Minus(a.reserved) }

// New returns an empty ledger for a worker with the given capacity.
func New(capacity sizes.Resources) *Ledger {
	return &Ledger{capacity: capacity, accounts: make(map[Holder]account)}
}

// Rebuild replaces all reservations by those of the tasks that the worker reports, and enables admission.
func (l *Ledger) Rebuild(reserved map[Holder]sizes.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved, l.excess = sizes.Resources{}, sizes.Resources{}
	l.accounts = make(map[Holder]account, len(reserved))
	for h, r := range reserved {
		l.accounts[h] = account{reserved: r}
		l.reserved = l.reserved.Plus(r)
	}
	l.rebuilt = true
}

// Reserve reserves need for h if it fits into the free capacity; it reports false otherwise, for a negative need, and
// for a holder that already has a reservation.
func (l *Ledger) Reserve(h Holder, need sizes.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.accounts[h]; ok || !l.rebuilt || need.IsNegative() || !need.Fits(l.free()) {
		return false
	}
	l.accounts[h] = account{reserved: need}
	l.reserved = l.reserved.Plus(need)
	return true
}

// Release removes the reservation of h and reports whether there was one.
func (l *Ledger) Release(h Holder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[h]
	if !ok {
		return false
	}
	delete(l.accounts, h)
	l.reserved = l.reserved.Minus(a.reserved)
	l.excess = l.excess.Minus(a.excess())
	return true
}

// Observe records the measured usage of h. Usage above the reservation reduces the free capacity until h is released,
// so that a task that declares too little blocks further admissions instead of overcommitting the worker.
func (l *Ledger) Observe(h Holder, used sizes.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[h]
	if !ok {
		return
	}
	l.excess = l.excess.Minus(a.excess())
	a.used = a.used.Max(used)
	l.excess = l.excess.Plus(a.excess())
	l.accounts[h] = a
}

// free returns the capacity that is neither reserved nor used. A resource that is used beyond the capacity counts as
// zero, and only requests that need none of it are admitted.
func (l *Ledger) free() sizes.Resources {
	return l.capacity.Minus(l.reserved).Minus(l.excess).Max(sizes.Resources{})
}

// Free returns the capacity that can still be reserved; zero before Rebuild.
func (l *Ledger) Free() sizes.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.rebuilt {
		return sizes.Resources{}
	}
	return l.free()
}

// Reserved returns the sum of all reservations.
func (l *Ledger) Reserved() sizes.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved
}

// Capacity returns the total resources of the worker.
func (l *Ledger) Capacity() sizes.Resources { return l.capacity }

// Overused returns the usage above the capacity, for each resource; all zero when the worker is within its capacity.
func (l *Ledger) Overused() sizes.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved.Plus(l.excess).Minus(l.capacity).Max(sizes.Resources{})
}
