package owner

import (
	"context"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Totals contains the numbers of jobs and tasks in the home partitions that this entry owns.
type Totals struct {
	Jobs     int
	Finished int
	Counts   wire.Counts
}

// Totals returns the totals of the partitions that reply before ctx ends; they may be out of date, since this entry
// does not verify that it still owns the partitions.
func (o *Owner) Totals(ctx context.Context) Totals {
	list := o.owned()
	replies := make(chan Totals, len(list))
	pending := 0
	for _, p := range list {
		if p.inbox.TryPut(func() { replies <- p.totals() }) {
			pending++
		}
	}
	var total Totals
	for range pending {
		select {
		case t := <-replies:
			total.add(t)
		case <-ctx.Done():
			return total
		}
	}
	return total
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
	var total Totals
	for id, j := range p.state.Jobs() {
		st := p.status(id, j)
		one := Totals{Jobs: 1, Counts: wire.Counts{
			Queued: st.Queued, Running: st.Running, Done: st.Done, Failed: st.Failed, Cancelled: st.Cancelled,
			Evictions: st.Evictions,
		}}
		if st.Finished {
			one.Finished = 1
		}
		total.add(one)
	}
	return total
}
