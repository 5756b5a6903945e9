package route

import (
	"math"
	"time"
)

// Result says how a request to a target ended.
type Result int

// Results of requests.
const (
	Answered  Result = iota // with a status below 500
	Faulty                  // with a status of 500 or above
	Refused                 // NotRun by the agent for lack of slots
	Failed                  // NotRun because the target or its agent could not be reached, or Unknown
	Abandoned               // the caller gave up; says nothing about the target
)

const (
	slownessGain = 1.0 / 8
	slowHalfLife = 5 * time.Second // a slow target gets few requests; without aging it would never be measured again
	failureGain  = 1.0 / 8
	failureShare = 0.5 // a target that fails half of its requests is ejected, which also catches one that alternates
	failureRun   = 3   // failures in a row that eject at once
	ejectTime    = time.Second
	ejectLimit   = 30 * time.Second
	calmTime     = time.Minute // after this time without a failure the ejection time starts small again
	refusedTime  = 20 * time.Millisecond
	maxRatio     = 100.0 // one extreme sample must not outweigh hundreds of others
)

// target is what this entry knows of a target from its own requests.
type target struct {
	inFlight     int64
	used         time.Time
	ratio        float64 // learned ratio of elapsed to expected run time; 0 when unknown
	sampledAt    time.Time
	failures     float64 // learned share of failed requests
	inRow        int
	ejections    int
	ejectedUntil time.Time
	pausedUntil  time.Time // after a refusal for lack of slots
	refusedAt    time.Time // the last such refusal
	failedAt     time.Time
}

// slowness returns the learned ratio, which ages towards 1 while there are no samples.
func (t *target) slowness(now time.Time) float64 {
	if t.ratio == 0 {
		return 1
	}
	return 1 + (t.ratio-1)*decay(now.Sub(t.sampledAt), slowHalfLife)
}

// effectiveSlots grows with the time since the target arrived or came back from an ejection, so that a cold target is
// not filled at once.
func (t *target) effectiveSlots(c *Candidate, now time.Time) float64 {
	since := c.ReadyAt
	if t.ejectedUntil.After(since) {
		since = t.ejectedUntil
	}
	share := min(1, max(0, float64(now.Sub(since))/float64(rampTime)))
	return max(1, float64(c.Slots)*share)
}

// isOutdated reports whether an entry refused a request after it told of free slots. Its summary comes once a second, and
// until the next one the refusal is the better information.
func (t *target) isOutdated(c *Candidate) bool { return c.Target == "" && t.refusedAt.After(c.HintAt) }

// learn updates the knowledge. Run times of failures are left out: a target that fails fast must not look fast.
func (t *target) learn(r Result, expected, elapsed time.Duration, now time.Time) {
	switch r {
	case Answered:
		t.inRow = 0
		t.failures -= failureGain * t.failures
		t.learnRatio(expected, elapsed, now)
		if t.ejections > 0 && now.Sub(t.failedAt) > calmTime {
			t.ejections = 0
		}
	case Faulty, Failed:
		t.inRow++
		t.failedAt = now
		t.failures += failureGain * (1 - t.failures)
		if t.inRow >= failureRun || t.failures > failureShare {
			t.eject(now)
		}
	case Refused:
		t.pausedUntil = now.Add(refusedTime)
		t.refusedAt = now
	case Abandoned:
	}
}

func (t *target) learnRatio(expected, elapsed time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	ratio := min(maxRatio, float64(elapsed)/float64(expected))
	if t.ratio == 0 {
		t.ratio = ratio
	}
	t.ratio = t.slowness(now)
	t.ratio += slownessGain * (ratio - t.ratio)
	t.sampledAt = now
}

// eject keeps requests away for a time that doubles with each ejection, so that a flapping target is tried less often.
func (t *target) eject(now time.Time) {
	if now.Before(t.ejectedUntil) { // late failures of requests that were already in progress
		t.inRow = 0
		return
	}
	d := min(ejectLimit, ejectTime<<min(t.ejections, 8))
	t.ejections++
	t.failures = 0
	t.inRow = 0
	t.ejectedUntil = now.Add(d)
}

// decay returns the weight of knowledge of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
