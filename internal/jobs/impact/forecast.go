package impact

import (
	"math"
	"time"
)

const (
	minPeriod              = 3.0   // s; shorter oscillations end before a best-effort task does
	maxPeriod              = 70.0  // s; longer oscillations are slow enough to rely on the newest samples alone
	periodRatio            = 1.045 // ratio of adjacent candidates; keeps phase errors below 1/8 period over 3 periods
	decayTime              = 40.0  // s, time constant of the exponential decay of samples
	priorLevel             = 0.5   // load assumed before the first sample
	levelPriorStrength     = 0.3   // in samples, of priorLevel
	amplitudePriorStrength = 0.6   // in samples, of the assumption that a load does not oscillate
	minSpan                = 0.4   // share of a period that samples must cover
	maxForecastError       = 0.13  // standard deviation of prediction errors above which no forecast is made
	warmUpSamples          = 12.0  // samples before prediction errors count
)

// PeriodEstimate estimates the period with which the loads of serving tasks oscillate. All serving tasks of a cell
// share one estimate.
type PeriodEstimate struct {
	periods   []float64 // s
	errors    []float64 // decayed sum of squared prediction errors, by period
	samples   float64   // decayed number of samples
	best      int       // index of the period with the smallest error
	start     time.Time
	decayedAt float64 // s since start
}

// NewPeriodEstimate returns an estimate without samples. Times are measured from start.
func NewPeriodEstimate(start time.Time) *PeriodEstimate {
	p := &PeriodEstimate{start: start}
	for period := minPeriod; period < maxPeriod; period *= periodRatio {
		p.periods = append(p.periods, period)
	}
	p.errors = make([]float64, len(p.periods))
	return p
}

// Period returns the period that fits the samples best, and false while no period fits well enough for a forecast.
func (p *PeriodEstimate) Period() (time.Duration, bool) {
	return time.Duration(p.periods[p.best] * float64(time.Second)), p.isKnown()
}

func (p *PeriodEstimate) isKnown() bool {
	return p.samples >= warmUpSamples && p.errors[p.best] <= maxForecastError*maxForecastError*p.samples
}

func (p *PeriodEstimate) decay(now float64) {
	factor := math.Exp((p.decayedAt - now) / decayTime)
	p.decayedAt = now
	p.samples *= factor
	for i := range p.errors {
		p.errors[i] *= factor
	}
}

func (p *PeriodEstimate) updateBest() {
	for i, e := range p.errors {
		if e < p.errors[p.best] {
			p.best = i
		}
	}
}

// fit is a weighted least-squares fit of a constant level plus a sine and cosine of one period.
type fit struct {
	xx [6]float64 // sums of products of the regressors 1, s (sine) and c (cosine): 11, 1s, 1c, ss, sc, cc
	xy [3]float64 // sums of products of the regressors with the load
}

func (f *fit) add(s, c, y, weight, factor float64) {
	x := [6]float64{1, s, c, s * s, s * c, c * c}
	for i := range f.xx {
		f.xx[i] = f.xx[i]*factor + weight*x[i]
	}
	for i, v := range [3]float64{1, s, c} {
		f.xy[i] = f.xy[i]*factor + weight*y*v
	}
}

// at evaluates the fit at a phase given by its sine and cosine. The priors act as additional samples.
func (f *fit) at(s, c float64) float64 {
	a, b, d := f.xx[0]+levelPriorStrength, f.xx[1], f.xx[2]
	e, g, h := f.xx[3]+amplitudePriorStrength, f.xx[4], f.xx[5]+amplitudePriorStrength
	y0, y1, y2 := f.xy[0]+levelPriorStrength*priorLevel, f.xy[1], f.xy[2]
	det := a*(e*h-g*g) - b*(b*h-g*d) + d*(b*g-e*d)
	if det == 0 {
		return priorLevel
	}
	k0 := (y0*(e*h-g*g) - b*(y1*h-g*y2) + d*(y1*g-e*y2)) / det
	k1 := (a*(y1*h-g*y2) - y0*(b*h-g*d) + d*(b*y2-y1*d)) / det
	k2 := (a*(e*y2-y1*g) - b*(b*y2-y1*d) + y0*(b*g-e*d)) / det
	return k0 + k1*s + k2*c
}

// Forecast predicts the load of the serving tasks of one step, which oscillate in phase.
type Forecast struct {
	period *PeriodEstimate
	fits   []fit
	first  float64 // time of the first sample, s since period.start
	last   float64 // time of the newest sample, s since period.start
	count  float64 // weighted number of samples
}

// NewForecast returns a forecast without samples that shares the period estimate p.
func NewForecast(p *PeriodEstimate) *Forecast {
	return &Forecast{period: p, fits: make([]fit, len(p.periods))}
}

// Add records a load from 0 to 1, sampled at now; weight is the confidence in it, from 0 to 1.
func (f *Forecast) Add(now time.Time, load, weight float64) {
	p := f.period
	t := now.Sub(p.start).Seconds()
	if f.count == 0 {
		f.first, f.last = t, t
	}
	p.decay(t)
	factor := math.Exp((f.last - t) / decayTime)
	isWarm := f.count >= warmUpSamples
	for i, period := range p.periods {
		sin, cos := math.Sincos(2 * math.Pi * t / period)
		if isWarm {
			e := load - f.fits[i].at(sin, cos)
			p.errors[i] += weight * e * e
		}
		f.fits[i].add(sin, cos, load, weight, factor)
	}
	f.last = t
	f.count += weight
	if isWarm {
		p.samples += weight
		p.updateBest()
	}
}

// At returns the load expected at a time, from 0 to 1, and false while the samples do not support a forecast.
func (f *Forecast) At(at time.Time) (float64, bool) {
	p := f.period
	period := p.periods[p.best]
	if !p.isKnown() || f.last-f.first < minSpan*period {
		return 0, false
	}
	sin, cos := math.Sincos(2 * math.Pi * at.Sub(p.start).Seconds() / period)
	return min(1, max(0, f.fits[p.best].at(sin, cos))), true
}
