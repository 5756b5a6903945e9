package order

import (
	"math"
	"time"
)

const (
	smoothing   = 0.06 // weight of a new run in a mean once there are many
	priorRuns   = 4    // runs that the fallback of a mean counts as, so that single runs decide little
	maxResidual = 1.5  // natural logarithm by which one run may differ from the mean of an image; larger ones are clipped
	maxRatio    = 10   // largest factor by which a declared run time is corrected either way
	maxMeans    = 1024 // queues and images with a mean; callers choose the names of images, the operator those of queues
	// versionChange is the change of the logarithm of a ratio, about a tenth, that makes callers compute estimates again.
	versionChange = 0.1
)

// Kind identifies tasks whose run times are similar.
type Kind struct {
	Queue, Image string
	BestEffort   bool // run times are processor time instead of elapsed time
}

// mean is the smoothed mean of the logarithms of the ratios of actual to declared run time.
type mean struct {
	log       float64
	runs      int
	usedAt    uint64  // value of RunTimes.samples at the last run
	published float64 // logarithm of the ratio that Ratio returns
}

// RunTimes learns the ratio of actual to declared run time by queue and image.
type RunTimes struct {
	means   map[Kind]*mean // the mean of a queue has no image
	samples uint64
	version uint64
}

// NewRunTimes returns RunTimes that know no runs, so that declared run times are used as they are.
func NewRunTimes() *RunTimes { return &RunTimes{means: make(map[Kind]*mean)} }

// Record adds a successful run with its declared and its actual run time.
func (t *RunTimes) Record(k Kind, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	t.samples++
	x := math.Log(actual.Seconds() / declared.Seconds())
	queue := t.mean(Kind{Queue: k.Queue, BestEffort: k.BestEffort})
	queue.add(x, t.samples)
	t.publish(queue, 0)
	if k.Image == "" {
		return
	}
	image, fallback := t.mean(k), queue.shrunk(0)
	center := image.shrunk(fallback)
	image.add(center+min(maxResidual, max(-maxResidual, x-center)), t.samples)
	t.publish(image, fallback)
}

// Ratio returns the expected ratio of actual to declared run time: that of the image, or of the queue for an image
// without runs, or 1. It changes only with Version.
func (t *RunTimes) Ratio(k Kind) float64 {
	if m := t.means[k]; m != nil {
		return math.Exp(m.published)
	}
	if m := t.means[Kind{Queue: k.Queue, BestEffort: k.BestEffort}]; m != nil {
		return math.Exp(m.published)
	}
	return 1
}

// Queue returns the mean ratio of a queue's runs without correction for few runs, and the number of its runs.
func (t *RunTimes) Queue(name string, bestEffort bool) (ratio float64, runs int) {
	m := t.means[Kind{Queue: name, BestEffort: bestEffort}]
	if m == nil {
		return 1, 0
	}
	return math.Exp(m.log), m.runs
}

// Version returns a number that grows whenever a ratio has changed by about a tenth.
func (t *RunTimes) Version() uint64 { return t.version }

// Len returns the number of queues and images with a mean.
func (t *RunTimes) Len() int { return len(t.means) }

// mean returns the mean of a kind and creates it on first use, in place of the image that has been without runs for the
// longest time if there are maxMeans. Means of queues stay, since the speed of workers is judged by them.
func (t *RunTimes) mean(k Kind) *mean {
	m := t.means[k]
	if m != nil {
		return m
	}
	if len(t.means) >= maxMeans {
		var oldest Kind
		at := uint64(math.MaxUint64)
		for o, v := range t.means {
			if o.Image != "" && v.usedAt < at {
				oldest, at = o, v.usedAt
			}
		}
		if oldest.Image != "" {
			delete(t.means, oldest)
		}
	}
	m = &mean{}
	t.means[k] = m
	return m
}

// publish makes the current ratio of a mean the one that Ratio returns once it has changed enough.
func (t *RunTimes) publish(m *mean, fallback float64) {
	limit := math.Log(maxRatio)
	v := min(limit, max(-limit, m.shrunk(fallback)))
	if m.runs == 1 || math.Abs(v-m.published) >= versionChange {
		m.published = v
		t.version++
	}
}

func (m *mean) add(x float64, sample uint64) {
	m.log += max(smoothing, 1/float64(m.runs+1)) * (x - m.log)
	m.runs++
	m.usedAt = sample
}

// shrunk returns the mean as if priorRuns more runs had the value of the fallback.
func (m *mean) shrunk(fallback float64) float64 {
	return (m.log*float64(m.runs) + fallback*priorRuns) / float64(m.runs+priorRuns)
}
