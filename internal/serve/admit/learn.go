package admit

import "time"

const (
	meanGain     = 1.0 / 8 // gains of RFC 6298; estimates follow a shift within about ten samples
	devGain      = 1.0 / 4
	slackDevs    = 2 // mean deviations; a uniform distribution ends two mean deviations above its mean
	medianStep   = 1.0 / 32
	longFactor   = 4 // ratio of the mean run time of a kind to the service's median above which the kind is long
	probeEvery   = time.Second
	maxKinds     = 256 // bounds memory when callers make up paths; further kinds share one estimate
	otherKind    = "other"
	recentWindow = 1024 // samples after which the recent counts are halved
)

// estimate holds moving averages of the run time and its mean deviation, in ns.
type estimate struct {
	mean, dev float64
	n         int
	recent    int
	probedAt  time.Time // when a request was last admitted in spite of the estimate
}

func (e *estimate) add(run time.Duration) {
	x := float64(run)
	e.n++
	if x < e.mean {
		e.probedAt = time.Time{} // the estimate is too high, so the next probe may start at once
	}
	if e.n == 1 {
		e.mean, e.dev = x, x/2
		return
	}
	gain := max(meanGain, 1/float64(e.n))
	e.dev += devGain * (max(x-e.mean, e.mean-x) - e.dev)
	e.mean += gain * (x - e.mean)
}

// learner estimates the run times of a service by kind of request.
type learner struct {
	kinds     map[string]*estimate
	all       estimate
	median    float64 // ns
	recent    int     // samples of all kinds
	longAfter time.Duration
}

func newLearner(longAfter time.Duration) *learner {
	return &learner{kinds: make(map[string]*estimate), longAfter: longAfter}
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

// add records a run time. Each sample moves the median by the same share of its value, so a few long runs shift it
// less than they shift the mean.
func (l *learner) add(name string, run time.Duration) {
	e := l.kind(name)
	e.add(run)
	l.all.add(run)
	e.recent++
	l.recent++
	if l.recent >= recentWindow {
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

// expect returns the expected run time of a kind; for a kind without samples it is the service's median.
func (l *learner) expect(name string) time.Duration {
	if e := l.kind(name); e.n > 0 {
		return time.Duration(e.mean)
	}
	return time.Duration(l.median)
}

// slack returns the margin that a kind needs beyond its expected run time. Without it, about half of the requests
// that start at their latest start would miss their deadlines and waste their slots.
func (l *learner) slack(name string) time.Duration {
	return time.Duration(slackDevs * l.kind(name).dev)
}

// isLong reports whether a kind exceeds the configured threshold or, without one, longFactor times the median.
// Relative to the median, the kind of at least half of the recent requests is never long: when its run time shifts,
// the median follows only slowly.
func (l *learner) isLong(name string) bool {
	e := l.kind(name)
	if e.n == 0 {
		return false
	}
	if l.longAfter > 0 {
		return time.Duration(e.mean) > l.longAfter
	}
	return 2*e.recent < l.recent && e.mean > longFactor*l.median
}

// mayProbe reports whether a request may start although its expected run time exceeds the time left. Without such
// probes an estimate that is too high would refuse all requests of its kind and never be corrected.
func (l *learner) mayProbe(name string, now time.Time) bool {
	e := l.kind(name)
	if now.Sub(e.probedAt) < probeEvery {
		return false
	}
	e.probedAt = now
	return true
}
