package lead

import (
	"math"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	servingUse  = 0.6  // of its processors that a serving task uses, about
	tellChange  = 0.15 // relative change of a weight after which an agent is told again
	tellFloor   = 0.1  // absolute change below which it is not
	atWork      = 100  // percent of a serving task that is at work
	pressedSize = 24   // weights told in one order at most
)

// learn takes the figures of a complete report.
func (t *Term) learn(w *worker, m *wire.RunReport, now time.Time) {
	var loads []press.Load
	for i := range m.Running {
		s := &m.Running[i]
		r := w.runs[s.Run]
		if r == nil || !r.step.Fills || r.step.Size.Processors == 0 {
			continue
		}
		r.note(min(1, float64(s.Figure)/float64(r.step.Size.Processors)), s.Percent, now)
		loads = append(loads, press.Load{Image: r.step.Image, Share: r.share})
	}
	for i := range m.Running {
		s := &m.Running[i]
		r := w.runs[s.Run]
		if r == nil || r.step.Target == 0 || s.Percent < atWork {
			continue
		}
		r.base = t.press.Observe(r.step.Image, float64(s.Figure)/float64(r.step.Target), r.base, loads)
	}
	t.tellPress(w)
}

// tellPress tells an agent the weights of the images on its worker that have changed.
func (t *Term) tellPress(w *worker) {
	if w.serving == 0 || w.filling == 0 {
		return
	}
	if w.pressed == nil {
		w.pressed = make(map[press.Pair]float64)
	}
	for _, f := range w.runs {
		if !f.step.Fills {
			continue
		}
		for _, s := range w.runs {
			if s.step.Target == 0 {
				continue
			}
			p := press.Pair{Fill: f.step.Image, Serving: s.step.Image}
			v := t.press.Weight(p)
			told, ok := w.pressed[p]
			if ok && math.Abs(v-told) < max(tellFloor, tellChange*told) {
				continue
			}
			w.pressed[p] = v
			o := w.outgoing()
			o.Press = append(o.Press, wire.PressWeight{Fill: p.Fill, Serving: p.Serving, Weight: v})
			if len(o.Press) == pressedSize {
				return
			}
		}
	}
}

// fillSpeed estimates the share of its full speed that one more task that fills gets on a worker.
func (t *Term) fillSpeed(w *worker, image string, processors int64) float64 {
	left, wanted := w.leftover()
	speed := min(1, max(0, float64(left)/float64(max(1, wanted+processors))))
	if w.serving == 0 {
		return speed
	}
	var serving []press.Serving
	var loads []press.Load
	for _, r := range w.runs {
		switch {
		case r.step.Target > 0:
			serving = append(serving, press.Serving{Image: r.step.Image, Base: r.base})
		case r.step.Fills:
			share := r.share
			if !r.listed {
				share = 1
			}
			loads = append(loads, press.Load{Image: r.step.Image, Share: share})
		}
	}
	return min(speed, t.press.Room(image, serving, loads))
}

// leftover returns the processors that the tasks which fill share, and what these want together.
func (w *worker) leftover() (left, wanted int64) {
	left = w.state.Capacity.Processors
	for _, r := range w.runs {
		switch {
		case r.step.Fills:
			wanted += r.step.Size.Processors
		case r.step.Target > 0:
			left -= int64(servingUse * float64(r.step.Size.Processors))
		default:
			left -= r.step.Size.Processors
		}
	}
	return left, wanted
}
