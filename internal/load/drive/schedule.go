package drive

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Arrival is one scheduled request.
type Arrival struct {
	At      time.Duration // since the start of the run
	Service int           // index in Experiment.Services
	Request int           // index in Service.Requests
	Entry   int           // index in Experiment.Entries
}

// RateAt returns the rate of a service in requests/s at a time since the start of the run, with all swings applied.
func (s Service) RateAt(at time.Duration) float64 {
	rate := s.Rate
	for _, w := range s.Swings {
		rate *= w.factorAt(at)
	}
	return rate
}

// factorAt returns the rate multiplier of a swing at a time since the start of the run; it is 1 outside of the swing.
func (w Swing) factorAt(at time.Duration) float64 {
	rise := w.At.Std()
	top := rise + w.Over.Std()
	fall := top + w.For.Std()
	end := fall + w.Over.Std()
	switch {
	case at < rise || at >= end:
		return 1
	case at < top:
		return 1 + (w.Factor-1)*float64(at-rise)/float64(top-rise)
	case at < fall:
		return w.Factor
	default:
		return 1 + (w.Factor-1)*float64(end-at)/float64(end-fall)
	}
}

// Schedule returns all arrivals in chronological order, or an error if there are more than MaxRequests. The arrivals of
// each service form a Poisson process with its rate, and are determined by the experiment and its seed alone.
func (e Experiment) Schedule() ([]Arrival, error) {
	var list []Arrival
	for i, s := range e.Services {
		rng := rand.New(rand.NewPCG(uint64(e.Seed), uint64(i)))
		more, err := s.arrivals(rng, i, len(e.Entries), e.Duration.Std(), e.MaxRequests-len(list))
		if err != nil {
			return nil, err
		}
		list = append(list, more...)
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list, nil
}

// arrivals samples a non-homogeneous Poisson process by thinning: it draws arrivals at an upper bound of the rate and
// accepts each with probability RateAt divided by that bound.
func (s Service) arrivals(rng *rand.Rand, index, entries int, end time.Duration, limit int) ([]Arrival, error) {
	rateBound := s.Rate
	for _, w := range s.Swings {
		rateBound *= max(1, w.Factor)
	}
	var list []Arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / rateBound
		t := time.Duration(at * float64(time.Second))
		if t >= end {
			return list, nil
		}
		if rng.Float64()*rateBound >= s.RateAt(t) {
			continue
		}
		if len(list) == limit {
			return nil, errors.Newf("schedule has more than MaxRequests arrivals: service %s exceeds the limit at %v", s.Name, t)
		}
		list = append(list, Arrival{At: t, Service: index, Request: s.pick(rng.Float64()), Entry: rng.IntN(max(1, entries))})
	}
}

// pick maps u, uniform in [0, 1), to the index of a request, with probabilities proportional to the weights.
func (s Service) pick(u float64) int {
	total := 0.0
	for _, r := range s.Requests {
		total += r.Weight
	}
	u *= total
	for i, r := range s.Requests {
		if u -= r.Weight; u < 0 {
			return i
		}
	}
	return len(s.Requests) - 1
}
