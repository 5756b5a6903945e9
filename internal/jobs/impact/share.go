package impact

const (
	// LoadLimit is the expected load of a serving task above which best-effort tasks beside it are throttled. At this load
	// the tail latency of the serving task is well below its target.
	LoadLimit = 0.80
	// negligibleWeight is the weight below which a best-effort task is not throttled.
	negligibleWeight = 0.3
	minUse           = 0.001 // of a worker; avoids division by zero
	minReduction     = 0.001 // of a share; smaller reductions end the search
)

// Shares returns the share of full speed, from 0 to 1, at which each best-effort task may run so that they do not raise
// the expected load of any serving task above LoadLimit. Tasks with the largest weight are throttled first. bestEffort
// holds their use at full speed.
func (t *Table) Shares(serving []Serving, bestEffort []Load) []float64 {
	shares := make([]float64, len(bestEffort))
	for i := range shares {
		shares[i] = 1
	}
	for _, s := range serving {
		excess := s.Own - LoadLimit
		for i, b := range bestEffort {
			excess += t.Weight(Pair{s.Image, b.Image}) * b.Use * shares[i]
		}
		for excess > 0 {
			i, w := t.heaviest(s.Image, bestEffort, shares)
			if i < 0 {
				break
			}
			weight := w * max(minUse, bestEffort[i].Use)
			reduction := min(shares[i], excess/weight)
			shares[i] = max(0, shares[i]-reduction)
			excess -= reduction * weight
			if reduction < minReduction {
				break
			}
		}
	}
	return shares
}

// heaviest returns the running task with the largest weight, or -1 when all weights are negligible.
func (t *Table) heaviest(serving string, bestEffort []Load, shares []float64) (index int, weight float64) {
	index, weight = -1, negligibleWeight
	for i, b := range bestEffort {
		if w := t.Weight(Pair{serving, b.Image}); shares[i] > 0 && w > weight {
			index, weight = i, w
		}
	}
	return index, weight
}

// Headroom returns the share of full speed, from 0 to 1, at which one more best-effort task could run beside the
// serving tasks and the best-effort tasks in loads.
func (t *Table) Headroom(added Load, serving []Serving, loads []Load) float64 {
	headroom := 1.0
	for _, s := range serving {
		w := t.Weight(Pair{s.Image, added.Image})
		if w < negligibleWeight {
			continue
		}
		headroom = min(headroom, (LoadLimit-s.Own-t.Interference(s.Image, loads))/(w*max(minUse, added.Use)))
	}
	return max(0, headroom)
}
