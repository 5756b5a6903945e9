package lead

import (
	"container/list"
	"math/rand/v2"
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// fleet orders the workers of a cell so that a placement looks at a bounded number of them.
type fleet struct {
	shuffled []*worker // in random order, so that neighbors do not share a rack
	cursor   int       // start of the next sample in shuffled
	random   *rand.Rand
	byID     map[string]*worker // by ID of the worker's incarnation
	recent   *list.List         // workers by their last change, the newest first
	changes  uint64             // number of the last change
	outbox   []*worker          // workers with commands or acknowledgements for the next flush
}

func newFleet(seed uint64) *fleet {
	return &fleet{random: rand.New(rand.NewPCG(seed, 0)), byID: make(map[string]*worker), recent: list.New()}
}

// add adds a worker at a random position.
func (f *fleet) add(w *worker) {
	w.fleet, w.index = f, len(f.shuffled)
	f.shuffled = append(f.shuffled, w)
	f.swap(w.index, f.random.IntN(len(f.shuffled)))
	w.element = f.recent.PushFront(w)
	f.touch(w)
}

// remove removes a worker.
func (f *fleet) remove(w *worker) {
	last := len(f.shuffled) - 1
	f.swap(w.index, last)
	f.shuffled[last] = nil
	f.shuffled = f.shuffled[:last]
	f.recent.Remove(w.element)
	if f.byID[w.state.Incarnation.ID] == w {
		delete(f.byID, w.state.Incarnation.ID)
	}
}

// rename records a new incarnation of a worker.
func (f *fleet) rename(w *worker, id string) {
	if f.byID[w.state.Incarnation.ID] == w {
		delete(f.byID, w.state.Incarnation.ID)
	}
	f.byID[id] = w
}

func (f *fleet) swap(i, k int) {
	f.shuffled[i], f.shuffled[k] = f.shuffled[k], f.shuffled[i]
	f.shuffled[i].index, f.shuffled[k].index = i, k
}

// touch records that a worker may accept runs that it did not accept before.
func (f *fleet) touch(w *worker) {
	f.changes++
	w.change = f.changes
	f.recent.MoveToFront(w.element)
}

// changedSince returns the workers that have changed after the change with a given number.
func (f *fleet) changedSince(change uint64) []*worker {
	var found []*worker
	for e := f.recent.Front(); e != nil; e = e.Next() {
		w := e.Value.(*worker)
		if w.change <= change {
			break
		}
		found = append(found, w)
	}
	return found
}

// sample returns n workers, or all if there are fewer. Consecutive samples rotate through the fleet.
func (f *fleet) sample(n int) []*worker {
	if n >= len(f.shuffled) {
		return f.shuffled
	}
	f.cursor = (f.cursor + n) % len(f.shuffled)
	end := f.cursor + n
	if end <= len(f.shuffled) {
		return f.shuffled[f.cursor:end]
	}
	return append(slices.Clone(f.shuffled[f.cursor:]), f.shuffled[:end-len(f.shuffled)]...)
}

// others returns the workers that are not in the last sample, which had n workers.
func (f *fleet) others(n int) []*worker {
	if n >= len(f.shuffled) {
		return nil
	}
	end := f.cursor + n
	if end > len(f.shuffled) {
		return f.shuffled[end-len(f.shuffled) : f.cursor]
	}
	return append(slices.Clone(f.shuffled[:f.cursor]), f.shuffled[end:]...)
}

// ticketed returns the workers for which the policy service has issued tickets.
func (f *fleet) ticketed(tickets map[string]string) []*worker {
	found := make([]*worker, 0, len(tickets))
	for id := range tickets {
		if w := f.byID[id]; w != nil {
			found = append(found, w)
		}
	}
	return found
}

// workerSet identifies the workers of a service with a label, or all of them if the label is empty.
type workerSet struct {
	service, label string
}

// largestWorkers returns the largest amount of each resource that a worker has, by set of workers.
func (t *Term) largestWorkers() map[workerSet]sizes.Resources {
	found := make(map[workerSet]sizes.Resources)
	for _, w := range t.workers {
		if !w.synced {
			continue
		}
		add := func(label string) {
			k := workerSet{w.state.Service, label}
			found[k] = found[k].Max(w.state.Capacity)
		}
		add("")
		for _, l := range w.state.Labels {
			add(l)
		}
	}
	return found
}
