package lead

import (
	"math"
	"time"
)

const (
	failWeight   = 1.0              // of a failed run in the score of a worker
	doneWeight   = -0.5             // of a run that was done
	stillWeight  = 2.0              // of a run that stood still
	trustHalf    = 4 * time.Second  // after which the score has halved
	distrustAt   = 2.0              // score from which a worker gets only probes
	probeEvery   = 2 * time.Second  // between probes of a distrusted worker
	maxTrust     = 4.0              // bound of the score
	slowSmoothed = 0.3              // weight of a new sample of a worker's speed
	slowLife     = 15 * time.Second // after which a measured speed is forgotten
)

// trust is what the ends of runs tell about a worker.
type trust struct {
	score   float64
	at      time.Time
	probeAt time.Time
	speed   float64 // of runs here relative to their siblings; 0 when unknown
	speedAt time.Time
}

func (t *trust) value(now time.Time) float64 {
	if t.at.IsZero() {
		return 0
	}
	return t.score * math.Exp2(-float64(now.Sub(t.at))/float64(trustHalf))
}

// note adds a weight to the score and reports whether the worker became distrusted by it.
func (t *trust) note(weight float64, now time.Time) bool {
	before := t.value(now)
	t.score = min(maxTrust, max(0, before+weight))
	t.at = now
	return before < distrustAt && t.score >= distrustAt
}

// isDistrusted reports whether the worker gets only probes.
func (t *trust) isDistrusted(now time.Time) bool { return t.value(now) >= distrustAt }

// sample notes the speed of a run relative to its siblings.
func (t *trust) sample(speed float64, now time.Time) {
	speed = min(2, max(0.02, speed))
	if t.speed == 0 || now.Sub(t.speedAt) > slowLife {
		t.speed = 1
	}
	t.speed += slowSmoothed * (speed - t.speed)
	t.speedAt = now
}

// pace returns the measured speed of the worker, 1 when unknown.
func (t *trust) pace(now time.Time) float64 {
	if t.speed == 0 || now.Sub(t.speedAt) > slowLife {
		return 1
	}
	return t.speed
}
