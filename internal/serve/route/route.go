package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const (
	slowStart       = 10 * time.Second       // time until a new target gets its full share of requests
	hintHalfLife    = time.Second            // the weight of a hint halves with each missed heartbeat, sent every second
	minRTO          = 200 * time.Millisecond // minimum retransmission timeout of TCP, the delay caused by one lost packet
	crossZoneFactor = 1.2                    // hysteresis, so that similar scores do not move requests to another zone
	sampleTries     = 8                      // random draws before a linear search
	stateTTL        = 5 * time.Minute
	sweepEvery      = time.Minute
)

// Candidate is a target of a service, or an entry of another zone that can relay requests to targets of the service.
type Candidate struct {
	Name     string // unique among the candidates of all services
	Target   string // name of the target at its agent; empty for an entry
	Zone     ident.AvailabilityZone
	Slots    int64         // requests that it can run concurrently
	InFlight int64         // requests in progress from all entries, as reported by its agent
	MeanRun  time.Duration // mean run time as reported by its agent; used until this entry has an estimate
	HintAt   time.Time     // when InFlight and MeanRun were received
	ReadyAt  time.Time     // when the target announced itself
	Leaving  bool
	Closed   bool          // the session with its agent or entry has closed
	Delay    time.Duration // one-way delay of the link
	Loss     float64       // packet loss of the link, between 0 and 1
}

// Set holds the candidates of one service.
type Set struct {
	Local  []Candidate // targets in the zone of this entry
	Remote []Candidate // entries of other zones
}

// Slots returns the number of requests that the usable candidates can run concurrently.
func (s Set) Slots() int {
	var n int64
	for _, list := range [][]Candidate{s.Local, s.Remote} {
		for _, c := range list {
			if !c.Leaving && !c.Closed {
				n += c.Slots
			}
		}
	}
	return int(n)
}

// Picker selects candidates for requests; it is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	rng     *rand.Rand
	states  map[string]*targetState
	sweptAt time.Time
}

// NewPicker returns a Picker with a random generator seeded by seed.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, 1)), states: make(map[string]*targetState)}
}

// Slots returns the number of requests that the candidates can run concurrently, without the entries that have
// refused a request since their last report.
func (p *Picker) Slots(set Set) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := set.Slots()
	for i := range set.Remote {
		c := &set.Remote[i]
		if t, ok := p.states[c.Name]; ok && !c.Leaving && !c.Closed && t.hintIsStale(c) {
			n -= int(c.Slots)
		}
	}
	return n
}

// Pick selects a candidate for a request with the given expected run time and counts the request as in progress until
// Done. It excludes the names in tried and reports false when no candidate is left.
func (p *Picker) Pick(set Set, expected time.Duration, tried []string) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	local, localScore, ok := p.best(set.Local, expected, tried, now)
	remote, remoteScore, okRemote := p.best(set.Remote, expected, tried, now)
	switch {
	case !ok && !okRemote:
		return Candidate{}, false
	case !ok, okRemote && localScore > crossZoneFactor*(remoteScore+linkCost(remote)) && !p.isWorse(remote, local, tried, now):
		local = remote
	}
	p.state(local.Name, now).inFlight++
	return *local, true
}

// isWorse reports whether a is ejected and b is not.
func (p *Picker) isWorse(a, b *Candidate, tried []string, now time.Time) bool {
	return p.rank(a, tried, now) == ejected && p.rank(b, tried, now) > ejected
}

// linkCost returns the expected delay in ns of the round trip to a candidate in another zone.
func linkCost(c *Candidate) float64 {
	return 2*float64(c.Delay) + c.Loss*float64(minRTO)
}

// rank orders candidates by how well they can run a request.
type rank int

const (
	unavailable rank = iota // accepts no requests, or was tried already
	ejected                 // fails or refuses requests; used only when no other candidate is left
	full                    // this entry's requests occupy all of its effective slots
	available
)

// best returns the better of two random candidates of the highest rank in the list. When all candidates are ejected,
// it returns an ejected one: the failures that this entry alone observed are no reason to refuse all requests of a
// service.
func (p *Picker) best(list []Candidate, expected time.Duration, tried []string, now time.Time) (
	*Candidate, float64, bool) {
	for minRank := available; minRank > unavailable; minRank-- {
		first, ok := p.sample(list, tried, nil, minRank, now)
		if !ok {
			continue
		}
		score := p.score(first, expected, now)
		if second, ok := p.sample(list, tried, first, minRank, now); ok {
			if s := p.score(second, expected, now); s < score {
				return second, s, true
			}
		}
		return first, score, true
	}
	return nil, 0, false
}

// sample returns a random candidate other than except whose rank is at least minRank.
func (p *Picker) sample(list []Candidate, tried []string, except *Candidate, minRank rank, now time.Time) (
	*Candidate, bool) {
	if len(list) == 0 {
		return nil, false
	}
	for range sampleTries {
		c := &list[p.rng.IntN(len(list))]
		if c != except && p.rank(c, tried, now) >= minRank {
			return c, true
		}
	}
	start := p.rng.IntN(len(list))
	for i := range list {
		c := &list[(start+i)%len(list)]
		if c != except && p.rank(c, tried, now) >= minRank {
			return c, true
		}
	}
	return nil, false
}

func (p *Picker) rank(c *Candidate, tried []string, now time.Time) rank {
	if c.Leaving || c.Closed || c.Slots <= 0 {
		return unavailable
	}
	for _, name := range tried {
		if name == c.Name {
			return unavailable
		}
	}
	t, ok := p.states[c.Name]
	switch {
	case !ok:
		return available
	case now.Before(t.ejectedUntil) || now.Before(t.pausedUntil) || t.hintIsStale(c):
		return ejected
	case float64(t.inFlight) >= t.effectiveSlots(c, now):
		return full
	}
	return available
}

// score returns the expected completion time in ns. Without an expected run time it is based on the reported mean run
// time, but at least 1 ms, and then serves only to order candidates.
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

// Done records the result of a request for which Pick returned name, and its elapsed time relative to the expected
// one.
func (p *Picker) Done(name string, r Result, expected, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	t := p.state(name, now)
	t.inFlight--
	t.record(r, expected, elapsed, now)
}

func (p *Picker) state(name string, now time.Time) *targetState {
	t, ok := p.states[name]
	if !ok {
		t = &targetState{}
		p.states[name] = t
	}
	t.used = now
	return t
}

// sweep deletes the state of targets that were not considered for stateTTL, so that replaced targets do not leak
// memory.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepEvery {
		return
	}
	p.sweptAt = now
	for name, t := range p.states {
		if t.inFlight <= 0 && now.Sub(t.used) > stateTTL {
			delete(p.states, name)
		}
	}
}
