package admit

import "time"

const (
	meanGain   = 1.0 / 8 // gains of RFC 6298: they follow a shift within some ten samples
	devGain    = 1.0 / 4
	slackDevs  = 2 // mean deviations; a uniform spread ends at twice its mean deviation
	medianStep = 1.0 / 32
	longFactor = 4 // a kind is long when its mean run is this many times the service's median run
	probeEvery = time.Second
	maxKinds   = 256 // bounds memory when callers invent paths; further kinds share one estimate
	otherKind  = "other"
	window     = 1024 // samples after which the weight of older ones is halved
)

// estimate follows the mean and the mean deviation of run times, in ns.
type estimate struct {
	mean, dev float64
	n         int
	recent    int
	probe     time.Time // of the last request let through although the estimate spoke against it
}

func (e *estimate) add(run time.Duration) {
	x := float64(run)
	e.n++
	if x < e.mean {
		e.probe = time.Time{} // the estimate is too high; the next probe need not wait
	}
	if e.n == 1 {
		e.mean, e.dev = x, x/2
		return
	}
	gain := max(meanGain, 1/float64(e.n))
	e.dev += devGain * (max(x-e.mean, e.mean-x) - e.dev)
	e.mean += gain * (x - e.mean)
}

// learner holds the run times of a service by kind of request.
type learner struct {
	kinds  map[string]*estimate
	all    estimate
	median float64 // ns
	recent int     // samples, of all kinds
	after  time.Duration
}

func newLearner(after time.Duration) *learner {
	return &learner{kinds: make(map[string]*estimate), after: after}
}

func (l *learner) kind(name string) *estimate {
	e, ok := l.kinds[name]
	if ok {
		return e
	}
	if len(l.kinds) >= maxKinds {
		name = otherKind
		if e, ok = l.kinds[name]; ok {
			return e
		}
	}
	e = &estimate{}
	l.kinds[name] = e
	return e
}

// add records a run. The median moves by a fixed share per sample, so that a few long runs do not shift it as they shift
// the mean.
func (l *learner) add(name string, run time.Duration) {
	e := l.kind(name)
	e.add(run)
	l.all.add(run)
	e.recent++
	l.recent++
	if l.recent >= window {
		l.recent = 0
		for _, e := range l.kinds {
			e.recent /= 2
			l.recent += e.recent
		}
	}
	x := float64(run)
	switch {
	case l.median == 0:
		l.median = x
	case x > l.median:
		l.median += l.median * medianStep
	default:
		l.median -= l.median * medianStep
	}
}

// expect returns the expected run time of a kind; a new kind is expected to run as the service's median request.
func (l *learner) expect(name string) time.Duration {
	if e := l.kind(name); e.n > 0 {
		return time.Duration(e.mean)
	}
	return time.Duration(l.median)
}

// slack returns the time beyond the expected run that a run of this kind may need. Without it a request that starts at its
// latest time has an even chance to pass its deadline, and the slot that it held was used for nothing.
func (l *learner) slack(name string) time.Duration {
	return time.Duration(slackDevs * l.kind(name).dev)
}

// isLong reports whether a kind runs long, by the declared threshold or, without one, relative to the median. A kind that
// most requests have is never long relative to itself; the median follows a shift of its run time only slowly.
func (l *learner) isLong(name string) bool {
	e := l.kind(name)
	if e.n == 0 {
		return false
	}
	if l.after > 0 {
		return time.Duration(e.mean) > l.after
	}
	return 2*e.recent < l.recent && e.mean > longFactor*l.median
}

// mayProbe reports whether a request may start although its estimate exceeds the time left. Without such probes an
// estimate that was once too high would refuse all requests and never be corrected.
func (l *learner) mayProbe(name string, now time.Time) bool {
	e := l.kind(name)
	if now.Sub(e.probe) < probeEvery {
		return false
	}
	e.probe = now
	return true
}
