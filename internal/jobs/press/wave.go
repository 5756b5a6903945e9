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
	waveError      = 0.13  // standard deviation up to which a wave is followed
	settleFigures  = 12.0  // figures after which errors count
)

// Rhythm learns the period in which the loads of serving tasks swing; all waves of a cell share it.
type Rhythm struct {
	periods []float64 // s
	errors  []float64 // squared, summed over figures that fade
	figures float64
	best    int
	start   time.Time
	fadedAt float64 // s since start
}

// NewRhythm returns a rhythm that has learned nothing. Times are measured from start.
func NewRhythm(start time.Time) *Rhythm {
	r := &Rhythm{start: start}
	for p := shortestPeriod; p < longestPeriod; p *= periodStep {
		r.periods = append(r.periods, p)
	}
	r.errors = make([]float64, len(r.periods))
	return r
}

// Period returns the period that explains the figures best, and false while none does.
func (r *Rhythm) Period() (time.Duration, bool) {
	return time.Duration(r.periods[r.best] * float64(time.Second)), r.isKnown()
}

func (r *Rhythm) isKnown() bool {
	return r.figures >= settleFigures && r.errors[r.best] <= waveError*waveError*r.figures
}

func (r *Rhythm) fade(now float64) {
	keep := math.Exp((r.fadedAt - now) / memory)
	r.fadedAt = now
	r.figures *= keep
	for i := range r.errors {
		r.errors[i] *= keep
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

// Wave follows the load of the serving tasks of a step, which swing together.
type Wave struct {
	rhythm *Rhythm
	fits   []fit
	first  float64 // s
	last   float64
	count  float64
}

// NewWave returns a wave without figures.
func NewWave(r *Rhythm) *Wave { return &Wave{rhythm: r, fits: make([]fit, len(r.periods))} }

// Add takes a load at a time; weight tells how sure it is, from 0 to 1.
func (w *Wave) Add(now time.Time, load, weight float64) {
	r := w.rhythm
	t := now.Sub(r.start).Seconds()
	if w.count == 0 {
		w.first, w.last = t, t
	}
	r.fade(t)
	keep := math.Exp((w.last - t) / memory)
	counts := w.count >= settleFigures
	for i, p := range r.periods {
		s, c := math.Sincos(2 * math.Pi * t / p)
		if counts {
			e := load - w.fits[i].at(s, c)
			r.errors[i] += weight * e * e
		}
		w.fits[i].add(s, c, load, weight, keep)
	}
	w.last = t
	w.count += weight
	if !counts {
		return
	}
	r.figures += weight
	for i, e := range r.errors {
		if e < r.errors[r.best] {
			r.best = i
		}
	}
}

// At returns the load expected at a time, and false while the wave is not known.
func (w *Wave) At(at time.Time) (float64, bool) {
	r := w.rhythm
	period := r.periods[r.best]
	if !r.isKnown() || w.last-w.first < leastSpan*period {
		return 0, false
	}
	s, c := math.Sincos(2 * math.Pi * at.Sub(r.start).Seconds() / period)
	return min(1, max(0, w.fits[r.best].at(s, c))), true
}
