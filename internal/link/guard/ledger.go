package guard

import (
	"net/netip"
	"time"
)

const (
	// progressHalfLife is the time in which the recent progress of a connection counts half.
	progressHalfLife = 500 * time.Millisecond
	// holderBytes is what a connection must hold to be closed before idle ones.
	holderBytes = 16 << 10
	// closingDivisor: connections that are being closed may hold a quarter of the budget before a holder is refused more.
	// Their memory is in use until their goroutines have run: 600 headers of 2,200 fields took 96 MiB of 64 without this.
	closingDivisor = 4
	// writeGrace is how long the write of a response may make no progress before its connection can be closed for others:
	// the caller of a job that has been stored would lose the response.
	writeGrace = 500 * time.Millisecond
)

// ID identifies an open connection of a Ledger.
type ID uint64

// Phase is what happens on a connection; phases can overlap. A connection without one waits for a request or for the rest
// of its header.
type Phase uint8

// Phases of a connection.
const (
	Handling Phase = 1 << iota // from the start of a handler until its response is written; see isBusy
	Reading                    // the process waits for bytes of a body
	Writing                    // the process waits for the client to read the response
)

// Ledger decides which connections to close when a limit is reached. It has no lock, network or clock.
type Ledger struct {
	limits    Limits
	accounts  []account
	free      []uint32 // indices of unused accounts
	byAddress map[netip.Addr]int
	open      int // connections that are open and not being closed
	held      int64
	closing   int64 // bytes of connections that have been chosen to be closed and have not ended
}

// account is the state of a connection.
type account struct {
	generation uint32
	isOpen     bool
	isClosing  bool // chosen to be closed, and no longer counted
	hasServed  bool // a request has been completed
	phases     Phase
	address    netip.Addr
	held       int64
	progress   int64     // bytes moved recently, halved each progressHalfLife
	halved     time.Time // of the last halving
	last       time.Time // of the last progress
	deadline   time.Time // for progress while Reading or Writing
}

// NewLedger returns a ledger without connections.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, byAddress: make(map[netip.Addr]int)}
}

// Len returns the number of open connections that have not been chosen to be closed.
func (l *Ledger) Len() int { return l.open }

// Held returns the bytes that are reserved.
func (l *Ledger) Held() int64 { return l.held }

// Open adds a connection, and returns those to close for it with the limit that was reached. If no other may be closed, it
// returns the new one.
func (l *Ledger) Open(address netip.Addr, now time.Time) (id ID, victims []ID, r Reason) {
	id = l.add(address, now)
	if l.byAddress[address] > l.limits.PerAddress {
		r = PerAddress
		victims = append(victims, l.closeIdlest(id, func(a *account) bool { return a.address == address }, now))
	}
	if l.open > l.limits.Connections {
		r = Connections
		victims = append(victims, l.closeIdlest(id, func(*account) bool { return true }, now))
	}
	return id, victims, r
}

func (l *Ledger) add(address netip.Addr, now time.Time) ID {
	i := uint32(len(l.accounts))
	if n := len(l.free); n > 0 {
		i = l.free[n-1]
		l.free = l.free[:n-1]
	} else {
		l.accounts = append(l.accounts, account{})
	}
	a := &l.accounts[i]
	*a = account{generation: a.generation + 1, isOpen: true, address: address, last: now, halved: now}
	l.open++
	l.byAddress[address]++
	return ID(a.generation)<<32 | ID(i)
}

// closeIdlest chooses the connection to close among those that matches accepts: a holder, else one that has served no
// request, else the one whose last progress is the longest ago. It chooses the connection id if there is no other.
func (l *Ledger) closeIdlest(id ID, matches func(*account) bool, now time.Time) ID {
	own := l.find(id)
	var worst *account
	victim := id
	for i := range l.accounts {
		a := &l.accounts[i]
		if a == own || !a.isOpen || a.isClosing || l.isBusy(a, now) || !matches(a) {
			continue
		}
		if worst == nil || a.isBefore(worst) {
			worst, victim = a, ID(a.generation)<<32|ID(i)
		}
	}
	l.discount(l.find(victim))
	return victim
}

// isBusy reports whether a request may have an effect whose response the client has not got, and does not wait for the client.
func (l *Ledger) isBusy(a *account, now time.Time) bool {
	if a.phases&Handling == 0 || a.phases&Reading != 0 {
		return false
	}
	return a.phases&Writing == 0 || now.Before(a.deadline.Add(writeGrace-l.limits.StallTimeout))
}

func (a *account) isBefore(b *account) bool {
	if x, y := a.held >= holderBytes, b.held >= holderBytes; x != y {
		return x
	} else if x && a.held != b.held {
		return a.held > b.held
	}
	if a.hasServed != b.hasServed {
		return b.hasServed
	}
	return a.last.Before(b.last)
}

// Reserve adds bytes that the connection holds, and returns the connections to close for them. If the connection id is
// itself the one that holds the most for its progress, it is the last of them, keeps its former bytes and is not closed: its
// request must be refused. So must that of a holder while too much is held by connections that are being closed.
func (l *Ledger) Reserve(id ID, bytes int64, now time.Time) []ID {
	own := l.find(id)
	if own == nil || own.isClosing {
		return []ID{id}
	}
	own.held += bytes
	l.held += bytes
	var victims []ID
	for l.held > l.limits.Bytes {
		i := l.heaviest(own, now)
		a := &l.accounts[i]
		victims = append(victims, ID(a.generation)<<32|ID(i))
		if a == own {
			own.held -= bytes
			l.held -= bytes
			break
		}
		l.discount(a)
	}
	if len(victims) > 0 && victims[len(victims)-1] == id {
		return victims
	}
	if own.held >= holderBytes && l.held+l.closing > l.limits.Bytes+l.limits.Bytes/closingDivisor {
		own.held -= bytes
		l.held -= bytes
		victims = append(victims, id)
	}
	return victims
}

// heaviest returns the index of the connection that holds the most for its recent progress; own is a candidate even if this
// process handles its request.
func (l *Ledger) heaviest(own *account, now time.Time) int {
	best, most := -1, -1.0
	for i := range l.accounts {
		a := &l.accounts[i]
		if !a.isOpen || a.isClosing || a.held == 0 || a != own && l.isBusy(a, now) {
			continue
		}
		if w := a.weight(now); w > most {
			best, most = i, w
		}
	}
	return best
}

// weight is the held bytes divided by the recent progress. holderBytes in the divisor keeps a connection that has barely
// begun below one that holds more, even if only the latter progresses.
func (a *account) weight(now time.Time) float64 {
	return float64(a.held) / float64(a.recent(now)+holderBytes)
}

func (a *account) recent(now time.Time) int64 {
	return a.progress >> min(a.halvings(now), 62)
}

func (a *account) halvings(now time.Time) time.Duration {
	return max(0, now.Sub(a.halved)/progressHalfLife)
}

// Progress records bytes that the client has sent or read.
func (l *Ledger) Progress(id ID, bytes int64, now time.Time) {
	if a := l.find(id); a != nil {
		a.progress = a.recent(now) + bytes
		a.halved = a.halved.Add(a.halvings(now) * progressHalfLife)
		a.last = now
		a.deadline = now.Add(l.limits.StallTimeout)
	}
}

// Enter begins a phase. The time without progress begins anew.
func (l *Ledger) Enter(id ID, p Phase, now time.Time) {
	if a := l.find(id); a != nil {
		a.phases |= p
		a.deadline = now.Add(l.limits.StallTimeout)
	}
}

// Leave ends a phase.
func (l *Ledger) Leave(id ID, p Phase) {
	if a := l.find(id); a != nil {
		a.phases &^= p
	}
}

// Release removes bytes that the connection no longer holds, at most those that Complete has left.
func (l *Ledger) Release(id ID, bytes int64) {
	if a := l.find(id); a != nil && !a.isClosing {
		bytes = min(bytes, a.held)
		a.held -= bytes
		l.held -= bytes
	}
}

// Complete records that a handler has returned, and removes all bytes that the connection holds. The phase Handling goes on
// until the response is written.
func (l *Ledger) Complete(id ID, now time.Time) {
	if a := l.find(id); a != nil && !a.isClosing {
		l.held -= a.held
		a.held, a.hasServed, a.phases, a.last = 0, true, a.phases&^Reading, now
	}
}

// Stalled returns the connections to close since no byte of a body or response has moved for the stall timeout.
func (l *Ledger) Stalled(now time.Time) []ID {
	var victims []ID
	for i := range l.accounts {
		a := &l.accounts[i]
		if a.isOpen && !a.isClosing && a.phases&(Reading|Writing) != 0 && now.After(a.deadline) {
			l.discount(a)
			victims = append(victims, ID(a.generation)<<32|ID(i))
		}
	}
	return victims
}

// Close removes a connection that has ended.
func (l *Ledger) Close(id ID) {
	a := l.find(id)
	if a == nil {
		return
	}
	if !a.isClosing {
		l.discount(a)
	}
	l.closing -= a.held
	a.isOpen = false
	l.free = append(l.free, uint32(id))
}

// discount stops counting a connection.
func (l *Ledger) discount(a *account) {
	a.isClosing = true
	l.open--
	l.held -= a.held
	l.closing += a.held
	if l.byAddress[a.address]--; l.byAddress[a.address] == 0 {
		delete(l.byAddress, a.address)
	}
}

func (l *Ledger) find(id ID) *account {
	i := int(uint32(id))
	if i >= len(l.accounts) || !l.accounts[i].isOpen || l.accounts[i].generation != uint32(id>>32) {
		return nil
	}
	return &l.accounts[i]
}
