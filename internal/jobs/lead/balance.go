package lead

import (
	"math"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	servingUse = 0.6  // of its processors that a serving task uses, about
	tellChange = 0.15 // relative change of a weight after which an agent is told again
	tellFloor  = 0.1  // absolute change below which it is not
	atWork     = 100  // percent of a serving task that is at work
	ownSmooth  = 0.1  // weight of the newest sample in the mean load of a serving task
	firstOwn   = 0.5  // load of a serving task before its first sample
	unknownOwn = -1.0
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
		loads = append(loads, press.Load{Image: r.step.Image, Use: w.use(int64(s.Figure))})
	}
	t.learnServing(w, m, loads, now)
	t.tellPress(w)
}

// learnServing takes the figures of the serving tasks beside loads.
func (t *Term) learnServing(w *worker, m *wire.RunReport, loads []press.Load, now time.Time) {
	longest := 0.0
	samples := make(map[*press.Forecast]*sample)
	for i := range m.Running {
		s := &m.Running[i]
		r := w.runs[s.Run]
		if r == nil || r.step.Target == 0 || s.Percent < atWork || s.Figure <= 0 {
			continue
		}
		tail := float64(s.Figure) / float64(r.step.Target)
		longest = max(longest, tail)
		if tail >= stuckTail {
			continue // nothing about loads
		}
		f := t.forecastOf(r)
		own, doubt := r.own, press.SmoothDoubt
		if v, ok := f.At(now); ok {
			own, doubt = v, press.ForecastDoubt
		}
		if !r.served {
			own, r.served = unknownOwn, true
		}
		r.own = t.press.Observe(r.step.Image, tail, own, doubt, loads)
		r.ownMean += ownSmooth * (r.own - r.ownMean)
		a := samples[f]
		if a == nil {
			a = &sample{}
			samples[f] = a
		}
		a.add(t.press.Own(r.step.Image, tail, loads))
	}
	w.noteTail(longest, now)
	for f, a := range samples {
		f.Add(now, a.load/a.sure, min(1, a.sure))
	}
}

// sample is the mean load of the serving tasks of a step on a worker, weighed by how sure each is.
type sample struct {
	load, sure float64
}

func (a *sample) add(load, sure float64) {
	a.load += load * sure
	a.sure += sure
}

// forecastOf returns the forecast of the loads of the tasks of a run's step.
func (t *Term) forecastOf(r *run) *press.Forecast {
	_, step := r.job.locate(r.ordinal)
	if r.job.forecasts == nil {
		r.job.forecasts = make(map[int]*press.Forecast)
	}
	f := r.job.forecasts[step]
	if f == nil {
		f = press.NewForecast(t.period)
		r.job.forecasts[step] = f
	}
	return f
}

// tellPress tells an agent the weights of the pairs of images on its worker that have changed.
func (t *Term) tellPress(w *worker) {
	if w.serving == 0 || w.filling == 0 {
		return
	}
	if w.pressed == nil || len(w.pressed) >= press.MaxPairs {
		w.pressed = make(map[press.Pair]float64)
	}
	for _, s := range w.runs {
		if s.step.Target == 0 {
			continue
		}
		for _, f := range w.runs {
			if !f.step.Fills {
				continue
			}
			p := press.Pair{Serving: s.step.Image, Filling: f.step.Image}
			v := t.press.Weight(p)
			told, ok := w.pressed[p]
			if ok && math.Abs(v-told) < max(tellFloor, tellChange*told) {
				continue
			}
			w.pressed[p] = v
			o := w.outgoing()
			o.Press = append(o.Press, wire.PressWeight{Serving: p.Serving, Filling: p.Filling, Weight: v})
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
			s := press.Serving{Image: r.step.Image, Own: firstOwn}
			if r.served {
				s.Own = max(r.own, r.ownMean)
			}
			serving = append(serving, s)
		case r.step.Fills:
			loads = append(loads, press.Load{Image: r.step.Image, Use: w.use(r.step.Size.Processors)})
		}
	}
	return min(speed, t.press.Room(press.Load{Image: image, Use: w.use(processors)}, serving, loads))
}

// use returns what a number of processors is of the worker's capacity.
func (w *worker) use(processors int64) float64 {
	return float64(processors) / float64(max(1, w.state.Capacity.Processors))
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
