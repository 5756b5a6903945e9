package owner

import (
	"context"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Totals sums up the jobs whose home partitions this entry owns.
type Totals struct {
	Jobs     int
	Finished int
	Counts   wire.Counts
}

// Totals returns the sums as far as the partitions reply before ctx ends. They are what this owner knows, without a proof
// from the store.
func (o *Owner) Totals(ctx context.Context) Totals {
	list := o.owned()
	replies := make(chan Totals, len(list))
	asked := 0
	for _, p := range list {
		if p.inbox.TryPut(func() { replies <- p.totals() }) {
			asked++
		}
	}
	var sum Totals
	for range asked {
		select {
		case t := <-replies:
			sum.add(t)
		case <-ctx.Done():
			return sum
		}
	}
	return sum
}

func (t *Totals) add(o Totals) {
	t.Jobs += o.Jobs
	t.Finished += o.Finished
	t.Counts.Queued += o.Counts.Queued
	t.Counts.Running += o.Counts.Running
	t.Counts.Done += o.Counts.Done
	t.Counts.Failed += o.Counts.Failed
	t.Counts.Cancelled += o.Counts.Cancelled
	t.Counts.Evictions += o.Counts.Evictions
}

func (p *partition) totals() Totals {
	var sum Totals
	for id, j := range p.state.Jobs() {
		st := p.status(id, j)
		one := Totals{Jobs: 1, Counts: wire.Counts{
			Queued: st.Queued, Running: st.Running, Done: st.Done, Failed: st.Failed, Cancelled: st.Cancelled,
			Evictions: st.Evictions,
		}}
		if st.Finished {
			one.Finished = 1
		}
		sum.add(one)
	}
	return sum
}
