package impact_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/impact"
)

// Guards against a periodic load that is not predicted: two seconds ahead the error must stay well below the amplitude.
func TestPeriodicLoadIsForecast(t *testing.T) {
	for _, period := range []float64{7, 10, 20, 33} {
		rng := rand.New(rand.NewPCG(1, uint64(period)))
		start := time.Now()
		estimate := impact.NewPeriodEstimate(start)
		phases := []float64{0.3, 2.1, 4.4}
		load := func(i int, at float64) float64 {
			return 0.54 + 0.22*math.Sin(2*math.Pi*at/period+phases[i])
		}
		forecasts := make([]*impact.Forecast, len(phases))
		for i := range forecasts {
			forecasts[i] = impact.NewForecast(estimate)
		}
		var sum, n float64
		for at := 0.0; at < 40+period; at += 0.45 {
			for i, f := range forecasts {
				f.Add(start.Add(time.Duration(at*1e9)), load(i, at)+0.05*rng.NormFloat64(), 1)
				if at < 10+1.5*period {
					continue
				}
				got, ok := f.At(start.Add(time.Duration((at + 2) * 1e9)))
				if !ok {
					t.Fatalf("period %v is not known after %.0f s", period, at)
				}
				sum += math.Pow(got-load(i, at+2), 2)
				n++
			}
		}
		if e := math.Sqrt(sum / n); e > 0.08 {
			p, _ := estimate.Period()
			t.Errorf("period %v: error %.3f two seconds ahead, estimated period %v", period, e, p)
		}
	}
}

// Guards against a period detected in random samples.
func TestNoPeriodInNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	f := impact.NewForecast(impact.NewPeriodEstimate(start))
	for at := 0.0; at < 60; at += 0.45 {
		f.Add(start.Add(time.Duration(at*1e9)), rng.Float64(), 1)
	}
	if v, ok := f.At(start.Add(62 * time.Second)); ok {
		t.Errorf("forecast of load %.2f from random samples", v)
	}
}
