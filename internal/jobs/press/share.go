package press

const (
	// Limit is the load up to which a serving task may be expected; its tail is then well below its target.
	Limit = 0.80
	// idleWeight is the weight below which a task that fills is not held responsible.
	idleWeight = 0.3
	leastUse   = 0.001
	leastGive  = 0.001 // of a share, that a step of the search must change
)

// Shares returns how much each task that fills may work, from 0 to 1, so that no serving task is expected above Limit
// through them; the heaviest give way first. Fills holds their use at full work.
func (t *Table) Shares(serving []Serving, fills []Load) []float64 {
	shares := make([]float64, len(fills))
	for i := range shares {
		shares[i] = 1
	}
	for _, s := range serving {
		over := s.Own - Limit
		for i, f := range fills {
			over += t.Weight(Pair{s.Image, f.Image}) * f.Use * shares[i]
		}
		for over > 0 {
			i, w := t.heaviest(s.Image, fills, shares)
			if i < 0 {
				break
			}
			weight := w * max(leastUse, fills[i].Use)
			give := min(shares[i], over/weight)
			shares[i] = max(0, shares[i]-give)
			over -= give * weight
			if give < leastGive {
				break
			}
		}
	}
	return shares
}

// heaviest returns the task with the largest weight that still works, or -1 when none is held responsible.
func (t *Table) heaviest(serving string, fills []Load, shares []float64) (worst int, heavy float64) {
	worst, heavy = -1, idleWeight
	for i, f := range fills {
		if w := t.Weight(Pair{serving, f.Image}); shares[i] > 0 && w > heavy {
			worst, heavy = i, w
		}
	}
	return worst, heavy
}

// Room returns how much one more task that fills may work beside serving tasks and other tasks that fill.
func (t *Table) Room(fill Load, serving []Serving, loads []Load) float64 {
	room := 1.0
	for _, s := range serving {
		w := t.Weight(Pair{s.Image, fill.Image})
		if w < idleWeight {
			continue
		}
		room = min(room, (Limit-s.Own-t.Pressed(s.Image, loads))/(w*max(leastUse, fill.Use)))
	}
	return max(0, room)
}
