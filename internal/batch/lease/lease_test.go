package lease_test

import (
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/batch/lease"
)

// Guards against a wait that ends before the worker's deadline when the worker's clock runs 1% slower than the owner's.
func TestWaitsCoverSlowClock(t *testing.T) {
	terms := lease.Default()
	t0 := time.Now()
	// A worker whose clock is 0.99% slow reaches its deadline after lease/0.9901 on the owner's clock.
	slow := func(d time.Duration) time.Time { return t0.Add(time.Duration(float64(d) / 0.9901)) }
	for _, c := range []struct {
		name  string
		ends  time.Time
		lease time.Duration
	}{
		{"grant", terms.AfterGrant(t0), terms.Agent},
		{"handed over", terms.AfterTakeover(t0, true), terms.Agent},
		{"not handed over", terms.AfterTakeover(t0, false), terms.Owner + terms.Agent},
	} {
		if c.ends.Before(slow(c.lease)) {
			t.Errorf("%s: wait ends %v early", c.name, slow(c.lease).Sub(c.ends))
		}
	}
}

// Guards against a lease that is shortened by a late response to an older request, or is valid after its end.
func TestOwnerLease(t *testing.T) {
	t0 := time.Now()
	terms := lease.Terms{Owner: time.Minute}
	o := lease.NewOwner(terms, t0)
	o.Confirm(t0.Add(30 * time.Second))
	o.Confirm(t0.Add(10 * time.Second))
	if !o.IsValid(t0.Add(89 * time.Second)) {
		t.Error("an older request shortened the lease")
	}
	if o.IsValid(t0.Add(90 * time.Second)) {
		t.Error("the lease is valid at its end")
	}
	o.End()
	if o.IsValid(t0) {
		t.Error("the lease is valid after End")
	}
}
