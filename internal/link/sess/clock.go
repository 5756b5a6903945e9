package sess

import (
	"sync"
	"time"
)

// sample is one measurement of the peer's clock against the local one.
type sample struct {
	offset time.Duration // peer's wall clock minus local wall clock
	trip   time.Duration
}

// newSample follows NTP: the request was sent at t1 and answered at t4 by the local clock, received at t2 and answered
// at t3 by the peer's. The true offset is within trip/2 of the estimate, however the delay is divided.
func newSample(t1 time.Time, t2, t3 int64, t4 time.Time) (sample, bool) {
	elapsed := t4.Sub(t1) // monotonic
	trip := elapsed - time.Duration(t3-t2)
	if t3 < t2 || trip < 0 {
		return sample{}, false
	}
	sent := t4.UnixNano() - int64(elapsed)
	return sample{offset: time.Duration((t2 - sent + t3 - t4.UnixNano()) / 2), trip: trip}, true
}

// clock keeps the latest samples and uses the one with the smallest round trip.
type clock struct {
	mu      sync.Mutex
	samples [offsetSamples]sample
	n       int
	best    sample
}

func (c *clock) add(v sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[c.n%offsetSamples] = v
	c.n++
	c.best = v
	for _, o := range c.samples[:min(c.n, offsetSamples)] {
		if o.trip < c.best.trip {
			c.best = o
		}
	}
}

func (c *clock) estimate() sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.best
}

// maxWall keeps sums of times and offsets within int64; it lies in the year 2116.
const maxWall = 1 << 62

// localTime converts a time of the peer's wall clock, on the safe side by half of the round trip.
func (c *clock) localTime(peerWall int64) time.Time {
	e := c.estimate()
	now := time.Now()
	wall := min(max(peerWall, 0), maxWall) - int64(e.offset) - int64(e.trip/2)
	return now.Add(time.Duration(wall - now.UnixNano()))
}
