package check

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/demo/inproc"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// Each seeded fault disables one mechanism, so that the scenario must report a broken promise.
const (
	BreakClaims  = "claims"  // each entry uses a claim store of its own
	BreakLeases  = "leases"  // workers receive lease deadlines that are an hour too late
	BreakLeaving = "leaving" // leaving targets keep announcing that they are ready
	BreakLedger  = "ledger"  // agents see more slots than their workers have
)

// Breaks lists the names of the seeded faults.
func Breaks() []string { return []string{BreakClaims, BreakLeases, BreakLeaving, BreakLedger} }

// Seed adds the named fault to the options of the demonstration; an empty name adds none.
func Seed(o *inproc.Options, name string) error {
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

const deadlineShift = time.Hour

// lateDeadlines adds deadlineShift to every lease deadline.
type lateDeadlines struct{ worker.Platform }

// Start implements worker.Platform.
func (p lateDeadlines) Start(ctx context.Context, s worker.Start) error {
	s.Deadline = s.Deadline.Add(deadlineShift)
	return p.Platform.Start(ctx, s)
}

// Renew implements worker.Platform.
func (p lateDeadlines) Renew(ctx context.Context, list []worker.Renewal) ([]worker.Ref, error) {
	late := make([]worker.Renewal, len(list))
	for i, r := range list {
		late[i] = worker.Renewal{Ref: r.Ref, Deadline: r.Deadline.Add(deadlineShift)}
	}
	return p.Platform.Renew(ctx, late)
}

// moreSlots reports ten times the slots that the worker has.
type moreSlots struct{ worker.Platform }

// Describe implements worker.Platform.
func (p moreSlots) Describe(ctx context.Context) (worker.Info, error) {
	info, err := p.Platform.Describe(ctx)
	info.Total.Slots *= 10
	return info, err
}
