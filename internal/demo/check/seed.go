package check

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/demo/whole"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// A seeded fault takes one mechanism away, so that the scenario must find a promise broken.
const (
	BreakClaims  = "claims"  // each entry keeps its claims for itself
	BreakLeases  = "leases"  // workers get lease deadlines an hour too late
	BreakLeaving = "leaving" // targets that leave go on announcing that they are ready
	BreakLedger  = "ledger"  // agents believe that their workers have more slots than they have
)

// Breaks lists the names of the seeded faults.
func Breaks() []string { return []string{BreakClaims, BreakLeases, BreakLeaving, BreakLedger} }

// Seed adds the named fault to the options of the demonstration; an empty name adds none.
func Seed(o *whole.Options, name string) error {
	switch name {
	case "":
	case BreakClaims:
		o.ClaimStore = func(string) table.Store { return store.New(store.Options{}) }
	case BreakLeases:
		o.Worker = func(_ string, p worker.Platform) worker.Platform { return lateDeadlines{p} }
	case BreakLeaving:
		o.IgnoreLeave = true
	case BreakLedger:
		o.Worker = func(_ string, p worker.Platform) worker.Platform { return moreSlots{p} }
	default:
		return errors.Newf("unknown fault %q; use one of %s", name, strings.Join(Breaks(), ", "))
	}
	return nil
}

const tooLate = time.Hour

// lateDeadlines passes lease deadlines on an hour late.
type lateDeadlines struct{ worker.Platform }

// Start implements worker.Platform.
func (p lateDeadlines) Start(ctx context.Context, s worker.Start) error {
	s.Deadline = s.Deadline.Add(tooLate)
	return p.Platform.Start(ctx, s)
}

// Renew implements worker.Platform.
func (p lateDeadlines) Renew(ctx context.Context, list []worker.Renewal) ([]worker.Ref, error) {
	late := make([]worker.Renewal, len(list))
	for i, r := range list {
		late[i] = worker.Renewal{Ref: r.Ref, Deadline: r.Deadline.Add(tooLate)}
	}
	return p.Platform.Renew(ctx, late)
}

// moreSlots tells of ten times the slots that the worker has.
type moreSlots struct{ worker.Platform }

// Means implements worker.Platform.
func (p moreSlots) Means(ctx context.Context) (worker.Means, error) {
	m, err := p.Platform.Means(ctx)
	m.Total.Slots *= 10
	return m, err
}
