package report

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilramp.org/trefoilramp/internal/load/drive"
)

// Range and precision of the latency histograms.
const (
	minLatency        = 1                // µs
	maxLatency        = 3600 * 1_000_000 // µs
	significantDigits = 3
)

// Percentiles describes a latency distribution, in milliseconds.
type Percentiles struct {
	Count int64
	Mean  float64
	P50   float64
	P90   float64
	P99   float64
	P999  float64
	Max   float64
}

// Summary describes the requests whose scheduled arrival is within a time span.
type Summary struct {
	Offered          int64
	Good             int64 // complete within the deadline
	Complete         int64
	Failed           int64
	NotRun           int64
	Unknown          int64
	Broken           int64
	Wrong            int64
	Timeout          int64
	NotSent          int64
	GoodShare        float64 // Good / Offered; 1 when nothing was offered
	OfferedPerSecond float64
	GoodPerSecond    float64     // goodput
	LatencyMillis    Percentiles // of complete responses, including late ones
	RefusalMillis    Percentiles // of NotRun
}

// collector accumulates samples for a Summary.
type collector struct {
	counts  [drive.Outcomes]int64
	good    int64
	latency *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		latency: hdrhistogram.New(minLatency, maxLatency, significantDigits),
		refusal: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

func (c *collector) reset() {
	c.counts, c.good = [drive.Outcomes]int64{}, 0
	c.latency.Reset()
	c.refusal.Reset()
}

func (c *collector) add(s drive.Sample, deadline time.Duration) error {
	c.counts[s.Outcome]++
	var h *hdrhistogram.Histogram
	switch s.Outcome {
	case drive.Complete:
		h = c.latency
		if s.Latency <= deadline {
			c.good++
		}
	case drive.NotRun:
		h = c.refusal
	default:
		return nil
	}
	if err := h.RecordValue(min(maxLatency, max(minLatency, s.Latency.Microseconds()))); err != nil {
		return fmt.Errorf("record latency: %w", err)
	}
	return nil
}

func (c *collector) summary(length time.Duration) Summary {
	s := Summary{
		Good:     c.good,
		Complete: c.counts[drive.Complete],
		Failed:   c.counts[drive.Failed],
		NotRun:   c.counts[drive.NotRun],
		Unknown:  c.counts[drive.Unknown],
		Broken:   c.counts[drive.Broken],
		Wrong:    c.counts[drive.Wrong],
		Timeout:  c.counts[drive.Timeout],
		NotSent:  c.counts[drive.NotSent],

		GoodShare:     1,
		LatencyMillis: percentiles(c.latency),
		RefusalMillis: percentiles(c.refusal),
	}
	for _, n := range c.counts {
		s.Offered += n
	}
	if s.Offered > 0 {
		s.GoodShare = float64(s.Good) / float64(s.Offered)
	}
	if length > 0 {
		s.OfferedPerSecond = float64(s.Offered) / length.Seconds()
		s.GoodPerSecond = float64(s.Good) / length.Seconds()
	}
	return s
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(p float64) float64 { return millis(h.ValueAtPercentile(p)) }
	return Percentiles{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: millis(h.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
