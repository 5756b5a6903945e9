package lead

import (
	"math"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	servingUse        = 0.6  // share of its requested processors that a serving task typically uses
	minRelativeChange = 0.15 // relative change of a weight below which it is not sent again
	minAbsoluteChange = 0.1  // absolute change of a weight below which it is not sent again
	servingReady      = 100  // percent at which a serving task handles requests
	ownLoadSmoothing  = 0.1  // weight of the newest sample in the mean own load
	defaultOwnLoad    = 0.5  // own load of a serving task before its first sample
	unknownOwnLoad    = -1.0 // own load of a serving task that has no sample yet
	forecastPoints    = 3    // at which a forecast is evaluated

	// forecastHorizon is the time ahead for which a best-effort task must find spare load, about a typical run time.
	forecastHorizon = 3 * time.Second
)

// recordMeasurements records the processor use and tail latencies of a complete report, and sends the agent the
// interference weights that have changed.
func (t *Term) recordMeasurements(w *worker, m *wire.RunReport, now time.Time) {
	var loads []impact.Load
	for i := range m.Running {
		s := &m.Running[i]
		r := w.runs[s.Run]
		if r == nil || !r.step.BestEffort || r.step.Size.Processors == 0 {
			continue
		}
		r.recordShare(min(1, float64(s.Measurement)/float64(r.step.Size.Processors)), s.Percent, now)
		loads = append(loads, impact.Load{Image: r.step.Image, Use: w.capacityShare(int64(s.Measurement))})
	}
	t.recordServing(w, m, loads, now)
	w.pressure = nil
	t.sendWeights(w)
}

// recordServing updates the interference table, the own loads and the load forecasts from the tail latencies of the
// serving tasks on a worker, which run beside the best-effort loads.
func (t *Term) recordServing(w *worker, m *wire.RunReport, loads []impact.Load, now time.Time) {
	maxTail := 0.0
	samples := make(map[*impact.Forecast]*loadSample)
	for i := range m.Running {
		s := &m.Running[i]
		r := w.runs[s.Run]
		if r == nil || r.step.Target == 0 || s.Percent < servingReady || s.Measurement <= 0 {
			continue
		}
		tail := float64(s.Measurement) / float64(r.step.Target)
		maxTail = max(maxTail, tail)
		if tail >= stallTailRatio {
			continue // the task is stalled, so its tail does not reflect load
		}
		f := t.forecastOf(r)
		ownLoad, uncertainty := r.ownLoad, impact.SmoothedStdDev
		if v, ok := f.At(now); ok {
			ownLoad, uncertainty = v, impact.ForecastStdDev
		}
		if !r.measured {
			ownLoad, r.measured = unknownOwnLoad, true
		}
		r.ownLoad = t.interference.Observe(r.step.Image, tail, ownLoad, uncertainty, loads)
		r.meanOwnLoad += ownLoadSmoothing * (r.ownLoad - r.meanOwnLoad)
		a := samples[f]
		if a == nil {
			a = &loadSample{}
			samples[f] = a
		}
		a.add(t.interference.Own(r.step.Image, tail, loads))
	}
	w.recordTail(maxTail, now)
	for f, a := range samples {
		f.Add(now, a.load/a.confidence, min(1, a.confidence))
	}
}

// loadSample sums the loads of a step's serving tasks on a worker, each weighted by its confidence.
type loadSample struct {
	load, confidence float64
}

func (a *loadSample) add(load, confidence float64) {
	a.load += load * confidence
	a.confidence += confidence
}

// forecastOf returns the load forecast of a run's step and creates it on first use.
func (t *Term) forecastOf(r *run) *impact.Forecast {
	_, step := r.job.locate(r.ordinal)
	if r.job.forecasts == nil {
		r.job.forecasts = make(map[int]*impact.Forecast)
	}
	f := r.job.forecasts[step]
	if f == nil {
		f = impact.NewForecast(t.loadPeriod)
		r.job.forecasts[step] = f
	}
	return f
}

// sendWeights sends an agent the interference weights of the image pairs on its worker that are new or have changed
// by at least minRelativeChange and minAbsoluteChange.
func (t *Term) sendWeights(w *worker) {
	if w.serving == 0 || w.bestEffort == 0 {
		return
	}
	if w.sentWeights == nil || len(w.sentWeights) >= impact.MaxPairs {
		w.sentWeights = make(map[impact.Pair]float64)
	}
	for _, s := range w.runs {
		if s.step.Target == 0 {
			continue
		}
		for _, f := range w.runs {
			if !f.step.BestEffort {
				continue
			}
			p := impact.Pair{Serving: s.step.Image, BestEffort: f.step.Image}
			v := t.interference.Weight(p)
			sent, ok := w.sentWeights[p]
			if ok && math.Abs(v-sent) < max(minAbsoluteChange, minRelativeChange*sent) {
				continue
			}
			w.sentWeights[p] = v
			o := w.outgoing()
			o.Interference = append(o.Interference, wire.InterferenceWeight{
				Serving: p.Serving, BestEffort: p.BestEffort, Weight: v,
			})
		}
	}
}

// pressure summarizes the runs on a worker for the choice of workers for best-effort tasks.
type pressure struct {
	left, wanted int64            // see sumLeftover
	unused       int64            // see unusedOn; negative if not computed
	serving      []impact.Serving // of the serving runs; the own load includes the interference of the best-effort runs
}

// bestEffortSpeed estimates the share of full speed, from 0 to 1, at which one more best-effort task would run on a
// worker.
func (t *Term) bestEffortSpeed(w *worker, image string, processors int64) float64 {
	p := t.pressureOn(w)
	speed := min(1, max(0, float64(p.left)/float64(max(1, p.wanted+processors))))
	return min(speed, t.interference.Headroom(impact.Load{Image: image, Use: w.capacityShare(processors)}, p.serving, nil))
}

// pressureOn returns the pressure on a worker, as of its last change.
func (t *Term) pressureOn(w *worker) *pressure {
	if w.pressure != nil {
		return w.pressure
	}
	now := time.Now()
	p := &pressure{unused: -1, serving: make([]impact.Serving, 0, w.serving)}
	p.left, p.wanted = w.sumLeftover()
	loads := make([]impact.Load, 0, w.bestEffort)
	for _, r := range w.runs {
		if r.step.BestEffort {
			loads = append(loads, impact.Load{Image: r.step.Image, Use: w.capacityShare(r.step.Size.Processors)})
		}
	}
	for _, r := range w.runs {
		if r.step.Target == 0 {
			continue
		}
		own := defaultOwnLoad
		if r.measured {
			own = t.expectedOwnLoad(r, now)
		}
		p.serving = append(p.serving, impact.Serving{
			Image: r.step.Image, Own: own + t.interference.Interference(r.step.Image, loads),
		})
	}
	w.pressure = p
	return p
}

// expectedOwnLoad returns the highest load without interference that a serving run is expected to have until the end of
// forecastHorizon: its newest load or a forecast, and its mean load while there is no forecast.
func (t *Term) expectedOwnLoad(r *run, now time.Time) float64 {
	f := t.forecastOf(r)
	own := r.ownLoad
	for i := range forecastPoints {
		v, ok := f.At(now.Add(forecastHorizon * time.Duration(i) / (forecastPoints - 1)))
		if !ok {
			return max(own, r.meanOwnLoad)
		}
		own = max(own, v)
	}
	return own
}

// capacityShare returns a number of processors as a share of the worker's capacity.
func (w *worker) capacityShare(processors int64) float64 {
	return float64(processors) / float64(max(1, w.state.Capacity.Processors))
}

// sumLeftover returns the processors that other tasks leave to best-effort tasks, and the total that the best-effort
// tasks request, both in thousandths.
func (w *worker) sumLeftover() (left, wanted int64) {
	left = w.state.Capacity.Processors
	for _, r := range w.runs {
		switch {
		case r.step.BestEffort:
			wanted += r.step.Size.Processors
		case r.step.Target > 0:
			left -= int64(servingUse * float64(r.step.Size.Processors))
		default:
			left -= r.step.Size.Processors
		}
	}
	return left, wanted
}
