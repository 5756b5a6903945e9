package lead

import (
	"cmp"
	"slices"
)

// startGang starts all tasks of a gang together with the same run number, or none; it reports false if they do not fit.
func (t *Term) startGang(c stepContext, ready []int, count int) bool {
	if len(ready) < count {
		return true // members that are still running must end first
	}
	racks := []string{""}
	if c.spec().OneRack {
		racks = t.racks()
	}
	for _, rack := range racks {
		if chosen := t.placeGang(c, ready, rack); chosen != nil {
			t.startMembers(c, ready, chosen)
			return true
		}
	}
	return false
}

// racks returns the racks, those with the most free processors first, followed by the empty name for any rack.
func (t *Term) racks() []string {
	free := make(map[string]int64)
	for _, w := range t.workers {
		if w.acceptsRuns() {
			free[w.state.Rack] += w.free().Processors
		}
	}
	list := make([]string, 0, len(free)+1)
	for r := range free {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b))
	})
	return append(list, "")
}

// placeGang returns a worker on a rack, or on any rack if rack is empty, for each member; nil if the gang does not fit.
// Until it returns, temporary runs reserve the capacity of the members placed so far.
func (t *Term) placeGang(c stepContext, ready []int, rack string) []*worker {
	var placed []*run
	defer func() {
		for _, r := range placed {
			r.worker.remove(r)
		}
	}()
	c.rack = rack
	p := t.newPlacement(c, len(ready))
	chosen := make([]*worker, 0, len(ready))
	for _, i := range ready {
		w := p.pick(&c.job.tasks[i])
		if w == nil {
			return nil
		}
		r := &run{job: c.job, ordinal: i, step: c.spec(), worker: w}
		r.key.Task, r.key.Number = c.job.taskID(i).String(), -1
		w.add(r)
		placed = append(placed, r)
		p.update(w)
		chosen = append(chosen, w)
	}
	return chosen
}

// startMembers starts the members of a gang with the same run number and checkpoint.
func (t *Term) startMembers(c stepContext, ready []int, chosen []*worker) {
	number := 0
	checkpoint := ""
	for _, i := range ready {
		task := &c.job.tasks[i]
		number = max(number, t.nextNumber(task))
		if task.checkpoint > checkpoint {
			checkpoint = task.checkpoint
		}
	}
	for n, i := range ready {
		c.job.tasks[i].checkpoint = checkpoint
		t.startNumbered(c.job, i, chosen[n], c.ticket(chosen[n]), number, c.now)
	}
}
