package interf_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/interf"
)

const benchTime = 20 * time.Minute

var benchSeeds = []uint64{20261204, 1, 2, 3, 4}

var benchClasses = []string{"plan", "index", "report", "scan"}

// scaledProfile returns a profile in which plan and index are harmless, report interferes a little, and scan a lot.
func scaledProfile(factor float64) profile {
	return func(class string, _ float64) (byUse, byMemory float64) {
		switch class {
		case "report":
			return 0.1 * factor, 0
		case "scan":
			return 1.5 * factor, 0.05 * factor
		}
		return 0.02, 0
	}
}

// shiftingProfile is a profile in which scan interferes at a low load, and index at a high one.
func shiftingProfile(class string, load float64) (byUse, byMemory float64) {
	switch class {
	case "scan":
		return 2.5 * max(0, 0.8-load), 0
	case "index":
		return 4 * max(0, load-0.5), 0
	}
	return 0.02, 0
}

// swingingRate is a request rate between a fifth and almost all of the top rate, with steps within seconds.
func swingingRate(since time.Duration) float64 {
	s := since.Seconds()
	r := topRate * (0.5 + 0.3*math.Sin(2*math.Pi*s/300))
	if int(s)%180 > 150 {
		r += 0.2 * topRate
	}
	return r
}

// result contains the means over all seeds.
type result struct {
	p50, p99, progress, evictions float64
	p99s                          []float64 // ms, by seed
}

// measure runs one mode with each seed.
func measure(mode string, lag time.Duration, effects profile) result {
	var r result
	for _, seed := range benchSeeds {
		f := newFixture(time.Unix(1_000_000, 0), seed, lag, effects)
		f.classes, f.rate = benchClasses, swingingRate
		switch mode {
		case "none":
			f.classes = nil
		case "cap of 50%":
			f.limit = need / 2
		case "controller":
			f.controller = interf.New(interf.Config{Processors: processors})
		}
		f.run(f.now, benchTime)
		slices.Sort(f.runs)
		n, share := len(f.runs), 1/float64(len(benchSeeds))
		p99 := 1000 * f.runs[n*99/100]
		r.p50 += 1000 * f.runs[n/2] * share
		r.p99 += p99 * share
		r.p99s = append(r.p99s, p99)
		r.progress += f.progress / benchTime.Seconds() * share
		r.evictions += float64(f.count(interf.Evict, "")) * share
	}
	return r
}

// BenchmarkInterference prints the table in docs/notes/interference.md.
func BenchmarkInterference(b *testing.B) {
	profiles := []struct {
		name    string
		effects profile
	}{{"mild", scaledProfile(0.5)}, {"strong", scaledProfile(2)}, {"shifting", shiftingProfile}}
	text := "| Profile | Lag | Batch | p50 ms | p99 ms | p99 / no batch | Worst seed | Processors | Share of uncontrolled | Evictions |\n" +
		"|---|---|---|---|---|---|---|---|---|---|\n"
	for _, p := range profiles {
		for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
			var none, uncontrolled result
			for _, mode := range []string{"none", "uncontrolled", "cap of 50%", "controller"} {
				r := measure(mode, lag, p.effects)
				switch mode {
				case "none":
					none = r
				case "uncontrolled":
					uncontrolled = r
				}
				worst := 0.0
				for i, v := range r.p99s {
					worst = max(worst, v/none.p99s[i])
				}
				text += fmt.Sprintf("| %s | %v | %s | %.1f | %.1f | %.2f | %.2f | %.1f | %.1f%% | %.0f |\n", p.name, lag, mode,
					r.p50, r.p99, r.p99/none.p99, worst, r.progress, 100*r.progress/max(uncontrolled.progress, 1), r.evictions)
			}
		}
	}
	for b.Loop() {
		// The table is the result; with fixed seeds, another iteration would give the same one.
	}
	fmt.Print(text)
}
