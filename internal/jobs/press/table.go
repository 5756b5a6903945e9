package press

import "math"

const (
	firstWeight = 1.5  // of a pair that was not seen yet
	maxWeight   = 15.0 // of any pair
	weightStep  = 0.35 // of the error of a sample that goes into the weights
	baseStep    = 0.12 // of the error of a sample that goes into the base
	errorLimit  = 4.0  // a larger error counts as this, since single figures are rough
	minShare    = 0.15 // of a task that fills below which a sample tells little of it
)

// Pair is an image of tasks that fill and an image of serving tasks.
type Pair struct {
	Fill    string
	Serving string
}

// Load is the share of its full work that a task of an image does.
type Load struct {
	Image string
	Share float64
}

// Table holds the learned weights: a task that fills, at full work, multiplies the tail of a serving task by 1 plus the
// weight of the pair.
type Table struct {
	weights map[Pair]float64
	version map[Pair]uint64
	changes uint64
}

// NewTable returns a table that has learned nothing.
func NewTable() *Table {
	return &Table{weights: make(map[Pair]float64), version: make(map[Pair]uint64)}
}

// Weight returns the weight of a pair.
func (t *Table) Weight(p Pair) float64 {
	if w, ok := t.weights[p]; ok {
		return w
	}
	return firstWeight
}

// Set replaces the weight of a pair.
func (t *Table) Set(p Pair, w float64) {
	t.changes++
	t.weights[p], t.version[p] = w, t.changes
}

// Factor returns by how much loads multiply the tail of a serving task.
func (t *Table) Factor(serving string, loads []Load) float64 {
	f := 1.0
	for _, l := range loads {
		f += t.Weight(Pair{l.Image, serving}) * l.Share
	}
	return f
}

// Observe learns from the tail of a serving task, as a share of its target, beside loads. Base is the tail expected
// without them, 0 when unknown; the returned base is the new expectation.
func (t *Table) Observe(serving string, tail, base float64, loads []Load) float64 {
	if tail <= 0 {
		return base
	}
	factor := t.Factor(serving, loads)
	if base <= 0 {
		return tail / factor
	}
	e := min(errorLimit, max(-errorLimit, tail/base-factor))
	norm := 0.3
	for _, l := range loads {
		norm += l.Share * l.Share
	}
	for _, l := range loads {
		if l.Share < minShare {
			continue
		}
		p := Pair{l.Image, serving}
		t.Set(p, min(maxWeight, max(0, t.Weight(p)+weightStep*e*l.Share/norm)))
	}
	return base * math.Exp(baseStep*e/factor)
}

// Mean returns the mean weight of an image of tasks that fill over the serving images that it was seen beside.
func (t *Table) Mean(fill string) float64 {
	sum, n := 0.0, 0
	for p, w := range t.weights {
		if p.Fill == fill {
			sum += w
			n++
		}
	}
	if n == 0 {
		return firstWeight
	}
	return sum / float64(n)
}
