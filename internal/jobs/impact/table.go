package impact

import "math"

const (
	// MaxPairs is the maximum number of image pairs in a table; callers choose image names, so the table needs a bound.
	MaxPairs    = 4096
	sampleError = 0.06 // standard deviation of the load derived from one sample
	// SmoothedStdDev is the standard deviation of a load that is smoothed over the last samples.
	SmoothedStdDev = 0.15
	// ForecastStdDev is the standard deviation of a load that a Forecast predicts.
	ForecastStdDev     = 0.07
	maxResidual        = 2.5   // standard deviations at which a residual is clipped, because single samples are noisy
	forgettingFactor   = 0.997 // of the log-likelihood from earlier samples, per new sample
	ownLearningRate    = 0.35  // share of the error of a sample by which a serving task's own load is corrected
	halfConfidenceLoad = 0.15  // interference at which the confidence in a serving task's own load is one half
	maxLoad            = 0.98  // highest load that is derived from a tail latency
	initialFloor       = 0.16  // tail latency of an idle serving task as a share of its target, before a lower one is seen
	minFloor           = 0.02
	hintStrength       = 3.0 // decrease of the log-likelihood of a candidate that differs from a hint by a factor of e
	// typicalStrength is the same for the typical weight of an image, from which its pairs without samples start.
	typicalStrength  = 0.5
	weightResolution = 0.4 // weights that differ by less are treated as similar
)

// candidates are the possible weights of a pair, each with its prior probability.
var candidates = [...]struct{ weight, prior float64 }{
	{0, 0.3}, {0.3, 0.12}, {0.7, 0.13}, {1.2, 0.18}, {2, 0.15}, {3.5, 0.09}, {7, 0.03},
}

// priorWeight is the expected weight of a pair without samples.
var priorWeight = mean(&likelihood{})

// Load is a best-effort task: its image, and the share of its worker's processors that it uses, from 0 to 1.
type Load struct {
	Image string
	Use   float64
}

// Serving is a serving task: its image, and its load without interference from best-effort tasks, from 0 to 1.
type Serving struct {
	Image string
	Own   float64
}

// Pair is an image of serving tasks and an image of best-effort tasks on the same worker.
type Pair struct {
	Serving, BestEffort string
}

// total is the sum of the weights of several pairs and their number.
type total struct {
	weight float64
	pairs  int
}

// likelihood holds the log-likelihood of each candidate weight.
type likelihood [len(candidates)]float64

// Table holds the learned weights of image pairs. A serving task is modeled as a queue: its tail latency is that of an
// idle task divided by 1 - load. Its load is its own load plus, for each best-effort task on the worker, the weight of
// the two images times the use of the best-effort task.
type Table struct {
	weights     map[Pair]float64  // expected value under the likelihood
	totals      map[string]*total // of the weights, by best-effort image
	likelihoods map[Pair]*likelihood
	floors      map[string]float64 // tail latency of an idle serving task as a share of its target, by image
}

// NewTable returns a table without weights.
func NewTable() *Table {
	return &Table{
		weights: make(map[Pair]float64), totals: make(map[string]*total), likelihoods: make(map[Pair]*likelihood),
		floors: make(map[string]float64),
	}
}

// Weight returns the expected weight of a pair of images, or the typical weight of the best-effort image.
func (t *Table) Weight(p Pair) float64 {
	if w, ok := t.weights[p]; ok {
		return w
	}
	return t.Typical(p.BestEffort)
}

// Typical returns the expected weight of a best-effort image averaged over serving images; the mean of the priors
// counts as one of them.
func (t *Table) Typical(bestEffort string) float64 {
	if sum := t.totals[bestEffort]; sum != nil {
		return (priorWeight + sum.weight) / float64(1+sum.pairs)
	}
	return priorWeight
}

// Set replaces the weight of a pair. A full table is cleared first, so that only pairs still in use are learned again.
func (t *Table) Set(p Pair, w float64) {
	if _, ok := t.weights[p]; !ok && len(t.weights) >= MaxPairs {
		clear(t.weights)
		clear(t.totals)
		clear(t.likelihoods)
	}
	sum := t.totals[p.BestEffort]
	if sum == nil {
		sum = &total{}
		t.totals[p.BestEffort] = sum
	}
	if old, ok := t.weights[p]; ok {
		sum.weight -= old
	} else {
		sum.pairs++
	}
	sum.weight += w
	t.weights[p] = w
}

// Hint uses a weight learned elsewhere as the prior of a pair, unless the table already has a likelihood for it.
func (t *Table) Hint(p Pair, w float64) {
	if t.likelihoods[p] == nil {
		t.setPrior(p, w, hintStrength)
	}
}

// setPrior sets the initial likelihood of a pair to favor weights close to w.
func (t *Table) setPrior(p Pair, w, strength float64) *likelihood {
	l := &likelihood{}
	for i, c := range candidates {
		d := math.Log((c.weight + weightResolution) / (w + weightResolution))
		l[i] = -strength * d * d
	}
	t.Set(p, mean(l))
	t.likelihoods[p] = l
	return l
}

// mean returns the expected weight under a likelihood and the priors.
func mean(l *likelihood) float64 {
	top := math.Inf(-1)
	for _, v := range l {
		top = max(top, v)
	}
	var sum, norm float64
	for i, c := range candidates {
		p := c.prior * math.Exp(l[i]-top)
		sum += p * c.weight
		norm += p
	}
	return sum / norm
}

// ServingLoad returns the load, from 0 to below 1, of a serving task whose tail latency is a share of its target. A
// tail below the stored floor of the image lowers the floor.
func (t *Table) ServingLoad(serving string, tail float64) float64 {
	floor, ok := t.floors[serving]
	if !ok {
		floor = initialFloor
	}
	if tail < floor {
		floor = max(minFloor, tail)
		if len(t.floors) >= MaxPairs {
			clear(t.floors)
		}
		t.floors[serving] = floor
	}
	return min(maxLoad, max(0, 1-floor/max(tail, minFloor)))
}

// Interference returns the load that best-effort tasks add to a serving task of an image.
func (t *Table) Interference(serving string, loads []Load) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += t.Weight(Pair{serving, l.Image}) * l.Use
	}
	return sum
}

// Observe updates the weights from the tail latency of a serving task, as a share of its target, measured beside loads.
// own is its estimated load without them, negative when unknown, and stdDev the standard deviation of that estimate. It
// returns the new estimate of the own load.
func (t *Table) Observe(serving string, tail, own, stdDev float64, loads []Load) float64 {
	if tail <= 0 {
		return own
	}
	load := t.ServingLoad(serving, tail)
	interference := t.Interference(serving, loads)
	if own < 0 {
		return max(0, min(1, load-interference))
	}
	residualStdDev := math.Hypot(sampleError, stdDev)
	uses := make(map[string]float64, len(loads))
	for _, l := range loads {
		uses[l.Image] += l.Use
	}
	for image, use := range uses {
		p := Pair{serving, image}
		t.learn(p, use, load, own+interference-t.Weight(p)*use, residualStdDev)
	}
	e := load - own - interference
	return max(0, min(1, own+ownLearningRate*e*ownConfidence(interference)))
}

// Own returns the load of a serving task without interference, derived from its newest tail latency alone, and the
// confidence in it, from 0 to 1.
func (t *Table) Own(serving string, tail float64, loads []Load) (own, confidence float64) {
	interference := t.Interference(serving, loads)
	return max(0, t.ServingLoad(serving, tail)-interference), ownConfidence(interference)
}

// ownConfidence returns the confidence, from 0 to 1, in an own load measured under interference.
func ownConfidence(interference float64) float64 {
	return halfConfidenceLoad / (halfConfidenceLoad + interference)
}

// learn updates the likelihood of a pair by how well each candidate weight explains the load of a serving task, given
// its load from other causes.
func (t *Table) learn(p Pair, use, load, others, residualStdDev float64) {
	l := t.likelihoods[p]
	if l == nil {
		l = t.setPrior(p, t.Typical(p.BestEffort), typicalStrength)
	}
	top := math.Inf(-1)
	for i, c := range candidates {
		e := min(maxResidual, math.Abs(load-min(maxLoad, others+c.weight*use))/residualStdDev)
		l[i] = l[i]*forgettingFactor - e*e/2
		top = max(top, l[i])
	}
	for i := range l {
		l[i] -= top
	}
	t.Set(p, mean(l))
}
