package press

import (
	"maps"
	"math"
)

const (
	// MaxPairs is the number of pairs of images that a table keeps; callers name images as they like.
	MaxPairs    = 4096
	figureError = 0.06 // standard deviation of the load that a figure tells
	// SmoothDoubt is the standard deviation of a load that is only the smoothed one of the last figures.
	SmoothDoubt = 0.15
	// ForecastDoubt is the standard deviation of a load that a Forecast gives.
	ForecastDoubt = 0.07
	maxError      = 2.5   // standard deviations that one figure counts at most, since single figures are rough
	forgetting    = 0.997 // of what earlier figures told, for each new one
	ownStep       = 0.35  // of the error of a figure that goes into a serving task's own load
	ownUse        = 0.15  // load of tasks that fill at which half of that remains
	fullLoad      = 0.98  // load that figures tell at most
	firstFloor    = 0.16  // tail of an idle serving task as a share of its target, before lower ones are seen
	leastFloor    = 0.02
	hintTrust     = 3.0 // of a hint against the first shares, for a weight that differs by a factor of e
	// typicalTrust is that of the typical weight of an image for its pairs without figures.
	typicalTrust = 0.5
	hintBlur     = 0.4 // weights that differ by less than this are alike
)

// steps are the weights that an image may have, and the share of images that have each before any figure.
var steps = [...]struct{ weight, share float64 }{
	{0, 0.3}, {0.3, 0.12}, {0.7, 0.13}, {1.2, 0.18}, {2, 0.15}, {3.5, 0.09}, {7, 0.03},
}

// Load is what a task that fills uses of the processors of its worker, from 0 to 1.
type Load struct {
	Image string
	Use   float64
}

// Serving is a serving task: its image, and its load without the tasks that fill, from 0 to 1.
type Serving struct {
	Image string
	Own   float64
}

// Pair is an image of serving tasks and one of tasks that fill beside them.
type Pair struct {
	Serving, Filling string
}

// sum is that of the weights of several pairs.
type sum struct {
	weight float64
	pairs  int
}

// belief holds the logarithms of the likelihood of each weight.
type belief [len(steps)]float64

// Table holds what was learned. A serving task is modeled as a queue: its tail is that of an idle task divided by what
// is left of its load, and its load is its own and, for each task that fills beside it, the weight of the two images times
// the use of the task that fills.
type Table struct {
	weights map[Pair]float64 // expected
	typical map[string]*sum  // of the weights, by image of tasks that fill
	beliefs map[Pair]*belief
	floors  map[string]float64 // tail of an idle serving task as a share of its target, by image
}

// NewTable returns a table that has learned nothing.
func NewTable() *Table {
	return &Table{
		weights: make(map[Pair]float64), typical: make(map[string]*sum), beliefs: make(map[Pair]*belief),
		floors: make(map[string]float64),
	}
}

// Weight returns the expected weight of a pair of images.
func (t *Table) Weight(p Pair) float64 {
	if w, ok := t.weights[p]; ok {
		return w
	}
	return t.Typical(p.Filling)
}

// Typical returns the expected weight of an image of tasks that fill beside serving tasks of any image.
func (t *Table) Typical(filling string) float64 {
	first := mean(&belief{})
	if s := t.typical[filling]; s != nil {
		return (first + s.weight) / float64(1+s.pairs)
	}
	return first
}

// Set replaces the weight of a pair. A full table begins again, since only pairs in use are learned anew.
func (t *Table) Set(p Pair, w float64) {
	if _, ok := t.weights[p]; !ok && len(t.weights) >= MaxPairs {
		clear(t.weights)
		clear(t.typical)
		clear(t.beliefs)
	}
	s := t.typical[p.Filling]
	if s == nil {
		s = &sum{}
		t.typical[p.Filling] = s
	}
	if old, ok := t.weights[p]; ok {
		s.weight -= old
	} else {
		s.pairs++
	}
	s.weight += w
	t.weights[p] = w
}

// Hint takes a weight that was learned elsewhere as a first belief; what is known here already counts more.
func (t *Table) Hint(p Pair, w float64) {
	if t.beliefs[p] == nil {
		t.expect(p, w, hintTrust)
	}
}

// expect sets the first belief in the weight of a pair.
func (t *Table) expect(p Pair, w, trust float64) *belief {
	b := &belief{}
	for i, s := range steps {
		d := math.Log((s.weight + hintBlur) / (w + hintBlur))
		b[i] = -trust * d * d
	}
	t.Set(p, mean(b))
	t.beliefs[p] = b
	return b
}

// Known returns the weights that were learned or told.
func (t *Table) Known() map[Pair]float64 { return maps.Clone(t.weights) }

// mean returns the expected weight under a belief.
func mean(b *belief) float64 {
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
		if len(t.floors) >= MaxPairs {
			clear(t.floors)
		}
		t.floors[serving] = floor
	}
	return min(fullLoad, max(0, 1-floor/max(tail, leastFloor)))
}

// Pressed returns the load that tasks which fill put on serving tasks of an image.
func (t *Table) Pressed(serving string, loads []Load) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += t.Weight(Pair{serving, l.Image}) * l.Use
	}
	return sum
}

// Observe learns from the tail of a serving task, as a share of its target, beside loads. Own is the load that it is
// expected to have without them, negative when unknown, and doubt its standard deviation; the result is the new
// expectation.
func (t *Table) Observe(serving string, tail, own, doubt float64, loads []Load) float64 {
	if tail <= 0 {
		return own
	}
	busy := t.Busy(serving, tail)
	pressed := t.Pressed(serving, loads)
	if own < 0 {
		return max(0, min(1, busy-pressed))
	}
	deviation := math.Hypot(figureError, doubt)
	uses := make(map[string]float64, len(loads))
	for _, l := range loads {
		uses[l.Image] += l.Use
	}
	for image, use := range uses {
		p := Pair{serving, image}
		t.learn(p, use, busy, own+pressed-t.Weight(p)*use, deviation)
	}
	e := busy - own - pressed
	return max(0, min(1, own+ownStep*e*sureness(pressed)))
}

// Own returns the load that a serving task has without the tasks that fill, by its newest tail alone, and how sure that is,
// from 0 to 1.
func (t *Table) Own(serving string, tail float64, loads []Load) (own, sure float64) {
	pressed := t.Pressed(serving, loads)
	return max(0, t.Busy(serving, tail)-pressed), sureness(pressed)
}

func sureness(pressed float64) float64 { return ownUse / (ownUse + pressed) }

// learn weighs the steps of a pair by how well they explain the load of a serving task beside other loads.
func (t *Table) learn(p Pair, use, busy, others, deviation float64) {
	b := t.beliefs[p]
	if b == nil {
		b = t.expect(p, t.Typical(p.Filling), typicalTrust)
	}
	top := math.Inf(-1)
	for i, s := range steps {
		e := min(maxError, math.Abs(busy-min(fullLoad, others+s.weight*use))/deviation)
		b[i] = b[i]*forgetting - e*e/2
		top = max(top, b[i])
	}
	for i := range b {
		b[i] -= top
	}
	t.Set(p, mean(b))
}
