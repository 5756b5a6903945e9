package lease

import (
	"sync"
	"time"
)

// Terms are the lengths of the leases.
type Terms struct {
	Owner time.Duration // from the send time of the last store request that confirmed the head row
	Agent time.Duration // from the time at which the agent sent the heartbeat that was answered
}

// Source provides the terms, which change with the configuration.
type Source interface {
	// GrantTerms returns the terms of new grants.
	GrantTerms() Terms
	// MaxTerms returns the longest terms under which any process of the deployment may still hold a lease. Waiting for
	// shorter terms could restart a task that is still running.
	MaxTerms() Terms
}

// GrantTerms implements Source for terms that never change.
func (t Terms) GrantTerms() Terms { return t }

// MaxTerms implements Source for terms that never change.
func (t Terms) MaxTerms() Terms { return t }

// Default returns the default terms.
func Default() Terms { return Terms{Owner: 15 * time.Minute, Agent: 20 * time.Second} }

// marginDivisor is the ratio of a wait to the margin added to it for clocks that run at different rates. A margin of 1%
// is far above the 500 ppm to which operating systems slew a clock.
const marginDivisor = 100

func withMargin(d time.Duration) time.Duration { return d + d/marginDivisor }

// GrantedUntil returns the deadline of a grant for a heartbeat that the agent sent at sentAt, both in ns of the agent's
// clock.
func (t Terms) GrantedUntil(sentAt int64) int64 { return sentAt + int64(t.Agent) }

// AfterGrant returns the time from which a grant made at the given time has expired on the agent's clock.
func (t Terms) AfterGrant(granted time.Time) time.Time { return granted.Add(withMargin(t.Agent)) }

// AfterTakeover returns the time from which all grants of the previous owner have expired. swapped is a time after the
// compare-and-swap of the head row; handedOver means that the previous owner had stopped granting before.
func (t Terms) AfterTakeover(swapped time.Time, handedOver bool) time.Time {
	if handedOver {
		return swapped.Add(withMargin(t.Agent))
	}
	return swapped.Add(withMargin(t.Owner + t.Agent))
}

// Owner is the lease under which an owner grants agent leases; it is safe for concurrent use.
type Owner struct {
	terms Source

	mu    sync.Mutex
	until time.Time
	ended bool
}

// NewOwner returns a lease that was confirmed by a store request sent at the given time.
func NewOwner(s Source, sent time.Time) *Owner {
	return &Owner{terms: s, until: sent.Add(s.GrantTerms().Owner)}
}

// Confirm extends the lease after a response to a request sent at the given time that confirmed ownership.
func (o *Owner) Confirm(sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if u := sent.Add(o.terms.GrantTerms().Owner); u.After(o.until) {
		o.until = u
	}
}

// End ends the lease permanently; the owner may not grant afterwards.
func (o *Owner) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
}

// IsValid reports whether the owner may grant at the given time.
func (o *Owner) IsValid(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ended && now.Before(o.until)
}
