package lead

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	minProjectPercent = 10 // progress from which the run time of a sibling is projected
	// siblingsAgePerTask is the age up to which the run times of a step are used again, for each of its tasks. Since the time
	// to collect them grows with the tasks as well, steps of any size take a bounded share of the leader's time.
	siblingsAgePerTask = 10 * time.Microsecond
)

// siblings holds the run times of the tasks of a step at a given time, for comparisons of a run with those on other workers.
type siblings struct {
	at        time.Time
	runTimes  []runTime         // in ascending order
	positions map[*worker][]int // in runTimes, of the runs on a worker, in ascending order
}

// runTime is the run time of a successful run, or the one projected for a current run, in seconds.
type runTime struct {
	seconds float64
	worker  *worker
}

// siblingsOf returns the run times of a step, which may be as old as siblingsAgePerTask allows.
func (j *job) siblingsOf(round, step int, now time.Time) *siblings {
	index := j.stepIndex(round, step)
	if j.siblings == nil {
		j.siblings = make(map[int]*siblings)
	}
	s := j.siblings[index]
	if s == nil {
		s = &siblings{positions: make(map[*worker][]int)}
		j.siblings[index] = s
	}
	first, end := j.span(round, step)
	if s.at.IsZero() || now.Sub(s.at) > time.Duration(end-first)*siblingsAgePerTask {
		s.collect(j.tasks[first:end], now)
	}
	return s
}

// collect replaces the run times by those of some tasks at a given time.
func (s *siblings) collect(tasks []task, now time.Time) {
	s.at, s.runTimes = now, s.runTimes[:0]
	for i := range tasks {
		task := &tasks[i]
		if task.runSeconds > 0 {
			s.runTimes = append(s.runTimes, runTime{task.runSeconds, task.doneOn})
		}
		for _, r := range task.runs {
			if r.listed && r.percent >= minProjectPercent {
				s.runTimes = append(s.runTimes, runTime{r.projectedSeconds(now), r.worker})
			}
		}
	}
	slices.SortFunc(s.runTimes, func(a, b runTime) int { return cmp.Compare(a.seconds, b.seconds) })
	clear(s.positions)
	for i, r := range s.runTimes {
		s.positions[r.worker] = append(s.positions[r.worker], i)
	}
}

// median returns the median of the run times on other workers than w, and false if fewer than minSiblings are known.
func (s *siblings) median(w *worker) (float64, bool) {
	own := s.positions[w]
	others := len(s.runTimes) - len(own)
	if others < minSiblings {
		return 0, false
	}
	middle := others / 2
	ownBefore := sort.Search(len(own), func(i int) bool { return own[i]-i > middle })
	return s.runTimes[middle+ownBefore].seconds, true
}
