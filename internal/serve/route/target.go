package route

import (
	"math"
	"time"
)

// Result is the outcome of a request to a target.
type Result int

// Results of requests.
const (
	Completed   Result = iota // response with a status below 500
	ServerError               // response with a status of 500 or above
	Refused                   // answered NotRun by the agent for lack of slots
	Failed                    // NotRun because the target or its agent could not be reached, or Unknown
	Cancelled                 // cancelled by the caller; says nothing about the target
)

const (
	slownessGain           = 1.0 / 8
	slowHalfLife           = 5 * time.Second // without decay, slow targets get too few requests to be remeasured
	failureGain            = 1.0 / 8
	maxFailureRate         = 0.5 // ejects above it; also catches a target that alternates between success and failure
	maxConsecutiveFailures = 3   // failures in a row that eject a target at once
	baseEjection           = time.Second
	maxEjection            = 30 * time.Second
	ejectionReset          = time.Minute // time without failures after which the ejection time restarts at baseEjection
	refusalPause           = 20 * time.Millisecond
	maxRatio               = 100.0 // otherwise one extreme sample would outweigh hundreds of others
)

// targetState holds what this entry has measured on its own requests to a target or entry.
type targetState struct {
	inFlight            int64
	used                time.Time
	ratio               float64 // moving average of elapsed to expected run time; 0 without samples
	sampledAt           time.Time
	failureRate         float64 // moving average of the share of failed requests
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	pausedUntil         time.Time // after a refusal for lack of slots
	refusedAt           time.Time // time of the last such refusal
	failedAt            time.Time
}

// slowness returns the run time ratio, which decays towards 1 while there are no samples.
func (t *targetState) slowness(now time.Time) float64 {
	if t.ratio == 0 {
		return 1
	}
	return 1 + (t.ratio-1)*decay(now.Sub(t.sampledAt), slowHalfLife)
}

// effectiveSlots returns the slots that may be used during slow start: they grow with the time since the target
// became ready or its ejection ended, so that a cold target does not get its full load at once.
func (t *targetState) effectiveSlots(c *Candidate, now time.Time) float64 {
	since := c.ReadyAt
	if t.ejectedUntil.After(since) {
		since = t.ejectedUntil
	}
	share := min(1, max(0, float64(now.Sub(since))/float64(slowStart)))
	return max(1, float64(c.Slots)*share)
}

// hintIsStale reports whether an entry refused a request after its last report of free slots. Reports arrive once a
// second; until the next one the refusal is the more recent information.
func (t *targetState) hintIsStale(c *Candidate) bool {
	return c.Target == "" && t.refusedAt.After(c.HintAt)
}

// record updates the state by the result of a request. It ignores the run times of failures, so that a target that
// fails fast does not appear fast.
func (t *targetState) record(r Result, expected, elapsed time.Duration, now time.Time) {
	switch r {
	case Completed:
		t.consecutiveFailures = 0
		t.failureRate -= failureGain * t.failureRate
		t.recordRatio(expected, elapsed, now)
		if t.ejections > 0 && now.Sub(t.failedAt) > ejectionReset {
			t.ejections = 0
		}
	case ServerError, Failed:
		t.consecutiveFailures++
		t.failedAt = now
		t.failureRate += failureGain * (1 - t.failureRate)
		if t.consecutiveFailures >= maxConsecutiveFailures || t.failureRate > maxFailureRate {
			t.eject(now)
		}
	case Refused:
		t.pausedUntil = now.Add(refusalPause)
		t.refusedAt = now
	case Cancelled:
	}
}

func (t *targetState) recordRatio(expected, elapsed time.Duration, now time.Time) {
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

// eject excludes the target from selection for a time that doubles with each ejection, so that a flapping target is
// tried less often.
func (t *targetState) eject(now time.Time) {
	if now.Before(t.ejectedUntil) { // failures of requests that started before the ejection
		t.consecutiveFailures = 0
		return
	}
	d := min(maxEjection, baseEjection<<min(t.ejections, 8))
	t.ejections++
	t.failureRate = 0
	t.consecutiveFailures = 0
	t.ejectedUntil = now.Add(d)
}

// decay returns the weight of a measurement of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
