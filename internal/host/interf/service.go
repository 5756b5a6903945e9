package interf

import (
	"math"
	"slices"
	"time"
)

const (
	bands              = 24  // of load; each spans a factor of √2 in requests/s, up to about 2,900
	modelBands         = 2   // bands that share a model
	baselineSize       = 512 // run times stored per band
	minBaselineSamples = 120 // run times; with fewer, the 95th percentile is too uncertain
	bucketCount        = 48  // seconds of requests stored; more than the sum of maxLag and window
	maxBucketSamples   = 256 // run times stored per second
	window             = 10 * time.Second
	minTailSamples     = 60 // run times for an estimate of the tail latency
	tailQuantile       = 0.95
	errorFactor        = 1.5              // standard errors that a slowdown must exceed to exclude chance
	tailErrorFactor    = 2.1              // standard error of a normal 95th percentile, in those of the mean
	maxUsageChange     = 0.03             // of the worker's processors, around a second that is learned from
	idleUsage          = 0.03             // of the worker's processors; with less, batch tasks count as absent
	dropAfter          = 10 * time.Minute // without traffic, until a service is dropped
)

// service is the state of one service.
type service struct {
	name      string
	seenAt    time.Time
	buckets   [bucketCount]bucket // by second of the request start
	band      int                 // load in the latest complete bucket
	baselines [bands]baseline
	models    [bands / modelBands]model
}

// bucket contains the requests that started in one second.
type bucket struct {
	second   int64 // since 1970
	count    int
	logTimes []float64 // logarithms of run times in s
	done     bool
	hasBatch bool // batch tasks were running
	band     int
}

// baseline contains the run times without batch tasks in one load band, in a ring buffer.
type baseline struct {
	logTimes []float64
	next     int
	mean     float64 // of the logarithms, over this band and, if it has few, its neighbors
	dev      float64 // standard deviation of the logarithms
	tail     float64 // logarithm of the tail latency
	n        int     // run times behind mean, dev and tail
}

func newService(name string) *service {
	s := &service{name: name}
	for i := range s.models {
		s.models[i] = newModel()
	}
	return s
}

func (s *service) resetClass(n int) {
	for i := range s.models {
		s.models[i].reset(n)
	}
}

func (s *service) add(now, started time.Time, run time.Duration) {
	s.seenAt = now
	second := started.Unix()
	b := &s.buckets[second%bucketCount]
	if b.second > second || b.second == second && b.done {
		return // its bucket is complete or replaced
	}
	if b.second != second {
		*b = bucket{second: second, logTimes: b.logTimes[:0]}
	}
	b.count++
	if len(b.logTimes) < maxBucketSamples {
		b.logTimes = append(b.logTimes, math.Log(run.Seconds()))
	}
}

// processBuckets learns from the buckets that are complete at the given time.
func (s *service) processBuckets(complete time.Time, used func(from, to time.Time) (vector, bool)) {
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

// rate returns the requests/s, averaged over a second and the two before it: the counts of single seconds vary too much
// even under a steady load.
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
	b.hasBatch = total > idleUsage
	if !b.hasBatch {
		s.addBaseline(b)
		return
	}
	q := &s.baselines[b.band]
	if q.n < minBaselineSamples {
		return
	}
	sum := 0.0
	for _, v := range b.logTimes {
		sum += v
	}
	n := float64(len(b.logTimes))
	s.model(b.band).learn(x, sum/n-q.mean, q.dev*q.dev/n)
}

func (s *service) addBaseline(b *bucket) {
	q := &s.baselines[b.band]
	for _, v := range b.logTimes {
		if len(q.logTimes) < baselineSize {
			q.logTimes = append(q.logTimes, v)
			continue
		}
		q.logTimes[q.next] = v
		q.next = (q.next + 1) % baselineSize
	}
	for i := max(b.band-1, 0); i <= min(b.band+1, bands-1); i++ {
		s.updateBaseline(i)
	}
}

// updateBaseline recomputes the statistics of a band from its run times and, if these are few, those of its neighbors.
func (s *service) updateBaseline(band int) {
	q := &s.baselines[band]
	all := slices.Clone(q.logTimes)
	if len(all) < minBaselineSamples {
		for _, i := range []int{band - 1, band + 1} {
			if i >= 0 && i < bands {
				all = append(all, s.baselines[i].logTimes...)
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
	q.tail = quantile(all, tailQuantile)
}

func quantile(list []float64, p float64) float64 {
	slices.Sort(list)
	return list[min(int(p*float64(len(list))), len(list)-1)]
}

// model returns the model of a load band. A model without samples is a copy of the nearest one with samples, preferably
// of a lower load, with an increased variance.
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
					copied.cov[j][j] += priorDeviation * priorDeviation / 16
				}
				copied.known = false
				*m = copied
				return m
			}
		}
	}
	return m
}

// estimate is the estimate of the slowdown of a service from its recent requests.
type estimate struct {
	traffic    int     // requests in the window
	known      bool    // enough of them ran at a load with a known baseline
	slowdown   float64 // lower bound of the log slowdown of the tail latency or the mean run time, whichever is larger
	noBaseline bool    // most of them ran at a load without a known baseline
	likelySlow bool    // those are slow compared with the baseline of the nearest load
}

// estimate evaluates the requests that started in the window before to; only those since from count for the
// slowdown. The service is likely slow if its log slowdown against the nearest baseline exceeds limit.
func (s *service) estimate(from, to time.Time, limit float64) estimate {
	var v estimate
	var ratios, nearestRatios []float64
	mean, dev, fewest := 0.0, 0.0, math.Inf(1)
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
		q, near := &s.baselines[b.band], s.nearestBaseline(b.band)
		for _, x := range b.logTimes {
			switch {
			case q.n >= minBaselineSamples:
				ratios = append(ratios, x-q.tail)
				mean += x - q.mean
				dev, fewest = max(dev, q.dev), min(fewest, float64(q.n))
			case near != nil:
				nearestRatios = append(nearestRatios, x-near.tail)
			default:
				nearestRatios = append(nearestRatios, math.Inf(1))
			}
		}
	}
	if len(ratios) >= minTailSamples {
		n := float64(len(ratios))
		margin := errorFactor * dev * math.Sqrt(1/n+1/fewest)
		v.known, v.slowdown = true, max(mean/n-margin, quantile(ratios, tailQuantile)-tailErrorFactor*margin)
	}
	v.noBaseline = len(nearestRatios) > len(ratios) && len(nearestRatios) >= minTailSamples
	v.likelySlow = v.noBaseline && quantile(nearestRatios, tailQuantile) > limit
	return v
}

// nearestBaseline returns the known baseline of the nearest load below or else above the given one; nil for none.
func (s *service) nearestBaseline(band int) *baseline {
	for i := band; i >= 0; i-- {
		if s.baselines[i].n >= minBaselineSamples {
			return &s.baselines[i]
		}
	}
	for i := band; i < bands; i++ {
		if s.baselines[i].n >= minBaselineSamples {
			return &s.baselines[i]
		}
	}
	return nil
}
