package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const (
	rampTime       = 10 * time.Second       // a new target gets its full share after this time
	hintHalfLife   = time.Second            // heartbeats come every second; a hint that is older says less
	retransmission = 200 * time.Millisecond // smallest retransmission timeout of TCP, the cost of one lost packet
	crossZoneGain  = 1.2                    // hysteresis: equal scores must not send requests over costly links
	sampleTries    = 8
	forgetAfter    = 5 * time.Minute
	sweepEvery     = time.Minute
)

// Candidate is a target of a service, or an entry of another zone that reaches targets of the service.
type Candidate struct {
	Name     string // unique among the candidates of all services
	Target   string // by which its agent knows it; empty for an entry
	Zone     ident.AvailabilityZone
	Slots    int64         // requests that it runs at the same time
	InFlight int64         // requests in progress as its agent reported, from all entries
	MeanRun  time.Duration // run time as its agent reported; used only until this entry has measured
	HintAt   time.Time     // when InFlight and MeanRun arrived
	ReadyAt  time.Time     // when the target announced itself
	Leaving  bool
	Closed   bool          // the session to its agent or entry is gone
	Delay    time.Duration // one-way delay of the link
	Loss     float64       // share of packets lost on the link
}

// Set holds the candidates of one service.
type Set struct {
	Own   []Candidate // targets in the zone of this entry
	Other []Candidate // entries of other zones
}

// Slots returns the number of requests that the candidates run at the same time.
func (s Set) Slots() int {
	var n int64
	for _, list := range [][]Candidate{s.Own, s.Other} {
		for _, c := range list {
			if !c.Leaving && !c.Closed {
				n += c.Slots
			}
		}
	}
	return int(n)
}

// Picker chooses among candidates; it is safe for concurrent use.
type Picker struct {
	mu    sync.Mutex
	rng   *rand.Rand
	known map[string]*target
	swept time.Time
}

// NewPicker returns a picker with a seeded generator.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, 1)), known: make(map[string]*target)}
}

// Slots returns the number of requests that the candidates run at the same time, without the entries that have refused
// a request since their last summary.
func (p *Picker) Slots(set Set) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := set.Slots()
	for i := range set.Other {
		c := &set.Other[i]
		if t, ok := p.known[c.Name]; ok && !c.Leaving && !c.Closed && t.isOutdated(c) {
			n -= int(c.Slots)
		}
	}
	return n
}

// Pick chooses a candidate for a request with the given expected run time and counts it as in progress until Done. It
// skips the names in tried and reports false when no candidate is left.
func (p *Picker) Pick(set Set, expected time.Duration, tried []string) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	own, ownScore, ok := p.best(set.Own, expected, tried, now)
	other, otherScore, okOther := p.best(set.Other, expected, tried, now)
	switch {
	case !ok && !okOther:
		return Candidate{}, false
	case !ok, okOther && ownScore > crossZoneGain*(otherScore+linkCost(other)) && !p.isWorse(other, own, tried, now):
		own = other
	}
	p.state(own.Name, now).inFlight++
	return *own, true
}

// isWorse reports whether a is ejected or refuses, and b does not.
func (p *Picker) isWorse(a, b *Candidate, tried []string, now time.Time) bool {
	return p.fitness(a, tried, now) == ejected && p.fitness(b, tried, now) > ejected
}

// linkCost is what a request loses on the way to another zone and back.
func linkCost(c *Candidate) float64 {
	return 2*float64(c.Delay) + c.Loss*float64(retransmission)
}

// fitness says how well a candidate can take a request.
type fitness int

const (
	closed  fitness = iota // takes no work, or was tried already
	ejected                // fails or refuses; only when nothing better is left
	full                   // its slots are taken, as far as this entry knows
	fit
)

// best compares two random candidates of the best fitness that there is. When all are ejected it takes an ejected one: a
// service whose targets all fail must not be refused on the word of this entry alone.
func (p *Picker) best(list []Candidate, expected time.Duration, tried []string, now time.Time) (*Candidate, float64, bool) {
	for least := fit; least > closed; least-- {
		first, ok := p.sample(list, tried, nil, least, now)
		if !ok {
			continue
		}
		score := p.score(first, expected, now)
		if second, ok := p.sample(list, tried, first, least, now); ok {
			if s := p.score(second, expected, now); s < score {
				return second, s, true
			}
		}
		return first, score, true
	}
	return nil, 0, false
}

// sample returns a random candidate other than not whose fitness is at least the given one.
func (p *Picker) sample(list []Candidate, tried []string, not *Candidate, least fitness, now time.Time) (*Candidate, bool) {
	if len(list) == 0 {
		return nil, false
	}
	for range sampleTries {
		c := &list[p.rng.IntN(len(list))]
		if c != not && p.fitness(c, tried, now) >= least {
			return c, true
		}
	}
	start := p.rng.IntN(len(list))
	for i := range list {
		c := &list[(start+i)%len(list)]
		if c != not && p.fitness(c, tried, now) >= least {
			return c, true
		}
	}
	return nil, false
}

func (p *Picker) fitness(c *Candidate, tried []string, now time.Time) fitness {
	if c.Leaving || c.Closed || c.Slots <= 0 {
		return closed
	}
	for _, name := range tried {
		if name == c.Name {
			return closed
		}
	}
	t, ok := p.known[c.Name]
	switch {
	case !ok:
		return fit
	case now.Before(t.ejectedUntil) || now.Before(t.pausedUntil) || t.isOutdated(c):
		return ejected
	case float64(t.inFlight) >= t.effectiveSlots(c, now):
		return full
	}
	return fit
}

// score is the expected completion time in ns; without a learned run time it only orders candidates by load.
func (p *Picker) score(c *Candidate, expected time.Duration, now time.Time) float64 {
	t := p.state(c.Name, now)
	run := float64(expected)
	if run == 0 {
		run = float64(max(c.MeanRun, time.Millisecond))
	}
	others := float64(max(0, c.InFlight-t.inFlight)) * decay(now.Sub(c.HintAt), hintHalfLife)
	load := float64(t.inFlight) + others
	return run * t.slowness(now) * (1 + load/t.effectiveSlots(c, now))
}

// Done ends a request that Pick started. The elapsed time is compared with the expected one.
func (p *Picker) Done(name string, r Result, expected, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	t := p.state(name, now)
	t.inFlight--
	t.learn(r, expected, elapsed, now)
}

func (p *Picker) state(name string, now time.Time) *target {
	t, ok := p.known[name]
	if !ok {
		t = &target{}
		p.known[name] = t
	}
	t.used = now
	return t
}

// sweep forgets targets that have not been considered for a while, so that replaced ones do not fill the memory.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for name, t := range p.known {
		if t.inFlight <= 0 && now.Sub(t.used) > forgetAfter {
			delete(p.known, name)
		}
	}
}
