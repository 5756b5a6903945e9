package press

import (
	"math"
	"time"
)

const (
	shortestPeriod = 3.0   // s; shorter changes are over before a task that fills ends
	longestPeriod  = 70.0  // s; longer ones are slow enough for the newest figures alone
	periodStep     = 1.045 // ratio of neighboring periods; phases stay within an eighth of a period over three of them
	memory         = 40.0  // s, after which a figure has lost most of its weight
	firstLevel     = 0.5   // load expected before any figure
	levelTrust     = 0.3   // of it, in figures
	swingTrust     = 0.6   // of the expectation that a load does not swing, in figures
	leastSpan      = 0.4   // of a period that must have been seen
	knownError     = 0.13  // standard deviation up to which a forecast is used
	settleFigures  = 12.0  // figures after which errors count
)

// PeriodEstimate learns the period in which the loads of serving tasks swing; all serving tasks of a cell share it.
type PeriodEstimate struct {
	periods []float64 // s
	errors  []float64 // squared, summed over figures that fade
	figures float64
	best    int
	start   time.Time
	fadedAt float64 // s since start
}

// NewPeriodEstimate returns an estimate that has learned nothing. Times are measured from start.
func NewPeriodEstimate(start time.Time) *PeriodEstimate {
	p := &PeriodEstimate{start: start}
	for period := shortestPeriod; period < longestPeriod; period *= periodStep {
		p.periods = append(p.periods, period)
	}
	p.errors = make([]float64, len(p.periods))
	return p
}

// Period returns the period that explains the figures best, and false while none does.
func (p *PeriodEstimate) Period() (time.Duration, bool) {
	return time.Duration(p.periods[p.best] * float64(time.Second)), p.isKnown()
}

func (p *PeriodEstimate) isKnown() bool {
	return p.figures >= settleFigures && p.errors[p.best] <= knownError*knownError*p.figures
}

func (p *PeriodEstimate) fade(now float64) {
	keep := math.Exp((p.fadedAt - now) / memory)
	p.fadedAt = now
	p.figures *= keep
	for i := range p.errors {
		p.errors[i] *= keep
	}
}

func (p *PeriodEstimate) choose() {
	for i, e := range p.errors {
		if e < p.errors[p.best] {
			p.best = i
		}
	}
}

// fit is a level and a swing of one period by least squares; x is 1, sine and cosine.
type fit struct {
	xx [6]float64 // 11, 1s, 1c, ss, sc, cc
	xy [3]float64
}

func (f *fit) add(s, c, y, weight, keep float64) {
	x := [6]float64{1, s, c, s * s, s * c, c * c}
	for i := range f.xx {
		f.xx[i] = f.xx[i]*keep + weight*x[i]
	}
	for i, v := range [3]float64{1, s, c} {
		f.xy[i] = f.xy[i]*keep + weight*y*v
	}
}

// at returns the value of the fit, with the first expectations as further figures.
func (f *fit) at(s, c float64) float64 {
	a, b, d := f.xx[0]+levelTrust, f.xx[1], f.xx[2]
	e, g, h := f.xx[3]+swingTrust, f.xx[4], f.xx[5]+swingTrust
	y0, y1, y2 := f.xy[0]+levelTrust*firstLevel, f.xy[1], f.xy[2]
	det := a*(e*h-g*g) - b*(b*h-g*d) + d*(b*g-e*d)
	if det == 0 {
		return firstLevel
	}
	k0 := (y0*(e*h-g*g) - b*(y1*h-g*y2) + d*(y1*g-e*y2)) / det
	k1 := (a*(y1*h-g*y2) - y0*(b*h-g*d) + d*(b*y2-y1*d)) / det
	k2 := (a*(e*y2-y1*g) - b*(b*y2-y1*d) + y0*(b*g-e*d)) / det
	return k0 + k1*s + k2*c
}

// Forecast follows the load of the serving tasks of a step, which swing together.
type Forecast struct {
	period *PeriodEstimate
	fits   []fit
	first  float64 // s
	last   float64
	count  float64
}

// NewForecast returns a forecast without figures.
func NewForecast(p *PeriodEstimate) *Forecast {
	return &Forecast{period: p, fits: make([]fit, len(p.periods))}
}

// Add takes a load at a time; weight tells how sure it is, from 0 to 1.
func (f *Forecast) Add(now time.Time, load, weight float64) {
	p := f.period
	t := now.Sub(p.start).Seconds()
	if f.count == 0 {
		f.first, f.last = t, t
	}
	p.fade(t)
	keep := math.Exp((f.last - t) / memory)
	counts := f.count >= settleFigures
	for i, period := range p.periods {
		sin, cos := math.Sincos(2 * math.Pi * t / period)
		if counts {
			e := load - f.fits[i].at(sin, cos)
			p.errors[i] += weight * e * e
		}
		f.fits[i].add(sin, cos, load, weight, keep)
	}
	f.last = t
	f.count += weight
	if counts {
		p.figures += weight
		p.choose()
	}
}

// At returns the load expected at a time, and false while too little is known.
func (f *Forecast) At(at time.Time) (float64, bool) {
	p := f.period
	period := p.periods[p.best]
	if !p.isKnown() || f.last-f.first < leastSpan*period {
		return 0, false
	}
	sin, cos := math.Sincos(2 * math.Pi * at.Sub(p.start).Seconds() / period)
	return min(1, max(0, f.fits[p.best].at(sin, cos))), true
}
