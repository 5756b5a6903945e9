package press

import (
	"maps"
	"math"
)

const (
	figureError = 0.16  // standard deviation of the load that a figure tells
	maxError    = 2.5   // standard deviations that one figure counts at most, since single figures are rough
	forgetting  = 0.997 // of what earlier figures told, for each new one
	ownStep     = 0.35  // of the error of a figure that goes into a serving task's own load
	ownUse      = 0.15  // load of tasks that fill at which half of that remains
	fullLoad    = 0.98  // load that figures tell at most
	firstFloor  = 0.16  // tail of an idle serving task as a share of its target, before lower ones are seen
	leastFloor  = 0.02
	hintTrust   = 3.0 // of a hint against the first shares, for a weight that differs by a factor of e
	hintBlur    = 0.4 // weights that differ by less than this are alike
)

// steps are the weights that an image may have, and the share of images that have each before any figure.
var steps = [...]struct{ weight, share float64 }{
	{0, 0.2}, {0.5, 0.25}, {1, 0.2}, {2, 0.15}, {4, 0.15}, {8, 0.05},
}

// Load is what a task that fills uses of the processors of its worker, from 0 to 1.
type Load struct {
	Image string
	Use   float64
}

// Table holds what was learned. A serving task is modeled as a queue: its tail is that of an idle task divided by what
// is left of its load, and its load is its own and, for each task that fills beside it, the weight of its image times its
// use.
type Table struct {
	weights map[string]float64              // expected weight by image of tasks that fill
	belief  map[string]*[len(steps)]float64 // logarithms of the likelihood of each weight
	floors  map[string]float64              // tail of an idle serving task as a share of its target, by image
}

// NewTable returns a table that has learned nothing.
func NewTable() *Table {
	return &Table{
		weights: make(map[string]float64), belief: make(map[string]*[len(steps)]float64),
		floors: make(map[string]float64),
	}
}

// Weight returns the expected weight of an image of tasks that fill.
func (t *Table) Weight(image string) float64 {
	if w, ok := t.weights[image]; ok {
		return w
	}
	var none [len(steps)]float64
	return mean(&none)
}

// Set replaces the weight of an image.
func (t *Table) Set(image string, w float64) { t.weights[image] = w }

// Hint takes a weight that was learned elsewhere as a first belief; what is known here already counts more.
func (t *Table) Hint(image string, w float64) {
	if t.belief[image] != nil {
		return
	}
	b := &[len(steps)]float64{}
	for i, s := range steps {
		d := math.Log((s.weight + hintBlur) / (w + hintBlur))
		b[i] = -hintTrust * d * d
	}
	t.belief[image] = b
	t.weights[image] = mean(b)
}

// Known returns the weights that were learned or told.
func (t *Table) Known() map[string]float64 { return maps.Clone(t.weights) }

// mean returns the expected weight under a belief.
func mean(b *[len(steps)]float64) float64 {
	top := math.Inf(-1)
	for _, l := range b {
		top = max(top, l)
	}
	var sum, norm float64
	for i, s := range steps {
		p := s.share * math.Exp(b[i]-top)
		sum += p * s.weight
		norm += p
	}
	return sum / norm
}

// Busy returns the load of a serving task whose tail is a share of its target, from 0 to below 1.
func (t *Table) Busy(serving string, tail float64) float64 {
	floor, ok := t.floors[serving]
	if !ok {
		floor = firstFloor
	}
	if tail < floor {
		floor = max(leastFloor, tail)
		t.floors[serving] = floor
	}
	return min(fullLoad, max(0, 1-floor/max(tail, leastFloor)))
}

// Pressed returns the load that tasks which fill put on serving tasks.
func (t *Table) Pressed(loads []Load) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += t.Weight(l.Image) * l.Use
	}
	return sum
}

// Observe learns from the tail of a serving task, as a share of its target, beside loads. Own is the load that it is
// expected to have without them, negative when unknown; the result is the new expectation.
func (t *Table) Observe(serving string, tail, own float64, loads []Load) float64 {
	if tail <= 0 {
		return own
	}
	busy := t.Busy(serving, tail)
	pressed := t.Pressed(loads)
	if own < 0 {
		return max(0, min(1, busy-pressed))
	}
	uses := make(map[string]float64, len(loads))
	for _, l := range loads {
		uses[l.Image] += l.Use
	}
	for image, use := range uses {
		t.learn(image, use, busy, own+pressed-t.Weight(image)*use)
	}
	e := busy - own - pressed
	return max(0, min(1, own+ownStep*e*ownUse/(ownUse+pressed)))
}

// learn weighs the steps of an image by how well they explain the load of a serving task beside other loads.
func (t *Table) learn(image string, use, busy, others float64) {
	b := t.belief[image]
	if b == nil {
		b = &[len(steps)]float64{}
		t.belief[image] = b
	}
	top := math.Inf(-1)
	for i, s := range steps {
		e := min(maxError, math.Abs(busy-min(fullLoad, others+s.weight*use))/figureError)
		b[i] = b[i]*forgetting - e*e/2
		top = max(top, b[i])
	}
	for i := range b {
		b[i] -= top
	}
	t.weights[image] = mean(b)
}
