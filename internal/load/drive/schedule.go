package drive

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Arrival is one scheduled request.
type Arrival struct {
	At      time.Duration // since the start
	Service int
	Request int
	Entry   int
}

// RateAt returns the rate of a service at a time since the start, in requests/s.
func (s Service) RateAt(at time.Duration) float64 {
	rate := s.Rate
	for _, w := range s.Swings {
		rate *= w.factorAt(at)
	}
	return rate
}

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

// Schedule returns all arrivals in order of time. They are a Poisson process with the rate of each service and depend on
// the experiment and its seed only. The error says that there are more than MaxRequests.
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

// arrivals draws from a process with the highest rate and keeps each arrival with the probability that the rate at its
// time has in the highest rate.
func (s Service) arrivals(rng *rand.Rand, index, entries int, end time.Duration, limit int) ([]Arrival, error) {
	highest := s.Rate
	for _, w := range s.Swings {
		highest *= max(1, w.Factor)
	}
	var list []Arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / highest
		t := time.Duration(at * float64(time.Second))
		if t >= end {
			return list, nil
		}
		if rng.Float64()*highest >= s.RateAt(t) {
			continue
		}
		if len(list) == limit {
			return nil, errors.Newf("the experiment has more arrivals than MaxRequests; service %s exceeds it at %v", s.Name, t)
		}
		list = append(list, Arrival{At: t, Service: index, Request: s.pick(rng.Float64()), Entry: rng.IntN(max(1, entries))})
	}
}

// pick returns the request of the mix at the share u of the sum of weights.
func (s Service) pick(u float64) int {
	sum := 0.0
	for _, r := range s.Requests {
		sum += r.Weight
	}
	u *= sum
	for i, r := range s.Requests {
		if u -= r.Weight; u < 0 {
			return i
		}
	}
	return len(s.Requests) - 1
}
