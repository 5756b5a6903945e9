package press

const (
	// Limit is the share of its target up to which the tail of a serving task may be expected.
	Limit = 0.8
	// idleWeight is the weight below which a task that fills is not held responsible.
	idleWeight = 0.1
	rounds     = 8 // reductions that one call considers for each serving task
)

// Serving is a serving task as a worker sees it.
type Serving struct {
	Image string
	Base  float64 // tail without tasks that fill, as a share of the target
}

// Shares returns how much each task that fills may work, from 0 to 1, so that no serving task is expected above Limit
// through them.
func (t *Table) Shares(serving []Serving, fills []string) []float64 {
	shares := make([]float64, len(fills))
	for i := range shares {
		shares[i] = 1
	}
	for _, s := range serving {
		if s.Base <= 0 {
			continue
		}
		for range rounds {
			over := 1 - Limit/s.Base
			worst, heavy := -1, 0.0
			for i, image := range fills {
				w := t.Weight(Pair{image, s.Image})
				over += w * shares[i]
				if w >= idleWeight && w*shares[i] > heavy {
					worst, heavy = i, w*shares[i]
				}
			}
			if over <= 0 || worst < 0 {
				break
			}
			w := t.Weight(Pair{fills[worst], s.Image})
			shares[worst] = max(0, shares[worst]-over/w)
		}
	}
	return shares
}

// Room returns how much one more task of an image that fills may work beside serving tasks and other loads.
func (t *Table) Room(image string, serving []Serving, loads []Load) float64 {
	room := 1.0
	for _, s := range serving {
		w := t.Weight(Pair{image, s.Image})
		if s.Base <= 0 || w < idleWeight {
			continue
		}
		room = min(room, max(0, (Limit/s.Base-t.Factor(s.Image, loads))/w))
	}
	return room
}
