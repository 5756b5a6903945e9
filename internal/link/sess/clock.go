package sess

import (
	"sync"
	"time"
)

// sample is one measurement of the offset between the peer's clock and the local one.
type sample struct {
	offset time.Duration // peer's wall clock minus local wall clock
	rtt    time.Duration
}

// newSample computes a sample as in NTP. By the local clock, the request was sent at t1 and the reply received at t4;
// by the peer's clock (ns since 1970), the request was received at t2 and the reply sent at t3. The true offset is
// within rtt/2 of the estimate, however the delay is split between the two directions. newSample reports false if the
// peer's times are implausible: t3 before t2, or t2 and t3 further apart than t1 and t4.
func newSample(t1 time.Time, t2, t3 int64, t4 time.Time) (sample, bool) {
	elapsed := t4.Sub(t1) // monotonic
	rtt := elapsed - time.Duration(t3-t2)
	if t3 < t2 || rtt < 0 {
		return sample{}, false
	}
	sent := t4.UnixNano() - int64(elapsed)
	return sample{offset: time.Duration((t2 - sent + t3 - t4.UnixNano()) / 2), rtt: rtt}, true
}

// clock estimates the offset of the peer's clock by the sample with the smallest round trip among the latest ones.
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
		if o.rtt < c.best.rtt {
			c.best = o
		}
	}
}

func (c *clock) estimate() sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.best
}

// maxWall is the latest time in ns since 1970 that localTime converts, in the year 2116; sums of times and offsets stay
// within int64.
const maxWall = 1 << 62

// localTime converts a time of the peer's wall clock (ns since 1970) to the local clock, less half of the round trip,
// so that the result is not later than the true time.
func (c *clock) localTime(peerWall int64) time.Time {
	e := c.estimate()
	now := time.Now()
	wall := min(max(peerWall, 0), maxWall) - int64(e.offset) - int64(e.rtt/2)
	return now.Add(time.Duration(wall - now.UnixNano()))
}
