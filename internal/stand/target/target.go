package target

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/plat/notice"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Options configures a target.
type Options struct {
	Target      string
	Service     string
	Slots       int64 // requests other than streams that run at a time; also announced
	Connections int64 // announced but not enforced
	Times       Times
	Seed        uint64      // seed of the random service times
	Log         *zap.Logger // nil disables logging
	Runs        func(Run)   // called before each run starts; may be nil
}

// Times defines the distribution of service times.
type Times struct {
	Service    time.Duration // mean for ordinary paths, without TailShare
	Long       time.Duration // mean for the path /long; 0 means Service
	Jitter     float64       // each service time varies uniformly by up to this fraction in both directions, 0 to 1
	TailShare  float64       // fraction of requests that take TailFactor times as long
	TailFactor float64
	Paths      []PathTime // the first entry whose prefix matches overrides Service and Long
}

// PathTime is the mean service time of all paths with a prefix.
type PathTime struct {
	Prefix  string
	Service time.Duration
}

// Target is a simulated target. It is safe for concurrent use.
type Target struct {
	o            Options
	slots        chan struct{}
	records      *records
	faults       script.Script
	stateChanged chan struct{} // signals a change of state to Announce

	mu       sync.Mutex
	rng      *rand.Rand
	slowdown float64
	state    notice.State
}

// New returns a target in state Ready.
func New(o Options) *Target {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Target{
		o:            o,
		slots:        make(chan struct{}, max(1, o.Slots)),
		records:      newRecords(),
		stateChanged: make(chan struct{}, 1),
		rng:          rand.New(rand.NewPCG(o.Seed, 0)),
		slowdown:     1,
		state:        notice.Ready,
	}
}

// Faults returns the target's fault script; LoseLate acts as LoseAfter.
func (t *Target) Faults() *script.Script { return &t.faults }

// Records returns the records of all requests with an ID, in order of their first run.
func (t *Target) Records() []Record {
	_, list := t.records.snapshot()
	return list
}

// Counts returns the current counters.
func (t *Target) Counts() Counts {
	c, _ := t.records.snapshot()
	return c
}

// SetSlowdown multiplies all service times from now on by factor, to simulate interference from another task on the
// same instance.
func (t *Target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdown = factor
}

// Leave changes the state to Leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = notice.Leaving
	select {
	case t.stateChanged <- struct{}{}:
	default:
	}
}

func (t *Target) announcement(address string) notice.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return notice.Announcement{
		Target: t.o.Target, Service: t.o.Service, Address: address,
		Slots: t.o.Slots, Connections: t.o.Connections, State: t.state,
	}
}

// serviceTime draws the service time of one request.
func (t *Target) serviceTime(path string) time.Duration {
	base := t.o.Times.Service
	if strings.HasPrefix(path, pathLong) && t.o.Times.Long > 0 {
		base = t.o.Times.Long
	}
	for _, p := range t.o.Times.Paths {
		if strings.HasPrefix(path, p.Prefix) {
			base = p.Service
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := t.slowdown * (1 + t.o.Times.Jitter*(2*t.rng.Float64()-1))
	if t.rng.Float64() < t.o.Times.TailShare {
		factor *= t.o.Times.TailFactor
	}
	return time.Duration(float64(base) * factor)
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
