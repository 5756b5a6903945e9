package lead

import (
	"math"
	"time"
)

const (
	failWeight      = 1.0              // added to the penalty score of a worker for a failed run
	doneWeight      = -0.5             // added to the penalty score of a worker for a successful run
	stallWeight     = 2.0              // added to the penalty score of a worker for a stalled run
	scoreHalfLife   = 4 * time.Second  // time in which the penalty score halves
	unreliableScore = 2.0              // penalty score from which a worker gets only probe runs
	probeEvery      = 2 * time.Second  // between probe runs of an unreliable worker
	maxScore        = 4.0              // upper bound of the penalty score
	speedSmoothing  = 0.3              // weight of a new sample of a worker's relative speed
	speedTTL        = 15 * time.Second // after which a measured speed is discarded
)

// reliability tracks failures, stalls and the relative speed of the runs on a worker.
type reliability struct {
	score   float64 // penalty score at the time at; higher is worse
	at      time.Time
	probeAt time.Time // no probe run before
	speed   float64   // of runs relative to their reference run times; 0 if unknown
	speedAt time.Time
}

// currentScore returns the penalty score, decayed to the given time.
func (r *reliability) currentScore(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.score * math.Exp2(-float64(now.Sub(r.at))/float64(scoreHalfLife))
}

// record adds a weight to the penalty score and reports whether the worker became unreliable by it.
func (r *reliability) record(weight float64, now time.Time) bool {
	before := r.currentScore(now)
	r.score = min(maxScore, max(0, before+weight))
	r.at = now
	if before >= unreliableScore || r.score < unreliableScore {
		return false
	}
	r.probeAt = now.Add(probeEvery)
	return true
}

// isUnreliable reports whether the worker gets only probe runs.
func (r *reliability) isUnreliable(now time.Time) bool { return r.currentScore(now) >= unreliableScore }

// recordSpeed adds a sample of the speed of a run: its reference run time divided by its own.
func (r *reliability) recordSpeed(speed float64, now time.Time) {
	speed = min(2, max(0.02, speed))
	if r.speed == 0 || now.Sub(r.speedAt) > speedTTL {
		r.speed = 1
	}
	r.speed += speedSmoothing * (speed - r.speed)
	r.speedAt = now
}

// relativeSpeed returns the measured speed of the worker relative to others, or 1 if unknown.
func (r *reliability) relativeSpeed(now time.Time) float64 {
	if r.speed == 0 || now.Sub(r.speedAt) > speedTTL {
		return 1
	}
	return r.speed
}
