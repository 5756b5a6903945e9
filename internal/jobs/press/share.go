package press

const (
	// Limit is the load up to which a serving task may be expected; its tail is then well below its target.
	Limit = 0.75
	// idleWeight is the weight below which a task that fills is not held responsible.
	idleWeight = 0.3
	leastUse   = 0.001
)

// Shares returns how much each task that fills may work, from 0 to 1, so that no serving task is expected above Limit
// through them; the heaviest give way first. Own holds the loads of the serving tasks without them, fills their use at
// full work.
func (t *Table) Shares(own []float64, fills []Load) []float64 {
	shares := make([]float64, len(fills))
	for i := range shares {
		shares[i] = 1
	}
	if len(own) == 0 {
		return shares
	}
	busiest := 0.0
	for _, o := range own {
		busiest = max(busiest, o)
	}
	over := busiest + t.Pressed(fills) - Limit
	for over > 0 {
		heaviest := t.heaviest(fills, shares)
		if heaviest < 0 {
			break
		}
		f := fills[heaviest]
		weight := t.Weight(f.Image) * max(leastUse, f.Use)
		give := min(shares[heaviest], over/weight)
		shares[heaviest] -= give
		over -= give * weight
		if give == 0 {
			break
		}
	}
	return shares
}

// heaviest returns the task with the largest weight that still works, or -1 when none is held responsible.
func (t *Table) heaviest(fills []Load, shares []float64) int {
	worst, heavy := -1, idleWeight
	for i, f := range fills {
		if w := t.Weight(f.Image); shares[i] > 0 && w > heavy {
			worst, heavy = i, w
		}
	}
	return worst
}

// Room returns how much one more task that fills may work beside serving tasks and other tasks that fill.
func (t *Table) Room(fill Load, own []float64, loads []Load) float64 {
	w := t.Weight(fill.Image)
	if w < idleWeight || len(own) == 0 {
		return 1
	}
	busiest := 0.0
	for _, o := range own {
		busiest = max(busiest, o)
	}
	return min(1, max(0, (Limit-busiest-t.Pressed(loads))/(w*max(leastUse, fill.Use))))
}
