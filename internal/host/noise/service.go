package noise

import (
	"math"
	"slices"
	"time"
)

const (
	bands        = 24  // of load; each spans a factor of √2 in requests/s, up to about 2,900
	modelBands   = 2   // bands that share a model of effects
	quietSamples = 512 // run times kept per band
	quietNeeded  = 120 // fewer leave the 95th percentile too uncertain
	bucketCount  = 48  // seconds of requests kept; more than the largest lag and the window
	bucketLimit  = 256 // run times kept per second
	window       = 10 * time.Second
	tailNeeded   = 60 // run times for a verdict on the tail
	tail         = 0.95
	doubts       = 1.5  // standard errors that a slowdown must exceed, so that chance alone causes no action
	tailDoubt    = 2.1  // standard error of a 95th percentile times √n, in standard deviations of a normal distribution
	steadyUsage  = 0.03 // share of the worker's processors by which usage may change around a second that is learned from
	quietUsage   = 0.03 // share of the worker's processors below which batch is taken as absent
	forgetAfter  = 10 * time.Minute
)

// service is what is known of one service.
type service struct {
	name    string
	seenAt  time.Time
	buckets [bucketCount]bucket // by second of the start
	band    int                 // load in the latest full bucket
	quiet   [bands]quiet
	models  [bands / modelBands]model
}

// bucket holds the requests that started in one second.
type bucket struct {
	second int64 // since 1970
	count  int
	logs   []float64 // logarithms of run times in s
	done   bool
	loud   bool // batch ran beside
	band   int
}

// quiet holds run times without batch at one load; it is a ring.
type quiet struct {
	logs []float64
	next int
	mean float64 // of the logarithms, over this band and its neighbours
	dev  float64
	tail float64
	n    int // run times behind mean and tail
}

func newService(name string) *service {
	s := &service{name: name}
	for i := range s.models {
		s.models[i] = newModel()
	}
	return s
}

func (s *service) forgetClass(n int) {
	for i := range s.models {
		s.models[i].forget(n)
	}
}

func (s *service) add(now, started time.Time, run time.Duration) {
	s.seenAt = now
	second := started.Unix()
	b := &s.buckets[second%bucketCount]
	if b.second > second || b.second == second && b.done {
		return // too late to be counted
	}
	if b.second != second {
		*b = bucket{second: second, logs: b.logs[:0]}
	}
	b.count++
	if len(b.logs) < bucketLimit {
		b.logs = append(b.logs, math.Log(run.Seconds()))
	}
}

// settle learns from the buckets that are complete at the given time.
func (s *service) settle(complete time.Time, used func(from, to time.Time) (vector, bool)) {
	last := complete.Unix() - 1
	for second := last - bucketCount/2; second <= last; second++ {
		b := &s.buckets[second%bucketCount]
		if b.second != second || b.done {
			continue
		}
		b.done = true
		b.band = bandOf(s.rate(second))
		s.band = b.band
		from := time.Unix(second, 0)
		if x, ok := used(from, from.Add(bucketSpan)); ok {
			s.learn(b, x)
		}
	}
}

// rate returns the requests/s around a second. One second alone holds too few for a load that is steady to be seen as
// steady.
func (s *service) rate(second int64) int {
	sum, n := 0, 0
	for i := second - 2; i <= second; i++ {
		if b := &s.buckets[i%bucketCount]; b.second == i {
			sum += b.count
			n++
		}
	}
	return sum / max(n, 1)
}

func bandOf(count int) int {
	return min(int(math.Round(2*math.Log2(float64(max(count, 1))))), bands-1)
}

func (s *service) learn(b *bucket, x vector) {
	total := 0.0
	for _, v := range x {
		total += v
	}
	b.loud = total > quietUsage
	if !b.loud {
		s.addQuiet(b)
		return
	}
	q := &s.quiet[b.band]
	if q.n < quietNeeded {
		return
	}
	sum := 0.0
	for _, v := range b.logs {
		sum += v
	}
	n := float64(len(b.logs))
	s.model(b.band).learn(x, sum/n-q.mean, q.dev*q.dev/n)
}

func (s *service) addQuiet(b *bucket) {
	q := &s.quiet[b.band]
	for _, v := range b.logs {
		if len(q.logs) < quietSamples {
			q.logs = append(q.logs, v)
			continue
		}
		q.logs[q.next] = v
		q.next = (q.next + 1) % quietSamples
	}
	for i := max(b.band-1, 0); i <= min(b.band+1, bands-1); i++ {
		s.sum(i)
	}
}

// sum recomputes the figures of a band from its own run times and, where these are few, those of its neighbours.
func (s *service) sum(band int) {
	q := &s.quiet[band]
	all := slices.Clone(q.logs)
	if len(all) < quietNeeded {
		for _, i := range []int{band - 1, band + 1} {
			if i >= 0 && i < bands {
				all = append(all, s.quiet[i].logs...)
			}
		}
	}
	q.n, q.mean, q.dev = len(all), 0, 0
	if q.n == 0 {
		return
	}
	for _, v := range all {
		q.mean += v / float64(q.n)
	}
	for _, v := range all {
		q.dev += (v - q.mean) * (v - q.mean) / float64(q.n)
	}
	q.dev = math.Sqrt(q.dev)
	q.tail = quantile(all, tail)
}

func quantile(list []float64, p float64) float64 {
	slices.Sort(list)
	return list[min(int(p*float64(len(list))), len(list)-1)]
}

// model returns the model of a load; one that has no sample starts as a copy of the nearest that has, preferably of a
// lower load, with the doubt of a new one.
func (s *service) model(band int) *model {
	n := band / modelBands
	m := &s.models[n]
	if m.known {
		return m
	}
	for d := 1; d < len(s.models); d++ {
		for _, i := range []int{n - d, n + d} {
			if i >= 0 && i < len(s.models) && s.models[i].known {
				copied := s.models[i]
				for j := range copied.cov {
					copied.cov[j][j] += priorSpread * priorSpread / 16
				}
				copied.known = false
				*m = copied
				return m
			}
		}
	}
	return m
}

// verdict is what the recent requests of a service tell.
type verdict struct {
	traffic   int     // requests in the window
	judged    bool    // enough of them ran at a known quiet tail
	slowdown  float64 // logarithm of the tail over the quiet tail, or of the mean if that is larger and more certain
	unknown   bool    // most of them ran at a load whose quiet tail is unknown
	suspected bool    // those are slow against the nearest known load
}

// judge looks at the requests that started in the window before to, and for the verdict at those from a time on only.
func (s *service) judge(from, to time.Time, limit float64) verdict {
	var v verdict
	var ratios, guesses []float64
	mean, dev, known := 0.0, 0.0, math.Inf(1)
	for i := range s.buckets {
		b := &s.buckets[i]
		start := time.Unix(b.second, 0)
		if !b.done || start.Before(to.Add(-window-bucketSpan)) || start.After(to) {
			continue
		}
		v.traffic += b.count
		if start.Before(from) {
			continue
		}
		q, near := &s.quiet[b.band], s.nearest(b.band)
		for _, x := range b.logs {
			switch {
			case q.n >= quietNeeded:
				ratios = append(ratios, x-q.tail)
				mean += x - q.mean
				dev, known = max(dev, q.dev), min(known, float64(q.n))
			case near != nil:
				guesses = append(guesses, x-near.tail)
			default:
				guesses = append(guesses, math.Inf(1))
			}
		}
	}
	if len(ratios) >= tailNeeded {
		n := float64(len(ratios))
		doubt := doubts * dev * math.Sqrt(1/n+1/known)
		v.judged, v.slowdown = true, max(mean/n-doubt, quantile(ratios, tail)-tailDoubt*doubt)
	}
	v.unknown = len(guesses) > len(ratios) && len(guesses) >= tailNeeded
	v.suspected = v.unknown && quantile(guesses, tail) > limit
	return v
}

// nearest returns the quiet times of the nearest load below or else above the given one; nil for none.
func (s *service) nearest(band int) *quiet {
	for i := band; i >= 0; i-- {
		if s.quiet[i].n >= quietNeeded {
			return &s.quiet[i]
		}
	}
	for i := band; i < bands; i++ {
		if s.quiet[i].n >= quietNeeded {
			return &s.quiet[i]
		}
	}
	return nil
}
